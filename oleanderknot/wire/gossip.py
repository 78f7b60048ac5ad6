"""Converts and validates the contents of membership gossip messages."""

import collections.abc

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.wire import bad_frame
from oleanderknot.wire import field_check
from oleanderknot.wire import translate_member
from oleanderknot.wire.gen.peer import ttypes

SIGN_BIT = 1 << 63
UINT64_RANGE = 1 << 64


def hashes_to_wire(
    hashes: collections.abc.Mapping[str, int],
) -> dict[str, int]:
    """Convert unsigned hashes to the signed integers of thrift."""
    return {
        name: value - UINT64_RANGE if value >= SIGN_BIT else value
        for name, value in hashes.items()
    }


def hashes_from_wire(
    hashes: collections.abc.Mapping[str, int] | None,
) -> dict[str, int]:
    """Convert the hashes of ``hashes_to_wire`` back to unsigned integers."""
    return {
        name: value % UINT64_RANGE for name, value in (hashes or {}).items()
    }


def version_to_wire(version: decisions.RecordVersion) -> ttypes.MemberVersion:
    """Convert a record version to its thrift struct."""
    return ttypes.MemberVersion(
        instance=version.instance,
        incarnation=version.incarnation,
        version=version.version,
        state=version.state,
    )


def version_from_wire(
    message: ttypes.MemberVersion,
) -> decisions.RecordVersion:
    """Convert a thrift struct to a record version.

    Raises:
        BadFrame: A field is missing or out of range.
    """
    for name in message.__slots__:
        field_check.require(
            getattr(message, name) is not None,
            'member version without ' + name,
        )
    if message.state not in range(len(translate_member.MEMBER_STATES)):
        raise bad_frame.BadFrame('member version with an invalid state')
    return decisions.RecordVersion(
        instance=message.instance,
        incarnation=message.incarnation,
        version=message.version,
        state=model.MemberState(message.state),
    )
