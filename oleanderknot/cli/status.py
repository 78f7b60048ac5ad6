"""The ``status`` command."""

import asyncio
import json
import typing

import aiohttp
from cleo.helpers import option

from oleanderknot.cli import common_options
from oleanderknot.cli import operator_access
from oleanderknot.cli import operator_command
from oleanderknot.cli import status_text

TIMEOUT_S = 5.0


class StatusCommand(operator_command.OperatorCommand):
    """Shows the status of one node."""

    name = 'status'
    description = 'Show the status of a node'
    options = [
        option('node', description='Operator address of a node', flag=False),
        common_options.OUTPUT,
    ]
    help = """Shows one node: its members, its policy, its counters, its \
unwritten reports and its pending alerts.
If the node requires an operator token, the command reads it from the \
variable OLEANDERKNOT_OPERATOR_TOKEN.

Example:

    oleanderknot status --node 10.0.1.4:7003"""

    def run_operation(self) -> int:
        """See the base class."""
        as_json = common_options.wants_json(self)
        address = common_options.parse_node_address(self.option('node'))
        status = asyncio.run(read_status(address))
        if as_json:
            print(json.dumps(status))
        else:
            print(status_text.format_status(status))
        return 0


async def read_status(address: str) -> dict[str, typing.Any]:
    """Request the status of a node.

    Args:
        address: ``host:port`` of its operator port.

    Returns:
        The status.

    Raises:
        OperationError: The node does not respond, or rejects the request.
    """
    try:
        async with (
            aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
                headers=operator_access.build_headers(),
            ) as session,
            session.get('http://%s/status' % address) as response,
        ):
            content = await response.read()
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        raise common_options.OperationError(
            'Cannot query the node at %s: %s'
            % (address, str(error) or repr(error))
        ) from error
    if response.status == 401:
        raise common_options.OperationError(
            'The node at %s requires the operator token: set %s'
            % (address, operator_access.TOKEN_VARIABLE)
        )
    try:
        if response.status != 200:
            raise ValueError('HTTP status %d' % response.status)
        status = json.loads(content)
        if not isinstance(status, dict):
            raise ValueError('not a JSON object')
    except ValueError as error:
        raise common_options.OperationError(
            'The node at %s returned no valid status: %s' % (address, error)
        ) from error
    return status
