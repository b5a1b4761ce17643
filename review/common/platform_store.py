"""A stand-in for the platform's metadata store (PROTOCOL.md, "The platform's
metadata store"): rows, transactions, changes and raw objects, in memory.

It loses nothing, answers at once, and keeps the limits of a transaction: 100
entries and 1 MB. A call over a limit changes nothing and gets 400.
"""
import base64
import json
import threading
import time

from http_peer import Server

MAX_ENTRIES = 100
MAX_CALL_BYTES = 1 << 20
MAX_ROW_BYTES = 65536
MAX_ROWS = 500
MAX_OBJECT_BYTES = 8 << 20
MAX_STORED_BYTES = 400 << 20


class PlatformStore:
    def __init__(self, address, record):
        self.record = record
        self.lock = threading.Condition()
        self.rows = {}  # (table, part, key): (version, value or None)
        self.objects = {}
        self.object_bytes = 0
        self.version = 1
        self.refused = 0
        self.server = Server(address, self.handle)

    # Direct access for the operator and the runners, which write to the store.
    def put(self, table, key, value, part=""):
        with self.lock:
            self.version += 1
            self.rows[(table, part, key)] = (self.version, json.dumps(value).encode())
            self.lock.notify_all()

    def remove(self, table, key, part=""):
        with self.lock:
            self.version += 1
            self.rows[(table, part, key)] = (self.version, None)
            self.lock.notify_all()

    def list(self, table):
        with self.lock:
            return {key: value for (t, _, key), (_, value) in self.rows.items()
                    if t == table and value is not None}

    def stamp(self):
        return {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}

    def handle(self, request, connection):
        path = request.path
        if path == "/rows-tx":
            status, body = self.transact(request.body)
        elif path == "/rows-get":
            status, body = self.read(request.query)
        elif path == "/rows-feed":
            status, body = self.feed(request.query)
        elif path.startswith("/blob-put/"):
            status, body = self.put_object(path[10:], request)
        elif path.startswith("/blob-get/"):
            with self.lock:
                data = self.objects.get(path[10:])
            connection.reply(200 if data is not None else 404, (), data or b"")
            return
        elif path.startswith("/blob-drop/"):
            with self.lock:
                data = self.objects.pop(path[11:], b"")
                self.object_bytes -= len(data)
            status, body = 200, {}
        else:
            status, body = 404, {}
        connection.reply(status, [("Content-Type", "application/json")],
                         json.dumps(body).encode())

    def row_json(self, key, version, value):
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def transact(self, body):
        call = json.loads(body)
        expected = call.get("expectRev", [])
        writes = call.get("writes", [])
        removals = call.get("remove", [])
        entries = len(expected) + len(writes) + len(removals)
        if entries > MAX_ENTRIES or len(body) > MAX_CALL_BYTES:
            self.refused += 1
            if self.refused <= 20 or self.refused % 500 == 0:
                self.record("store: transaction with %d entries, %d bytes refused with 400 "
                            "(refusal %d)" % (entries, len(body), self.refused))
            return 400, {"error": "a call holds at most 100 entries and 1 MB"}
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        if any(row["table"] in ("op", "servers") for row in writes + removals):
            return 403, {}
        values = [(name(row), base64.b64decode(row["value"])) for row in writes]
        if any(len(value) > MAX_ROW_BYTES for _, value in values):
            return 400, {"error": "row over the limit"}
        with self.lock:
            current = []
            is_met = True
            for row in expected:
                version, value = self.rows.get(name(row), (0, None))
                version = version if value is not None else 0
                is_met = is_met and version == row["ver"]
                if value is not None:
                    current.append(self.row_json(name(row), version, value))
            if not is_met:
                return 412, {"rows": current, **self.stamp()}
            self.version += 1
            for key, value in values:
                self.rows[key] = (self.version, value)
            for row in removals:
                self.rows[name(row)] = (self.version, None)
            self.lock.notify_all()
            return 200, self.stamp()

    def read(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        first, last = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        with self.lock:
            keys = sorted(k for k, (_, value) in self.rows.items()
                          if k[0] == table and k[1] == part and value is not None
                          and k[2] >= first and (last is None or k[2] < last))
            rows, size = [], 0
            for key in keys[:limit]:
                version, value = self.rows[key]
                if rows and size + len(value) > MAX_CALL_BYTES:
                    break
                size += len(value)
                rows.append(self.row_json(key, version, value))
            return 200, {"rows": rows, "hasMore": len(rows) < len(keys), **self.stamp()}

    def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", 0))
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.lock:
            while True:
                rows = sorted((version, key, value)
                              for key, (version, value) in self.rows.items()
                              if key[0] == table and version > after)
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": [self.row_json(key, version, value)
                                          for version, key, value in rows], **self.stamp()}
                self.lock.wait(left)

    def put_object(self, name, request):
        with self.lock:
            if request.headers.get("if-none-match") == "*" and name in self.objects:
                return 412, {}
            if self.object_bytes + len(request.body) > MAX_STORED_BYTES:
                return 507, {}
            if len(request.body) > MAX_OBJECT_BYTES:
                return 413, {}
            self.objects[name] = request.body
            self.object_bytes += len(request.body)
            return 200, {}
