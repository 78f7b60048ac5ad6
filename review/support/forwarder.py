"""Forwards TCP connections, and lets open ones go silent."""

import asyncio
import contextlib

READ_BYTES = 64 * 1024


class Forwarder:
    """Forwards the connections to one address.

    Attributes:
        address: Address that it listens on.
        target: Address that it forwards to.
        open: Set while the connections of the present forward data.
    """

    def __init__(self, *, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.server: asyncio.Server | None = None
        self.silent = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(':')
        self.server = await asyncio.start_server(
            self.forward, host, int(port), backlog=1024
        )

    def silence(self) -> None:
        """Let all open connections go silent; new ones work."""
        self.silent.set()
        self.silent = asyncio.Event()

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until it ends; a silent one never does."""
        task = asyncio.current_task()
        self.tasks.add(task)
        silent = self.silent
        host, _, port = self.target.rpartition(':')
        peer = None
        try:
            other, peer = await asyncio.open_connection(host, int(port))
            pumps = [
                asyncio.create_task(pump(reader, peer)),
                asyncio.create_task(pump(other, writer)),
            ]
            silenced = asyncio.create_task(silent.wait())
            await asyncio.wait(
                [silenced, *pumps], return_when=asyncio.FIRST_COMPLETED
            )
            for item in (silenced, *pumps):
                item.cancel()
            if silent.is_set():
                # Neither side hears of the other's end.
                await asyncio.Event().wait()
        except OSError:
            pass
        finally:
            self.tasks.discard(task)
            for item in (writer, peer):
                if item is not None:
                    item.transport.abort()


async def pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Copy one direction until it ends."""
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
