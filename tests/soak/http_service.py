"""A minimal HTTP server for the stand-ins of the soak test."""

import asyncio
import json
import time


def now():
    return time.monotonic()


class ChangeSignal:
    """Wakes those that wait for a change. Unlike asyncio.Condition, it has no lock that tasks must
    acquire again when they are cancelled."""

    def __init__(self):
        self.event = asyncio.Event()

    def notify_all(self):
        self.event.set()
        self.event = asyncio.Event()

    async def wait(self, timeout_s):
        try:
            await asyncio.wait_for(self.event.wait(), max(timeout_s, 0.001))
        except asyncio.TimeoutError:
            pass


class HttpService:
    """A minimal HTTP/1.1 server. Handlers return (status, JSON-serializable object or bytes)."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = None
        self.connection_tasks = set()
        self.stopped = False

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def stop(self):
        self.stopped = True
        self.server.close()
        for task in list(self.connection_tasks):
            task.cancel()

    async def serve(self, reader, writer):
        if self.stopped:  # A connection may still be accepted after close().
            writer.transport.abort()
            return
        self.connection_tasks.add(asyncio.current_task())
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
            self.connection_tasks.discard(asyncio.current_task())
            writer.close()
