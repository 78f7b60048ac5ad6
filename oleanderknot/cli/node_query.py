"""Queries nodes for the policy that they have in force."""

import asyncio
import json

import aiohttp
from expression import Error
from expression import Ok
from expression import Result

from oleanderknot import border
from oleanderknot import model
from oleanderknot.cli import operator_access

QUERY_TIMEOUT_S = 3.0
MAX_CONCURRENT_QUERIES = 100
LEFT_STATE = 'left'


async def query_node(
    session: aiohttp.ClientSession, address: str
) -> Result[border.NodeStatus, str]:
    """Request the status of one node.

    Args:
        session: HTTP session.
        address: ``host:port`` of its operator port.

    Returns:
        The node's status, or the reason why the request failed.
    """
    try:
        async with session.get('http://%s/status' % address) as response:
            content = await response.read()
            if response.status in (401, 403):
                return Error(
                    'it requires the operator token: set %s'
                    % operator_access.TOKEN_VARIABLE
                )
            if response.status != 200:
                return Error('it returned HTTP status %d' % response.status)
        return Ok(border.NodeStatus.model_validate(json.loads(content)))
    except aiohttp.ClientConnectorError as error:
        reason = error.os_error.strerror or error.os_error
        return Error('cannot connect to %s: %s' % (address, reason))
    except TimeoutError:
        return Error('no response within %g s' % QUERY_TIMEOUT_S)
    except (aiohttp.ClientError, OSError) as error:
        return Error(str(error) or repr(error))
    except ValueError as error:
        return Error('malformed response: %s' % error)


async def query_member(
    session: aiohttp.ClientSession, member: border.MemberStatus
) -> model.NodePolicy:
    """Query a member of the cluster; a failure is part of the result."""
    address = '%s:%d' % (member.host, member.operator_port)
    result = await query_node(session, address)
    if result.is_ok() and result.ok.instance == member.instance:
        return result.ok.build_policy()
    fault = (
        'another node responds at its address'
        if result.is_ok()
        else result.error
    )
    return model.NodePolicy(
        instance=member.instance,
        data_centre=member.data_centre,
        fault='%s (state %s)' % (fault, member.state),
    )


async def query_all_nodes(address: str) -> Result[list[model.NodePolicy], str]:
    """Query a node and all members that it knows, except those that left.

    Args:
        address: ``host:port`` of the operator port of any node.

    Returns:
        The policy of each node, or the reason why the first query failed.
    """
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=MAX_CONCURRENT_QUERIES),
        headers=operator_access.build_headers(),
        timeout=aiohttp.ClientTimeout(
            sock_connect=QUERY_TIMEOUT_S, sock_read=QUERY_TIMEOUT_S
        ),
    ) as session:
        entry_status = await query_node(session, address)
        if entry_status.is_error():
            return entry_status
        queries = [
            query_member(session, member)
            for member in entry_status.ok.members
            if member.instance != entry_status.ok.instance
            and member.state != LEFT_STATE
        ]
        policies = await asyncio.gather(*queries)
    return Ok([entry_status.ok.build_policy(), *policies])
