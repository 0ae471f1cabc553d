"""A stand-in for the users' platform, for the scripts of the review: the store of rows, the workers
and the list of machines, in one process and on loopback addresses. It follows PROTOCOL.md and
writes what it sees to a record. Where the pages are silent it behaves like a sound platform."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

TX_S = 0.008
ANSWER_S = 0.002
FINISHED_ROWS = 500  # PROTOCOL.md, Running tasks: "returned again (500 at a time)"


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, one line each, with seconds since the start."""

    def __init__(self, path):
        self.out = open(path, "w", encoding="utf-8")
        self.began = now()

    def add(self, text):
        self.out.write(f"{now() - self.began:9.3f} {text}\n")

    def close(self):
        self.out.close()


class Connection(asyncio.Protocol):
    """One HTTP/1.1 connection; requests are answered in order."""

    def __init__(self, service):
        self.service = service
        self.buffer = b""
        self.queue = asyncio.Queue()
        self.task = None

    def connection_made(self, transport):
        self.transport = transport
        self.service.connections.add(self)
        self.task = asyncio.get_running_loop().create_task(self.run())

    def connection_lost(self, _error):
        self.service.connections.discard(self)
        self.task.cancel()

    def data_received(self, data):
        self.buffer += data
        while True:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.buffer[:end].decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            size = int(headers.get("content-length", 0))
            if len(self.buffer) < end + 4 + size:
                return
            body = self.buffer[end + 4:end + 4 + size]
            self.buffer = self.buffer[end + 4 + size:]
            method, target, _ = lines[0].split(" ")
            self.queue.put_nowait((method, target, headers, body))

    async def run(self):
        while True:
            answer = await self.service.handler(*await self.queue.get())
            if answer is None:  # The answer is lost; the connection delivers nothing further.
                continue
            status, value = answer
            text = json.dumps(value).encode()
            if not self.transport.is_closing():
                self.transport.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)


class HttpService:
    """Handlers return (status, JSON value), or None for no answer."""

    def __init__(self, handler):
        self.handler = handler
        self.connections = set()
        self.server = None
        self.port = None

    async def start(self, port=0):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Connection(self), "127.0.0.1", port,
                                               backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        self.server.close()
        for each in list(self.connections):
            each.transport.abort()


class Store:
    """Versioned rows in partitions of tables, with a change feed."""

    ROW_BYTES = 65536

    def __init__(self, record):
        self.record = record
        self.version = 0
        self.rows = {}
        self.history = []
        self.waiting = set()  # Futures of the calls that wait for a change.
        self.locks = {}
        self.began = now()
        self.down = False  # Answers 503 to every call and does nothing.
        self.before_answer = None  # An async hook: (request body) -> None, for a slow store.
        self.http = HttpService(self.handle)

    async def apply(self, expected, writes, remove):
        for condition in expected:
            address = (condition["table"], condition.get("part", ""), condition["key"])
            row = self.rows.get(address)
            if (row["ver"] if row else 0) != condition.get("ver", 0):
                addresses = [(e["table"], e.get("part", ""), e["key"]) for e in expected]
                return 412, {"rows": [self.rows[a] for a in addresses if a in self.rows],
                             "ver": self.version, "nowMs": self.now_ms()}
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
        self.wake()
        return 200, {"ver": self.version, "nowMs": self.now_ms()}

    async def set_down(self, down):
        self.down = down
        self.record.add(f"store: {'down, answers 503' if down else 'up again'}")
        self.wake()

    def wake(self):
        for each in self.waiting:
            if not each.done():
                each.set_result(None)

    def now_ms(self):
        return int((now() - self.began) * 1000)

    async def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await self.apply([], [{"table": table, "key": key, "value": text}], [])

    async def remove(self, table, key):
        await self.apply([], [], [{"table": table, "key": key}])

    def value(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None else base64.b64decode(row["value"]).decode()

    async def handle(self, _method, target, _headers, body):
        await asyncio.sleep(ANSWER_S)
        if self.down:
            return 503, {}
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/rows-tx":
            request = json.loads(body)
            answer = await self.transact(request)
            if self.before_answer is not None:
                await self.before_answer(request, answer)
            return answer
        if url.path == "/-/rows-get":
            return self.get(query)
        if url.path == "/-/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def transact(self, request):
        operations = request["expected"] + request["writes"] + request["remove"]
        parts = {each.get("part", "") for each in operations}
        if len(parts) > 1 or len(operations) > 100:
            return 400, {"error": "one part, at most 100 entries"}
        for each in request["writes"]:
            if len(each["value"]) > self.ROW_BYTES * 4 // 3 + 4:
                self.record.add(f"store: refused row {each['key']} of {len(each['value'])} bytes")
                return 400, {"error": "row too large"}
        lock = self.locks.setdefault(parts.pop() if parts else "", asyncio.Lock())
        async with lock:
            await asyncio.sleep(TX_S)
            return await self.apply(request["expected"], request["writes"], request["remove"])

    def get(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        found = sorted((address, row) for address, row in self.rows.items()
                       if address[0] == query["table"] and address[1] == query.get("part", "")
                       and address[2] >= query.get("from", "")
                       and ("target" not in query or address[2] < query["target"]))
        return 200, {"rows": [row for _, row in found[:limit]], "morePages": len(found) > limit,
                     "ver": self.version, "nowMs": self.now_ms()}

    async def feed(self, query):
        after = int(query["after"])
        until = now() + int(query["waitMs"]) / 1000
        while True:
            if self.down:
                return 503, {}
            rows = []
            for row in reversed(self.history):
                if row["ver"] <= after:
                    break
                if row["table"] == query["table"]:
                    rows.append(row)
            if rows or now() >= until:
                rows.reverse()
                return 200, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
            changed = asyncio.get_running_loop().create_future()
            self.waiting.add(changed)
            await asyncio.wait([changed], timeout=max(until - now(), 0.001))
            self.waiting.discard(changed)


class Worker:
    """One life of a worker on a machine."""

    def __init__(self, platform, worker_id, machine, service, cpu, rack, work):
        self.platform, self.record = platform, platform.record
        self.id, self.machine, self.service = worker_id, machine, service
        self.cpu, self.rack, self.work = cpu, rack, work
        self.token = 0
        self.running = {}  # (task, attempt) -> {"timer", "percent"}
        self.highest = {}
        self.ended = []
        self.sequence = 0
        self.used = 0
        self.lease = 0.0
        self.began = now()
        self.call_seq = 0
        self.changed = asyncio.Event()
        self.alive = True
        self.http = HttpService(self.handle)

    def clock(self):
        return int((now() - self.began) * 1000) + 100000

    async def start(self):
        await self.http.start()
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.watch_lease()), loop.create_task(self.beat())]

    def stop(self, reason):
        """Everything on the worker ends at once, without a list of its ends."""
        self.alive = False
        for each in self.tasks:
            each.cancel()
        for run, state in self.running.items():
            state["timer"].cancel()
            self.platform.checker.run_over(run, self.id)
            self.record.add(f"worker {self.id}: {run[0]} run {run[1]} ends: {reason}")
        self.running.clear()
        self.platform.checker.worker_gone(self.id)
        self.http.stop()

    async def beat(self):
        while True:
            self.call_seq += 1
            await self.platform.store.put("servers", self.id, {
                "service": self.service, "address": f"127.0.0.1:{self.http.port}", "zone": "z",
                "version": "v", "capacity": 8, "state": "ready", "callSeq": self.call_seq,
                "freeCapacity": {"cpu": self.cpu, "memMb": 262144, "gpu": 0},
                "labels": ["a", self.rack], "machine": self.machine})
            await asyncio.sleep(1.5)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.clock() > self.lease:
                if self.running:
                    for run in list(self.running):
                        self.end(run, "lapsed")
                self.platform.checker.lease_lapsed(self.id)

    def end(self, run, how):
        state = self.running.pop(run, None)
        if state is None:
            return
        state["timer"].cancel()
        self.used -= state["cpu"]
        self.highest[run[0]] = max(self.highest.get(run[0], 0), run[1])
        self.sequence += 1
        self.ended.append([self.sequence, run[0], run[1], how, ""])
        self.record.add(f"worker {self.id}: end {self.sequence}: {run[0]} run {run[1]} {how}")
        self.platform.checker.run_over(run, self.id)
        self.platform.checker.run_ended(run, self.id, self.sequence, how)
        self.changed.set()

    async def handle(self, method, target, headers, body):
        if not self.alive:
            return None
        if headers.get("plantaindoor-expect-instance", self.id) != self.id:
            return 421, {}
        request = json.loads(body)
        if request.get("fencingToken", 0) < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = request.get("fencingToken", 0)
        if target == "/-/run-start":
            return self.start_run(request)
        if target == "/-/run-stop":
            run = (request["task"], request["attempt"])
            self.record.add(f"worker {self.id}: stop of {run[0]} run {run[1]}")
            self.highest[run[0]] = max(self.highest.get(run[0], 0), run[1])
            asyncio.get_running_loop().call_later(0.1, self.end, run, "stopped")
            return 200, {"clockMs": self.clock()}
        if target == "/-/hold":
            return await self.hold(request)
        return 200, {"clockMs": self.clock()}

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + self.platform.hold_max_ms))

    def start_run(self, request):
        run = (request["task"], request["attempt"])
        if run in self.running:
            return 200, {"clockMs": self.clock()}
        answer, reason = 409, ""
        step = self.platform.checker.step_of(run[0])
        cpu = step.get("cpu", 0) if step else 0
        if run[1] <= self.highest.get(run[0], 0):
            self.extend(request["deadlineMs"])
            reason = "old"
        elif request["deadlineMs"] <= self.clock():
            reason = "late"
        elif self.used + cpu > self.cpu:
            self.extend(request["deadlineMs"])
            reason = "room"
        if reason:
            self.record.add(f"worker {self.id}: start of {run[0]} run {run[1]}: 409 {reason}")
            return answer, {"clockMs": self.clock(), "reason": reason}
        self.extend(request["deadlineMs"])
        self.used += cpu
        seconds, how = self.work(run, request["spec"])
        timer = asyncio.get_running_loop().call_later(seconds, self.end, run, how)
        self.running[run] = {"timer": timer, "cpu": cpu}
        self.record.add(f"worker {self.id}: start of {run[0]} run {run[1]}: 200")
        self.platform.checker.started(run, self.id, request["spec"])
        return 200, {"clockMs": self.clock()}

    async def hold(self, request):
        acknowledged = request.get("ackSeq", 0)
        if any(each[0] <= acknowledged for each in self.ended):
            self.record.add(f"worker {self.id}: ends up to {acknowledged} are taken note of")
            self.platform.checker.noted(self.id, acknowledged)
            self.ended = [each for each in self.ended if each[0] > acknowledged]
        if "deadlineMs" in request:
            self.extend(request["deadlineMs"])
        until = now() + min(request.get("waitMs", 0), 2000) / 1000
        while not self.ended and now() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), max(until - now(), 0.001))
            except asyncio.TimeoutError:
                pass
        listed = self.ended[:FINISHED_ROWS]
        if self.ended:
            self.record.add(f"worker {self.id}: hold by token {request.get('fencingToken', 0)}: "
                            f"{len(self.running)} running, {len(listed)} of {len(self.ended)} ends")
        return 200, {"clockMs": self.clock(), "finished": listed,
                     "running": [[task, attempt, "", 100, 0] for task, attempt in self.running]}


class Checker:
    """The rules as written, as far as the scripts need them. `broken` lists what breaks one."""

    def __init__(self, record):
        self.record = record
        self.bodies = {}  # job -> body
        self.running = {}  # task -> set of (worker, run)
        self.starts = {}  # task -> [(time, worker, run)]
        self.ends = {}  # worker -> {sequence: dict}
        self.all_ends = []
        self.done = {}  # task -> [end], the ends `done` of the task
        self.broken = []

    def breaks(self, rule, text):
        self.broken.append((rule, text))
        self.record.add(f"RULE {rule}: {text}")

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        body = self.bodies.get(job)
        return body["steps"][int(step)] if body else None

    def started(self, run, worker, spec):
        job, occurrence, number, _ = run[0].split(".")
        others = self.running.setdefault(run[0], set())
        if others:
            self.breaks("TWICE", f"{run[0]} run {run[1]} begins on {worker} while it runs: {others}")
        others.add((worker, run))
        self.starts.setdefault(run[0], []).append((now(), worker, run))
        for end in self.done.get(run[0], []):
            end["starts_after"].append(f"run {run[1]} on {worker}")
            if end["noted"]:
                self.report_second(run[0], end)
        body = self.bodies.get(job)
        if body is None or body["spec"] != spec:
            self.breaks("UNASKED", f"{run[0]} begins on {worker}, which nobody sent so")

    def run_over(self, run, worker):
        self.running.get(run[0], set()).discard((worker, run))

    def run_ended(self, run, worker, sequence, how):
        end = {"at": now(), "noted": False, "noted_at": None, "void": False, "starts_after": [], "how": how, "run": run,
               "worker": worker, "reported": False}
        self.ends.setdefault(worker, {})[sequence] = end
        self.all_ends.append(end)
        if how == "done":
            self.done.setdefault(run[0], []).append(end)

    def lease_lapsed(self, worker):
        for sequence in list(self.ends.get(worker, {})):
            end = self.ends[worker][sequence]
            if not end["noted"]:
                end["void"] = True

    def worker_gone(self, worker):
        self.ends.pop(worker, None)

    def noted(self, worker, upto):
        ends = self.ends.get(worker, {})
        for sequence in [each for each in ends if each <= upto]:
            end = ends.pop(sequence)
            end["noted_at"] = now()
            if not end["void"]:
                end["noted"] = True
                if end["starts_after"]:
                    self.report_second(end["run"][0], end)

    def report_second(self, task, end):
        if not end["reported"]:
            end["reported"] = True
            self.breaks("TWICE", f"{task}: run {end['run'][1]} ended done on {end['worker']} and that "
                                 f"end is taken note of, yet it was started again: "
                                 f"{', '.join(end['starts_after'])}")


class Platform:
    """The whole platform. `work(run, spec)` gives the seconds that a run takes and how it ends."""

    def __init__(self, record, work, hold_max_ms=10000):
        self.record, self.work, self.hold_max_ms = record, work, hold_max_ms
        self.checker = Checker(record)
        self.store = Store(record)
        self.workers = {}  # machine -> Worker, or None
        self.machines = {}  # machine -> {"pool", "state", "rack", "cpu"}
        self.lives = 0
        self.waves = {}
        self.maintenance_s = 2.0
        self.http = HttpService(self.handle)

    async def start(self):
        await self.store.http.start()
        await self.http.start()

    async def add_machine(self, machine, pool, cpu, rack):
        self.machines[machine] = {"pool": pool, "state": "up", "rack": rack, "cpu": cpu}
        await self.start_worker(machine)

    async def start_worker(self, machine):
        about = self.machines[machine]
        self.lives += 1
        worker = Worker(self, f"w{self.lives}-{machine}", machine, about["pool"], about["cpu"],
                        about["rack"], self.work)
        await worker.start()
        about["state"] = "up"
        self.workers[machine] = worker

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(ANSWER_S)
        if method == "GET" and urlsplit(target).path == "/-/machines":
            return 200, {"machines": [self.row_of(name) for name in sorted(self.machines)],
                         "nextToken": None}
        if target == "/-/machine-upkeep":
            return self.upkeep(headers, json.loads(body))
        return 409, {"reason": "busy"}

    async def add_wave(self, number, machines, cap, deadline_s):
        self.waves[number] = {"cap": cap, "machines": machines, "begun": set(), "down": set()}
        self.record.add(f"operator: wave {number} of {len(machines)} machines, cap {cap}")
        await self.store.put("op", f"wave/{number}", {"wave": number, "machines": machines,
                                                     "deadlineS": deadline_s, "cap": cap})

    def upkeep(self, headers, order):
        holder = headers.get("plantaindoor-lease-holder", "")
        token = int(headers.get("plantaindoor-fencing-token", 0))
        name, wave = order["machine"], self.waves.get(order["wave"])
        if name not in self.machines:
            return 400, {}
        if wave is None or name not in wave["machines"]:
            return 409, {"reason": "wave"}
        text = f"machines: upkeep of {name} in wave {order['wave']} by {holder}, token {token}"
        if name in wave["begun"]:
            self.record.add(text + ": 200, is already done")
            return 200, {}
        if self.machines[name]["state"] != "up":
            self.record.add(text + ": 409 busy")
            return 409, {"reason": "busy"}
        self.record.add(text + f": 200, {len(wave['down'])} of the wave are down")
        if len(wave["down"]) >= wave["cap"]:
            self.checker.breaks("LIMIT", f"{name} is taken down for upkeep by {holder}, token {token}, "
                                         f"beside {sorted(wave['down'])}; {wave['cap']} of the wave may "
                                         f"be down at once")
        wave["begun"].add(name)
        wave["down"].add(name)
        self.machines[name]["state"] = "upkeep"
        worker = self.workers[name]
        self.workers[name] = None
        worker.stop("its machine is taken down for upkeep")
        asyncio.get_running_loop().call_later(
            self.maintenance_s, lambda: asyncio.ensure_future(self.finish_upkeep(name, worker, wave)))
        return 200, {}

    async def finish_upkeep(self, name, worker, wave):
        wave["down"].discard(name)
        await self.store.remove("servers", worker.id)
        await self.start_worker(name)
        self.record.add(f"machines: {name} is back from upkeep")

    def row_of(self, name):
        about = self.machines[name]
        worker = self.workers.get(name)
        return {"machine": name, "pool": about["pool"], "state": about["state"], "zone": "z",
                "labels": ["a", about["rack"]],
                "freeCapacity": {"cpu": about["cpu"], "memMb": 262144, "gpu": 0},
                "id": worker.id if worker else ""}

    def stop(self):
        for worker in self.workers.values():
            if worker and worker.alive:
                worker.stop("the script is over")
        self.store.http.stop()
        self.http.stop()
