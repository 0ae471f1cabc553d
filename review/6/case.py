"""The leading process is killed while the store refuses a third of the calls, and all of them for 2.9 s
just afterwards; seven times."""

import asyncio
import os
import random
import signal
import sys

os.environ["CASE"] = __file__
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from users_platform import call, now, run_case  # noqa: E402

SERVICE = "essay"
ROOM = {"cpu": 64000, "memMb": 256000, "gpu": 0}
REFUSED_SHARE, BEFORE_S, DOWN_AFTER_S, DOWN_S, LATER_S = 0.33, 1.0, 0.55, 2.9, 2.5
CYCLES, CYCLE_S = 7, 12.0
TASK = {"count": 6, "cpu": 1000, "memMb": 500, "estimateMs": 2100}
JOB = {"spec": "essay", "steps": [TASK, {**TASK, "after": [0]}]}


async def play(platform, entries, trouble, record):
    pick = random.Random(8)
    store = platform.store
    running = True

    async def clients():
        while running:
            job = f"{pick.getrandbits(64):016x}"
            platform.jobs[job] = JOB
            asyncio.ensure_future(call(record, pick.choice(entries), "POST", f"/{SERVICE}/{job}", JOB))
            await asyncio.sleep(0.4)

    async def brown_out():
        store.refused_share = REFUSED_SHARE
        record("store: refuses a third of the calls")
        await asyncio.sleep(BEFORE_S)
        claim = store.value("duty", "control", "claim")
        leader = next(each for each in entries if each.name == claim["entry"])
        await leader.end(signal.SIGKILL)
        await asyncio.sleep(DOWN_AFTER_S)
        store.down_until = now() + DOWN_S
        record("store: refuses all calls")
        await asyncio.sleep(DOWN_S)
        record("store: refuses a third of the calls")
        await leader.start()
        await asyncio.sleep(LATER_S)
        store.refused_share = 0.0
        record("store: sound again")

    callers = asyncio.ensure_future(clients())
    for _ in range(CYCLES):
        begin = now()
        await asyncio.sleep(4)
        if trouble:
            await brown_out()
        await asyncio.sleep(max(0.0, begin + CYCLE_S - now()))
    running = False
    await callers
    await asyncio.sleep(6)
    return []


run_case(play, {SERVICE: 4}, ROOM)
