"""A burst of batch jobs leaves a job with about a hundred unfinished items at
keepS. Its items must be listed, and later jobs must be done."""
import base64
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from fleet import TROUBLE, free_address, run_case
from http_peer import call
from model_runner import Runner, expected_text

HOST, KEY, PREFIX = "sheets.example", "key-of-shop", "/sheets/"
KEEP_S = 60  # keep_s of telar-relay
FINISH_S = 18  # finishS
SETTLE_S = 1.0  # settleMs
MAX_PENDING = 980000  # most of telar-relay
ITEMS = 200  # "`items` lists the items, at most 200"
TOKENS = 500
EVENTS, STEP_S = 20, 0.1  # an item takes 2 s
SLOTS = 8
BURST = 6  # x of the site's burst of cut-sheet; for_s = 3
BURST_S = 3.0

CONFIG = {
    "version": 7,
    "routes": [{"name": "r-sheets", "host": HOST, "prefix": PREFIX, "routeType": "bulk",
                "timeoutMs": 15000, "latencyGoalMs": 400, "priority": 2, "service": "tallador",
                "maxAttempts": 3, "anonymous": False, "sticky": True, "runAimMs": 18000,
                "keepS": KEEP_S, "maxPending": MAX_PENDING}],
    "services": [{"name": "tallador", "healthPath": "/healthz", "maxConns": 170}],
    "tenants": [{"name": "shop", "apiKeys": [KEY], "ratePerS": 0, "burst": 0}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
}


def job_body(job, items):
    return json.dumps({"items": [
        {"id": "%s-%03d" % (job, i), "path": PREFIX + "item",
         "headers": {"X-Carawayrelay-Model": "m", "X-Carawayrelay-Token-Count": "350,150"},
         "body": base64.b64encode(b"order %d" % i).decode(), "tokens": TOKENS}
        for i in range(items)]}).encode()


def submit(fleet, record, job, items):
    """Hands a job in, again at the next frontend as long as it gets no 202."""
    for attempt in range(4):
        name = sorted(fleet.clients)[attempt % len(fleet.clients)]
        answer = call(fleet.clients[name], "POST", PREFIX + job,
                      [("Host", HOST), ("X-Api-Key", KEY), ("X-Carawayrelay-Request-Id", job),
                       ("Content-Type", "application/json")], job_body(job, items), timeout=4)
        record("job %s with %d items sent to %s: %d" % (job, items, name, answer.status))
        if answer.status == 202:
            return True
        time.sleep(0.3)
    return False


def read_job(fleet, job):
    """All results of a job, by the reads of a client; None while it can't be read."""
    results, total = [], None
    for attempt in range(60):
        name = sorted(fleet.clients)[attempt % len(fleet.clients)]
        answer = call(fleet.clients[name], "GET", "/lots/%s?after=%d" % (job, len(results)),
                      [("Host", HOST), ("X-Api-Key", KEY)], timeout=3)
        if answer.status != 200:
            time.sleep(0.2)
            continue
        page = json.loads(answer.body)
        total = page["total"]
        results += page["results"]
        if not page["results"]:
            return total, results
    return None


def case(fleet, record):
    fleet.store.put("op", "config", CONFIG)
    last_finished = [0.0]
    runners = []

    def plan(runner, request):
        last_finished[0] = record.now()  # an item is at a runner
        return {"events": EVENTS, "step_s": STEP_S}

    for i, zone in enumerate(("pe-sur-a", "pe-sur-b")):
        runners.append(Runner("tallador-%d" % i, free_address(), zone, "tallador", SLOTS,
                              fleet.store, record, plan))
        fleet.add_frontend("edge-%d" % i, zone)
        fleet.add_worker("side-%d" % i, zone, runners[i].address)
    fleet.wait_ready()

    # Jobs come once in BURST_S; in the burst, BURST times as often.
    accepted = {}
    start = record.now()
    jobs = BURST if TROUBLE else 1
    for number in range(jobs):
        record.sleep_until(start + number * BURST_S / jobs)
        job = "job%d" % number
        if submit(fleet, record, job, ITEMS):
            accepted[job] = record.now()
    for at in (20, 40, 58):
        record.sleep_until(start + at)
        for job in accepted:
            total, results = read_job(fleet, job) or (0, [])
            record("%s: %d of %d items listed" % (job, len(results), total))
    # A small job after the burst, when the retention of the first ones is over.
    record.sleep_until(start + BURST_S + KEEP_S + 5)
    if submit(fleet, record, "late", 3):
        accepted["late"] = record.now()
    traffic_end = record.now()
    record("traffic ends")
    record.sleep_until(traffic_end + FINISH_S + SETTLE_S)

    busy = [sum(runner.running.values()) for runner in runners]
    idle_s = record.now() - last_finished[0]
    record("requests at the runners: %s of %d slots each; the last one came %.1f s ago"
           % (busy, SLOTS, idle_s))
    missing = []
    for job in accepted:
        read = read_job(fleet, job)
        if read is None:
            missing.append("%s can't be read" % job)
            continue
        total, results = read
        states = [result["state"] for result in results]
        record("%s: total %d, complete %d, dead_letter %d, listed neither way %d"
               % (job, total, states.count("complete"), states.count("dead_letter"),
                  total - len(results)))
        wrong = [r["id"] for r in results
                 if r["state"] == "complete" and r["text"] != expected_text(r["id"], EVENTS)]
        if wrong:
            missing.append("%s has wrong texts" % job)
        if len(results) < total:
            missing.append("%s lacks %d of %d items" % (job, total - len(results), total))
    record("transactions that the store refused for their size: %d" % fleet.store.refused)
    # The excuses of the rule: in the last 5 s a runner had an unlisted item, the
    # runners were half full, or an item was finished in the last 3 s.
    if missing and (max(busy) * 2 >= SLOTS or idle_s < 5):
        record("excused: items are still at the runners")
        return None
    return "LOST: " + "; ".join(missing) if missing else None


run_case(HERE, case)
