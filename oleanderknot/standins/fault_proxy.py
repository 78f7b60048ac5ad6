"""TCP proxy that injects faults between two processes."""

import argparse
import asyncio
import dataclasses
import json
import signal

from aiohttp import web

from oleanderknot.standins import fault_link


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults injected on one listening port.

    Attributes:
        refuse: Refuse new connections.
        refuse_from: Refuse new connections from addresses with one of these
            prefixes.
        hold_from: Accept new connections from addresses with one of these
            prefixes but forward nothing, like a path that drops packets.
        delay_ms: Delay in milliseconds of each chunk, in each direction.
        swap: Swap neighbouring frames in the direction of the caller.
    """

    refuse: bool = False
    refuse_from: list[str] = dataclasses.field(default_factory=list)
    hold_from: list[str] = dataclasses.field(default_factory=list)
    delay_ms: float = 0.0
    swap: bool = False


class FaultProxy:
    """Listens on ports and forwards the connections of each to its target.

    ``POST /<port>`` with a JSON object controls the faults of a port. Fields
    of ``Faults`` stay in force until changed. ``cut`` (true, or a list of
    address prefixes) aborts open connections once. ``freeze`` (``forward``,
    ``back`` or ``both``) stops forwarding on open connections, while new
    ones work; ``freeze_from`` limits it to callers with one of these address
    prefixes. ``thaw`` (true) resumes forwarding, starting with the buffered
    data. ``drop_answers`` discards the next chunk towards the caller on each
    open connection and closes the connection. ``GET /<port>`` returns how many
    connections are ``working`` and ``frozen``, how many ends of frozen ones
    are ``still_open``, and how many connections ``were_frozen``, including
    those that have ended since.

    Attributes:
        targets: Target host and port by listening port.
        faults: Faults by listening port.
        links: Open connections by listening port, each as the caller's
            address and the links of both directions.
        were_frozen: Connections frozen so far, by listening port.
    """

    def __init__(self, *, targets: dict[int, tuple[str, int]]) -> None:
        self.targets = targets
        self.faults = {port: Faults() for port in targets}
        self.links: dict[int, list] = {port: [] for port in targets}
        self.were_frozen = dict.fromkeys(targets, 0)

    async def start(self, control_port: int) -> None:
        """Start listening on all proxied ports and on the control port."""
        for port in self.targets:
            await asyncio.start_server(
                lambda reader, writer, port=port: self.handle_connection(
                    port, reader, writer
                ),
                '127.0.0.1',
                port,
            )
        await asyncio.get_running_loop().create_server(
            web.Server(self.handle_control, access_log=None),
            '127.0.0.1',
            control_port,
        )

    async def handle_connection(
        self,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one connection to the target of its port."""
        faults = self.faults[port]
        source = writer.get_extra_info('peername')[0]
        if faults.refuse or source.startswith(tuple(faults.refuse_from)):
            writer.transport.abort()
            return
        if source.startswith(tuple(faults.hold_from)):
            # Accepted but not forwarded until the caller closes its side.
            await reader.read()
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.targets[port]
            )
        except OSError:
            writer.transport.abort()
            return
        forward = fault_link.FaultLink(reader=reader, writer=target_writer)
        backward = fault_link.FaultLink(reader=target_reader, writer=writer)
        backward.swap = faults.swap
        forward.delay_s = backward.delay_s = faults.delay_ms / 1000
        link = (source, forward, backward)
        self.links[port].append(link)
        await asyncio.wait(
            [
                asyncio.ensure_future(forward.copy()),
                asyncio.ensure_future(backward.copy()),
            ],
            return_when=asyncio.FIRST_COMPLETED,
        )
        self.links[port].remove(link)
        abort_link(link)

    def count_links(self, port: int) -> dict[str, int]:
        """Return the numbers of connections; see the class."""
        frozen = [
            link
            for link in self.links[port]
            if link[1].frozen or link[2].frozen
        ]
        return {
            'working': len(self.links[port]) - len(frozen),
            'frozen': len(frozen),
            'still_open': sum(
                not direction.source_closed
                for link in frozen
                for direction in link[1:]
            ),
            'were_frozen': self.were_frozen[port],
        }

    async def handle_control(self, request: web.BaseRequest) -> web.Response:
        """Apply the changes of a control request to the faults of a port."""
        port = int(request.path[1:])
        if request.method == 'GET':
            return web.json_response(self.count_links(port))
        changes = json.loads(await request.read())
        cut = changes.pop('cut', False)
        freeze = changes.pop('freeze', '')
        thaw = changes.pop('thaw', False)
        freeze_from = tuple(changes.pop('freeze_from', ('',)))
        drop_answers = changes.pop('drop_answers', False)
        self.faults[port] = dataclasses.replace(self.faults[port], **changes)
        faults = self.faults[port]
        for link in list(self.links[port]):
            source, forward, backward = link
            forward.delay_s = backward.delay_s = faults.delay_ms / 1000
            backward.swap = faults.swap
            if freeze and source.startswith(freeze_from):
                if not (forward.frozen or backward.frozen):
                    self.were_frozen[port] += 1
                forward.frozen |= freeze in ('forward', 'both')
                backward.frozen |= freeze in ('back', 'both')
            if thaw:
                forward.frozen = backward.frozen = False
            backward.drop = backward.drop or drop_answers
            if cut is True or (cut and source.startswith(tuple(cut))):
                abort_link(link)
        return web.Response(status=204)


def abort_link(link: tuple) -> None:
    """Abort both sides of a connection without flushing."""
    for direction in link[1:]:
        direction.writer.transport.abort()


async def main() -> None:
    """Parse the command line and run the proxy until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--control', type=int, required=True)
    parser.add_argument(
        'routes', nargs='+', help='<listening port>:<host>:<target port>'
    )
    options = parser.parse_args()
    targets = {}
    for route in options.routes:
        port, host, target = route.split(':')
        targets[int(port)] = (host, int(target))
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await FaultProxy(targets=targets).start(options.control)
    await stop.wait()


if __name__ == '__main__':
    asyncio.run(main())
