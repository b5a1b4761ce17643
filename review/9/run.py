"""Runners crash just after they have begun to write an answer on a part of the prompt. Are requests with it held back?"""
import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from fleet import Fleet, Runner, main  # noqa: E402

PART, FIRST = "dead01", "5c1e07a2"  # the part that crashes runners, and the first part, which sound requests share
CONTACT_S = 3.0
CRASHES, MORE = 5, 3                # "after the fifth crash", "more than three"
DOWN_S = 3.0                        # "the runner is back after some seconds"
WATCH_S, SOUND_PER_S, DEADLY_PER_S = 40, 4, 1


class FragileRunner(Runner):
    """Crashes when it has written the head and the first event of an answer on the part."""

    part, arrivals, ends = None, [], []

    async def _run(self, request, request_id):
        parts = [p.split(":")[0].strip() for p in request.headers.get("x-carawayrelay-prompt-prefix", "").split(",")[:-1]]
        if self.part not in parts:
            return await super()._run(request, request_id)
        self.arrivals.append((time.monotonic(), request_id))
        self.record.write(f"{self.id}: {request_id} with the part {self.part} begins to run")
        event = f"id: 1\ndata: {request_id}-1\n\n".encode()
        request.writer.write((
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"X-Carawayrelay-Request-Id: {request_id}\r\nX-Carawayrelay-Server-Stamp: {self.id}.{len(self.arrivals)}\r\n\r\n"
        ).encode() + b"%x\r\n%s\r\n" % (len(event), event))
        await request.writer.drain()
        await asyncio.sleep(0.05)
        if self.is_up and getattr(self, "doomed", -1) != self.crashes:
            self.doomed = self.crashes
            self.ends.append(time.monotonic())
            self.crash_task = asyncio.create_task(self.crash(DOWN_S))
        await asyncio.sleep(1)
        return None


async def stream(fleet, n, parts, counts, name):
    """A stream that may not be repeated."""
    port = fleet.frontends[n % 3].port
    request_id = f"{0x9c41000000000000 + n:016x}"
    head = (f"POST /lohu930/2f HTTP/1.1\r\nHost: once.example\r\nX-Api-Key: {fleet.KEY['X-Api-Key']}\r\nContent-Length: 2\r\n"
            f"X-Carawayrelay-Request-Id: {request_id}\r\nX-Carawayrelay-Model: m\r\nX-Carawayrelay-Token-Count: 450,80\r\n"
            f"X-Carawayrelay-Prompt-Prefix: {parts},{n:08x}:250\r\nX-Carawayrelay-Deadline-Ms: 5000\r\n\r\n{{}}")
    status = "no answer"
    try:
        async with asyncio.timeout(6):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head.encode())
            line = (await reader.readuntil(b"\r\n")).decode()
            status = "cut in the answer" if " 200 " in line else line.split(" ")[1]
            if " 200 " in line:
                while True:  # the head, then the chunks
                    if (await reader.readuntil(b"\r\n")) == b"0\r\n":
                        status = "whole"
                        break
            writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    counts[status] = counts.get(status, 0) + 1
    if status != "whole":
        fleet.record.write(f"client: {name} stream {request_id}: {status}")


async def run(trouble):
    fleet = Fleet(Path(__file__).parent / "record.txt", frontends=3, runners=8, runner_class=FragileRunner,
                  runner_options={"events": 12, "step_s": 0.2})
    FragileRunner.part = PART if trouble else "none"
    await fleet.start()
    try:
        sound, deadly, tasks = {}, {}, []
        for n in range(WATCH_S * SOUND_PER_S):
            tasks.append(asyncio.create_task(stream(fleet, n, f"{FIRST}:200", sound, "sound")))
            if n % (SOUND_PER_S // DEADLY_PER_S) == 0:
                tasks.append(asyncio.create_task(
                    stream(fleet, 100000 + n, f"{FIRST}:200,{PART}:100", deadly, "other")))
            await asyncio.sleep(1 / SOUND_PER_S)
        await asyncio.gather(*tasks)
        ends, late = FragileRunner.ends, []
        if len(ends) >= CRASHES:
            late = [a for a in FragileRunner.arrivals if a[0] > ends[CRASHES - 1] + CONTACT_S]
            fleet.record.write(f"fifth crash {ends[CRASHES - 1] - fleet.record.start:.3f} s after the start; requests with the part at "
                               f"runners later than {CONTACT_S} s after it: {len(late)}")
        fleet.record.write(f"crashes of runners in all: {len(ends)}; sound streams: {sound}; streams with the part: {deadly}")
        broken = len(late) > MORE
        fleet.record.write("BUDGET: broken" if broken else "BUDGET: held")
        return not broken
    finally:
        await fleet.stop()


main(run)
