"""A loopback TCP proxy that injects faults: it delays, resets or refuses connections, or drops data
in one or both directions."""

import asyncio


class Proxy:
    """Forwards connections to one port. A change of `mode` applies to data received afterwards."""

    MODES = ("pass", "delay", "silence", "cut_answers", "refuse")

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = "pass"
        self.delay_s = 0.2
        self.server = None
        self.port = None
        self.writers = set()
        self.silenced = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset(self):
        """Resets every open connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    def silence(self):
        """Drops all further data of the open connections, which stay open. New ones work."""
        self.silenced |= self.writers

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1",
                                                                         self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        try:
            await asyncio.gather(self.forward(reader, target_writer, False),
                                 self.forward(target_reader, writer, True))
        except asyncio.CancelledError:
            pass  # The event loop is shutting down at the end of the run.
        self.writers -= {writer, target_writer}
        self.silenced -= {writer, target_writer}

    async def forward(self, reader, writer, from_target):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                if (self.mode == "silence" or writer in self.silenced
                        or (self.mode == "cut_answers" and from_target)):
                    continue  # Dropped: the connection stays open without any further data.
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()
