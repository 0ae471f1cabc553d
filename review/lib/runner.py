"""Runs one case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

import asyncio
import os
import signal
import sys
import tempfile

from stand_in import Record

LIMIT_S = 110
"""A case may take 120 s."""


async def run_in_time(play, folder, record):
    case = asyncio.ensure_future(asyncio.wait_for(play(folder, record), LIMIT_S))
    # The case ends its processes when it is cancelled.
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, case.cancel)
    return await case


def note_last_words(folder, record):
    """Records why a case couldn't run: the last line of each entry's log."""
    for name in sorted(os.listdir(folder)):
        if name.endswith(".log"):
            with open(os.path.join(folder, name), encoding="utf-8", errors="replace") as log:
                record.add(f"{name}: {(log.readlines() or ['empty'])[-1].rstrip()}")


def run_case(here, play):
    record = Record(os.path.join(here, "record.txt"))
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            result = asyncio.run(run_in_time(play, folder, record))
        except (Exception, asyncio.CancelledError) as failure:
            record.add(f"can't run: {failure!r}")
            print(f"can't run: {failure!r}", file=sys.stderr)
            result = 2
        if result == 2:
            note_last_words(folder, record)
    record.close()
    sys.exit(result)
