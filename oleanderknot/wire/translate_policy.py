"""Converts scope states and policy digests to and from thrift structs."""

import json

from oleanderknot import border
from oleanderknot import model
from oleanderknot.wire import bad_frame
from oleanderknot.wire.gen.peer import ttypes

MAX_TICKET_NUMBER = 10**12


def scope_to_wire(state: model.ScopeState) -> ttypes.ScopeState:
    """Convert the state of a scope to its thrift struct."""
    return ttypes.ScopeState(
        scope=state.scope,
        number=state.number,
        state=border.ticket_rows.format_state(state.policy),
    )


def scope_from_wire(message: ttypes.ScopeState) -> model.ScopeState:
    """Convert a thrift struct to the state of a scope, and validate it.

    Raises:
        BadFrame: A field is missing, out of range or not a valid state.
    """
    if message.scope is None or message.state is None:
        raise bad_frame.BadFrame('scope state without scope or state')
    if message.number is None or not 0 < message.number < MAX_TICKET_NUMBER:
        raise bad_frame.BadFrame('scope state with an invalid ticket number')
    try:
        policy = border.parse_policy(message.scope, json.loads(message.state))
    except (ValueError, RecursionError) as error:
        raise bad_frame.BadFrame('invalid scope state: %s' % error) from error
    return model.ScopeState(
        scope=message.scope, number=message.number, policy=policy
    )


def digest_to_wire(digest: model.PolicyDigest) -> ttypes.PolicyDigest:
    """Convert a policy digest to its thrift struct."""
    return ttypes.PolicyDigest(
        count=digest.count,
        highest=digest.highest,
        hash=digest.hash,
        complete=digest.complete,
    )


def digest_from_wire(
    message: ttypes.PolicyDigest | None,
) -> model.PolicyDigest:
    """Convert a thrift struct to a policy digest, and validate it.

    Raises:
        BadFrame: The digest or a field is missing or out of range.
    """
    if message is None:
        raise bad_frame.BadFrame('policy message without a digest')
    values = {name: getattr(message, name) for name in message.__slots__}
    for name, value in values.items():
        if value is None or value < 0:
            raise bad_frame.BadFrame('policy digest with an invalid %s' % name)
    if values['complete'] > values['highest']:
        raise bad_frame.BadFrame(
            'policy digest whose complete number exceeds its highest number'
        )
    return model.PolicyDigest(**values)
