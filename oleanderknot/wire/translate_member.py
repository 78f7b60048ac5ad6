"""Converts members to and from thrift structs."""

from oleanderknot import model
from oleanderknot.wire import field_check
from oleanderknot.wire import translate_departure
from oleanderknot.wire.gen.peer import ttypes

MEMBER_STATES = tuple(model.MemberState)

REQUIRED_FIELDS = tuple(
    name for name in ttypes.Member.__slots__ if name != 'departure'
)


def member_to_wire(member: model.Member) -> ttypes.Member:
    """Convert a member to its thrift struct."""
    return ttypes.Member(
        instance=member.instance,
        incarnation=member.incarnation,
        version=member.version,
        state=member.state,
        data_centre=member.data_centre,
        host=member.host,
        peer_port=member.peer_port,
        caller_port=member.caller_port,
        operator_port=member.operator_port,
        service_name=member.service,
        slots=member.slots,
        departure=translate_departure.departure_to_wire(member.departure),
    )


def member_from_wire(message: ttypes.Member) -> model.Member:
    """Convert a thrift struct to a member, and validate it.

    Raises:
        BadFrame: A field is missing or out of range.
    """
    for name in REQUIRED_FIELDS:
        field_check.require(
            getattr(message, name) is not None, 'member without ' + name
        )
    field_check.require(
        message.state in range(len(MEMBER_STATES)),
        'member with an invalid state',
    )
    field_check.require(
        0 < message.peer_port < 65536, 'member with an invalid peer port'
    )
    return model.Member(
        instance=message.instance,
        incarnation=message.incarnation,
        version=message.version,
        state=MEMBER_STATES[message.state],
        data_centre=message.data_centre,
        host=message.host,
        peer_port=message.peer_port,
        caller_port=message.caller_port,
        operator_port=message.operator_port,
        service=message.service_name,
        slots=message.slots,
        departure=translate_departure.departure_from_wire(message.departure),
    )
