"""The ``route`` command."""

import asyncio
import json
import typing

import aiohttp
from cleo.helpers import option

from oleanderknot import border
from oleanderknot import model
from oleanderknot.cli import common_options
from oleanderknot.cli import operator_command
from oleanderknot.cli import route_text

TIMEOUT_S = 5.0


class RouteCommand(operator_command.OperatorCommand):
    """Explains where a request would go, without sending it."""

    name = 'route'
    description = 'Explain where a request would go now, and why'
    options = [
        option('node', description='Address of a sidecar', flag=False),
        option('host', description='Host of the request', flag=False),
        option('path', description='Path of the request', flag=False),
        option('method', description='HTTP method', flag=False, default='GET'),
        option(
            'organisation',
            description='Name of the organisation of the client',
            flag=False,
            default='',
        ),
        option(
            'id',
            description='Id of the request; stands for one draw of its rank',
            flag=False,
            default='route',
        ),
        option('json', description='Print JSON'),
    ]
    help = """Asks one sidecar, at the address of its heartbeats, where a \
request would go now. Nothing is sent, counted or reserved. It works while \
the store does not answer.

Example:

    oleanderknot route --node 10.1.0.8:8306 --host a.example --path /page/1"""

    def run_operation(self) -> int:
        """See the base class."""
        address = common_options.parse_node_address(self.option('node'))
        query = model.RouteQuery(
            host=self.option('host') or '',
            path=self.option('path') or '',
            method=self.option('method'),
            organisation=self.option('organisation'),
            request_id=self.option('id'),
        )
        target = border.format_route_query(query)
        try:
            border.parse_route_query(target)
        except ValueError as error:
            raise common_options.UsageError(
                '--host and --path: %s' % error
            ) from error
        view = asyncio.run(read_view(address, target))
        print(
            json.dumps(view)
            if self.option('json')
            else route_text.format_view(view)
        )
        return 0


async def read_view(address: str, target: str) -> dict[str, typing.Any]:
    """Ask a sidecar for an explanation.

    Args:
        address: ``host:port`` of its heartbeats.
        target: Path and query of the question.

    Raises:
        OperationError: The node does not respond, or rejects the question.
    """
    try:
        async with (
            aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S)
            ) as session,
            session.get('http://%s%s' % (address, target)) as response,
        ):
            content = await response.read()
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        raise common_options.OperationError(
            'Cannot query the node at %s: %s'
            % (address, str(error) or repr(error))
        ) from error
    if response.status != 200:
        raise common_options.OperationError(
            'The node at %s returned HTTP status %d'
            % (address, response.status)
        )
    return json.loads(content)
