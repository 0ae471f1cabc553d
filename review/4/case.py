"""A route is dropped by mistake and put back; the holder's process is killed in between."""

import asyncio
import json
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
JOB = "0123456789abcdef"
MAX_ATTEMPTS = 3
BOUNDS = {"stopMs": 400, "holdMaxMs": 6000, "noticeMs": 4500, "status_s": 120, "graceS": 6}
BODY = {"spec": "baseline", "steps": [{"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 7000}]}


def config(version, with_route):
    route = {"name": "keep", "host": HOST, "pathPrefix": "/keep/", "kind": "unsafe",
             "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 0, "service": "checks",
             "maxAttempts": MAX_ATTEMPTS, "stretch": 1.6}
    routes = [route] + ([dict(route, name="ask", pathPrefix="/ask/")] if with_route else [])
    return {"version": version, "limits": {"maxBodyBytes": 262144}, "routes": routes,
            "services": [{"name": "checks", "healthPath": "/health", "enforceLimits": True}]}


def work_of(run, _spec):
    """The first run of each task fails by its own fault after 7 s; later ones are done in 1 s."""
    first = run[0] not in work_of.seen
    work_of.seen.add(run[0])
    return (7.0, "failed") if first else (1.0, "done")


work_of.seen = set()


async def play(folder, record):
    platform = Platform(record, work_of, BOUNDS["holdMaxMs"])
    await platform.start()
    await platform.store.put("op", "config", config(3, True))
    for number in range(3):
        await platform.add_machine(f"m{number}", "checks", 16000, f"r{number}")
    entries = make_entries(3, folder, record, platform, BOUNDS)
    try:
        for each in entries:
            await each.start()
        if not await wait_ready(entries) or not await wait_until(
                lambda: any(each.leads() for each in entries), 10):
            return 2
        await asyncio.sleep(1)
        checker = platform.checker
        checker.bodies[JOB] = BODY
        status, _ = await call(record, entries[0], "POST", f"/ask/{JOB}", BODY)
        if status != 200 or not await wait_until(lambda: len(checker.starts) == 2, 3):
            return 2
        record.add("operator: version 5 drops the route")
        await platform.store.put("op", "config", config(5, False))
        await asyncio.sleep(2.5)
        if TROUBLE:
            holder = next(each for each in entries if each.leads())
            holder.signal(signal.SIGKILL)
            await holder.process.wait()
            await asyncio.sleep(0.5)
            await holder.start()
        # The first runs fail meanwhile.
        if not await wait_until(lambda: sum(map(len, checker.ends.values())) > 0
                                or len(checker.done) > 0, 8):
            return 2
        await asyncio.sleep(1)
        record.add("operator: version 6 has the route again")
        await platform.store.put("op", "config", config(6, True))
        await asyncio.sleep(2)  # configApplyMs
        until = now() + 17
        state = ""
        while now() < until and state not in ("completed", "failed", "cancelled"):
            status, answer = await call(record, entries[0], "GET", f"/ask/{JOB}")
            state = json.loads(answer).get("state", "") if status == 200 else ""
            await asyncio.sleep(0.5)
        attempts = max(map(len, checker.starts.values()))
        failed = state == "failed" and attempts < MAX_ATTEMPTS
        if failed:
            checker.breaks("LOST", f"job {JOB} is shown as failed after {attempts} run(s) of each "
                                   f"task; maxAttempts is {MAX_ATTEMPTS}, nobody has cancelled it")
        print(f"state {state}, {attempts} run(s) of a task at most, maxAttempts {MAX_ATTEMPTS}")
        record.add(f"state {state}, {attempts} run(s) of a task at most")
        return 1 if failed or state == "" else 0
    finally:
        for each in entries:
            await each.end()
        platform.stop()


if __name__ == "__main__":
    run_case(HERE, play)
