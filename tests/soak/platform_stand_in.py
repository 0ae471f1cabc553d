"""A stand-in of the users' platform for the soak: store, workers and machines in one process.

It speaks the published protocol, keeps what callers and workers see, and judges each start of a
task against what must hold."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

TRANSACTION_S = 0.002
LONGEST_LEASE_S = 10.0
STOP_S = 0.2
HEARTBEAT_S = 1.0


def now():
    return time.monotonic()


class Judge:
    """Collects broken promises, from what workers and callers see."""

    def __init__(self):
        self.broken = []
        self.jobs = {}  # id -> body of an attempt to submit it
        self.refused = set()  # every answer said that it never runs
        self.cancelled = {}  # id -> when that was acknowledged
        self.tasks = {}  # name -> {"running", "done", "noted"}
        self.disturbed_until = 0.0

    def task(self, name):
        return self.tasks.setdefault(
            name, {"running": 0, "ever_done": False, "done": False, "noted": False, "runs": []})

    def fail(self, what, name):
        self.broken.append(f"{what}: {name} {self.tasks.get(name, {}).get('runs')}")

    def started(self, name, attempt, worker, late):
        job, occurrence, step, _ = name.split(".")
        task = self.task(name)
        task["runs"].append((round(now(), 3), attempt, worker))
        body = self.jobs.get(job)
        if body is None:
            self.fail("a task of a job that nobody submitted", name)
            return
        if job in self.refused:
            self.fail("a task of a job that was refused", name)
        if task["running"]:
            self.fail("two runs at a time", name)
        if task["done"]:
            self.fail("a run after one that was done", name)
        for earlier in body["steps"][int(step)].get("after", []):
            for index in range(body["steps"][earlier]["count"]):
                if not self.task(f"{job}.{occurrence}.{earlier}.{index}")["ever_done"]:
                    self.fail("a run before an earlier step was done", name)
                    return
        bound = max(self.cancelled.get(job, now()), self.disturbed_until) + 3.0
        if not late and job in self.cancelled and now() > bound:
            self.fail("a run of a cancelled job", name)


class HttpService:
    """The least of an HTTP/1.1 server: handlers return (status, object or bytes)."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = None
        self.tasks = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer = await self.handler(method, target, headers, body)
                text = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()


class Store:
    """Rows in partitions of tables, with a feed."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.history = []
        self.forgotten = 0
        self.changed = asyncio.Condition()
        self.part_locks = {}
        self.slow_s = 0.0
        self.http = HttpService(self.handle)

    async def apply(self, expected, writes, remove):
        for each in expected:
            at = (each["table"], each.get("part", ""), each["key"])
            row = self.rows.get(at)
            if (row["ver"] if row else 0) != each.get("ver", 0):
                present = [(e["table"], e.get("part", ""), e["key"]) for e in expected]
                return 412, {"rows": [self.rows[p] for p in present if p in self.rows],
                             "ver": self.version}
        self.version += 1
        for each in writes:
            at = (each["table"], each.get("part", ""), each["key"])
            row = {"table": at[0], "part": at[1], "key": at[2], "value": each["value"],
                   "ver": self.version}
            self.rows[at] = row
            self.history.append(row)
        for each in remove:
            at = (each["table"], each.get("part", ""), each["key"])
            self.rows.pop(at, None)
            self.history.append({"table": at[0], "part": at[1], "key": at[2],
                                 "ver": self.version, "tombstone": True})
        async with self.changed:
            self.changed.notify_all()
        return 200, {"ver": self.version}

    async def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await self.apply([], [{"table": table, "key": key, "value": text}], [])

    async def remove(self, table, key):
        await self.apply([], [], [{"table": table, "key": key}])

    def forget_history(self):
        self.forgotten = self.version

    async def handle(self, method, target, _headers, body):
        await asyncio.sleep(self.slow_s)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/rows-tx":
            return await self.transact(json.loads(body))
        if url.path == "/-/rows-get":
            return self.get(query)
        if url.path == "/-/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def transact(self, given):
        entries = given["expected"] + given["writes"] + given["remove"]
        parts = {each.get("part", "") for each in entries}
        if len(parts) > 1 or len(entries) > 100:
            return 400, {"error": "one partition, at most 100 entries"}
        lock = self.part_locks.setdefault(parts.pop() if parts else "", asyncio.Lock())
        async with lock:
            await asyncio.sleep(TRANSACTION_S)
            return await self.apply(given["expected"], given["writes"], given["remove"])

    def get(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        found = sorted((at, row) for at, row in self.rows.items()
                       if at[0] == query["table"] and at[1] == query.get("part", "")
                       and at[2] >= query.get("from", "")
                       and ("target" not in query or at[2] < query["target"]))
        return 200, {"rows": [row for _, row in found[:limit]], "morePages": len(found) > limit,
                     "ver": self.version}

    async def feed(self, query):
        after = int(query["after"])
        until = now() + int(query["waitMs"]) / 1000
        while True:
            if after < self.forgotten:
                return 410, {}
            rows = [row for row in self.history
                    if row["table"] == query["table"] and row["ver"] > after]
            if rows or now() >= until:
                return 200, {"rows": rows, "ver": self.version}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), max(until - now(), 0.001))
            except asyncio.TimeoutError:
                pass


class Worker:
    """One life of a worker."""

    def __init__(self, platform, worker_id, machine, service):
        self.platform = platform
        self.id = worker_id
        self.machine = machine
        self.service = service
        self.token = 0
        self.running = {}  # (task, attempt) -> finishing asyncio task
        self.highest = {}
        self.ended = []
        self.sequence = 0
        self.lease = 0.0
        self.changed = asyncio.Condition()
        self.alive = True
        self.late_share = 0.0
        self.http = HttpService(self.handle)

    def clock(self):
        return int(now() * 1000 * 0.99)

    def entry(self, port):
        return {"service": self.service, "address": f"127.0.0.1:{port}", "zone": "z",
                "version": "v", "capacity": 8, "state": "ready", "callSeq": 1,
                "freeCapacity": {"cpu": 8000, "memMb": 8000, "gpu": 0}, "labels": ["a", "r1"],
                "machine": self.machine}

    async def watch_lease(self):
        while self.alive:
            await asyncio.sleep(0.05)
            if self.clock() > self.lease:
                for run in list(self.running):
                    await self.finish(run, "lapsed")
                self.void_ends()

    def void_ends(self):
        for _, task, _, how, _ in self.ended:
            state = self.platform.judge.task(task)
            if how == "done" and not state["noted"]:
                state["done"] = False

    async def die(self):
        self.alive = False
        for run, finishing in list(self.running.items()):
            finishing.cancel()
            self.platform.judge.task(run[0])["running"] -= 1
        self.running.clear()
        self.void_ends()
        await self.http.stop()

    async def finish(self, run, how):
        finishing = self.running.pop(run, None)
        if finishing is None:
            return
        if finishing is not asyncio.current_task():
            finishing.cancel()
        task = self.platform.judge.task(run[0])
        task["running"] -= 1
        if how == "done":
            task["done"] = task["ever_done"] = True
        self.highest[run[0]] = max(self.highest.get(run[0], 0), run[1])
        self.sequence += 1
        self.ended.append([self.sequence, run[0], run[1], how, ""])
        async with self.changed:
            self.changed.notify_all()

    async def work(self, run, seconds):
        await asyncio.sleep(seconds)
        await self.finish(run, "done")

    async def handle(self, _method, target, headers, body):
        if headers.get("plantaindoor-expect-instance", self.id) != self.id:
            return 421, {}
        given = json.loads(body)
        if given["fencingToken"] < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        if self.platform.random.random() < self.late_share and target != "/-/hold":
            asyncio.get_running_loop().create_task(self.carry_out_late(target, given))
            await asyncio.sleep(30)
        return await self.carry_out(target, given, False)

    async def carry_out_late(self, target, given):
        await asyncio.sleep(self.platform.random.uniform(1, 6))
        if self.alive and given["fencingToken"] >= self.token:
            await self.carry_out(target, given, True)

    async def carry_out(self, target, given, late):
        self.token = max(self.token, given["fencingToken"])
        if target == "/-/run-start":
            return self.start(given, late)
        if target == "/-/run-stop":
            run = (given["task"], given["attempt"])
            self.highest[run[0]] = max(self.highest.get(run[0], 0), run[1])
            asyncio.get_running_loop().call_later(
                STOP_S, lambda: asyncio.ensure_future(self.finish(run, "stopped")))
        if target == "/-/hold":
            return await self.hold(given)
        return 200, {"clockMs": self.clock()}

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + LONGEST_LEASE_S * 1000))

    def start(self, given, late):
        run = (given["task"], given["attempt"])
        if run in self.running:
            return 200, {"clockMs": self.clock()}
        if run[1] <= self.highest.get(run[0], 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if given["deadlineMs"] <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.extend(given["deadlineMs"])
        self.platform.judge.started(run[0], run[1], self.id, late)
        self.platform.judge.task(run[0])["running"] += 1
        seconds = float(json.loads(given["spec"])["seconds"])
        self.running[run] = asyncio.get_running_loop().create_task(self.work(run, seconds))
        return 200, {"clockMs": self.clock()}

    async def hold(self, given):
        for each in self.ended:
            if each[0] <= given.get("ackSeq", 0) and each[3] == "done":
                self.platform.judge.task(each[1])["noted"] = True
        self.ended = [each for each in self.ended if each[0] > given.get("ackSeq", 0)]
        if "deadlineMs" in given:
            self.extend(given["deadlineMs"])
        until = now() + min(given.get("waitMs", 0), 2000) / 1000
        while not self.ended and now() < until:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), max(until - now(), 0.001))
            except asyncio.TimeoutError:
                pass
        return 200, {"clockMs": self.clock(), "finished": self.ended[:500],
                     "running": [[task, attempt, "", 100, 0] for task, attempt in self.running]}


class Platform:
    """All of it: the store, some workers and their machines."""

    def __init__(self, random, workers, service="checks"):
        self.random = random
        self.judge = Judge()
        self.store = Store()
        self.service = service
        self.count = workers
        self.workers = []
        self.lives = 0
        self.machines = HttpService(self.list_machines)

    async def start(self):
        await self.store.http.start()
        await self.machines.start()
        for index in range(self.count):
            self.workers.append(None)
            await self.begin_worker(index)

    async def begin_worker(self, index, port=0):
        self.lives += 1
        worker = Worker(self, f"w{index}-{self.lives}", f"m{index}", self.service)
        self.workers[index] = worker
        await worker.http.start(port)
        asyncio.get_running_loop().create_task(worker.watch_lease())
        await self.store.put("servers", worker.id, worker.entry(worker.http.port))

    async def crash_worker(self, index, down_s):
        """Ends a worker's life; another begins at the same address."""
        worker = self.workers[index]
        if not worker.alive:
            return
        port = worker.http.port
        await worker.die()
        await asyncio.sleep(down_s)
        await self.store.remove("servers", worker.id)
        await self.begin_worker(index, port)

    async def list_machines(self, _method, _target, _headers, _body):
        return 200, {"machines": [{"machine": each.machine, "pool": self.service, "state": "up",
                                   "zone": "z", "labels": ["a", "r1"], "id": each.id}
                                  for each in self.workers], "nextToken": None}
