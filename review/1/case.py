"""A holder freezes while it waits for the store, and orders an upkeep when it wakes."""

import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from entries import HOST, make_entries, wait_ready, wait_until  # noqa: E402
from runner import run_case  # noqa: E402
from stand_in import Platform  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZE_S = 4.0
SLOW_S = 0.3
BOUNDS = {"stopMs": 400, "holdMaxMs": 6000, "noticeMs": 4500, "status_s": 120, "graceS": 6}
CONFIG = {"version": 3, "limits": {"maxBodyBytes": 262144},
          "routes": [{"name": "r", "host": HOST, "pathPrefix": "/q/", "kind": "unsafe",
                      "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 0,
                      "service": "checks", "maxAttempts": 3, "stretch": 1.6}],
          "services": [{"name": "checks", "healthPath": "/health", "enforceLimits": True}]}


async def play(folder, record):
    platform = Platform(record, lambda run, spec: (1.0, "done"), BOUNDS["holdMaxMs"])
    await platform.start()
    await platform.store.put("op", "config", CONFIG)
    names = [f"m{number}" for number in range(6)]
    for number, name in enumerate(names):
        await platform.add_machine(name, "checks", 16000, f"r{number % 3}")
    entries = make_entries(3, folder, record, platform, BOUNDS)
    asked = asyncio.Event()

    async def slow(request, answer):
        """The store is slow: the first answer to a list of machines to be ordered takes SLOW_S."""
        if not asked.is_set() and answer[0] == 200 and any(
                each["key"] == "ordered" for each in request["writes"]):
            record.add("store: slow in answering a transaction")
            asked.set()
            await asyncio.sleep(SLOW_S)

    try:
        for each in entries:
            await each.start()
        if not await wait_ready(entries) or not await wait_until(
                lambda: any(each.leads() for each in entries), 10):
            return 2
        await asyncio.sleep(2)
        platform.store.before_answer = slow
        await platform.add_wave(1, names, 1, 60)
        await asyncio.wait_for(asked.wait(), 10)
        if TROUBLE:
            holder = next(each for each in entries if each.leads())
            holder.signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            holder.signal(signal.SIGCONT)
        wave = platform.waves[1]
        await wait_until(lambda: len(wave["begun"]) == len(names), 40)
        await asyncio.sleep(3)
        broken = [text for rule, text in platform.checker.broken if rule == "LIMIT"]
        line = f"{len(wave['begun'])} of {len(names)} upkeeps begun, {len(broken)} beyond the cap"
        print(line)
        record.add(line)
        return 1 if broken else 0
    finally:
        for each in entries:
            await each.end()
        platform.stop()


if __name__ == "__main__":
    run_case(HERE, play)
