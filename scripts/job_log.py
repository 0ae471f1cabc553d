"""Lines about jobs in entries' logs, for the scripts that follow tasks and jobs through them."""

import datetime
import json
import re

TASK = r"(?P<task>[0-9a-z]+(?:\.\d+){3})"
ENDED = re.compile(TASK + r" attempt (?P<attempt>\d+) (?:on \S+ ended as|lost with worker) ")
JOB_OVER = re.compile(
    r"^job (?P<job>\S+) at \d+ ms of \d+: (?P<state>completed|failed|cancelled)")
MS_PER_SECOND = 1000


def events(lines):
    """Returns (seconds, message) of the lines about jobs, in the order of their times. A line may
    have anything before its JSON object."""
    found = []
    for line in lines:
        try:
            record = json.loads(line[line.index("{"):])
            if record["part"] == "job":
                time = datetime.datetime.fromisoformat(record["time"].replace("Z", "+00:00"))
                found.append((time.timestamp(), record["message"]))
        except (ValueError, KeyError, TypeError):
            continue
    return sorted(found, key=lambda each: each[0])


def percentile(sorted_values, share):
    return sorted_values[min(int(len(sorted_values) * share), len(sorted_values) - 1)]
