"""Starts a small deployment on loopback addresses: the stand-in of the store,
runners, and the project's frontends and workers with the commands and settings
templates of deploy/system.toml. Each machine has a loopback address of its own.
"""

import base64
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from store import Store

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
SERVICE = "tallador"
BULK_HOST = "bulk.example"
STREAM_HOST = "stream.example"

def render(template, values):
    """Fills in a settings template as DEPLOY.md tells (values and sections)."""

    def find(name, scope):
        if name == ".":
            return scope[-1]
        for frame in reversed(scope):
            value = frame
            for step in name.split("."):
                if isinstance(value, list) and step.isdigit() and int(step) < len(value):
                    value = value[int(step)]
                elif isinstance(value, dict) and step in value:
                    value = value[step]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(str(v) for v in value)
        return json.dumps(value) if isinstance(value, (dict, bool)) else str(value)

    def fill(part, scope):
        section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def expand(match):
            value = find(match[2], scope)
            if match[1] == "^":
                return fill(match[3], scope) if not value else ""
            if not value:
                return ""
            items = value if isinstance(value, list) else [value]
            return "".join(fill(match[3], scope + [v]) for v in items)

        part = section.sub(expand, part)
        return re.sub(r"\{\{([^#^/}|]+)\}\}", lambda m: text(find(m[1], scope)), part)

    return fill(template, [values])

class Fleet:
    def __init__(self, folder, frontends=1, runners=3, memory_mb=280, keep_s=60,
                 max_pending=980000, body_bytes=4194304, step_ms=30, slots=8, tenants=2,
                 run_aim_ms=18000, max_attempts=3, heartbeat_ms=1200, limits=None,
                 runner_flags=()):
        self.folder = folder
        self.work = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.logs = []
        self.record_file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.started_at = time.time()
        self.net = f"127.{random.randint(32, 250)}.{random.randint(1, 250)}"
        self.next_host = 1
        self.client_port, self.ready_port, self.app_port, self.inner_port = self.free_ports(4)
        self.store_address = f"{self.address()}:{self.client_port}"
        self.heartbeat_ms = heartbeat_ms
        self.store = Store(self.store_address, heartbeat_ms)
        self.memory_mb = memory_mb
        self.step_ms, self.slots, self.runner_flags = step_ms, slots, list(runner_flags)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            self.roles = tomllib.load(f)["roles"]
        self.tenants = [f"tenant{i}" for i in range(tenants)]
        self.version = 1
        self.config = {
            "version": self.version,
            "routes": [
                {"name": "jobs", "host": BULK_HOST, "prefix": "/jobs/", "service": SERVICE,
                 "routeType": "bulk", "timeoutMs": 15000, "latencyGoalMs": 400,
                 "runAimMs": run_aim_ms, "maxAttempts": max_attempts, "keepS": keep_s,
                 "maxPending": max_pending, "priority": 2, "sticky": True},
                {"name": "notes", "host": STREAM_HOST, "prefix": "/notes/", "service": SERVICE,
                 "routeType": "streaming", "canResume": True, "timeoutMs": 5000,
                 "latencyGoalMs": 300, "gapAimMs": 200, "maxAttempts": 2, "priority": 0,
                 "sticky": True},
                {"name": "orders", "host": STREAM_HOST, "prefix": "/orders/", "service": SERVICE,
                 "routeType": "streaming", "canResume": False, "timeoutMs": 5000,
                 "latencyGoalMs": 300, "gapAimMs": 200, "maxAttempts": 1, "priority": 0,
                 "sticky": True},
            ],
            "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 170,
                          "coldStartS": 3, "coldPerS": 28}],
            "tenants": [{"name": t, "apiKeys": [f"key-{t}"], "ratePerS": 0, "burst": 0}
                        for t in self.tenants],
            "limits": limits or {"maxHeaderBytes": 32768, "maxBodyBytes": body_bytes,
                                 "headerTimeoutMs": 10000, "idleTimeoutMs": 15000},
        }
        self.store.put("op", "config", self.config)
        self.frontends, self.workers, self.runners = [], [], []
        for i in range(runners):
            self.add_runner(i)
        for i in range(runners):
            self.add_worker(i)
        for i in range(frontends):
            self.add_frontend(i)

    def address(self):
        host = f"{self.net}.{self.next_host}"
        self.next_host += 1
        return host

    @staticmethod
    def free_ports(count):
        sockets = [socket.socket() for _ in range(count)]
        for s in sockets:
            s.bind(("127.0.0.1", 0))
        ports = [s.getsockname()[1] for s in sockets]
        for s in sockets:
            s.close()
        return ports

    def record(self, what, **fields):
        line = json.dumps({"t": round(time.time() - self.started_at, 3), "what": what, **fields})
        self.record_file.write(line + "\n")
        return line

    def spawn(self, name, command, env=None):
        out = open(os.path.join(self.work, name + ".out"), "a")
        process = subprocess.Popen(
            command, cwd=ROOT, stdout=out, stderr=subprocess.STDOUT,
            env={"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"), **(env or {})})
        self.processes[name] = process
        self.record("process_started", name=name)
        return process

    def settings(self, role, node, ip, zone, extra):
        values = {
            "nodeName": node, "zone": zone, "ip": ip, "internalPorts": [self.inner_port, self.inner_port + 15],
            "limits": {"memoryMb": self.memory_mb if role == "frontend" else 192, "cpuShare": 0.5},
            "provider": {"address": self.store_address},
            "contractParams": {"revokeMs": 5000, "graceS": 8, "drainMs": 2000}, **extra}
        with open(os.path.join(ROOT, self.roles[role]["template"])) as f:
            text = render(f.read(), values)
        path = os.path.join(self.work, node + ".json")
        with open(path, "w") as f:
            f.write(text)
        return path

    def start_role(self, machine):
        command = self.roles[machine["role"]]["run"].split()
        command[0] = os.path.join(ROOT, command[0])
        self.spawn(machine["name"], command, {"CARAWAYRELAY_NODE_FILE": machine["settings"]})

    def add_frontend(self, number):
        ip, name = self.address(), f"edge-{number}"
        bind = {"frontend": f"{ip}:{self.client_port}", "ready": f"{ip}:{self.ready_port}"}
        machine = {"role": "frontend", "name": name, "ip": ip,
                   "settings": self.settings("frontend", name, ip, "zone-a", {"bind": bind})}
        self.frontends.append(machine)
        self.start_role(machine)

    def add_worker(self, number):
        ip, name = self.runners[number]["ip"], f"side-{number}"
        machine = {"role": "worker", "name": name, "ip": ip,
                   "settings": self.settings("worker", name, ip, "zone-a",
                                             {"app": self.runners[number]["address"]})}
        self.workers.append(machine)
        self.start_role(machine)

    def add_runner(self, number):
        ip = self.address()
        runner = {"number": number, "ip": ip, "address": f"{ip}:{self.app_port}", "starts": 0,
                  "log": os.path.join(self.work, f"runner-{number}.log")}
        self.runners.append(runner)
        self.start_runner(number)

    def start_runner(self, number):
        runner = self.runners[number]
        runner["starts"] += 1
        runner["id"] = f"i-{number}-{runner['starts']}"
        runner["process"] = self.spawn(f"runner-{number}-{runner['starts']}", [
            sys.executable, os.path.join(HERE, "runner.py"), "--id", runner["id"],
            "--address", runner["address"], "--store", self.store_address, "--service", SERVICE,
            "--zone", "zone-a", "--log", runner["log"], "--slots", str(self.slots),
            "--step-ms", str(self.step_ms), "--heartbeat-ms", str(self.heartbeat_ms), *self.runner_flags])

    def crash_runner(self, number):
        runner = self.runners[number]
        runner["process"].send_signal(signal.SIGKILL)
        runner["process"].wait()
        self.record("runner_crashed", runner=runner["id"])

    def runner_events(self):
        events = []
        for runner in self.runners:
            if os.path.exists(runner["log"]):
                with open(runner["log"]) as f:
                    events += [json.loads(line) for line in f if line.endswith("\n")]
        return sorted(events, key=lambda e: e["t"])

    def runner_running(self, request_id):
        """Returns the number of the runner that works on the request, or None."""
        for runner in self.runners:
            if runner["process"].poll() is not None or not os.path.exists(runner["log"]):
                continue
            open_run = False
            with open(runner["log"]) as f:
                for line in f:
                    event = json.loads(line) if line.endswith("\n") else {}
                    if event.get("runner") == runner["id"] and event.get("id") == request_id:
                        open_run = event["event"] == "run_started"
            if open_run:
                return runner["number"]
        return None

    def call(self, method, path, body=None, headers=None, frontend=0, timeout=8, host=BULK_HOST):
        """One call of a client, on a new channel. Returns (status, body); the
        status is 0 if there is no answer."""
        connection = http.client.HTTPConnection(self.frontends[frontend]["ip"], self.client_port, timeout=timeout)
        try:
            connection.request(method, path, body=body, headers={"Host": host, **(headers or {})})
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException) as e:
            return 0, repr(e).encode()
        finally:
            connection.close()

    def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        for machine in self.frontends:
            while True:
                connection = http.client.HTTPConnection(machine["ip"], self.ready_port, timeout=1)
                try:
                    connection.request("GET", "/readyz")
                    if connection.getresponse().status == 200:
                        break
                except (OSError, http.client.HTTPException):
                    pass
                finally:
                    connection.close()
                if time.monotonic() > end:
                    raise RuntimeError(machine["name"] + " is not ready")
                time.sleep(0.1)
        # The platform lists the runners, and workers read the list.
        time.sleep(2)

    def item(self, item_id, parts="a1b2c3:100", events=20, body=b"text", path=None):
        return {"id": item_id, "path": path or f"/jobs/{item_id}", "headers": {
            "X-Carawayrelay-Model": "m", "X-Carawayrelay-Token-Count": f"350,{events * 8}",
            "X-Carawayrelay-Prompt-Prefix": f"{parts},{item_id}:250"},
            "body": base64.b64encode(body).decode(), "tokens": 350 + events * 8}

    def submit(self, job, items, tenant="tenant0", raw=None, **kwargs):
        body = raw if raw is not None else json.dumps({"items": items}).encode()
        status, answer = self.call("POST", "/jobs/" + job, body, {
            "X-Api-Key": "key-" + tenant, "X-Carawayrelay-Request-Id": job,
            "Content-Type": "application/json"}, **kwargs)
        self.record("job_sent", job=job, tenant=tenant, items=len(items or []), bytes=len(body),
                    status=status, answer=answer[:200].decode("latin-1"))
        return status

    def results(self, job, after=0, tenant="tenant0", **kwargs):
        status, answer = self.call("GET", f"/lots/{job}?after={after}", None,
                                   {"X-Api-Key": "key-" + tenant}, **kwargs)
        parsed = json.loads(answer) if status == 200 else None
        return status, parsed

    def close(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for name, process in self.processes.items():
            process.wait()
        for event in self.runner_events():
            event.pop("headers", None)
            event["t"] = round(event["t"] - self.started_at, 3)
            self.record_file.write(json.dumps(event) + "\n")
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.work, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)


HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 112

def run_case(case_file, play, **options):
    """Runs a case: play(fleet) returns HELD or BROKEN. The exit code is 2 if the
    case could not be run."""

    def on_alarm(*_):
        raise TimeoutError("the case took too long")

    signal.signal(signal.SIGALRM, on_alarm)
    signal.signal(signal.SIGTERM, on_alarm)
    signal.alarm(TIME_LIMIT_S)
    fleet, code = None, NOT_RUN
    try:
        fleet = Fleet(os.path.dirname(os.path.abspath(case_file)), **options)
        fleet.record("case_started", trouble=os.environ.get("TROUBLE", "1"))
        fleet.wait_ready()
        code = play(fleet)
    except Exception as e:  # the case could not be run
        print("the case could not be run:", repr(e))
    finally:
        signal.alarm(0)
        if fleet:
            print(fleet.record("verdict", code=code))
            fleet.close()
    sys.exit(code)
