"""A loopback TCP proxy with faults: connections delayed, reset, cut one way, or silenced."""

import asyncio


class Proxy:
    """Forwards to one port. `mode` holds for what arrives from then on."""

    MODES = ("pass", "delay", "silence", "cut_answers", "refuse")

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = "pass"
        self.delay_s = 0.2
        self.server = None
        self.port = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset(self):
        """Resets every open connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        try:
            await asyncio.gather(self.pump(reader, far_writer, False),
                                 self.pump(far_reader, writer, True))
        except asyncio.CancelledError:
            pass  # The run is over.
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer, answers):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                if self.mode == "silence" or (self.mode == "cut_answers" and answers):
                    continue  # Lost: the connection stays open and says nothing more.
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()
