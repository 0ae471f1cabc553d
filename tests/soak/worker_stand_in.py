"""The workers of the stand-in platform, and rows that name no worker."""

import asyncio
import json

from http_service import ChangeSignal, HttpService, now

MAX_LEASE_S = 10.0
STOP_DURATION_S = 0.2
CAPACITY = {"cpu": 8000, "memMb": 8000, "gpu": 0}
DRAIN_S = 3.0
OTHER_SERVICE = "others"


class Worker:
    """One incarnation of a worker."""

    def __init__(self, platform, worker_id, machine, service):
        self.platform = platform
        self.id = worker_id
        self.machine = machine
        self.service = service
        self.token = 0
        self.running = {}  # (task, attempt) -> asyncio task that finishes the run
        self.highest_attempt = {}
        self.ended = []
        self.sequence = 0
        self.lease = 0.0
        self.changed = ChangeSignal()
        self.alive = True
        self.draining = False
        self.delayed_fraction = 0.0
        self.http = HttpService(self.handle)

    def clock(self):
        return int(now() * 1000 * 0.99)

    def entry(self):
        entry = {"service": self.service, "address": f"127.0.0.1:{self.http.port}", "zone": "z",
                 "version": "v", "capacity": 8, "state": "ready", "callSeq": 1,
                 "freeCapacity": CAPACITY, "labels": ["a", "r1"], "machine": self.machine}
        if self.draining:
            entry.update(state="draining", remainingMs=int(DRAIN_S * 1000))
        return entry

    def accepts_work(self):
        return self.alive and not self.draining and self.service != OTHER_SERVICE

    def fits(self, name):
        """Whether a task fits beside what runs here, its step's antiAffinity included."""
        step_of = self.platform.checker.step_of
        step, running = step_of(name), [task for task, _ in self.running]
        beside = sum(1 for task in running if task.rsplit(".", 1)[0] == name.rsplit(".", 1)[0])
        return beside < step.get("antiAffinity", beside + 1) and all(
            sum(step_of(task).get(kind, 0) for task in running) + step.get(kind, 0) <= room
            for kind, room in CAPACITY.items())

    async def watch_lease(self):
        while self.alive:
            await asyncio.sleep(0.05)
            if self.clock() > self.lease:
                for run in list(self.running):
                    await self.finish(run, "lapsed")
                self.discard_unacknowledged_ends()

    def discard_unacknowledged_ends(self):
        for _, task, _, end_reason, _ in self.ended:
            state = self.platform.checker.task(task)
            if end_reason == "done" and not state["noted"]:
                state["done"] = False

    async def crash(self):
        for task, _ in self.running:
            self.platform.checker.task(task)["crashes"] += 1
        await self.leave()

    async def leave(self):
        """Ends the worker with everything that runs on it."""
        self.alive = False
        for run, finishing in list(self.running.items()):
            finishing.cancel()
            self.platform.checker.run_ended(run[0])
        self.running.clear()
        self.discard_unacknowledged_ends()
        await self.http.stop()

    async def finish(self, run, end_reason):
        finishing = self.running.pop(run, None)
        if finishing is None:
            return
        if finishing is not asyncio.current_task():
            finishing.cancel()
        task = self.platform.checker.run_ended(run[0])
        if end_reason == "done":
            task["done"] = task["ever_done"] = True
        self.highest_attempt[run[0]] = max(self.highest_attempt.get(run[0], 0), run[1])
        self.sequence += 1
        self.ended.append([self.sequence, run[0], run[1], end_reason, ""])
        self.changed.notify_all()

    async def work(self, run, seconds):
        await asyncio.sleep(seconds)
        # A long-running task runs until it is stopped or fails.
        long_running = self.platform.checker.step_of(run[0]).get("longRunning")
        await self.finish(run, "failed" if long_running else "done")

    async def handle(self, _method, target, headers, body):
        if headers.get("plantaindoor-expect-instance", self.id) != self.id:
            return 421, {}
        request = json.loads(body)
        if request["fencingToken"] < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        if self.platform.random.random() < self.delayed_fraction and target != "/-/hold":
            asyncio.get_running_loop().create_task(self.execute_delayed(target, request))
            await asyncio.sleep(30)
        return await self.execute(target, request, False)

    async def execute_delayed(self, target, request):
        await asyncio.sleep(self.platform.random.uniform(1, 6))
        if self.alive and request["fencingToken"] >= self.token:
            await self.execute(target, request, True)

    async def execute(self, target, request, late):
        self.token = max(self.token, request["fencingToken"])
        if target == "/-/run-start":
            return self.start_run(request, late)
        if target == "/-/run-stop":
            run = (request["task"], request["attempt"])
            self.highest_attempt[run[0]] = max(self.highest_attempt.get(run[0], 0), run[1])
            asyncio.get_running_loop().call_later(
                STOP_DURATION_S, lambda: asyncio.ensure_future(self.finish(run, "stopped")))
        if target == "/-/hold":
            return await self.poll(request)
        return 200, {"clockMs": self.clock()}

    def extend_lease(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + MAX_LEASE_S * 1000))

    def start_run(self, request, late):
        run = (request["task"], request["attempt"])
        if run in self.running:
            return 200, {"clockMs": self.clock()}
        if run[1] <= self.highest_attempt.get(run[0], 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if request["deadlineMs"] <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.extend_lease(request["deadlineMs"])
        leader = self.platform.store.leader_of(request["fencingToken"])
        self.platform.checker.started(run[0], run[1], self, late, leader)
        self.platform.checker.task(run[0])["running"] += 1
        seconds = float(json.loads(request["spec"])["seconds"])
        self.running[run] = asyncio.get_running_loop().create_task(self.work(run, seconds))
        if self.platform.checker.crashes_worker(run[0]):
            asyncio.get_running_loop().create_task(self.platform.crash_after_start(self))
        return 200, {"clockMs": self.clock()}

    async def poll(self, request):
        for each in self.ended:
            if each[0] <= request.get("ackSeq", 0) and each[3] == "done":
                self.platform.checker.task(each[1])["noted"] = True
        self.ended = [each for each in self.ended if each[0] > request.get("ackSeq", 0)]
        if "deadlineMs" in request:
            self.extend_lease(request["deadlineMs"])
        until = now() + min(request.get("waitMs", 0), 2000) / 1000
        while not self.ended and now() < until:
            await self.changed.wait(until - now())
        return 200, {"clockMs": self.clock(), "finished": self.ended[:500],
                     "running": [[task, attempt, "", 100, 0] for task, attempt in self.running]}


def foreign_rows(entry):
    """Rows of another writer, by their keys, that name no worker to use. `entry` is a worker's."""
    free_address = "127.0.0.1:9"  # Nothing listens there.
    unlisted = {"address": free_address, "machine": "unknown"}
    huge = {"cpu": 10 ** 12, "memMb": 10 ** 12, "gpu": 10 ** 12}
    changes = {
        "address-missing": {"address": None}, "address-number": {"address": 7},
        "address-name": {"address": "worker.example:80"},
        "port-zero": {"address": "127.0.0.1:0", "machine": "unknown"},
        "port-too-large": {"address": "127.0.0.1:70000", "machine": "unknown"},
        "state-unknown": {"state": "asleep"}, "service-number": {"service": 5},
        "service-unknown": {"service": "unknown", "address": free_address},
        "labels-missing": {"labels": None}, "labels-many": {"labels": ["x"] * 5000},
        "capacity-negative": {"freeCapacity": {"cpu": -1, "memMb": -1}},
        "capacity-too-large": {"freeCapacity": {"cpu": 1e300, "memMb": 2 ** 64}},
        "capacity-huge": {"freeCapacity": huge, **unlisted},
        "start-too-large": {"born": 2 ** 64, "address": free_address},
        "start-in-future": {"born": 2 ** 62, "address": free_address},
        "address-of-another": {"machine": ""},
        "long-text": {"zone": "z" * 40000, "address": free_address},
        "key\r\nwith: lines": unlisted,
    }
    rows = {key: json.dumps({name: value for name, value in {**entry, **change}.items()
                             if value is not None}).encode() for key, change in changes.items()}
    begin = json.dumps(entry)[:-1]
    for name in ("born", "labels", "freeCapacity", "other"):
        rows[f"nested-{name}"] = f'{begin},"{name}":{"[" * 30000}{"]" * 30000}}}'.encode()
    rows["overflow"] = f'{begin},"callSeq":1e400}}'.encode()
    rows.update({"empty": b"", "list": b"[]", "cut": b'{"service":', "not-utf-8": b"\xff\xfe{}"})
    # The workers' keys begin with "w", so that some rows come before and others after them.
    return {f"{'az'[number % 2]}-{key}": row for number, (key, row) in enumerate(rows.items())}
