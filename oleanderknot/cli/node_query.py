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

ASK_TIMEOUT_S = 3.0
ASK_AT_ONCE = 100
GONE = 'left'


async def ask(
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
        async with session.get('http://%s/status' % address) as answer:
            content = await answer.read()
            if answer.status in (401, 403):
                return Error(
                    'it requires the operator token: set %s'
                    % operator_access.TOKEN_VARIABLE
                )
            if answer.status != 200:
                return Error('it returned HTTP status %d' % answer.status)
        return Ok(border.NodeStatus.model_validate(json.loads(content)))
    except aiohttp.ClientConnectorError as error:
        reason = error.os_error.strerror or error.os_error
        return Error('cannot connect to %s: %s' % (address, reason))
    except TimeoutError:
        return Error('no response within %g s' % ASK_TIMEOUT_S)
    except (aiohttp.ClientError, OSError) as error:
        return Error(str(error) or repr(error))
    except ValueError as error:
        return Error('malformed response: %s' % error)


async def ask_member(
    session: aiohttp.ClientSession, member: border.MemberStatus
) -> model.NodePolicy:
    """Query a member of the cluster; a failure is part of the result."""
    address = '%s:%d' % (member.host, member.operator_port)
    result = await ask(session, address)
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


async def ask_all(address: str) -> Result[list[model.NodePolicy], str]:
    """Query a node and all members that it knows, except those that left.

    Args:
        address: ``host:port`` of the operator port of any node.

    Returns:
        The policy of each node, or the reason why the first query failed.
    """
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=ASK_AT_ONCE),
        headers=operator_access.build_headers(),
        timeout=aiohttp.ClientTimeout(
            sock_connect=ASK_TIMEOUT_S, sock_read=ASK_TIMEOUT_S
        ),
    ) as session:
        first = await ask(session, address)
        if first.is_error():
            return first
        others = [
            ask_member(session, member)
            for member in first.ok.members
            if member.instance != first.ok.instance and member.state != GONE
        ]
        answers = await asyncio.gather(*others)
    return Ok([first.ok.build_policy(), *answers])
