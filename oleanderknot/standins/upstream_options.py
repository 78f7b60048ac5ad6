"""Configuration of the stand-in upstream."""

import argparse
import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamOptions:
    """Behaviour of the stand-in upstream, which tests change at run time.

    Attributes:
        service: Name of the service that it offers.
        host: IP address to listen on.
        port: TCP port; 0 selects a free one.
        node: Egress URL of its node, ``http://ip:port``; empty for none.
        slots: Maximum number of concurrent requests; further ones wait.
        delay_ms: Duration of work for each request in milliseconds.
        calls: Services that it calls for each request, sequentially.
        parallel: Whether it makes these calls concurrently.
        fail_status: Status code sent instead of 200; 0 for none.
        drop_answers: Whether it aborts the connection after the work.
        refuses: Whether it sheds all requests with the verdict ``not-run``.
        own_retries: Maximum number of retries of a failed call.
        warm: Whether its announcement says that it needs no slow start.
        pass_trace: Whether it forwards the ``traceparent`` header.
        announce_port: TCP port in its announcement; 0 for its own.
    """

    service: str
    host: str = '127.0.0.1'
    port: int = 0
    node: str = ''
    slots: int = 100
    delay_ms: float = 0.0
    calls: list[str] = dataclasses.field(default_factory=list)
    parallel: bool = False
    fail_status: int = 0
    drop_answers: bool = False
    refuses: bool = False
    own_retries: int = 0
    pass_trace: bool = True
    warm: bool = False
    announce_port: int = 0


def parse_options(arguments: list[str] | None = None) -> UpstreamOptions:
    """Parse the command line of the stand-in upstream.

    Args:
        arguments: Arguments; None takes those of the process.

    Returns:
        The options.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--service', required=True)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--node', default='')
    parser.add_argument('--slots', type=int, default=100)
    parser.add_argument('--delay-ms', type=float, default=0.0)
    parser.add_argument('--calls', nargs='*', default=[])
    parser.add_argument('--parallel', action='store_true')
    parser.add_argument('--warm', action='store_true')
    parser.add_argument('--announce-port', type=int, default=0)
    values = parser.parse_args(arguments)
    return UpstreamOptions(**vars(values))
