#!/usr/bin/env python3
"""Runs real entries against the stand-in platform, injects process, network and worker faults, and
checks the invariants visible to callers and workers.

Usage: `soak.py --seed 7 --seconds 20`. Exits with 1 if an invariant was violated."""

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile

from config_check import ConfigCheck
from http_service import now
from long_running_check import LongRunningCheck
from platform_stand_in import Platform
from proxy import Proxy
from worker_stand_in import OTHER_SERVICE

ENTRIES = 3
WORKERS = 4
HOST = "soak.example"
CRASHING_SHARE = 0.03
"""Share of the jobs with a task that crashes each worker that starts it."""
BURST_SHARE = 0.02
"""Share of the submissions that are a burst of BURST_JOBS jobs."""
BURST_JOBS = 25
SETTLE_S = 12
"""Time from the last fault to the checks. Every accepted job must then reach a final state within
FINISH_S."""
FINISH_S = 30
MIN_CHECKS = 100
"""Checks of long-running tasks for which the end of the run waits, FINISH_S at most."""

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
          "services": [{"name": name, "healthPath": "/health", "enforceLimits": True}
                       for name in ("checks", OTHER_SERVICE)]}


class Ports:
    """Allocates ports below the ephemeral range, so that no outgoing connection occupies an entry's
    port while the entry is down. Each seed starts at a different port."""

    FIRST_PORT, LAST_PORT, PORTS_PER_SEED = 20000, 32000, 24

    def __init__(self, seed):
        self.next = self.FIRST_PORT + seed * self.PORTS_PER_SEED % (self.LAST_PORT - self.FIRST_PORT)

    def allocate(self):
        while True:
            port, self.next = self.next, self.next + 1
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue


class Entry:
    """An entry process with its own proxy to the store."""

    def __init__(self, name, program, folder, platform, ports):
        self.name, self.program, self.platform = name, program, platform
        self.settings = os.path.join(folder, name + ".yaml")
        self.log = os.path.join(folder, name + ".log")
        self.store_proxy = Proxy(platform.store.http.port)
        self.ports = {kind: ports.allocate() for kind in ("callers", "ready", "peers", "metrics")}
        self.process = None
        self.signalled = None  # the last process that was sent a signal that ends it
        self.end_watch = None
        self.lock = asyncio.Lock()
        self.closed = False

    async def prepare(self):
        await self.store_proxy.start()
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(SETTINGS.format(name=self.name, store=self.store_proxy.port,
                                      machines=self.platform.machines.port, **self.ports))

    async def ensure_running(self):
        """Starts the process if none is running. Overlapping faults may call this concurrently."""
        async with self.lock:
            if self.alive() or self.closed:
                return
            with open(self.log, "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    self.program, "--config", self.settings, stdout=log, stderr=log)
            self.end_watch = asyncio.create_task(self.watch_end(self.process))

    async def watch_end(self, process):
        code = await process.wait()
        if process is not self.signalled and not self.closed:
            self.platform.checker.violations.append(
                f"entry {self.name} ended by itself with code {code}")

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def signal_process(self, number):
        """Signals the current process and returns it, as a new one may be started concurrently."""
        if self.alive():
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.signalled = self.process
            self.process.send_signal(number)
        return self.process

    async def shut_down(self):
        self.closed = True
        async with self.lock:
            if self.alive():
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
                await self.process.wait()


async def request(port, method, path, body=None, timeout=3.0):
    """Returns the status and body of the answer; status 0 if there was none."""
    async def exchange():
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
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, b""


class Soak:
    """One seeded run."""

    def __init__(self, seed, seconds, program, folder):
        self.random = random.Random(seed)
        self.ports = Ports(seed)
        self.seconds = seconds
        self.platform = Platform(random.Random(seed + 1), WORKERS)
        self.crash_random = random.Random(seed + 2)
        self.program, self.folder = program, folder
        self.entries = []
        self.accepted = {}
        self.count = 0
        self.events = []
        self.disturbances = 0  # unplanned faults under way
        self.config_check = ConfigCheck(self, CONFIG)
        self.checker.in_touch = self.config_check.in_touch
        self.long_running_check = LongRunningCheck(self)

    @property
    def checker(self):
        return self.platform.checker

    def entry(self):
        return self.random.choice(self.entries)

    async def run(self):
        await self.platform.start()
        await self.platform.store.put("op", "config", CONFIG)
        for index in range(ENTRIES):
            self.entries.append(
                Entry(f"e{index}", self.program, self.folder, self.platform, self.ports))
            await self.entries[-1].prepare()
            await self.entries[-1].ensure_running()
        try:
            await asyncio.sleep(2)
            await self.long_running_check.submit_jobs()
            long_running_check = asyncio.create_task(self.long_running_check.run())
            callers = asyncio.create_task(self.run_callers())
            config_check = asyncio.create_task(self.config_check.run(now() + self.seconds))
            await self.inject_faults()
            await callers
            await config_check
            await self.inject(self.hand_over)
            await self.inject(self.drain_workers)
            await self.settle()
            long_running_check.cancel()
            for job in self.long_running_check.jobs:
                await self.cancel(job)
            await self.check_jobs()
        finally:
            for entry in self.entries:
                await entry.shut_down()
        return self.checker.violations

    async def run_callers(self):
        until = now() + self.seconds
        calls = []
        while now() < until:
            jobs = BURST_JOBS if self.random.random() < BURST_SHARE else 1
            calls += [asyncio.create_task(self.submit()) for _ in range(jobs)]
            await asyncio.sleep(self.random.uniform(0.05, 0.3))
        await asyncio.gather(*calls)

    def make_job(self):
        tasks = self.random.randint(1, 4)
        steps = [{"count": tasks, "cpu": 500, "memMb": 100, "estimateMs": 400}]
        if self.random.random() < 0.5:
            steps.append({"count": 1, "cpu": 500, "memMb": 100, "estimateMs": 400, "after": [0]})
        spec = {"seconds": round(self.random.uniform(0.1, 1.0), 2)}
        if self.crash_random.random() < CRASHING_SHARE:
            spec["crashing_task"] = self.crash_random.randrange(tasks)
        return {"spec": json.dumps(spec), "steps": steps}

    async def submit(self):
        self.count += 1
        job = f"{self.random.getrandbits(64):016x}"
        self.checker.jobs[job] = self.make_job()
        answers = []
        for _ in range(5):
            status, _ = await request(self.entry().ports["callers"], "POST", f"/q/{job}",
                                      self.checker.jobs[job])
            answers.append(status)
            if status == 200:
                self.accepted[job] = now()
                break
            await asyncio.sleep(0.2)
        if all(status in (429, 503) for status in answers):
            self.checker.refused.add(job)
        if job in self.accepted and self.random.random() < 0.1:
            await self.cancel(job)

    async def submit_until_accepted(self, body):
        """Submits a job that is cancelled at the end of the run."""
        self.count += 1
        job = f"{self.random.getrandbits(64):016x}"
        self.checker.jobs[job] = body
        status = 0
        while status != 200:
            status, _ = await request(self.entry().ports["callers"], "POST", f"/q/{job}", body)
            await asyncio.sleep(0.1)
        self.accepted[job] = now()
        return job

    async def cancel(self, job):
        for _ in range(10):
            status, _ = await request(self.entry().ports["callers"], "DELETE", f"/q/{job}")
            if status in (200, 410):
                self.checker.cancelled[job] = now()
                return
            await asyncio.sleep(0.3)

    async def get_status(self, entry, path):
        status, _ = await request(entry.ports["callers"], "GET", path)
        return status

    async def inject_faults(self):
        until = now() + self.seconds
        running = []
        while now() < until:
            running.append(asyncio.create_task(self.inject_fault()))
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
        await asyncio.gather(*running)

    async def inject_fault(self):
        faults = [self.kill_entry, self.pause_entry, self.terminate_entry, self.store_fault,
                  self.store_reset, self.store_silence, self.worker_crash, self.worker_delay,
                  self.history_loss, self.kill_all_entries, self.hand_over, self.drain_workers]
        await self.inject(self.random.choice(faults))

    async def inject(self, fault):
        unplanned = fault != self.drain_workers
        self.checker.faults_until = now() + 1000
        self.events.append((round(now(), 2), fault.__name__))
        self.disturbances += unplanned
        await fault()
        self.disturbances -= unplanned
        self.checker.faults_until = now() + 3

    async def kill_entry(self):
        entry = self.entry()
        with self.config_check.disturbing(entry):
            killed = entry.signal_process(signal.SIGKILL)
            await asyncio.sleep(self.random.uniform(0.1, 2.0))
            await self.restart(entry, killed)

    async def restart(self, entry, ended):
        await ended.wait()
        await entry.ensure_running()

    async def kill_all_entries(self):
        with self.config_check.disturbing(*self.entries):
            killed = [(entry, entry.signal_process(signal.SIGKILL)) for entry in self.entries]
            await asyncio.sleep(0.5)
            for entry, process in killed:
                await self.restart(entry, process)

    async def pause_entry(self):
        entry = self.entry()
        with self.config_check.disturbing(entry):
            entry.signal_process(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.5, 5.0))
            entry.signal_process(signal.SIGCONT)

    async def terminate_entry(self):
        entry = self.entry()
        with self.config_check.disturbing(entry):
            entry.signal_process(signal.SIGCONT)
            await self.restart(entry, entry.signal_process(signal.SIGTERM))

    async def hand_over(self):
        """Ends one entry after the other, the leader among them. The restarts may overlap."""
        restarts = []
        for entry in self.random.sample(self.entries, ENTRIES):
            restarts.append(asyncio.create_task(self.end_entry(entry)))
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
        await asyncio.gather(*restarts)

    async def end_entry(self, entry):
        with self.config_check.disturbing(entry):
            entry.signal_process(signal.SIGCONT)
            await self.restart(entry, entry.signal_process(
                self.random.choice((signal.SIGTERM, signal.SIGKILL))))

    async def drain_workers(self):
        """Lets workers leave one after the other, so that their departures may overlap."""
        departures = []
        for index in self.random.sample(range(WORKERS), WORKERS // 2):
            departures.append(asyncio.create_task(self.platform.drain_worker(
                index, self.random.choice((0.0, 2.0)), self.random.uniform(0.0, 4.0))))
            await asyncio.sleep(self.random.uniform(0.3, 2.0))
        await asyncio.gather(*departures)

    async def store_fault(self):
        entry = self.entry()
        proxy = entry.store_proxy
        with self.config_check.disturbing(entry):
            proxy.mode = self.random.choice(Proxy.MODES[1:])
            if proxy.mode == "refuse":
                proxy.reset()
            await asyncio.sleep(self.random.uniform(0.5, 5.0))
            proxy.mode = "pass"

    async def store_reset(self):
        entry = self.entry()
        with self.config_check.disturbing(entry):
            entry.store_proxy.reset()

    async def store_silence(self):
        with self.config_check.disturbing(*self.entries):
            for entry in self.entries:
                entry.store_proxy.silence()

    async def worker_crash(self):
        await self.platform.crash_worker(self.random.randrange(WORKERS),
                                         self.random.uniform(0.1, 3.0))

    async def worker_delay(self):
        worker = self.random.choice(self.platform.workers)
        worker.delayed_fraction = 0.3
        await asyncio.sleep(self.random.uniform(1, 4))
        worker.delayed_fraction = 0.0

    async def history_loss(self):
        self.platform.store.discard_history()

    async def settle(self):
        for entry in self.entries:
            entry.signal_process(signal.SIGCONT)
            entry.store_proxy.mode = "pass"
            await entry.ensure_running()
        await asyncio.sleep(SETTLE_S)
        # Crashing tasks disturb the workers until their jobs are given up.
        until = now() + FINISH_S
        while self.long_running_check.checks < MIN_CHECKS and now() < until:
            await asyncio.sleep(0.3)

    async def check_jobs(self):
        unfinished = set(self.accepted)
        until = now() + FINISH_S
        while unfinished and now() < until:
            for job in sorted(unfinished):
                if await self.check_job(job):
                    unfinished.discard(job)
            await asyncio.sleep(0.3)
        for job in sorted(unfinished):
            self.checker.violations.append(f"accepted job reached no final state: {job}")
        running = [name for name, task in self.checker.tasks.items() if task["running"]]
        if running:
            self.checker.violations.append(
                f"tasks still running after all jobs should have ended: {running}")

    async def check_job(self, job):
        status, body = await request(self.entry().ports["callers"], "GET", f"/q/{job}")
        if status == 410:
            self.checker.violations.append(f"accepted job is unknown: {job}")
            return True
        if status != 200:
            return False
        state = json.loads(body)["state"]
        if state == "completed":
            for step, spec in enumerate(self.checker.jobs[job]["steps"]):
                for index in range(spec["count"]):
                    if not self.checker.task(f"{job}.0.{step}.{index}")["ever_done"]:
                        self.checker.violations.append(
                            f"job completed with a task that was never done: {job}")
        if state == "cancelled" and job not in self.checker.cancelled:
            # A cancellation whose answer was lost may still have been persisted.
            self.events.append((round(now(), 2), f"cancelled without an acknowledgement: {job}"))
        if state == "failed":
            # A job may be given up for a task under which two workers have crashed.
            crashes = max(task["crashes"] for name, task in self.checker.tasks.items()
                          if name.startswith(job))
            if crashes < 2 or json.loads(body).get("reason") != "crashed-workers":
                self.checker.violations.append(f"job failed without a cause: {job}")
            elif "crashing_task" not in json.loads(self.checker.jobs[job]["spec"]):
                self.events.append((round(now(), 2), f"a sound job was given up: {job}"))
        return state in ("completed", "failed", "cancelled")


def run_seed(seed, seconds, program, keep_logs):
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    soak = Soak(seed, seconds, program, folder)
    violations = asyncio.run(soak.run())
    done = sum(1 for task in soak.checker.tasks.values() if task["ever_done"])
    print(f"seed {seed}: {len(soak.accepted)} of {soak.count} jobs accepted, {done} tasks done, "
          f"{soak.config_check.probed} probes of the configuration, "
          f"{soak.long_running_check.checks} of long-running tasks, "
          f"{len(soak.checker.refused)} refused, {len(soak.events)} events, "
          f"{len(violations)} broken", flush=True)
    for violation in violations:
        print("  " + violation)
    if violations or keep_logs:
        print(f"  logs in {folder}; events {soak.events}")
    else:
        for name in os.listdir(folder):
            os.unlink(os.path.join(folder, name))
        os.rmdir(folder)
    return not violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1, help="number of consecutive seeds to run")
    parser.add_argument("--seconds", type=float, default=20, help="how long faults are injected")
    parser.add_argument("--keep", action="store_true", help="keep the logs of passed runs too")
    options = parser.parse_args()
    # Exits through the finally blocks on SIGTERM, so that the entries are ended too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    build = os.environ.get("PLANTAINDOOR_BUILD", "build/release")
    program = os.path.join(build, "apps", "plantaindoor_entry")
    results = [run_seed(options.seed + index, options.seconds, program, options.keep)
               for index in range(options.count)]
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
