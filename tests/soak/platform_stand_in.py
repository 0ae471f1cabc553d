"""A stand-in for the users' platform in the soak test: store, workers and machines in one process.

It implements the published protocol, records what callers and workers observe, and checks each
start of a task against the invariants."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from http_service import ChangeSignal, HttpService, now
from worker_stand_in import DRAIN_S, OTHER_SERVICE, Worker, foreign_rows

TRANSACTION_DURATION_S = 0.002
CRASH_DELAY_S = 0.01
# A task under which this many workers have crashed is started fewer than this many times more.
TOLERATED_CRASHES = 3


class InvariantChecker:
    """Collects violations of the invariants that workers and callers can observe."""

    def __init__(self):
        self.violations = []
        self.jobs = {}  # id -> body sent with the submission
        self.refused = set()  # ids that must never run: every answer was 429 or 503
        self.cancelled = {}  # id -> time of the acknowledgement
        self.tasks = {}  # name -> state; "noted": the entry has acknowledged the end
        self.faults_until = 0.0
        self.in_touch = lambda entry: True  # whether an entry has been undisturbed for long enough
        self.disturbed_at = 0.0  # the last moment at which a worker was down unannounced

    def task(self, name):
        return self.tasks.setdefault(
            name, {"running": 0, "ever_done": False, "done": False, "noted": False,
                   "crashes": 0, "starts_after_crashes": 0, "runs": [], "ended_at": now()})

    def crashes_worker(self, name):
        job, _, step, index = name.split(".")
        spec = json.loads(self.jobs[job]["spec"])
        return int(step) == 0 and int(index) == spec.get("crashing_task")

    def step_of(self, name):
        """The step of a task, as it was submitted."""
        job, _, step, _ = name.split(".")
        return self.jobs[job]["steps"][int(step)]

    def run_ended(self, name):
        task = self.task(name)
        task["running"] -= 1
        task["ended_at"] = now()
        return task

    def fail(self, what, name):
        self.violations.append(f"{what}: {name} {self.tasks.get(name, {}).get('runs')}")

    def started(self, name, attempt, worker, late, leader):
        job, occurrence, step, _ = name.split(".")
        task = self.task(name)
        task["runs"].append((round(now(), 3), attempt, worker.id))
        body = self.jobs.get(job)
        if body is None:
            self.fail("task of a job that was never submitted", name)
            return
        if job in self.refused:
            self.fail("task of a refused job", name)
        if worker.service == OTHER_SERVICE:
            self.fail("run on a worker of another service", name)
        if task["running"]:
            self.fail("two concurrent runs of a task", name)
        if task["done"]:
            self.fail("run of a task that is already done", name)
        if (not late and self.crashes_worker(name) and task["crashes"] >= TOLERATED_CRASHES
                and self.in_touch(leader)):
            task["starts_after_crashes"] += 1
            if task["starts_after_crashes"] >= TOLERATED_CRASHES:
                self.fail("further run of a task that has crashed its workers", name)
        for dependency in body["steps"][int(step)].get("after", []):
            for index in range(body["steps"][dependency]["count"]):
                if not self.task(f"{job}.{occurrence}.{dependency}.{index}")["ever_done"]:
                    self.fail("run before a step that it depends on was done", name)
                    return
        bound = max(self.cancelled.get(job, now()), self.faults_until) + 3.0
        if not late and job in self.cancelled and now() > bound:
            self.fail("run of a cancelled job", name)


class Store:
    """Versioned rows in partitions of tables, with a change feed."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.history = []
        self.discarded_version = 0
        self.changed = ChangeSignal()
        self.partition_locks = {}
        self.latency_s = 0.0
        self.http = HttpService(self.handle)

    async def apply(self, expected, writes, remove):
        for condition in expected:
            address = (condition["table"], condition.get("part", ""), condition["key"])
            row = self.rows.get(address)
            if (row["ver"] if row else 0) != condition.get("ver", 0):
                addresses = [(e["table"], e.get("part", ""), e["key"]) for e in expected]
                return 412, {"rows": [self.rows[a] for a in addresses if a in self.rows],
                             "ver": self.version}
        self.version += 1
        for each in writes:
            address = (each["table"], each.get("part", ""), each["key"])
            row = {"table": address[0], "part": address[1], "key": address[2],
                   "value": each["value"], "ver": self.version}
            self.rows[address] = row
            self.history.append(row)
        for each in remove:
            address = (each["table"], each.get("part", ""), each["key"])
            self.rows.pop(address, None)
            self.history.append({"table": address[0], "part": address[1], "key": address[2],
                                 "ver": self.version, "tombstone": True})
        self.changed.notify_all()
        return 200, {"ver": self.version}

    async def put(self, table, key, value):
        await self.put_bytes(table, key, json.dumps(value).encode())

    async def put_bytes(self, table, key, value):
        text = base64.b64encode(value).decode()
        await self.apply([], [{"table": table, "key": key, "value": text}], [])

    async def remove(self, table, key):
        await self.apply([], [], [{"table": table, "key": key}])

    def leader_of(self, token):
        """Returns the entry that claimed the leadership with this fencing token, the row's version."""
        claim = next(row for row in self.history if row["ver"] == token)
        return json.loads(base64.b64decode(claim["value"]))["entry"]

    def discard_history(self):
        self.discarded_version = self.version

    async def handle(self, method, target, _headers, body):
        await asyncio.sleep(self.latency_s)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/rows-tx":
            return await self.transact(json.loads(body))
        if url.path == "/-/rows-get":
            return self.get(query)
        if url.path == "/-/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def transact(self, request):
        operations = request["expected"] + request["writes"] + request["remove"]
        parts = {each.get("part", "") for each in operations}
        if len(parts) > 1 or len(operations) > 100:
            return 400, {"error": "one partition, at most 100 entries"}
        lock = self.partition_locks.setdefault(parts.pop() if parts else "", asyncio.Lock())
        async with lock:
            await asyncio.sleep(TRANSACTION_DURATION_S)
            return await self.apply(request["expected"], request["writes"], request["remove"])

    def get(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        found = sorted((address, row) for address, row in self.rows.items()
                       if address[0] == query["table"] and address[1] == query.get("part", "")
                       and address[2] >= query.get("from", "")
                       and ("target" not in query or address[2] < query["target"]))
        return 200, {"rows": [row for _, row in found[:limit]], "morePages": len(found) > limit,
                     "ver": self.version}

    async def feed(self, query):
        after = int(query["after"])
        until = now() + int(query["waitMs"]) / 1000
        while True:
            if after < self.discarded_version:
                return 410, {}
            rows = [row for row in self.history
                    if row["table"] == query["table"] and row["ver"] > after]
            if rows or now() >= until:
                return 200, {"rows": rows, "ver": self.version}
            await self.changed.wait(until - now())


class Platform:
    """The whole platform: the store, the workers and their machines."""

    def __init__(self, random, workers, service="checks"):
        self.random = random
        self.checker = InvariantChecker()
        self.store = Store()
        self.service = service
        self.count = workers
        self.workers = []
        self.others = []  # workers of the other service, at reused addresses
        self.incarnations = 0
        self.machines = HttpService(self.handle_machine_call)

    async def start(self):
        await self.store.http.start()
        await self.machines.start()
        for index in range(self.count):
            self.workers.append(None)
            await self.start_worker(index)
        for key, row in foreign_rows(self.workers[0].entry()).items():
            await self.store.put_bytes("servers", key, row)

    async def start_worker(self, index, port=0, machine=None):
        """Starts a worker of the service: on the given machine, or on a new one."""
        self.incarnations += 1
        worker = Worker(self, f"w{index}-{self.incarnations}",
                        machine or f"m{self.incarnations}", self.service)
        self.workers[index] = worker
        await self.register(worker, port)

    async def register(self, worker, port):
        await worker.http.start(port)
        asyncio.get_running_loop().create_task(worker.watch_lease())
        await self.store.put("servers", worker.id, worker.entry())

    async def crash_worker(self, index, down_s):
        """Crashes a worker and starts a new incarnation at the same address after `down_s`."""
        worker = self.workers[index]
        if not worker.alive:
            return
        port = worker.http.port
        await worker.crash()
        until = now() + down_s
        while now() < until:
            self.checker.disturbed_at = now()
            await asyncio.sleep(min(0.1, max(until - now(), 0.0)))
        await self.store.remove("servers", worker.id)
        await self.start_worker(index, port, worker.machine)
        self.checker.disturbed_at = now()

    async def crash_after_start(self, worker):
        await asyncio.sleep(CRASH_DELAY_S)
        if worker.alive:
            await self.crash_worker(self.workers.index(worker), self.random.uniform(1.0, 3.0))

    async def drain_worker(self, index, reuse_delay_s, replacement_delay_s):
        """Lets a worker announce that it leaves, and leave. A worker of another service gets its
        address, and a worker on a new machine replaces it."""
        worker = self.workers[index]
        if not worker.alive or worker.draining:
            return
        worker.draining = True
        await self.store.put("servers", worker.id, worker.entry())
        await asyncio.sleep(DRAIN_S)
        if not worker.alive:
            return  # It crashed, and started again.
        port = worker.http.port
        await worker.leave()
        await self.store.remove("servers", worker.id)
        await asyncio.gather(self.reuse_address(port, reuse_delay_s),
                             self.replace_worker(index, replacement_delay_s))

    async def reuse_address(self, port, delay_s):
        await asyncio.sleep(delay_s)
        self.incarnations += 1
        worker = Worker(self, f"o{self.incarnations}", f"m{self.incarnations}", OTHER_SERVICE)
        self.others.append(worker)
        await self.register(worker, port)

    async def replace_worker(self, index, delay_s):
        await asyncio.sleep(delay_s)
        await self.start_worker(index)

    async def handle_machine_call(self, method, _target, _headers, _body):
        if method != "GET":
            return 409, {"reason": "busy"}
        return 200, {"machines": [{"machine": each.machine, "pool": each.service, "zone": "z",
                                   "state": "up" if each.alive else "down",
                                   "labels": ["a", "r1"], "id": each.id if each.alive else ""}
                                  for each in self.workers + self.others
                                  if each.alive or not each.draining], "nextToken": None}
