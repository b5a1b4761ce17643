"""A tenant's 200 items come at once, as one batch job inside the limits. Are they ever listed?"""
import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from fleet import Fleet, main  # noqa: E402

ITEMS, BODY_BYTES = 200, 15000  # the page's limit of items; req_bytes of fouling-batch in the site file
FINISH_S = 18
FREE_S, IDLE_S = 5, 3  # the spans of the rule


async def run(trouble):
    fleet = Fleet(Path(__file__).parent / "record.txt", frontends=3, runners=14)
    await fleet.start()
    try:
        # With the disruption all items come at once; without it as jobs of 10, 0.8 a second.
        sizes = [ITEMS] if trouble else [10] * (ITEMS // 10)
        jobs = {}
        for n, size in enumerate(sizes):
            job = f"{0x7c41e09b52d6a3f8 + n * 0x10000:016x}"
            items = fleet.items(job, size, BODY_BYTES)
            for turn in range(3):
                if await fleet.submit(fleet.frontends[(n + turn) % 3].port, job, items) == 202:
                    jobs[job] = [item["id"] for item in items]
                    break
            await asyncio.sleep(0 if trouble else 1.25)
        if len(jobs) != len(sizes):
            raise RuntimeError("a job was not accepted")
        traffic_end = time.monotonic()
        await asyncio.sleep(FINISH_S)
        return await check(fleet, jobs, traffic_end)
    finally:
        fleet.record.write(f"store: reads of objects {fleet.store.blob_reads}, calls over the rate {fleet.store.refused}")
        await fleet.stop()


async def check(fleet, jobs, traffic_end):
    at = time.monotonic()
    held, open_items = True, 0
    finished = [r for runner in fleet.runners for r in runner.runs if r.get("whole") and at - r["ended"] < IDLE_S]
    half = sum(r.running for r in fleet.runners) * 2 >= sum(r.slots for r in fleet.runners)
    for job, ids in jobs.items():
        read = await fleet.all_results(job)
        if read is None:
            raise RuntimeError("the job can't be read")
        total, results = read
        listed = {r["id"] for r in results}
        unlisted = [i for i in ids if i not in listed]
        open_items += len(unlisted)
        had = [r for runner in fleet.runners for r in runner.runs
               if r["id"] in unlisted and (r["ended"] is None or (at - r["ended"] < FREE_S and r["ended"] - r["begun"] > 1))]
        ran = {r["id"] for runner in fleet.runners for r in runner.runs}
        fleet.record.write(f"check, {at - traffic_end:.1f} s after the traffic: job {job}: {len(listed)} of {total} items listed, "
                           f"{len(set(unlisted) - ran)} never reached a runner; unlisted items at a runner in the last 5 s: "
                           f"{len(had)}; runners half full: {half}; items finished in the last 3 s: {len(finished)}")
        if unlisted and not had and not half and not finished:
            held = False
    fleet.record.write("LOST: broken" if not held else f"LOST: held, {open_items} items open")
    return held


main(run)
