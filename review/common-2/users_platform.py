"""Stand-ins of the users' platform for the cases of the second review: a store of rows, workers, a list
of machines, entries as processes, and callers. They follow PROTOCOL.md; only the standard library is
used, and all addresses are loopback addresses."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROW_BYTES = 65536
TX_S = 0.004
BODY_LIMIT = 262144
PROGRAM = "target/apps/plantaindoor_entry"
HOST = "review.example"

SETTINGS = """entry: {name}
availability_zone: hall-a
first_start: {first}
listen:
  callers: 127.0.0.1:{callers}
  ready: 127.0.0.1:{ready}
  peers: 127.0.0.1:{peers}
  metrics: 127.0.0.1:{metrics}
platform:
  store: 127.0.0.1:{store}
  machines: 127.0.0.1:{machines}
strength:
  core_share: 0.25
  cores: 1
  link_mbps: 1000.0
bounds:
  stop_ms: 900
  longest_lease_ms: 10000
  notice_ms: 4500
  kept_state_s: 120
  stop_grace_s: 6
"""


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.start = now()
        self.out = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.out.write(f"{now() - self.start:8.3f} {text}\n")
        self.out.flush()


class Http:
    """A small HTTP/1.1 server. The handler returns (status, object), or None to break the connection."""

    def __init__(self, handler):
        self.handler, self.server, self.port = handler, None, None
        self.tasks = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                text = json.dumps(answer[1]).encode()
                writer.write(f"HTTP/1.1 {answer[0]} x\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()


class Signal:
    def __init__(self):
        self.event = asyncio.Event()

    def notify(self):
        self.event.set()
        self.event = asyncio.Event()

    async def wait(self, seconds):
        try:
            await asyncio.wait_for(self.event.wait(), max(seconds, 0.001))
        except asyncio.TimeoutError:
            pass


class Store:
    """Rows in tables and parts, with a feed. `hook(writes)`, if set, may be awaited before a
    transaction and returns "apply", "lose" (done, not answered) or the seconds after which it is
    done late, without an answer."""

    def __init__(self, record):
        self.record = record
        self.version = 0
        self.rows = {}
        self.history = []
        self.changed = Signal()
        self.locks = {}
        self.hook = None
        self.down_until = 0.0  # answers 503 until then, and does nothing
        self.refused_share = 0.0  # of the calls, alike
        self.random = random.Random(1)
        self.on_commit = None
        self.too_large = 0
        self.http = Http(self.handle)

    def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply([], [{"table": table, "key": key, "value": text}], [])

    def drop(self, table, key):
        self.apply([], [], [{"table": table, "key": key}])

    def value(self, table, part, key):
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row["value"])) if row else None

    def apply(self, expected, writes, remove):
        address = lambda each: (each["table"], each.get("part", ""), each["key"])
        for each in expected:
            row = self.rows.get(address(each))
            if (row["ver"] if row else 0) != each.get("ver", 0):
                present = [self.rows[address(e)] for e in expected if address(e) in self.rows]
                return 412, {"rows": present, "ver": self.version}
        self.version += 1
        for each in writes:
            table, part, key = address(each)
            row = {"table": table, "part": part, "key": key, "value": each["value"],
                   "ver": self.version}
            self.rows[(table, part, key)] = row
            self.history.append(row)
        for each in remove:
            table, part, key = address(each)
            if self.rows.pop((table, part, key), None):
                self.history.append({"table": table, "part": part, "key": key,
                                     "ver": self.version, "tombstone": True})
        self.changed.notify()
        return 200, {"ver": self.version, "nowMs": int(now() * 1000)}

    async def handle(self, _method, target, _headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if now() < self.down_until or self.random.random() < self.refused_share:
            return 503, {}
        if url.path == "/-/rows-tx":
            return await self.transact(json.loads(body), len(body))
        await asyncio.sleep(TX_S)
        if now() < self.down_until:
            return 503, {}
        if url.path == "/-/rows-get":
            return self.get(query)
        if url.path == "/-/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def transact(self, tx, size):
        expected, writes = tx.get("expected", []), tx.get("writes", [])
        remove = tx.get("remove", [])
        entries = expected + writes + remove
        if len({each.get("part", "") for each in entries}) > 1 or len(entries) > 100 or size > 1 << 20:
            return 400, {}
        for each in writes:
            if each["table"] in ("op", "servers"):
                return 403, {}
            if len(base64.b64decode(each["value"])) > ROW_BYTES:
                self.too_large += 1
                self.record(f"store: refuses a transaction: row {each['table']}/{each['key']} has "
                            f"{len(base64.b64decode(each['value']))} bytes, rowBytes is {ROW_BYTES}")
                return 400, {}
        part = entries[0].get("part", "") if entries else ""
        action = await self.hook(writes) if self.hook else "apply"
        async with self.locks.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TX_S)
            if action in ("apply", "lose"):
                answer = self.apply(expected, writes, remove)
            if self.on_commit and action == "apply" and answer[0] == 200:
                self.on_commit(writes)
        if action == "apply":
            return answer
        if action != "lose":
            await asyncio.sleep(action)
            status, _ = self.apply(expected, writes, remove)
            self.record(f"store: a transaction without an answer is done late: {status}")
        await asyncio.sleep(60)
        return None

    def get(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        found = sorted((at, row) for at, row in self.rows.items()
                       if at[0] == query["table"] and at[1] == query.get("part", "")
                       and at[2] >= query.get("from", "")
                       and ("target" not in query or at[2] < query["target"]))
        page, size = [], 0
        for _, row in found[:limit]:
            size += len(row["value"])
            if page and size > 1 << 20:
                break
            page.append(row)
        return 200, {"rows": page, "morePages": len(page) < len(found), "ver": self.version,
                     "nowMs": int(now() * 1000)}

    async def feed(self, query):
        after = int(query["after"])
        until = now() + int(query["waitMs"]) / 1000
        while True:
            rows = [row for row in self.history
                    if row["ver"] > after and row["table"] == query["table"]]
            if rows or now() >= until:
                return 200, {"rows": rows, "ver": self.version, "nowMs": int(now() * 1000)}
            await self.changed.wait(until - now())


class Worker:
    """One life of a worker, which guards its room, fences and leases."""

    def __init__(self, platform, name, machine, service, room, stop_s=0.3, kind="k1"):
        self.platform, self.id, self.machine, self.service = platform, name, machine, service
        self.kind = kind
        self.room, self.stop_s = room, stop_s
        self.token, self.lease, self.sequence = 0, 0, 0
        self.running, self.highest, self.ends = {}, {}, []
        self.changed = Signal()
        self.alive, self.state = True, "ready"
        self.http = Http(self.handle)

    async def start(self, port=0):
        await self.http.start(port)
        self.watch = asyncio.ensure_future(self.watch_lease())
        self.list()

    def list(self):
        self.platform.store.put("servers", self.id, {
            "service": self.service, "address": f"127.0.0.1:{self.http.port}", "zone": "hall-a",
            "version": "v1", "capacity": 8, "state": self.state, "callSeq": 1,
            "freeCapacity": self.room, "labels": [self.kind, "r1-" + self.machine[-1]],
            "machine": self.machine})

    def clock(self):
        return int(now() * 1000)

    async def watch_lease(self):
        while self.alive:
            await asyncio.sleep(0.05)
            if self.clock() > self.lease:
                for run in list(self.running):
                    self.finish(run, "lapsed")
                # An end counts as taken note of only if the lease hasn't lapsed since.
                self.platform.checker.lapsed(each[1] for each in self.ends)

    async def crash(self):
        self.alive = False
        self.watch.cancel()
        for run, doing in list(self.running.items()):
            doing.cancel()
            self.platform.record(f"worker {self.id}: {run[0]} attempt {run[1]} gone with its worker")
            self.platform.checker.ended(self, run, "crashed")
        self.running.clear()
        await self.http.stop()

    def finish(self, run, how):
        doing = self.running.pop(run, None)
        if doing is None:
            return
        doing.cancel()
        self.highest[run[0]] = max(self.highest.get(run[0], 0), run[1])
        self.sequence += 1
        self.ends.append([self.sequence, run[0], run[1], how, ""])
        self.platform.record(f"worker {self.id}: {run[0]} attempt {run[1]} ends {how}")
        self.platform.checker.ended(self, run, how)
        self.changed.notify()
        if how == "done" and self.platform.is_gang(run[0]):
            self.platform.end_gang(run, "done")
        elif self.platform.is_gang(run[0]) and how != "broken":
            self.platform.end_gang(run, "broken")

    async def work(self, run, seconds):
        if self.platform.is_gang(run[0]):
            if not await self.platform.gang_present(run):
                self.finish_soon(run, "alone")
                return
        await asyncio.sleep(seconds)
        self.finish_soon(run, "done")

    def finish_soon(self, run, how):
        asyncio.get_running_loop().call_soon(self.finish, run, how)

    async def handle(self, _method, target, headers, body):
        if headers.get("plantaindoor-expect-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock()}
        request = json.loads(body)
        token = request.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = token
        if target == "/-/run-start":
            return self.start_run(request)
        if target == "/-/run-stop":
            run = (request["task"], request["attempt"])
            self.highest[run[0]] = max(self.highest.get(run[0], 0), run[1])
            if run in self.running:
                asyncio.get_running_loop().call_later(self.stop_s, self.finish, run, "stopped")
            return 200, {"clockMs": self.clock()}
        if target == "/-/hold":
            return await self.hold(request)
        return 200, {"clockMs": self.clock()}

    def used(self, kind):
        return sum(self.platform.step_of(task).get(kind, 0) for task, _ in self.running)

    def start_run(self, request):
        run = (request["task"], request["attempt"])
        refuse = lambda reason: (409, {"clockMs": self.clock(), "reason": reason})
        if run in self.running:
            return 200, {"clockMs": self.clock()}
        if request["deadlineMs"] <= self.clock():
            return refuse("late")
        self.lease = max(self.lease, min(request["deadlineMs"], self.clock() + 10000))
        if run[1] <= self.highest.get(run[0], 0):
            return refuse("old")
        step = self.platform.step_of(run[0])
        if any(self.used(kind) + step.get(kind, 0) > self.room.get(kind, 0)
               for kind in ("cpu", "memMb", "gpu")):
            return refuse("room")
        self.platform.record(f"worker {self.id}: starts {run[0]} attempt {run[1]} token {self.token}")
        self.platform.checker.started(self, run)
        seconds = self.platform.duration_of(run[0])
        self.running[run] = asyncio.ensure_future(self.work(run, seconds))
        self.platform.gang_arrived.notify()
        return 200, {"clockMs": self.clock()}

    async def hold(self, request):
        ack = request.get("ackSeq", 0)
        for each in self.ends:
            if each[0] <= ack:
                self.platform.checker.noted(self, each)
        self.ends = [each for each in self.ends if each[0] > ack]
        if "deadlineMs" in request:
            self.lease = max(self.lease, min(request["deadlineMs"], self.clock() + 10000))
        until = now() + min(request.get("waitMs", 0), 2000) / 1000
        while not self.ends and now() < until and self.alive:
            await self.changed.wait(until - now())
        return 200, {"clockMs": self.clock(), "finished": self.ends[:500],
                     "running": [[task, attempt, "", 100, self.platform.step_of(task).get("cpu", 0)]
                                 for task, attempt in self.running]}


class Checker:
    """Notes what breaks a rule and can be seen by workers."""

    def __init__(self, record):
        self.record = record
        self.broken = []
        self.present = {}  # task -> number of its runs
        self.done, self.noted_done = set(), set()
        self.starts = {}  # task -> times
        self.intervals = {}  # job -> [start, end or None] of its runs, by (worker, run)
        self.listed, self.noted_at = {}, {}  # (worker, number of the end) -> time

    def fail(self, text):
        self.broken.append(text)
        self.record("BROKEN " + text)

    def started(self, worker, run):
        task = run[0]
        self.starts.setdefault(task, []).append(now())
        self.intervals.setdefault(task[:16], {})[(worker.id, run)] = [now(), None]
        if self.present.get(task, 0) > 0:
            self.fail(f"TWICE: two runs of {task} at the same time")
        if task in self.noted_done:
            self.fail(f"TWICE: {task} starts after its end done was taken note of")
        self.present[task] = self.present.get(task, 0) + 1

    def ended(self, worker, run, how):
        self.present[run[0]] -= 1
        self.intervals[run[0][:16]][(worker.id, run)][1] = now()
        if how == "done":
            self.done.add(run[0])
        if how != "crashed":
            self.listed[(worker.id, worker.sequence)] = now()

    def lapsed(self, tasks):
        self.done.difference_update(set(tasks) - self.noted_done)

    def noted(self, worker, end):
        self.noted_at.setdefault((worker.id, end[0]), now())
        if end[3] != "done" or end[1] not in self.done or end[1] in self.noted_done:
            return
        self.noted_done.add(end[1])
        at = self.listed.get((worker.id, end[0]), now())
        if any(start > at + 0.001 for start in self.starts[end[1]]):
            self.fail(f"TWICE: {end[1]} was started after a run had ended done, and that end is taken note of")

    def longest_idle(self, job, accepted, until):
        """The longest time that a job had nothing running, until a moment."""
        longest, covered = 0, accepted
        for begin, end in sorted(self.intervals.get(job, {}).values()):
            longest = max(longest, min(begin, until) - covered)
            covered = max(covered, end if end is not None else until)
        return max(longest, until - covered)

    def unnoted_ends(self, older_s):
        old = [each for each, at in self.listed.items() if now() - at > older_s]
        return [each for each in old if each not in self.noted_at], old


class Platform:
    def __init__(self, record, services, room):
        self.record = record
        self.checker = Checker(record)
        self.store = Store(record)
        self.services, self.room = services, room  # service -> number of workers
        self.workers = []
        self.jobs = {}  # id -> body
        self.gang_arrived = Signal()
        self.machines = Http(self.machine_call)

    async def start(self, config):
        await self.store.http.start()
        await self.machines.start()
        for service, count in self.services.items():
            for number in range(count):
                # One worker of each service is of another kind.
                worker = Worker(self, f"{service}-{number}", f"m-{service}-{number}", service,
                                self.room, kind="k2" if number == 0 else "k1")
                self.workers.append(worker)
                await worker.start()
        self.store.put("op", "config", config)

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def duration_of(self, task):
        return self.step_of(task).get("estimateMs", 500) / 1000

    def is_gang(self, task):
        return self.step_of(task).get("gang", False)

    def members(self, run):
        job, occurrence, step, _ = run[0].split(".")
        prefix = f"{job}.{occurrence}.{step}."
        return [(worker, each) for worker in self.workers for each in list(worker.running)
                if each[0].startswith(prefix) and each[1] == run[1]]

    async def gang_present(self, run):
        until = now() + 3.0
        count = self.step_of(run[0])["count"]
        while now() < until:
            if len(self.members(run)) >= count:
                return True
            await self.gang_arrived.wait(until - now())
        return False

    def end_gang(self, run, how):
        for worker, each in self.members(run):
            worker.finish(each, how)

    async def machine_call(self, method, _target, _headers, _body):
        if method != "GET":
            return 409, {"reason": "busy"}
        return 200, {"machines": [
            {"machine": each.machine, "pool": each.service, "state": "up" if each.alive else "down",
             "zone": "hall-a", "labels": [each.kind, "r1-" + each.machine[-1]],
             "freeCapacity": each.room, "id": each.id if each.alive else ""}
            for each in self.workers]}


TAKEN_PORTS = set()


def free_port():
    """A port below the range from which outgoing connections take theirs."""
    while True:
        port = random.SystemRandom().randrange(10000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in TAKEN_PORTS:
            TAKEN_PORTS.add(port)
            return port


class Entry:
    """A process of the system."""

    def __init__(self, name, folder, platform):
        self.name, self.platform = name, platform
        self.settings = os.path.join(folder, name + ".yaml")
        self.log = os.path.join(folder, name + ".log")
        self.ports = {kind: free_port() for kind in ("callers", "ready", "peers", "metrics")}
        self.process = None

    async def start(self, first=False):
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(SETTINGS.format(name=self.name, store=self.platform.store.http.port,
                                      first="true" if first else "false",
                                      machines=self.platform.machines.port, **self.ports))
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "--config", self.settings, stdout=log, stderr=log)
        self.platform.record(f"entry {self.name} starts")

    async def end(self, how=signal.SIGKILL):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(how)
            await self.process.wait()
            self.platform.record(f"entry {self.name} ended")


async def call(record, entry, method, path, body=None, deadline_ms=3000, timeout=3.0, quiet=False):
    """Returns the status and the parsed body of the answer; status 0 if there was none."""
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.ports["callers"])
        try:
            text = json.dumps(body).encode() if body is not None else b""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
                         f"Content-Type: application/json\r\n"
                         f"Plantaindoor-Deadline-Ms: {deadline_ms}\r\n"
                         f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
            head, _, rest = (await reader.read()).partition(b"\r\n\r\n")
            return int(head.split(b" ")[1]), json.loads(rest) if rest else {}
        finally:
            writer.close()
    sent = now()
    try:
        status, answer = await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        status, answer = 0, {}
    if not quiet:
        record(f"caller: {method} {path} at {entry.name}: {status or 'no answer'} "
               f"{json.dumps(answer)} after {int((now() - sent) * 1000)} ms")
    return status, answer


def config(services, **route):
    return {"version": 1, "limits": {"maxBodyBytes": BODY_LIMIT},
            "routes": [{"name": f"r-{service}", "host": HOST, "pathPrefix": f"/{service}/",
                        "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 0,
                        "service": service, "maxAttempts": 4, "stretch": 1.6, **route}
                       for service in services],
            "services": [{"name": service, "healthPath": "/health", "enforceLimits": True}
                         for service in services]}


async def ready(record, entries, seconds=15):
    until = now() + seconds
    waiting = list(entries)
    while waiting and now() < until:
        for entry in list(waiting):
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", entry.ports["ready"])
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                if b" 200 " in (await reader.read())[:20]:
                    waiting.remove(entry)
                writer.close()
            except OSError:
                pass
        await asyncio.sleep(0.1)
    return not waiting


def run_case(play, services, room, entries=3):
    """Plays a case and exits: play(platform, entries, trouble, record) returns the broken rules."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = os.path.dirname(os.path.abspath(os.environ["CASE"]))
    record = Record(os.path.join(folder, "record.txt"))

    async def main():
        with tempfile.TemporaryDirectory() as temporary:
            platform = Platform(record, services, room)
            await platform.start(config(services))
            all_entries = [Entry(f"front-{n}", temporary, platform) for n in range(1, entries + 1)]
            try:
                for entry in all_entries:
                    await entry.start(first=True)
                if not await ready(record, all_entries):
                    record("the entries don't become ready")
                    return None
                await asyncio.sleep(2)
                broken = await play(platform, all_entries, trouble, record)
                return None if broken is None else broken + platform.checker.broken
            finally:
                for entry in all_entries:
                    await entry.end()
                if os.environ.get("KEEP_LOGS"):
                    for entry in all_entries:
                        os.system(f"cp {entry.log} {os.environ['KEEP_LOGS']}/")

    broken = asyncio.run(main())
    for text in broken or []:
        record("RESULT broken: " + text)
    code = 2 if broken is None else 1 if broken else 0
    record(f"RESULT exit code {code}")
    print(f"exit code {code}: " + ("; ".join(broken[:3]) if broken else "nothing broken"))
    raise SystemExit(code)
