"""A frontend gets SIGTERM while clients with open channels go on to send
requests. No request that it passed on may be cut."""
import os
import signal
import sys
import threading

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from fleet import TROUBLE, CannotRun, free_address, run_case
from http_peer import Channel, call
from model_runner import Runner

HOST, KEY, PREFIX = "orders.example", "key-of-shop", "/orders/"
TIME_LIMIT_MS = 5000  # the time limit of the site's online requests
GRACE_S = 8.0  # graceS
LONG_S = 3.5  # how long a runner works on a request, inside the time limit
SLOTS = 16
# When clients send their next request, in seconds from the SIGTERM. Each has an
# open channel of its own, idle for less than four fifths of idleTimeoutMs.
SEND_AT_S = (0.5, 1.5, 2.5, 3.2, 3.7, 4.2, 4.7, 5.2)
# The rule excuses requests that were sent no later than this after the SIGTERM
# and at which the runner was still at work in the last sixth of graceS.
EXCUSED_UNTIL_S = 3.0

CONFIG = {
    "version": 7,
    "routes": [{"name": "r-orders", "host": HOST, "prefix": PREFIX,
                "routeType": "non_idempotent", "timeoutMs": TIME_LIMIT_MS, "latencyGoalMs": 4000,
                "priority": 0, "service": "tallador", "maxAttempts": 1, "anonymous": False}],
    "services": [{"name": "tallador", "healthPath": "/healthz", "maxConns": 170}],
    "tenants": [{"name": "shop", "apiKeys": [KEY], "ratePerS": 0, "burst": 0}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
}


def case(fleet, record):
    fleet.store.put("op", "config", CONFIG)
    ran = {}

    def plan(runner, request):
        request_id = request.headers["x-carawayrelay-request-id"]
        ran[request_id] = runner.name
        record("runner %s begins with %s" % (runner.name, request_id))
        return {"work_s": LONG_S if request_id.startswith("long") else 0.05}

    runners = [Runner("tallador-%d" % i, free_address(), zone, "tallador", SLOTS, fleet.store,
                      record, plan) for i, zone in enumerate(("pe-sur-a", "pe-sur-b"))]
    for i, zone in enumerate(("pe-sur-a", "pe-sur-b")):
        fleet.add_frontend("edge-%d" % i, zone)
    fleet.wait_ready()

    def send(channel, request_id):
        return channel.request("POST", PREFIX + "1", [
            ("Host", HOST), ("X-Api-Key", KEY), ("X-Carawayrelay-Request-Id", request_id),
            ("X-Carawayrelay-Deadline-Ms", str(TIME_LIMIT_MS))], b"{}",
            timeout=TIME_LIMIT_MS / 1000 + 1)

    # Each client uses its channel once, so that it is an open one.
    channels = []
    for i in range(len(SEND_AT_S)):
        channel = Channel(fleet.clients["edge-0"])
        answer = send(channel, "first-%d" % i)
        if answer.status != 200:
            raise CannotRun("the first request of client %d got %d" % (i, answer.status))
        channels.append(channel)
    record("%d clients have an open channel to edge-0" % len(channels))

    start = record.now() + 0.5
    outcomes = {}

    def client(i):
        request_id = "long-%d" % i
        record.sleep_until(start + SEND_AT_S[i])
        sent = record.now()
        answer = send(channels[i], request_id)
        outcomes[i] = (sent, record.now(), answer)
        record("%s, sent %.2f s after the SIGTERM: status %d, complete %s, after %.2f s"
               % (request_id, sent - start, answer.status, answer.is_complete,
                  record.now() - sent))

    threads = [threading.Thread(target=client, args=(i,)) for i in range(len(channels))]
    for thread in threads:
        thread.start()
    record.sleep_until(start)
    if TROUBLE:
        fleet.signal("edge-0", signal.SIGTERM)
    for thread in threads:
        thread.join()
    if TROUBLE:
        fleet.processes["edge-0"].wait(10)
        record("edge-0 ended %.2f s after the SIGTERM" % (record.now() - start))

    cut = []
    for i, (sent, ended, answer) in sorted(outcomes.items()):
        is_passed_on = "long-%d" % i in ran
        is_late = ended - sent >= TIME_LIMIT_MS / 1000  # the time limit was reached
        if answer.is_complete or not is_passed_on or is_late:
            continue
        if sent - start <= EXCUSED_UNTIL_S:
            record("long-%d is excused: sent within 3 s of the SIGTERM" % i)
        elif ended - start <= GRACE_S + 1:
            cut.append("long-%d (sent at %.1f s, cut at %.1f s)" % (i, sent - start, ended - start))
    return "LOST: passed on to a runner and cut: " + ", ".join(cut) if cut else None


run_case(HERE, case)
