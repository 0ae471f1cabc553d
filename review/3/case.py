"""More than 500 ends wait at one worker when all processes of the system are killed and return."""

import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from entries import HOST, call, make_entries, wait_ready, wait_until  # noqa: E402
from runner import run_case  # noqa: E402
from stand_in import Platform, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "00c0ffee00c0ffee"
TASKS = 2000
END_S = 16.0  # The tasks wait for the same input: they end from then on, by the clock of the case,
SPREAD_S = 1.6  # within this time.
DOWN_S = 2.0
BOUNDS = {"stopMs": 900, "holdMaxMs": 10000, "noticeMs": 4500, "status_s": 120, "graceS": 6}
CONFIG = {"version": 3, "limits": {"maxBodyBytes": 262144},
          "routes": [{"name": "r", "host": HOST, "pathPrefix": "/q/", "kind": "unsafe",
                      "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 0,
                      "service": "checks", "maxAttempts": 3, "stretch": 1.6}],
          "services": [{"name": "checks", "healthPath": "/health", "enforceLimits": True}]}
BODY = {"spec": "words", "steps": [{"count": TASKS, "cpu": 30, "memMb": 64, "estimateMs": 7000}]}


def work_of(run, _spec):
    share = int(run[0].split(".")[3]) / TASKS
    return max(work_of.began + END_S + SPREAD_S * share - now(), 1.0), "done"


async def play(folder, record):
    work_of.began = now()
    platform = Platform(record, work_of, BOUNDS["holdMaxMs"])
    await platform.start()
    await platform.store.put("op", "config", CONFIG)
    for number in range(1):
        await platform.add_machine(f"m{number}", "checks", 64000, f"r{number}")
    entries = make_entries(3, folder, record, platform, BOUNDS)
    try:
        for each in entries:
            await each.start()
        if not await wait_ready(entries) or not await wait_until(
                lambda: any(each.leads() for each in entries), 10):
            return 2
        await asyncio.sleep(1)
        platform.checker.bodies[JOB] = BODY
        status, _ = await call(record, entries[0], "POST", f"/q/{JOB}", BODY)
        if status != 200:
            return 2
        checker = platform.checker
        if not await wait_until(lambda: any(len(w.running) > 1900 for w in platform.workers.values()),
                                14, 0.02):
            return 2
        # The first of them end soon.
        if not await wait_until(lambda: len(checker.done) >= 20, 20, 0.01):
            return 2
        if TROUBLE:
            for each in entries:
                each.signal(signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            for each in entries:
                await each.process.wait()
                await each.start()
        until = now() + 40
        while now() < until:
            status, answer = await call(record, entries[0], "GET", f"/q/{JOB}")
            if status == 200 and b"completed" in answer:
                break
            await asyncio.sleep(0.5)
        await asyncio.sleep(3)
        record.add(f"{len(checker.done)} of {TASKS} tasks ended done, "
                   f"{sum(map(len, checker.starts.values()))} starts, {len(checker.broken)} broken")
        print(f"{len(checker.done)} of {TASKS} tasks ended done, "
              f"{sum(map(len, checker.starts.values()))} starts, {len(checker.broken)} broken")
        return 1 if any(rule == "TWICE" for rule, _ in checker.broken) else 0
    finally:
        for each in entries:
            await each.end()
        platform.stop()


if __name__ == "__main__":
    run_case(HERE, play)
