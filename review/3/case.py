"""An operator removes a batch route while a job of it has unfinished items. The
items must be listed, as complete or as given up."""
import base64
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from fleet import TROUBLE, CannotRun, free_address, run_case
from http_peer import call
from model_runner import Runner, expected_text

HOST, KEY = "sheets.example", "key-of-shop"
KEEP_S = 60  # keep_s of telar-relay
FINISH_S = 18  # finishS
ITEMS = 24  # the largest job of telar-relay
EVENTS, STEP_S = 20, 0.1  # an item takes 2 s
SLOTS = 4


def route(name, prefix):
    return {"name": name, "host": HOST, "prefix": prefix, "routeType": "bulk", "timeoutMs": 15000,
            "latencyGoalMs": 400, "priority": 2, "service": "tallador", "maxAttempts": 3,
            "anonymous": False, "sticky": True, "runAimMs": 18000, "keepS": KEEP_S,
            "maxPending": 980000}


def config(version, routes):
    return {"version": version, "routes": routes,
            "services": [{"name": "tallador", "healthPath": "/healthz", "maxConns": 170}],
            "tenants": [{"name": "shop", "apiKeys": [KEY], "ratePerS": 0, "burst": 0}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def headers(job=None):
    return [("Host", HOST), ("X-Api-Key", KEY)] + (
        [("X-Carawayrelay-Request-Id", job), ("Content-Type", "application/json")] if job else [])


def read_job(fleet, record, job):
    results, total = [], None
    for attempt in range(30):
        name = sorted(fleet.clients)[attempt % len(fleet.clients)]
        answer = call(fleet.clients[name], "GET", "/lots/%s?after=%d" % (job, len(results)),
                      headers(), timeout=3)
        if answer.status != 200:
            record("read of %s at %s: %d" % (job, name, answer.status))
            time.sleep(0.2)
            continue
        page = json.loads(answer.body)
        total = page["total"]
        results += page["results"]
        if not page["results"]:
            return total, results
    return None


def case(fleet, record):
    sheets, reports = route("r-sheets", "/sheets/"), route("r-reports", "/reports/")
    fleet.store.put("op", "config", config(7, [sheets, reports]))
    last_run = [0.0]

    def plan(runner, request):
        last_run[0] = record.now()
        return {"events": EVENTS, "step_s": STEP_S}

    runners = []
    for i, zone in enumerate(("pe-sur-a", "pe-sur-b")):
        runners.append(Runner("tallador-%d" % i, free_address(), zone, "tallador", SLOTS,
                              fleet.store, record, plan))
        fleet.add_frontend("edge-%d" % i, zone)
        fleet.add_worker("side-%d" % i, zone, runners[i].address)
    fleet.wait_ready()

    start = record.now()
    jobs = {"job-sheets": "/sheets/", "job-reports": "/reports/"}
    for job, prefix in jobs.items():
        body = json.dumps({"items": [
            {"id": "%s-%02d" % (job, i), "path": prefix + "item",
             "headers": {"X-Carawayrelay-Model": "m", "X-Carawayrelay-Token-Count": "350,150"},
             "body": base64.b64encode(b"order %d" % i).decode(), "tokens": 500}
            for i in range(ITEMS)]}).encode()
        status = call(fleet.clients["edge-0"], "POST", prefix + job, headers(job), body,
                      timeout=4).status
        record("%s with %d items: %d" % (job, ITEMS, status))
        if status != 202:
            raise CannotRun("the job was not accepted")
    record.sleep_until(start + 4)
    for job in jobs:
        total, results = read_job(fleet, record, job)
        record("%s: %d of %d items listed" % (job, len(results), total))
    if TROUBLE:
        fleet.store.put("op", "config", config(11, [reports]))
        record("version 11 acknowledged: the route r-sheets is removed")

    # Well past finishS, and past the time until which items may be given up.
    record.sleep_until(start + KEEP_S + FINISH_S + 2)
    busy = [sum(runner.running.values()) for runner in runners]
    record("requests at the runners: %s; the last item reached a runner %.1f s ago"
           % (busy, record.now() - last_run[0]))
    missing = []
    for job in jobs:
        read = read_job(fleet, record, job)
        if read is None:
            missing.append("%s can't be read" % job)
            continue
        total, results = read
        states = [result["state"] for result in results]
        record("%s: total %d, complete %d, dead_letter %d, listed neither way %d"
               % (job, total, states.count("complete"), states.count("dead_letter"),
                  total - len(results)))
        if any(r["state"] == "complete" and r["text"] != expected_text(r["id"], EVENTS)
               for r in results):
            missing.append("%s has a wrong text" % job)
        if len(results) < total:
            missing.append("%s lacks %d of %d items" % (job, total - len(results), total))
    if missing and (any(busy) or record.now() - last_run[0] < 5):
        record("excused: items are still at the runners")
        return None
    return "LOST: " + "; ".join(missing) if missing else None


run_case(HERE, case)
