"""Submits long-running jobs during a soak run and checks how soon each of their tasks runs again."""

import asyncio

from http_service import now

RESTART_S = 6.0
"""Time after the end of its last run within which a task must run again."""
CALM_S = 7.0
"""Time after an unplanned disturbance during which nothing is required. Announced departures of
workers don't count as such."""
ROOM_S = 3.0
"""Time for which a worker must have had room for the task."""
CHECK_INTERVAL_S = 0.1
MAX_HARNESS_DELAY_S = 0.3
"""If this process was held up for longer, the entries may have been too."""
WIDTHS = (2, 3)


class LongRunningCheck:
    """Keeps long-running jobs with at most one task on each worker, and watches their tasks."""

    def __init__(self, soak):
        self.soak = soak
        self.jobs = []
        self.room_since = {}  # task -> time since when a worker has had room for it
        self.checks = 0  # of a task, running or not, while nothing was disturbed

    @property
    def checker(self):
        return self.soak.checker

    async def submit_jobs(self):
        for width in WIDTHS:
            step = {"count": width, "cpu": 1500, "memMb": 500, "estimateMs": 3000,
                    "longRunning": True, "antiAffinity": 1}
            seconds = round(self.soak.random.uniform(5.0, 25.0), 2)
            self.jobs.append(await self.soak.submit_until_accepted(
                {"spec": f'{{"seconds": {seconds}}}', "steps": [step]}))

    async def run(self):
        """Checks the tasks until it is cancelled."""
        checked_at = now()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            held_up = now() - checked_at > CHECK_INTERVAL_S + MAX_HARNESS_DELAY_S
            checked_at = now()
            if held_up or self.soak.disturbances:
                self.checker.disturbed_at = now()
            for job in list(self.jobs):
                for index in range(self.checker.jobs[job]["steps"][0]["count"]):
                    if self.waits_too_long(f"{job}.0.0.{index}"):
                        await self.report(job, f"{job}.0.0.{index}")
                        break

    def waits_too_long(self, name):
        task = self.checker.task(name)
        calm = now() > self.checker.disturbed_at + CALM_S
        self.checks += calm
        if task["running"] or not any(worker.accepts_work() and worker.fits(name)
                                      for worker in self.soak.platform.workers):
            self.room_since.pop(name, None)
            return False
        room_for_s = now() - self.room_since.setdefault(name, now())
        waited_s = now() - task["ended_at"]
        if not calm or waited_s <= RESTART_S or room_for_s <= ROOM_S:
            return False
        task["ended_at"] = now()  # Reports it again only after the same time.
        return True

    async def report(self, job, name):
        at = now()
        if await self.soak.check_job(job):
            self.jobs.remove(job)  # It was given up, with or without a cause.
        else:
            self.checker.fail(f"long-running task not restarted in {RESTART_S:.0f} s, at {at:.2f}",
                              name)
