"""A stand-in for a model runner, as PROTOCOL.md describes it. One process each.

Each run streams one event per step. Its text follows from the id of the request
and the number of the event, so that any runner can resume it. Actions are
written as JSON lines to --log.
"""

import argparse
import json
import os
import signal
import socket
import threading
import time
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

parser = argparse.ArgumentParser()
parser.add_argument("--id", required=True)
parser.add_argument("--address", required=True)
parser.add_argument("--store", required=True)
parser.add_argument("--service", required=True)
parser.add_argument("--zone", required=True)
parser.add_argument("--log", required=True)
parser.add_argument("--slots", type=int, default=8)
parser.add_argument("--step-ms", type=float, default=30)
parser.add_argument("--heartbeat-ms", type=int, default=1200)
# Answers have neither a length nor chunks and end with their channel.
parser.add_argument("--unframed", action="store_true")
# The answer to this request is lost at one runner, after its last event: the
# channel is reset.
parser.add_argument("--lose-end-once", default="")
options = parser.parse_args()

lock = threading.Lock()
running = {}
holds = {}
sequence = 0
born = int(time.time() * 1000)
log = open(options.log, "a", buffering=1)


def note(event, **fields):
    fields.update(t=round(time.time(), 4), runner=options.id, event=event)
    with lock:
        log.write(json.dumps(fields) + "\n")


def used_slots():
    now = time.monotonic()
    for name in [n for n, until in holds.items() if until <= now]:
        del holds[name]
    return len(running) + len(holds)


def event_text(request_id, number):
    return f"{request_id}.{number}"


def take_loss():
    """Whether the one loss is still to come. All runners share the folder."""
    try:
        os.close(os.open(os.path.join(os.path.dirname(options.log), "lost"), os.O_CREAT | os.O_EXCL))
        return True
    except FileExistsError:
        return False


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def handle(self):
        try:
            super().handle()
        except OSError:
            pass  # the caller has closed its channel

    def answer(self, status, fields, headers=()):
        body = json.dumps(fields).encode()
        head = [f"HTTP/1.1 {status} Status", "Content-Type: application/json",
                f"Content-Length: {len(body)}"] + [f"{n}: {v}" for n, v in headers]
        self.connection.sendall(("\r\n".join(head) + "\r\n\r\n").encode() + body)

    def reset(self):
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.connection.close()
        self.close_connection = True

    def load(self):
        return ("X-Carawayrelay-Server-Load", f"{len(running)},0,{options.slots}")

    def do_GET(self):
        if self.path == "/report":
            self.answer(200, {"stage": "mixed", "models": [{"name": "m", "version": 1, "adapters": []}],
                              "busy": False, "sequence": sequence, "queued": 0, "running": used_slots(),
                              "kvUsed": 0, "kvTotal": 72000, "handles": 0, "born": born})
        elif self.path == "/healthz":
            self.answer(200, {}, [("X-Carawayrelay-Instance-Id", options.id), self.load()])
        else:
            self.do_POST()

    def do_DELETE(self):
        self.answer(200, {})

    def do_POST(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        if self.path == "/hold-take":
            call = json.loads(body)
            with lock:
                free = used_slots() < options.slots
                if free:
                    name = os.urandom(6).hex()
                    holds[name] = time.monotonic() + call["ttlMs"] / 1000
            self.answer(200, {"hold": name}) if free else self.answer(503, {})
            return
        self.run_request(body)

    def run_request(self, body):
        request_id = self.headers.get("X-Carawayrelay-Request-Id", "")
        target = self.headers.get("X-Carawayrelay-Target-Instance")
        reject = [("X-Carawayrelay-Not-Executed", "1"), ("X-Carawayrelay-Request-Id", request_id)]
        if not request_id:
            self.answer(400, {}, reject)
            return
        if target and target != options.id:
            self.answer(421, {}, reject)
            return
        with lock:
            holds.pop(self.headers.get("X-Carawayrelay-Kv-Hold", ""), None)
            full = used_slots() >= options.slots
            if not full:
                running[id(self)] = request_id
        if full:
            self.answer(503, {}, reject + [self.load()])
            return
        tokens = self.headers.get("X-Carawayrelay-Token-Count", "1,160")
        events = max(1, int(tokens.split(",")[1]) // 8)
        after = int(self.headers.get("Last-Event-Id") or 0)
        note("run_started", id=request_id, after=after, events=events, path=self.path,
             tenant=self.headers.get("X-Carawayrelay-Tenant"), target=target,
             method=self.command, body_bytes=len(body),
             headers={n.lower(): v for n, v in self.headers.items()})
        sent = after
        try:
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                    "Connection: close" if options.unframed else "Transfer-Encoding: chunked",
                    f"X-Carawayrelay-Request-Id: {request_id}",
                    f"X-Carawayrelay-Server-Stamp: {options.id}.{born}", "%s: %s" % self.load()]
            self.connection.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
            while sent < events:
                time.sleep(options.step_ms / 1000)
                sent += 1
                event = f"id: {sent}\ndata: {event_text(request_id, sent)}\n\n".encode()
                self.connection.sendall(event if options.unframed else b"%x\r\n%s\r\n" % (len(event), event))
            if request_id == options.lose_end_once and take_loss():
                # Lets the events arrive before the reset discards the rest.
                time.sleep(0.05)
                note("run_lost", id=request_id, sent=sent)
                self.reset()
                return
            if options.unframed:
                self.close_connection = True
            else:
                self.connection.sendall(b"0\r\n\r\n")
            note("run_finished", id=request_id, sent=sent)
        except OSError:
            note("run_cancelled", id=request_id, sent=sent)
            self.close_connection = True
        finally:
            with lock:
                running.pop(id(self), None)


def report(**extra):
    entry = {"id": options.id, "service": options.service, "address": options.address,
             "zone": options.zone, "version": "1", "capacity": options.slots, "state": "ready",
             "coldLeftMs": 0, "sequence": sequence, "born": born, **extra}
    call = urllib.request.Request(f"http://{options.store}/standin/servers",
                                  data=json.dumps(entry).encode(), method="POST")
    try:
        urllib.request.urlopen(call, timeout=2).read()
    except OSError:
        pass


def beat():
    while True:
        report()
        time.sleep(options.heartbeat_ms / 1000)


def stop(*_):
    report(leave=True)
    os._exit(0)


host, port = options.address.split(":")
ThreadingHTTPServer.request_queue_size = 256
server = ThreadingHTTPServer((host, int(port)), Handler)
server.daemon_threads = True
signal.signal(signal.SIGTERM, stop)
note("started", born=born)
threading.Thread(target=beat, daemon=True).start()
server.serve_forever()
