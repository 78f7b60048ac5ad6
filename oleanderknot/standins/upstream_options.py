"""Options of the stand-in upstream."""

import argparse
import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamOptions:
    """How the stand-in upstream behaves; tests change it while it runs.

    Attributes:
        service: Service that it offers.
        host: IP address to listen on.
        port: TCP port; 0 takes a free one.
        node: Egress address of its node, ``http://ip:port``; empty for none.
        slots: Requests that it works on at once; others wait.
        delay_ms: Milliseconds of work for each request.
        calls: Services that it calls for each request, one after another.
        parallel: Whether it makes these calls at the same time.
        fail_status: Status that it answers instead of 200; 0 for none.
        drop_answers: Whether it ends the connection after its work.
        refuses: Whether it sheds all requests and says that none ran.
        own_retries: Times that it repeats a failed call by itself.
        warm: Whether it announces that it needs no slow start.
        pass_trace: Whether it passes ``traceparent`` on.
        announce_port: TCP port that it announces; 0 for its own.
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
