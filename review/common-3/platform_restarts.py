"""The part of the platform that watches the processes of frontends: one that
ends by itself is started again after a short delay, and one that exceeds the
memory of its machine is killed."""

import threading
import time

RESTART_DELAY_S = 1.0


class Watchdog:
    def __init__(self, fleet):
        self.fleet = fleet
        self.ends = {m["name"]: 0 for m in fleet.frontends}
        self.peak_kb = {m["name"]: 0 for m in fleet.frontends}
        self.is_stopped = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def resident_kb(self, process):
        try:
            with open(f"/proc/{process.pid}/status") as f:
                for line in f:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1])
        except OSError:
            pass
        return 0

    def run(self):
        while not self.is_stopped:
            for machine in self.fleet.frontends:
                name = machine["name"]
                process = self.fleet.processes[name]
                resident = self.resident_kb(process)
                self.peak_kb[name] = max(self.peak_kb[name], resident)
                if resident > self.fleet.memory_mb * 1024:
                    self.fleet.record("over_memory", name=name, resident_mb=resident // 1024,
                                      memory_mb=self.fleet.memory_mb)
                    process.kill()
                if process.poll() is not None:
                    self.ends[name] += 1
                    self.fleet.record("process_ended", name=name, code=process.returncode)
                    time.sleep(RESTART_DELAY_S)
                    if not self.is_stopped:
                        self.fleet.start_role(machine)
            time.sleep(0.01)

    def stop(self):
        self.is_stopped = True
        self.thread.join()


def count_ends(fleet, send, jobs):
    """Sends each job to one frontend after the other until it is answered, once
    to each, as clients retry. Returns the watchdog."""
    watchdog = Watchdog(fleet)
    for job in range(jobs):
        for frontend in range(len(fleet.frontends)):
            if send(job, frontend) != 0:
                break
            time.sleep(RESTART_DELAY_S + 1.5)
        fleet.wait_ready()
    time.sleep(1)
    watchdog.stop()
    return watchdog
