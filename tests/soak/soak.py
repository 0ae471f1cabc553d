#!/usr/bin/env python3
"""Runs real entries against the stand-in platform under faults from outside, and judges what
callers and workers see. `soak.py --seed 7 --seconds 20`; exit 1 when a promise was broken."""

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile

from platform_stand_in import Platform, now
from proxy import Proxy

ENTRIES = 3
WORKERS = 4
HOST = "soak.example"
SETTLE_S = 12
"""After the last fault everything that was accepted has to come to its end within this time."""
FINISH_S = 30

SETTINGS = """
entry: {name}
availability_zone: z
first_start: false
listen:
  callers: 127.0.0.1:{callers}
  ready: 127.0.0.1:{ready}
  peers: 127.0.0.1:{peers}
  metrics: 127.0.0.1:{metrics}
platform:
  store: 127.0.0.1:{store}
  machines: 127.0.0.1:{machines}
strength:
  core_share: 0.5
  cores: 1
  link_mbps: 1000
bounds:
  stop_ms: 300
  longest_lease_ms: 10000
  notice_ms: 4500
  kept_state_s: 120
  stop_grace_s: 6
"""

CONFIG = {"version": 1, "limits": {"maxBodyBytes": 262144},
          "routes": [{"name": "r", "host": HOST, "pathPrefix": "/q/", "kind": "unsafe",
                      "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 0,
                      "service": "checks", "maxAttempts": 4, "stretch": 1.6}],
          "services": [{"name": "checks", "healthPath": "/health", "enforceLimits": True}]}


class Ports:
    """Hands out ports below those that the system gives to outgoing connections, so that none is
    taken while an entry is down; runs of different seeds begin at different ones."""

    FIRST, LAST, EACH = 20000, 32000, 24

    def __init__(self, seed):
        self.next = self.FIRST + seed * self.EACH % (self.LAST - self.FIRST)

    def take(self):
        while True:
            port, self.next = self.next, self.next + 1
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue


class Entry:
    """One entry: its process, and its own way to the store."""

    def __init__(self, name, program, folder, platform, ports):
        self.name, self.program, self.platform = name, program, platform
        self.settings = os.path.join(folder, name + ".yaml")
        self.log = os.path.join(folder, name + ".log")
        self.store = Proxy(platform.store.http.port)
        self.ports = {kind: ports.take() for kind in ("callers", "ready", "peers", "metrics")}
        self.process = None
        self.lock = asyncio.Lock()
        self.closed = False

    async def prepare(self):
        await self.store.start()
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(SETTINGS.format(name=self.name, store=self.store.port,
                                      machines=self.platform.machines.port, **self.ports))

    async def ensure(self):
        """Starts the process unless one runs; overlapping faults may ask for it together."""
        async with self.lock:
            if self.alive() or self.closed:
                return
            with open(self.log, "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    self.program, "--config", self.settings, stdout=log, stderr=log)

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Signals the present process and returns it, as another may be started meanwhile."""
        if self.alive():
            self.process.send_signal(number)
        return self.process

    async def end(self):
        self.closed = True
        async with self.lock:
            if self.alive():
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
                await self.process.wait()


async def request(port, method, path, body=None, timeout=3.0):
    """The status and body of one answer; status 0 where none came."""
    async def talk():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            text = json.dumps(body).encode() if body is not None else b""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
                         f"Plantaindoor-Deadline-Ms: 3000\r\n"
                         f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
            answer = await reader.read()
            head, _, rest = answer.partition(b"\r\n\r\n")
            return int(head.split(b" ")[1]), rest
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(talk(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, b""


class Soak:
    """One seeded run."""

    def __init__(self, seed, seconds, program, folder):
        self.random = random.Random(seed)
        self.ports = Ports(seed)
        self.seconds = seconds
        self.platform = Platform(random.Random(seed + 1), WORKERS)
        self.program, self.folder = program, folder
        self.entries = []
        self.accepted = {}
        self.count = 0
        self.events = []

    @property
    def judge(self):
        return self.platform.judge

    def entry(self):
        return self.random.choice(self.entries)

    async def run(self):
        await self.platform.start()
        await self.platform.store.put("op", "config", CONFIG)
        for index in range(ENTRIES):
            self.entries.append(
                Entry(f"e{index}", self.program, self.folder, self.platform, self.ports))
            await self.entries[-1].prepare()
            await self.entries[-1].ensure()
        try:
            await asyncio.sleep(2)
            callers = asyncio.create_task(self.call())
            await self.disturb()
            await callers
            await self.settle()
            await self.check_ends()
        finally:
            for entry in self.entries:
                await entry.end()
        return self.judge.broken

    async def call(self):
        until = now() + self.seconds
        calls = []
        while now() < until:
            calls.append(asyncio.create_task(self.submit()))
            await asyncio.sleep(self.random.uniform(0.05, 0.3))
        await asyncio.gather(*calls)

    def make_job(self):
        tasks = self.random.randint(1, 4)
        steps = [{"count": tasks, "cpu": 500, "memMb": 100, "estimateMs": 400}]
        if self.random.random() < 0.5:
            steps.append({"count": 1, "cpu": 500, "memMb": 100, "estimateMs": 400, "after": [0]})
        return {"spec": json.dumps({"seconds": round(self.random.uniform(0.1, 1.0), 2)}),
                "steps": steps}

    async def submit(self):
        self.count += 1
        job = f"{self.random.getrandbits(64):016x}"
        self.judge.jobs[job] = self.make_job()
        answers = []
        for _ in range(5):
            status, _ = await request(self.entry().ports["callers"], "POST", f"/q/{job}",
                                      self.judge.jobs[job])
            answers.append(status)
            if status == 200:
                self.accepted[job] = now()
                break
            await asyncio.sleep(0.2)
        if all(status in (429, 503) for status in answers):
            self.judge.refused.add(job)
        if job in self.accepted and self.random.random() < 0.1:
            await self.cancel(job)

    async def cancel(self, job):
        for _ in range(10):
            status, _ = await request(self.entry().ports["callers"], "DELETE", f"/q/{job}")
            if status in (200, 410):
                self.judge.cancelled[job] = now()
                return
            await asyncio.sleep(0.3)

    async def disturb(self):
        until = now() + self.seconds
        running = []
        while now() < until:
            running.append(asyncio.create_task(self.one_fault()))
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
        await asyncio.gather(*running)

    async def one_fault(self):
        faults = [self.kill, self.pause, self.terminate, self.store_fault, self.store_reset,
                  self.worker_crash, self.worker_late, self.forget, self.kill_all]
        fault = self.random.choice(faults)
        self.judge.disturbed_until = now() + 1000
        self.events.append((round(now(), 2), fault.__name__))
        await fault()
        self.judge.disturbed_until = now() + 3

    async def kill(self):
        entry = self.entry()
        killed = entry.signal(signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(0.1, 2.0))
        await self.revive(entry, killed)

    async def revive(self, entry, ended):
        await ended.wait()
        await entry.ensure()

    async def kill_all(self):
        killed = [(entry, entry.signal(signal.SIGKILL)) for entry in self.entries]
        await asyncio.sleep(0.5)
        for entry, process in killed:
            await self.revive(entry, process)

    async def pause(self):
        entry = self.entry()
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 5.0))
        entry.signal(signal.SIGCONT)

    async def terminate(self):
        entry = self.entry()
        entry.signal(signal.SIGCONT)
        await self.revive(entry, entry.signal(signal.SIGTERM))

    async def store_fault(self):
        proxy = self.entry().store
        proxy.mode = self.random.choice(Proxy.MODES[1:])
        if proxy.mode == "refuse":
            proxy.reset()
        await asyncio.sleep(self.random.uniform(0.5, 5.0))
        proxy.mode = "pass"

    async def store_reset(self):
        self.entry().store.reset()

    async def worker_crash(self):
        await self.platform.crash_worker(self.random.randrange(WORKERS),
                                         self.random.uniform(0.1, 3.0))

    async def worker_late(self):
        worker = self.random.choice(self.platform.workers)
        worker.late_share = 0.3
        await asyncio.sleep(self.random.uniform(1, 4))
        worker.late_share = 0.0

    async def forget(self):
        self.platform.store.forget_history()

    async def settle(self):
        for entry in self.entries:
            entry.signal(signal.SIGCONT)
            entry.store.mode = "pass"
            await entry.ensure()
        await asyncio.sleep(SETTLE_S)

    async def check_ends(self):
        left = set(self.accepted)
        until = now() + FINISH_S
        while left and now() < until:
            for job in sorted(left):
                if await self.check_end(job):
                    left.discard(job)
            await asyncio.sleep(0.3)
        for job in sorted(left):
            self.judge.broken.append(f"an accepted job has no end: {job}")
        running = [name for name, task in self.judge.tasks.items() if task["running"]]
        if running:
            self.judge.broken.append(f"tasks run on: {running}")

    async def check_end(self, job):
        status, body = await request(self.entry().ports["callers"], "GET", f"/q/{job}")
        if status == 410:
            self.judge.broken.append(f"an accepted job is unknown: {job}")
            return True
        if status != 200:
            return False
        state = json.loads(body)["state"]
        if state == "completed":
            for step, spec in enumerate(self.judge.jobs[job]["steps"]):
                for index in range(spec["count"]):
                    if not self.judge.task(f"{job}.0.{step}.{index}")["ever_done"]:
                        self.judge.broken.append(f"completed with a task that isn't done: {job}")
        if state == "cancelled" and job not in self.judge.cancelled:
            # An unanswered cancelling may have been kept all the same.
            self.events.append((round(now(), 2), f"cancelled without an answer: {job}"))
        if state == "failed":
            self.judge.broken.append(f"failed without cause: {job}")
        return state in ("completed", "failed", "cancelled")


def play(seed, seconds, program, keep):
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    soak = Soak(seed, seconds, program, folder)
    broken = asyncio.run(soak.run())
    done = sum(1 for task in soak.judge.tasks.values() if task["ever_done"])
    print(f"seed {seed}: {len(soak.accepted)} of {soak.count} jobs accepted, {done} tasks done, "
          f"{len(soak.judge.refused)} refused, {len(soak.events)} events, "
          f"{len(broken)} broken", flush=True)
    for each in broken:
        print("  " + each)
    if broken or keep:
        print(f"  logs in {folder}; events {soak.events}")
    else:
        for name in os.listdir(folder):
            os.unlink(os.path.join(folder, name))
        os.rmdir(folder)
    return not broken


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1, help="plays this many seeds")
    parser.add_argument("--seconds", type=float, default=20, help="length of the faults")
    parser.add_argument("--keep", action="store_true", help="keeps the logs of good runs too")
    given = parser.parse_args()
    # So that the entries are ended also when this is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    build = os.environ.get("PLANTAINDOOR_BUILD", "build/release")
    program = os.path.join(build, "apps", "plantaindoor_entry")
    good = [play(given.seed + index, given.seconds, program, given.keep)
            for index in range(given.count)]
    print(f"{sum(good)} passed, {len(good) - sum(good)} failed")
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
