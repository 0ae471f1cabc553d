"""A caller hands in a scheduled job of which many times are due; other callers hand in small jobs.

TROUBLE=0 hands in the same job with few times. VARIANT=wide takes 17 steps of 4,096 tasks instead."""

import asyncio
import os
import random
import sys
import time

os.environ["CASE"] = __file__
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from users_platform import call, now, run_case  # noqa: E402

SERVICE = "lexicon"
WORKERS = 4
ROOM = {"cpu": 64000, "memMb": 256000, "gpu": 0}
FINISH_S = 14
ACK_S = 4
TASK = {"cpu": 500, "memMb": 100, "estimateMs": 500}
SMALL = {"spec": "small", "steps": [{"count": 2, **TASK}, {"count": 2, **TASK, "after": [0]},
                                    {"count": 2, **TASK, "after": [1]}]}
SMALL_TASKS = 6
# The large job's tasks need the label of one worker, so that the others always have room.
LARGE = {"cpu": 4000, "memMb": 1000, "estimateMs": 2000, "requires": "k2"}
EACH_S = 30


def scheduled_job(times):
    first = int((time.time() - times * EACH_S) * 1000)
    return {"spec": "reading", "steps": [{"count": 1, **LARGE}], "repeatCount": times,
            "startAtMs": first, "intervalMs": EACH_S * 1000}


def wide_job(steps, count):
    wide = {"count": count, **LARGE}
    return {"spec": "wide", "steps": [wide] + [{**wide, "after": [n]} for n in range(steps - 1)]}


async def play(platform, entries, trouble, record):
    pick = random.Random(6)
    accepted = {}

    async def submit(body, label):
        job = f"{pick.getrandbits(64):016x}"
        platform.jobs[job] = body
        for _ in range(5):
            status, _ = await call(record, pick.choice(entries), "POST", f"/{SERVICE}/{job}", body)
            if status == 200:
                accepted[job] = (label, now())
                return job
            await asyncio.sleep(0.5)
        record(f"job {job} ({label}) was not accepted")
        return None

    async def state_of(job):
        for _ in range(5):
            status, answer = await call(record, pick.choice(entries), "GET", f"/{SERVICE}/{job}")
            if status in (200, 410):
                return answer.get("state", "unknown")
        return "not answered"

    for _ in range(3):
        await submit(SMALL, "before")
        await asyncio.sleep(0.5)
    if os.environ.get("VARIANT") == "wide":
        large = await submit(wide_job(17, 4096) if trouble else wide_job(2, 64), "large")
    else:
        large = await submit(scheduled_job(3600 if trouble else 60), "large")
    for _ in range(15):
        await asyncio.sleep(1)
        await submit(SMALL, "after")
    await asyncio.sleep(FINISH_S)
    broken = []
    unnoted, listed = platform.checker.unnoted_ends(ACK_S)
    record(f"ends that workers listed over {ACK_S} s ago: {len(listed)}, not taken note of: {len(unnoted)}")
    if len(unnoted) > len(listed) / 5:
        broken.append(f"Acks: {len(unnoted)} of {len(listed)} ends aren't taken note of {ACK_S} s later")
    for job, (label, at) in accepted.items():
        if job == large:
            continue
        state = await state_of(job)
        done = sum(task.startswith(job) for task in platform.checker.done)
        idle = platform.checker.longest_idle(job, at, now())
        if state != "completed":
            broken.append(f"LOST: small job {job}, accepted {now() - at:.0f} s ago {label} the large one: "
                          f"shown as {state}, {done} of {SMALL_TASKS} tasks done, up to {idle:.1f} s "
                          f"without a run")
    record(f"small jobs accepted: {len(accepted) - 1}; transactions that the store refused as a row is "
           f"larger than rowBytes: {platform.store.too_large}")
    return broken


run_case(play, {SERVICE: WORKERS}, ROOM)
