"""Starts the programs of the deploy file as processes on loopback, records what
happens, and ends all processes that it started."""
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from http_peer import call
from platform_store import PlatformStore

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/carawayrelay"
HOLD, BROKEN, CANNOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.is_closed = False
        self.started = time.monotonic()
        self("trouble: %s" % ("yes" if TROUBLE else "no"))

    def __call__(self, text, is_last=False):
        with self.lock:
            if not self.is_closed:
                self.file.write("%8.3f %s\n" % (time.monotonic() - self.started, text))
                self.file.flush()
            self.is_closed = self.is_closed or is_last

    def now(self):
        return time.monotonic() - self.started

    def sleep_until(self, at):
        time.sleep(max(0, at - self.now()))


used_ports = set()


def free_port(kind=socket.SOCK_STREAM):
    while True:
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        if port not in used_ports:
            used_ports.add(port)
            return port


def free_address(kind=socket.SOCK_STREAM):
    return "127.0.0.1:%d" % free_port(kind)


class Fleet:
    """Frontends and workers, with settings as the deploy files give them."""

    def __init__(self, record):
        self.record = record
        self.directory = tempfile.TemporaryDirectory()
        self.processes = {}
        self.clients = {}  # frontend: address of its clients
        self.ready = {}
        self.settings = {}
        self.store_address = free_address()
        self.store = PlatformStore(self.store_address, record)

    def add_frontend(self, name, zone):
        self.clients[name] = free_address()
        self.ready[name] = free_address()
        self.settings[name] = ("frontend", {
            "node": name, "zone": zone, "listen_clients": self.clients[name],
            "listen_ready": self.ready[name], "listen_metrics": free_address(),
            "listen_peers": free_address(socket.SOCK_DGRAM), "cpu_cores": 0.5,
            "store_address": self.store_address, "key_revocation_ms": 5000,
            "stop_grace_ms": 8000})
        self.start(name)

    def add_worker(self, name, zone, runner_address):
        self.settings[name] = ("worker", {
            "node": name, "zone": zone, "runner_address": runner_address,
            "listen_metrics": free_address(), "store_address": self.store_address,
            "stop_grace_ms": 8000})
        self.start(name)

    def start(self, name):
        role, settings = self.settings[name]
        path = os.path.join(self.directory.name, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.directory.name, name + ".log"), "a")
        environment = {"PATH": os.environ["PATH"], "CARAWAYRELAY_NODE_FILE": path}
        self.processes[name] = subprocess.Popen(
            [os.path.join(ROOT, PROGRAM), role], cwd=ROOT, env=environment, stdout=log,
            stderr=subprocess.STDOUT)
        self.record("%s started" % name)

    def signal(self, name, number):
        self.record("%s gets %s" % (name, signal.Signals(number).name))
        self.processes[name].send_signal(number)

    def is_ready(self, name):
        return call(self.ready[name], "GET", "/readyz", [("Host", "ready")], timeout=1).status == 200

    def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(self.is_ready(name) for name in self.ready):
                self.record("all frontends are ready")
                return
            time.sleep(0.1)
        raise CannotRun("the frontends did not become ready")

    def log_lines(self, name, text):
        with open(os.path.join(self.directory.name, name + ".log"), errors="replace") as file:
            return [line.rstrip() for line in file if text in line]

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.directory.cleanup()


class CannotRun(Exception):
    pass


def run_case(directory, case):
    """Runs `case(fleet, record)`, which returns what broke the rule, or None."""
    record = Record(os.path.join(directory, "record.txt"))
    if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
        record("cannot run: the program is not built")
        sys.exit(CANNOT_RUN)
    fleet = Fleet(record)
    code = CANNOT_RUN
    # A case that is stopped ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    signal.signal(signal.SIGINT, lambda *_: sys.exit(CANNOT_RUN))
    try:
        broken = case(fleet, record)
        code = BROKEN if broken else HOLD
        record("result: " + (("BROKEN: " + broken) if broken else "the rule held"), is_last=True)
    except CannotRun as error:
        record("cannot run: %s" % error)
    except Exception as error:  # a fault of the test itself
        record("cannot run: %r" % error)
    finally:
        fleet.stop()
    sys.stdout.flush()
    os._exit(code)
