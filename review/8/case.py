"""Callers hand jobs in; those that have no answer after 600 ms leave and cancel their job until the
cancelling is acknowledged. Meanwhile a part of the store's writes has no answer and is done late."""

import asyncio
import os
import random
import sys

os.environ["CASE"] = __file__
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from users_platform import call, now, run_case  # noqa: E402

SERVICE = "essay"
ROOM = {"cpu": 64000, "memMb": 256000, "gpu": 0}
LOST_SHARE, LOST_FOR_S, LATE_S = 0.35, 4.5, (1.0, 6.0)
LEAVE_S = 0.6
CANCEL_S, STOP_S, CONTACT_S = 3.0, 0.9, 3.0
STEPS = 14
TASK = {"count": 1, "cpu": 1000, "memMb": 500, "estimateMs": 1500}
JOB = {"spec": "essay", "steps": [TASK] + [{**TASK, "after": [n]} for n in range(STEPS - 1)]}


async def play(platform, entries, trouble, record):
    pick = random.Random(7)
    lost = random.Random(70)
    lossy_until = 0.0
    cancelled = {}  # job -> (time of the acknowledgement, status)
    accepted = set()

    async def hook(_writes):
        if now() < lossy_until and lost.random() < LOST_SHARE:
            return lost.uniform(*LATE_S)
        return "apply"

    async def client():
        job = f"{pick.getrandbits(64):016x}"
        platform.jobs[job] = JOB
        first, second = pick.sample(entries, 2)
        status, _ = await call(record, first, "POST", f"/{SERVICE}/{job}", JOB, timeout=LEAVE_S)
        if status == 200:
            accepted.add(job)
            return
        while job not in cancelled:
            status, _ = await call(record, second, "DELETE", f"/{SERVICE}/{job}")
            if status in (200, 410):
                cancelled[job] = (now(), status)
            else:
                await asyncio.sleep(0.3)

    platform.store.hook = hook
    clients = []
    begin = now()
    lossy_until = begin + LOST_FOR_S if trouble else 0.0
    for _ in range(20):
        clients.append(asyncio.ensure_future(client()))
        await asyncio.sleep(0.2)
    await asyncio.gather(*clients)
    calm = begin + LOST_FOR_S + LATE_S[1] + CONTACT_S  # The last late write is done, and contactMs more.
    record(f"accepted {len(accepted)}, cancelling acknowledged {len(cancelled)}")
    await asyncio.sleep(max(0, calm + 6 - now()))
    broken = []
    for job, (at, status) in cancelled.items():
        late = [task for task, times in platform.checker.starts.items()
                if task.startswith(job) and max(times) > max(at + CANCEL_S, calm)]
        if late:
            broken.append(f"UNASKED: {len(late)} tasks of job {job} started in steady state more than "
                          f"{CANCEL_S:.0f} s after its cancelling was acknowledged with {status}")
    return broken


run_case(play, {SERVICE: 3}, ROOM)
