"""A stand-in for the platform's metadata store, as PROTOCOL.md describes it.

It runs in threads of the test. Rows, transactions under conditions, changes and
objects are served over HTTP/1.1. The operator and the runners write through
Python calls (runners over POST /standin/servers), since the pages leave open
how they reach the store.
"""

import base64
import json
import socket
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ANSWER_TIME_S = 0.004
BLOB_TIME_S = 0.025
MAX_ROWS = 500
MAX_READ_BYTES = 1_000_000
MAX_OBJECT_BYTES = 8_388_608
MAX_OBJECTS_BYTES = 400_000_000
MAX_ROW_BYTES = 65_536
MAX_NAME_BYTES = 200
FOREIGN_TABLES = ("op", "servers")


class Store:
    def __init__(self, address, heartbeat_ms=1200):
        self.lock = threading.Condition()
        self.rows = {}  # (table, part, key) -> (value as base64, version)
        self.changes = []  # (version, table, part, key, value or None)
        self.objects = {}
        self.object_bytes = 0
        self.version = 1
        self.started = time.monotonic()
        self.heartbeat_s = heartbeat_ms / 1000
        self.last_beat = {}
        # Test hook: called with (method, path, body) before a call is executed.
        # It returns None, or an action: ("status", n), ("lose",), ("delay", s),
        # ("silent",).
        self.fault = None
        self.counts = {}
        store = self

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

            def answer(self, status, body=b"", kind="application/json"):
                reason = {200: "OK", 412: "Precondition Failed"}.get(status, "Status")
                head = (
                    f"HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                try:
                    self.connection.sendall(head.encode() + body)
                except OSError:
                    self.close_connection = True

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                action = store.fault(self.command, self.path, body) if store.fault else None
                if action and action[0] == "status":
                    self.answer(action[1], b"{}")
                    return
                if action and action[0] == "delay":
                    time.sleep(action[1])
                if action and action[0] == "silent":
                    time.sleep(action[1])
                    self.close_connection = True
                    return
                status, answer, kind = store.execute(self.command, self.path, body)
                if action and action[0] == "lose":
                    self.close_connection = True
                    return
                self.answer(status, answer, kind)

            do_GET = do_POST = do_PUT = do_DELETE = handle_call

        host, port = address.split(":")
        ThreadingHTTPServer.request_queue_size = 256
        self.server = ThreadingHTTPServer((host, int(port)), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 1_000_000

    def put(self, table, key, value, part=""):
        """A write of the operator or of a runner."""
        with self.lock:
            self.version += 1
            self.write(table, part, key, base64.b64encode(json.dumps(value).encode()).decode())
            self.lock.notify_all()
            return self.version

    def remove(self, table, key, part=""):
        with self.lock:
            if (table, part, key) in self.rows:
                self.version += 1
                self.write(table, part, key, None)
                self.lock.notify_all()

    def write(self, table, part, key, value):
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (value, self.version)
        self.changes.append((self.version, table, part, key, value))

    def decoded(self, table):
        """Returns the rows of a table as {key: decoded text}."""
        with self.lock:
            return {
                k[2]: base64.b64decode(v[0]).decode()
                for k, v in self.rows.items()
                if k[0] == table
            }

    def expire(self):
        """Removes entries of runners that are silent for three heartbeats."""
        while True:
            time.sleep(0.1)
            now = time.monotonic()
            with self.lock:
                gone = [k for k, at in self.last_beat.items() if now - at > 3 * self.heartbeat_s]
            for key in gone:
                self.last_beat.pop(key, None)
                self.remove("servers", key)

    def execute(self, method, target, body):
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        name = path.split("/")[1]
        with self.lock:
            self.counts[name] = self.counts.get(name, 0) + 1
        if path == "/standin/servers":
            return self.execute_beat(json.loads(body))
        if path.startswith("/blob-"):
            time.sleep(BLOB_TIME_S)
            return self.execute_object(method, path, body)
        time.sleep(ANSWER_TIME_S)
        if path == "/rows-tx":
            return self.execute_transaction(body)
        if path == "/rows-get":
            return self.execute_read(args)
        if path == "/rows-feed":
            return self.execute_feed(args)
        return 404, b"{}", "application/json"

    def execute_beat(self, beat):
        key = beat.pop("id")
        if beat.pop("leave", False):
            self.last_beat.pop(key, None)
            self.remove("servers", key)
        else:
            self.last_beat[key] = time.monotonic()
            self.put("servers", key, beat)
        return 200, b"{}", "application/json"

    def execute_object(self, method, path, body):
        name = urllib.parse.unquote(path.split("/", 2)[2])
        with self.lock:
            if method == "PUT":
                if len(body) > MAX_OBJECT_BYTES:
                    return 413, b"{}", "application/json"
                if name in self.objects:
                    return 412, b"{}", "application/json"
                if self.object_bytes + len(body) > MAX_OBJECTS_BYTES:
                    return 507, b"{}", "application/json"
                self.objects[name] = body
                self.object_bytes += len(body)
                return 200, b"{}", "application/json"
            if method == "GET":
                if name not in self.objects:
                    return 404, b"{}", "application/json"
                return 200, self.objects[name], "application/octet-stream"
            if method == "DELETE":
                self.object_bytes -= len(self.objects.pop(name, b""))
                return 200, b"{}", "application/json"
        return 404, b"{}", "application/json"

    def execute_transaction(self, body):
        call = json.loads(body)
        expected = call.get("expectRev", [])
        writes = call.get("writes", [])
        removals = call.get("remove", [])
        entries = expected + writes + removals
        if len(entries) > 100 or len(body) > 1_000_000 or len({e["part"] for e in entries}) > 1:
            return 400, b"{}", "application/json"
        for entry in writes + removals:
            if entry["table"] in FOREIGN_TABLES:
                return 403, b"{}", "application/json"
        for entry in entries:
            if max(len(entry[f].encode()) for f in ("table", "part", "key")) > MAX_NAME_BYTES:
                return 400, b"{}", "application/json"
            if len(base64.b64decode(entry.get("value", ""))) > MAX_ROW_BYTES:
                return 400, b"{}", "application/json"
        with self.lock:
            current = []
            met = True
            for entry in expected:
                row = self.rows.get((entry["table"], entry["part"], entry["key"]))
                version = row[1] if row else 0
                met &= version == entry["ver"]
                answer = {f: entry[f] for f in ("table", "part", "key")}
                answer["ver"] = version
                if row:
                    answer["value"] = row[0]
                current.append(answer)
            if not met:
                return 412, self.encode({"rows": current}), "application/json"
            self.version += 1
            for entry in writes:
                self.write(entry["table"], entry["part"], entry["key"], entry["value"])
            for entry in removals:
                self.write(entry["table"], entry["part"], entry["key"], None)
            self.lock.notify_all()
            return 200, self.encode({}), "application/json"

    def encode(self, fields):
        return json.dumps({**fields, "ver": self.version, "nowMs": self.now_ms()}).encode()

    def execute_read(self, args):
        table, part = args["table"], args.get("part", "")
        first, last = args.get("from", ""), args.get("to")
        limit = min(int(args.get("limit", MAX_ROWS)), MAX_ROWS)
        with self.lock:
            keys = sorted(
                (k for k in self.rows if k[0] == table and k[1] == part and k[2] >= first
                 and (last is None or k[2] < last)),
                key=lambda k: k[2].encode(),
            )
            rows, size, more = [], 0, False
            for key in keys:
                value, version = self.rows[key]
                size += len(value) + len(key[2])
                if len(rows) == limit or (rows and size > MAX_READ_BYTES):
                    more = True
                    break
                rows.append({"table": table, "part": part, "key": key[2], "value": value, "ver": version})
            return 200, self.encode({"rows": rows, "hasMore": more}), "application/json"

    def execute_feed(self, args):
        table, after = args["table"], int(args["after"])
        end = time.monotonic() + min(int(args.get("waitMs", 0)), 30_000) / 1000
        with self.lock:
            while True:
                found = [c for c in self.changes_after(after) if c[1] == table]
                if found or time.monotonic() >= end:
                    break
                self.lock.wait(end - time.monotonic())
            newest = {}
            for change in found:
                newest.pop(change[1:4], None)
                newest[change[1:4]] = change
            rows = []
            for version, t, part, key, value in newest.values():
                row = {"table": t, "part": part, "key": key, "ver": version}
                row.update({"removed": True} if value is None else {"value": value})
                rows.append(row)
            return 200, self.encode({"rows": rows}), "application/json"

    def changes_after(self, after):
        low, high = 0, len(self.changes)
        while low < high:
            middle = (low + high) // 2
            if self.changes[middle][0] <= after:
                low = middle + 1
            else:
                high = middle
        return self.changes[low:]
