"""Entries as separate processes, with the command and the template of the deploy file, and a client."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import tomllib

HOST = "review.example"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def deploy():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return tomllib.load(file)


def free_ports(count):
    """Ports below the ephemeral range, so that no outgoing connection takes one meanwhile."""
    ports = []
    while len(ports) < count:
        port = random.randrange(10000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Entry:
    """One entry. Its settings are the project's template, filled in as DEPLOY.md tells."""

    def __init__(self, name, folder, record, fields, template, command):
        self.name, self.folder, self.record = name, folder, record
        self.settings = os.path.join(folder, name + ".yaml")
        self.log = os.path.join(folder, name + ".log")
        self.process = None
        callers, ready, peers, metrics = free_ports(4)
        self.ports = {"callers": callers, "ready": ready}
        fields = dict(fields, nodeName=name)
        fields["listen.front"] = f"127.0.0.1:{callers}"
        fields["listen.ready"] = f"127.0.0.1:{ready}"
        fields["ip"] = "127.0.0.1"
        fields["internalPorts.0"] = str(peers)
        text = re.sub(r"\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n",
                      lambda m: m.group(2) if fields.get(m.group(1)) else "", template, flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(fields[m.group(1)]), text)
        # All entries share one address here, so that each needs a port of its own for its metrics.
        text = re.sub(r"(metrics: 127\.0\.0\.1:)\d+", rf"\g<1>{metrics}", text)
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(text)
        self.command = [self.settings if word.startswith("/etc/") else word for word in command]

    async def start(self):
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*self.command, cwd=ROOT, stdout=log,
                                                                stderr=log)
        self.record.add(f"entry {self.name} started")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            self.record.add(f"entry {self.name} gets {signal.Signals(number).name}")

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def leads(self):
        """Whether the last word of its log on leadership is that its session is ready."""
        state = False
        with open(self.log, encoding="utf-8", errors="replace") as log:
            for line in log:
                if "leader session of shard" in line:
                    state = True
                elif "leader session ended" in line or "started, listening" in line:
                    state = False
        return state


def make_entries(count, folder, record, platform, bounds):
    about = deploy()
    role = about["roles"]["entry"]
    with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
        template = file.read()
    fields = {"zone": "z", "bootstrap": "true",
              "platform.address": f"127.0.0.1:{platform.store.http.port}",
              "cloudApi.address": f"127.0.0.1:{platform.http.port}",
              "limits.cpuShare": "0.25", "limits.cores": "1", "limits.linkMbps": "1000.0"}
    fields.update({"bounds." + name: value for name, value in bounds.items()})
    return [Entry(f"front-z-{number}", folder, record, fields, template, role["run"].split())
            for number in range(1, count + 1)]


async def request(port, method, path, body=None, timeout=3.0):
    """Returns the status and the body of the answer; status 0 where there was none."""
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            text = json.dumps(body).encode() if body is not None else b""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
                         f"Content-Type: application/json\r\nPlantaindoor-Deadline-Ms: 3000\r\n"
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


async def call(record, entry, method, path, body=None):
    status, answer = await request(entry.ports["callers"], method, path, body)
    record.add(f"client: {method} {path} at {entry.name}: {status} {answer.decode()[:200]}")
    return status, answer


async def wait_until(condition, seconds, period=0.05):
    """Waits for the condition; returns whether it came true in time."""
    for _ in range(int(seconds / period)):
        if condition():
            return True
        await asyncio.sleep(period)
    return condition()


async def wait_ready(entries, seconds=15):
    for _ in range(int(seconds / 0.1)):
        answers = [await request(each.ports["ready"], "GET", "/-/ready", timeout=1) for each in entries]
        if all(status == 200 for status, _ in answers):
            return True
        await asyncio.sleep(0.1)
    return False
