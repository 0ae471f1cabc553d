"""Starts the platform stand-in, targets and entries as processes, and checks the answers to callers.

Processes are started here and ended here by their own id. The system chooses the ports.
"""
import collections
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("PLANTAINDOOR_BUILD", ROOT / "build" / "release"))
MAX_WAIT_S = 60


class WaitError(AssertionError):
    """A condition did not become true in time."""


def wait_for(what, condition, max_wait_s=MAX_WAIT_S):
    """Polls until the condition is true and returns its value. The limit only ends a hung run."""
    end = time.monotonic() + max_wait_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise WaitError(f"waited {max_wait_s} s for: {what}")
        time.sleep(0.02)


class Answer:
    """An HTTP answer, or the transport failure if there was none."""

    def __init__(self, status=0, headers=None, body=b"", failure=None):
        self.status, self.body, self.failure = status, body, failure
        self.headers = headers or {}

    @property
    def outcome(self):
        return self.headers.get("plantaindoor-outcome")

    @property
    def request_id(self):
        return self.headers.get("plantaindoor-request-id")

    def json(self):
        return json.loads(self.body or b"null")


def call(endpoint, method, path, body=None, headers=None, timeout_s=30):
    """Makes one HTTP call on a new connection."""
    host, port = endpoint.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        got = connection.getresponse()
        return Answer(got.status, {k.lower(): v for k, v in got.getheaders()}, got.read())
    except (OSError, http.client.HTTPException) as failure:
        return Answer(failure=failure)
    finally:
        connection.close()


class Process:
    """A child process. Its first lines of output name the endpoints that it listens on."""

    def __init__(self, name, arguments, endpoint_count, folder):
        self.name = name
        self.log = open(pathlib.Path(folder) / f"{name}.log", "wb")
        self.child = subprocess.Popen([str(a) for a in arguments], stdout=subprocess.PIPE,
                                      stderr=self.log, cwd=folder)
        self.endpoints = {}
        for _ in range(endpoint_count):
            line = self.child.stdout.readline().decode().split()
            if len(line) < 2:
                raise RuntimeError(f"{name} ended during startup; see {self.log.name}")
            self.endpoints[line[0]] = line[1]

    def send_signal(self, number):
        if self.child.poll() is None:
            os.kill(self.child.pid, number)

    def end(self, number=signal.SIGTERM):
        """Ends the process and returns its exit code."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        try:
            code = self.child.wait(MAX_WAIT_S)
        except subprocess.TimeoutExpired:
            self.child.kill()
            code = self.child.wait()
        self.child.stdout.close()
        self.log.close()
        return code


class Cluster:
    """A platform, targets in several zones and racks, and entries, as a context manager."""

    def __init__(self, targets=6, entries=3, zones=("a", "b", "c"), service_ms=0, service=None,
                 entry_settings=None):
        self.folder = tempfile.mkdtemp(prefix="plantaindoor-test-")
        self.zones = zones
        self.target_count, self.entry_count = targets, entries
        self.service_ms = service_ms
        self.service = service or {}
        self.entry_settings = entry_settings or {}
        self.platform = None
        # Relays between entries and the platform, by the entry's name.
        self.relays = {}
        self.targets, self.entries = {}, {}

    def __enter__(self):
        try:
            self.platform = Process("platform", [BUILD / "stand_ins/platform_stand_in", "--port", 0,
                                                 "--list-lag-ms", 200, "--reboot-ms", 300], 1,
                                    self.folder)
            self.platform_address = self.platform.endpoints["listening"]
            for number in range(self.target_count):
                self.start_target(f"w{number + 1}")
            for number in range(self.entry_count):
                self.start_entry(f"e{number + 1}", self.zones[number % len(self.zones)])
            self.wait_ready()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *_):
        running = list(self.entries.values()) + list(self.targets.values())
        for process in running + ([self.platform] if self.platform else []):
            process.end(signal.SIGKILL)
        for relay in self.relays.values():
            relay.close()

    def start_target(self, name):
        process = Process(name, [BUILD / "stand_ins/target_stand_in", "--port", 0, "--id", name],
                          1, self.folder)
        self.targets[name] = process
        self.register_instance(name, "target", address=self.target_address(name))
        if self.service_ms:
            self.fault_target(name, service_ms=self.service_ms)
        return process

    def register_instance(self, name, role, state="live", address=""):
        answer = call(self.platform_address, "POST", "/admin/instances",
                      json.dumps({"id": name, "role": role, "state": state, "address": address}))
        assert answer.status == 200, (answer.status, answer.body)

    def start_entry(self, name, zone):
        settings = pathlib.Path(self.folder) / f"{name}.yaml"
        settings.write_text(json.dumps(self.make_settings(name, zone)))
        process = Process(name, [BUILD / "apps/plantaindoord", "--config", settings], 3, self.folder)
        self.entries[name] = process
        self.register_instance(name, "entry")
        return process

    def make_settings(self, name, zone):
        peers = [e.endpoints["peers"] for e in self.entries.values()
                 if e.child.poll() is None and "peers" in e.endpoints]
        return {"cluster": "test", "entry": name, "availability_zone": zone, "region": "r1",
                "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0",
                           "peers": "127.0.0.1:0"},
                "platform": {"address": self.relays[name].at if name in self.relays
                             else self.platform_address},
                "peers": peers, **self.entry_settings}

    def target_address(self, name):
        return self.targets[name].endpoints["listening"]

    def callers_address(self, name):
        return self.entries[name].endpoints["callers"]

    def operators_address(self, name):
        return self.entries[name].endpoints["operators"]

    def fault_platform(self, **faults):
        assert call(self.platform_address, "POST", "/admin/faults", json.dumps(faults)).status == 200

    def fault_target(self, name, **faults):
        answer = call(self.target_address(name), "POST", "/admin/faults", json.dumps(faults))
        assert answer.status == 200, (answer.status, answer.body)

    def runs(self):
        """Returns the number of runs of each request id, over all targets that answer."""
        counts = collections.Counter()
        for name in self.targets:
            answer = call(self.target_address(name), "GET", "/admin/runs")
            if answer.status == 200:
                counts.update(answer.json()["runs"])
        return counts

    def cut(self):
        """Returns the number of requests that were cut off by a reboot of a target."""
        return sum(call(self.target_address(name), "GET", "/admin/runs").json()["cut"]
                   for name in self.targets)

    def fleet(self):
        instances = []
        for number, name in enumerate(self.targets):
            host, port = self.target_address(name).rsplit(":", 1)
            instances.append({"id": name, "pool": "checks", "zone": self.zones[number % len(self.zones)],
                              "rack": f"r{number + 1}", "address": host, "port": int(port)})
        service = {"id": "spell", "team": "exams", "pools": ["checks"], "budget": {"minimum": 1},
                   "idempotent": False, "refusal_statuses": [503], **self.service}
        return {"teams": [{"id": "exams"}], "pools": [{"id": "checks"}], "services": [service],
                "instances": instances}

    def apply(self, fleet=None, entry=None):
        at = self.operators_address(entry or next(iter(self.entries)))
        answer = call(at, "POST", "/v1/apply", json.dumps(fleet or self.fleet()))
        assert answer.status == 200, (answer.status, answer.body)
        return answer.json()["version"]

    def status(self, entry):
        answer = call(self.operators_address(entry), "GET", "/v1/status", timeout_s=5)
        return answer.json() if answer.status == 200 else None

    def wait_version(self, version, entries=None):
        """Waits until the entries are ready and have applied the version or a later one."""
        for name in entries or self.entries:
            wait_for(f"{name} ready at version {version}", lambda n=name: self.is_serving(n, version))

    def is_serving(self, entry, version):
        status = self.status(entry)
        return status is not None and status["ready"] and status["version"] >= version

    def report(self):
        """Returns the fleet state reported by each entry, for the message of a failed test."""
        lines = []
        for name, entry in self.entries.items():
            if entry.child.poll() is not None:
                lines.append(f"{name}: ended")
                continue
            for path in ("status", "waves", "instances", "entries", "journal"):
                answer = call(self.operators_address(name), "GET", f"/v1/{path}", timeout_s=5)
                text = answer.body.decode(errors="replace") or answer.failure
                lines.append(f"{name} {path}: {answer.status} {text}")
        return "\n".join(lines)

    def ready(self, entry):
        return call(self.callers_address(entry), "GET", "/ready").status == 200

    def wait_ready(self, entries=None):
        """Waits until the entries are ready, as the balancer does before it routes callers to them."""
        for name in entries or self.entries:
            wait_for(f"{name} ready", lambda n=name: self.ready(n))

    def request(self, entry, body=b"", path="/spell/check", headers=None, timeout_s=30):
        return call(self.callers_address(entry), "POST", path, body, headers, timeout_s)


class Balancer:
    """Checks periodically which entries are ready, as the platform's balancer does."""

    CHECK_PERIOD_S = 0.5

    def __init__(self, cluster):
        self.cluster = cluster
        self.in_rotation = set()
        self._check()
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._check_until_stopped)
        self.thread.start()

    def stop(self):
        self.stopping.set()
        self.thread.join()

    def _check_until_stopped(self):
        while not self.stopping.wait(self.CHECK_PERIOD_S):
            self._check()

    def _check(self):
        self.in_rotation = {name for name in list(self.cluster.entries) if self.cluster.ready(name)}


class Load:
    """Callers that each send requests in sequence until stop(). All answers are recorded.

    A caller changes to another entry after a failure and, with a balancer, as soon as its entry is
    no longer in rotation."""

    def __init__(self, cluster, entries, callers=4, headers=None, balancer=None):
        self.cluster, self.headers = cluster, headers or {}
        self.balancer = balancer
        self.answers = []
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self._send, args=(entries[n % len(entries)], n))
                        for n in range(callers)]
        for thread in self.threads:
            thread.start()

    def _send(self, entry, number):
        sent = 0
        while not self.stopping.is_set():
            if self.balancer and self.balancer.in_rotation and \
                    entry not in self.balancer.in_rotation:
                entry = min(self.balancer.in_rotation)
            sent += 1
            path = f"/spell/caller-{number}/request-{sent}"
            answer = self.cluster.request(entry, b"some words", path, self.headers)
            with self.lock:
                self.answers.append((path, answer))
            if answer.failure is not None:
                entry = self._next_entry(entry)

    def _next_entry(self, entry):
        """Returns the next live entry, as the balancer reroutes a caller whose entry has ended."""
        alive = [n for n, e in self.cluster.entries.items() if e.child.poll() is None]
        if not alive:
            return entry
        return alive[(alive.index(entry) + 1) % len(alive)] if entry in alive else alive[0]

    def count(self):
        with self.lock:
            return len(self.answers)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return self.answers


Verdict = collections.namedtuple("Verdict", "answered not_run unknown unanswered lost doubled partial false_not_run")


def answers_own_request(path, answer):
    """Returns whether the answer is complete and belongs to this request."""
    try:
        received = answer.json()
    except ValueError:
        return False
    return answer.status != 200 or (received["path"], received["request_id"]) == (path, answer.request_id)


def judge(answers, runs):
    """Compares the outcomes that callers received with the runs at the targets, by request id."""
    counts = collections.Counter()
    lost = partial = false_not_run = 0
    for path, answer in answers:
        if answer.failure is not None:
            counts["unanswered"] += 1
            continue
        counts[answer.outcome] += 1
        ran = runs.get(answer.request_id, 0)
        if answer.outcome == "answered":
            lost += ran == 0
            partial += not answers_own_request(path, answer)
        if answer.outcome == "not-run":
            false_not_run += ran != 0
    doubled = sum(1 for count in runs.values() if count > 1)
    return Verdict(counts["answered"], counts["not-run"], counts["unknown"], counts["unanswered"],
                   lost, doubled, partial, false_not_run)


class Relay:
    """Forwards TCP connections to an address. After cut(), open and new connections are
    closed until restore()."""

    def __init__(self, to):
        host, port = to.rsplit(":", 1)
        self.to = (host, int(port))
        self.is_cut = False
        self.open = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.at = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        with self.lock:
            self.is_cut = True
            for each in self.open:
                self._shut(each)

    def restore(self):
        self.is_cut = False

    def close(self):
        self.cut()
        self._shut(self.listener)
        self.listener.close()

    def _accept(self):
        while True:
            try:
                client_end, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._relay, args=(client_end,), daemon=True).start()

    def _relay(self, client_end):
        try:
            server_end = socket.create_connection(self.to)
        except OSError:
            client_end.close()
            return
        with self.lock:
            self.open |= {client_end, server_end}
            if self.is_cut:
                self._shut(client_end)
                self._shut(server_end)
        back = threading.Thread(target=self._forward, args=(server_end, client_end), daemon=True)
        back.start()
        self._forward(client_end, server_end)
        back.join()
        with self.lock:
            self.open -= {client_end, server_end}
        client_end.close()
        server_end.close()

    def _forward(self, source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
        except OSError:
            pass
        self._shut(source)
        self._shut(sink)

    @staticmethod
    def _shut(end):
        try:
            end.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
