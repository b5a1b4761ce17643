"""Three runners crash one after the other, each while it runs the last item of
a job, and come back. Is the item listed when finishS is over?"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from fleet import BROKEN, HELD, run_case  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

JOB = "5a0c11d2e7f40911"
LONG = "5a0c11d2e7f40900"
RUNNERS = 6  # one of six: 0.17 of the runners at a time
DOWN_S = 4.5  # srv_crash: for_s
CRASHES = 3
FINISH_S = 18
FAILED_LONG_AGO_S = 20  # items that failed at a runner later don't count
CALM_S = 5


def play(fleet):
    items = [fleet.item(LONG, events=200)]
    items += [fleet.item(f"5a0c11d2e7f409{i:02x}", events=20) for i in range(1, 10)]
    if fleet.submit(JOB, items) != 202:
        raise RuntimeError("the job was not accepted")
    accepted_at = time.time()
    crashes, back_at, next_crash = 0, {}, accepted_at + 4.5
    last_crash = accepted_at
    while time.time() - accepted_at < 90:
        now = time.time()
        for number, at in list(back_at.items()):
            if now >= at:
                fleet.start_runner(number)
                del back_at[number]
        if TROUBLE and crashes < CRASHES and now >= next_crash and not back_at:
            number = fleet.runner_running(LONG)
            if number is not None:
                # The run has begun: let it write some events first.
                time.sleep(0.6)
                fleet.crash_runner(number)
                crashes += 1
                last_crash = time.time()
                back_at[number] = last_crash + DOWN_S
                next_crash = last_crash + DOWN_S
        status, answer = fleet.results(JOB)
        if status == 200 and answer["next"] == answer["total"]:
            fleet.record("all_listed", after_s=round(time.time() - accepted_at, 1))
            if TROUBLE and crashes < CRASHES:
                raise RuntimeError("the item ended before three crashes")
            return HELD
        quiet_s = time.time() - last_crash
        if crashes == CRASHES and quiet_s > max(DOWN_S + FINISH_S, FAILED_LONG_AGO_S) + 2.5:
            break
        if not TROUBLE and time.time() - accepted_at > 40:
            break
        time.sleep(0.25)
    status, answer = fleet.results(JOB)
    if status != 200:
        raise RuntimeError("the job cannot be read")
    now = time.time()
    recent = [e for e in fleet.runner_events() if e["t"] > now - CALM_S and e["event"] != "started"]
    fleet.record("end", crashes=crashes, seconds_since_last_crash=round(now - last_crash, 1),
                 seconds_since_accepted=round(now - accepted_at, 1), total=answer["total"],
                 listed=answer["next"], runs_in_the_last_5_s=len(recent))
    print(f"{crashes} crashes; {answer['next']} of {answer['total']} items are listed "
          f"{now - last_crash:.0f} s after the last one; runs in the last 5 s: {len(recent)}")
    return BROKEN if answer["next"] < answer["total"] and not recent else HELD


run_case(__file__, play, frontends=1, runners=RUNNERS, step_ms=60)
