"""Large jobs come at once in two queues, some times; processes that end are started again."""

import asyncio
import os
import random
import sys

os.environ["CASE"] = __file__
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from users_platform import call, run_case  # noqa: E402

QUEUES = ("dispatch", "forecast")
ROOM = {"cpu": 16000, "memMb": 64000, "gpu": 0}
BURSTS, JOBS_EACH, BURST_S, GAP_S = 12, 20, 0.4, 6.0
DAY_MS = 24 * 3600 * 1000
LARGE = {"spec": "large", "steps": [{"count": 2000, "cpu": 16000, "memMb": 4000, "estimateMs": DAY_MS}]}
SMALL = {"spec": "small", "steps": [{"count": 4, "cpu": 1000, "memMb": 100, "estimateMs": 300}]}
ENDS, MACHINES = 3, 2  # three times in the day on a tenth of the machines, two at least


async def play(platform, entries, trouble, record):
    pick = random.Random(9)
    ended = {entry.name: [] for entry in entries}
    running = True

    async def watch(entry):
        while running:
            code = await entry.process.wait()
            if not running:
                return
            ended[entry.name].append(code)
            record(f"entry {entry.name} ended by itself with code {code}")
            await asyncio.sleep(0.5)
            await entry.start()

    async def submit(queue, body):
        job = f"{pick.getrandbits(64):016x}"
        platform.jobs[job] = body
        entry = pick.choice(entries)
        status, _ = await call(record, entry, "POST", f"/{queue}/{job}", body)
        return (queue, job) if status == 200 else None

    async def cancel(queue, job):
        for _ in range(8):
            status, _ = await call(record, pick.choice(entries), "DELETE", f"/{queue}/{job}")
            if status in (200, 410):
                return
            await asyncio.sleep(0.3)

    watches = [asyncio.ensure_future(watch(entry)) for entry in entries]
    for _ in range(BURSTS):
        calls = []
        for _ in range(JOBS_EACH):
            for queue in QUEUES:
                calls.append(asyncio.ensure_future(submit(queue, LARGE if trouble else SMALL)))
            await asyncio.sleep(BURST_S / JOBS_EACH)
        accepted = [each for each in await asyncio.gather(*calls) if each]
        await asyncio.sleep(GAP_S / 2)
        if trouble:
            await asyncio.gather(*(cancel(*each) for each in accepted))
        await asyncio.sleep(GAP_S / 2)
        record(f"ends so far: {ended}")
        if sum(len(codes) >= ENDS for codes in ended.values()) >= MACHINES:
            break
    running = False
    for each in watches:
        each.cancel()
    often = [name for name, codes in ended.items() if len(codes) >= ENDS]
    if len(often) >= MACHINES:
        return [f"Fault: processes ended by themselves: {ended}"]
    return []


run_case(play, {queue: 4 for queue in QUEUES}, ROOM)
