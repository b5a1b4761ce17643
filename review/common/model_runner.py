"""A stand-in for a runner (PROTOCOL.md, "Runners"): it serves streams of events
and whole answers, keeps to its slots, and registers itself in the store.

How long a request takes is the caller's choice: `plan(request)` returns a dict
with `events` and `step_s` for a stream, or `work_s` for a whole answer.
"""
import itertools
import json
import threading
import time

from http_peer import Server

HEARTBEAT_S = 1.2


class Runner:
    def __init__(self, name, address, zone, service, slots, store, record, plan):
        self.name = name
        self.address = address
        self.zone = zone
        self.service = service
        self.slots = slots
        self.store = store
        self.record = record
        self.plan = plan
        self.lock = threading.Lock()
        self.running = {}  # request id: number of runs
        self.holds = {}
        self.starts = 0
        self.sequence = 0
        self.server = None
        self.is_stopped = False
        self.numbers = itertools.count(1)
        self.start()
        threading.Thread(target=self.beat, daemon=True).start()

    def start(self):
        self.starts += 1
        self.id = "%s-start-%d" % (self.name, self.starts)
        self.born = int(time.time() * 1000)
        self.running, self.holds = {}, {}
        self.server = Server(self.address, self.handle)
        self.register()

    def register(self):
        self.sequence += 1
        self.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "capacity": self.slots, "state": "ready", "coldLeftMs": 0,
            "sequence": self.sequence, "born": self.born})

    def beat(self):
        while not self.is_stopped:
            time.sleep(HEARTBEAT_S)
            if self.server is not None and not self.is_stopped:
                self.register()

    def stop(self):
        self.is_stopped = True
        if self.server is not None:
            self.server.stop()

    def crash(self, back_after_s):
        """Ends as when its process crashes, and is back after some seconds.

        Returns False if it is down already."""
        with self.lock:
            if self.server is None:
                return False
            server, self.server = self.server, None
            old_id = self.id
        server.stop()
        threading.Timer(3 * HEARTBEAT_S, lambda: self.store.remove("servers", old_id)).start()

        def back():
            if not self.is_stopped:
                self.start()
        threading.Timer(back_after_s, back).start()
        return True

    def used(self):
        now = time.monotonic()
        self.holds = {h: end for h, end in self.holds.items() if end > now}
        return sum(self.running.values()) + len(self.holds)

    def handle(self, request, connection):
        if request.path == "/report":
            with self.lock:
                running = sum(self.running.values())
            connection.reply(200, [("Content-Type", "application/json")], json.dumps(
                {"stage": "mixed", "models": [], "busy": False, "sequence": 1, "queued": 0,
                 "running": running, "kvUsed": 0, "kvTotal": 90000, "handles": 0,
                 "born": self.born}).encode())
        elif request.path == "/hold-take":
            with self.lock:
                if self.used() >= self.slots:
                    connection.reply(503, [("X-Carawayrelay-Not-Executed", "1")])
                    return
                hold = "h%d" % next(self.numbers)
                self.holds[hold] = time.monotonic() + json.loads(request.body)["ttlMs"] / 1000
            connection.reply(200, [("Content-Type", "application/json")],
                             json.dumps({"hold": hold}).encode())
        else:
            self.run(request, connection)

    def run(self, request, connection):
        request_id = request.headers.get("x-carawayrelay-request-id", "")
        target = request.headers.get("x-carawayrelay-target-instance", self.id)
        if target != self.id:
            connection.reply(421, [("X-Carawayrelay-Instance-Id", self.id)])
            return
        with self.lock:
            hold = self.holds.pop(request.headers.get("x-carawayrelay-kv-hold"), None)
            if hold is None and self.used() >= self.slots:
                connection.reply(503, [("X-Carawayrelay-Not-Executed", "1")])
                return
            self.running[request_id] = self.running.get(request_id, 0) + 1
            starts = self.starts
        try:
            plan = self.plan(self, request)
            if plan is None:  # the runner crashed
                return
            headers = [("X-Carawayrelay-Request-Id", request_id),
                       ("X-Carawayrelay-Server-Stamp", self.id)]
            if "work_s" in plan:
                self.answer(request_id, plan, headers, connection)
            else:
                self.stream(request, request_id, plan, headers, connection)
        finally:
            with self.lock:
                if starts == self.starts:
                    self.running[request_id] -= 1
                    if not self.running[request_id]:
                        del self.running[request_id]

    def answer(self, request_id, plan, headers, connection):
        end = time.monotonic() + plan["work_s"]
        while time.monotonic() < end:
            time.sleep(min(0.05, max(0, end - time.monotonic())))
            if connection.is_closed_by_peer():
                self.record("runner %s: channel of %s closed by the caller after it ran %.2f s of "
                            "%.2f s" % (self.name, request_id,
                                        plan["work_s"] - (end - time.monotonic()), plan["work_s"]))
                raise OSError("closed")
        connection.reply(200, headers, ("done " + request_id).encode())

    def stream(self, request, request_id, plan, headers, connection):
        after = int(request.headers.get("last-event-id") or 0)
        connection.start_stream(200, headers + [("Content-Type", "text/event-stream")])
        for number in range(after + 1, plan["events"] + 1):
            time.sleep(plan["step_s"])
            if connection.is_closed_by_peer():
                raise OSError("closed")
            connection.send_part(b"id: %d\ndata: %s.%d\n\n" % (number, request_id.encode(), number))
        connection.end_stream()


def expected_text(item_id, events):
    return "\n".join("%s.%d" % (item_id, number) for number in range(1, events + 1))
