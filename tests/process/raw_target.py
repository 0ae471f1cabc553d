"""Targets on plain sockets that send valid or faulty answers and count the requests that they ran."""
import collections
import json
import socket
import struct
import threading
import time

from harness import Cluster, call, wait_for

ENDLESS_PART = b"x" * 1024


class Request:
    """A received request and the connection for its answer."""

    def __init__(self, connection, line, headers, body):
        self.connection, self.headers, self.body = connection, headers, body
        self.method, self.path, _ = line.split(" ", 2)

    @property
    def id(self):
        return self.headers.get("plantaindoor-request-id", "")

    def send(self, data):
        self.connection.sendall(data)

    def send_head(self, *lines, status="200 OK"):
        self.send(("\r\n".join([f"HTTP/1.1 {status}", *lines]) + "\r\n\r\n").encode())

    def answer(self, body=None, status="200 OK", request_id=None):
        """Sends a complete answer. The default body is the request's id and body."""
        body = self.id.encode() + b" " + self.body if body is None else body
        self.send_head(f"Content-Length: {len(body)}",
                       f"Plantaindoor-Request-Id: {request_id or self.id}", status=status)
        self.send(body)


def valid_answer(request):
    request.answer()
    return True


def no_request_id(request):
    """A complete answer without a request id."""
    request.send_head("Content-Length: 8")
    request.send(b"nameless")
    return True


def truncated_body(request):
    request.send_head("Content-Length: 100")
    request.send(b"part of it")


def truncated_chunk(request):
    request.send_head("Transfer-Encoding: chunked")
    request.send(b"10\r\npart")


def no_last_chunk(request):
    request.send_head("Transfer-Encoding: chunked")
    request.send(b"4\r\npart\r\n")


def reset(request):
    request.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def close_silently(_request):
    pass


def reset_in_body(request):
    request.send_head("Content-Length: 100")
    request.send(b"part of it")
    reset(request)


def undelimited(request):
    request.send_head("Connection: close")
    request.send(b"who knows whether this is all")


def conflicting_lengths(request):
    request.send_head("Content-Length: 4", "Content-Length: 8")
    request.send(b"eight by")


def length_and_chunks(request):
    request.send_head("Content-Length: 4", "Transfer-Encoding: chunked")
    request.send(b"4\r\npart\r\n0\r\n\r\n")


def foreign_request_id(request):
    request.answer(request_id="somebody-else-1")


def never_ending(request):
    request.send_head("Transfer-Encoding: chunked")
    part = f"{len(ENDLESS_PART):x}\r\n".encode() + ENDLESS_PART + b"\r\n"
    while True:
        request.send(part)


def declared_too_long(request):
    request.send_head("Content-Length: 999999999999")
    request.send(ENDLESS_PART)


def trickle(request):
    request.send_head("Content-Length: 100000")
    while True:
        request.send(b"x")
        time.sleep(0.1)


def stall(request):
    request.send_head("Content-Length: 100")
    request.send(b"part of it")
    request.connection.recv(1)


def not_http(request):
    request.send(b"220 mail.example ESMTP\r\n")


class RawTarget:
    """A target with replaceable answer behaviour. A run is counted before the answer is sent."""

    def __init__(self, behave=valid_answer):
        self.behave = behave
        self.runs = collections.Counter()
        self.bodies = collections.Counter()
        self.on_used_connections = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        if self.listener.fileno() >= 0:
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()

    def total(self):
        with self.lock:
            return sum(self.runs.values())

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            with connection, connection.makefile("rb") as stream:
                used = False
                while self._serve_one(connection, stream, used):
                    used = True
        except OSError:
            pass

    def _serve_one(self, connection, stream, used):
        line = stream.readline().decode().strip()
        if not line:
            return False
        headers = {}
        while header := stream.readline().decode().strip():
            name, value = header.split(":", 1)
            headers[name.lower()] = value.strip()
        body = stream.read(int(headers.get("content-length", 0)))
        request = Request(connection, line, headers, body)
        with self.lock:
            self.runs[request.id] += 1
            self.bodies[body] += 1
            if used:
                self.on_used_connections.add(request.id)
        return self.behave(request)


class RawCluster(Cluster):
    """A cluster of RawTargets, each in its own rack."""

    def __init__(self, raw, entries=1, **settings):
        super().__init__(targets=0, entries=entries, **settings)
        self.raw = raw

    def __exit__(self, *failure):
        super().__exit__(*failure)
        for target in self.raw:
            target.close()

    def fleet(self):
        whole = super().fleet()
        whole["instances"] = [
            {"id": f"w{number}", "pool": "checks", "zone": self.zones[number % len(self.zones)],
             "rack": f"r{number}", "address": "127.0.0.1", "port": target.port}
            for number, target in enumerate(self.raw)]
        return whole

    def serve(self):
        self.wait_version(self.apply())
        for name in self.entries:
            wait_for(f"{name} ready",
                     lambda n=name: call(self.callers_address(n), "GET", "/ready").status == 200)

    def runs_of_ids(self):
        return sum((target.runs for target in self.raw), collections.Counter())

    def runs_of_bodies(self):
        return sum((target.bodies for target in self.raw), collections.Counter())

    def table_rows(self, prefix):
        answer = self.post_platform("/v1/table/scan", {"prefix": prefix, "after": "", "limit": 1000})
        return {row["key"]: json.loads(row["value"]) for row in answer["rows"]}
