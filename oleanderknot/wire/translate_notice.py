"""Converts the notices of upstreams to and from thrift structs."""

import math

from oleanderknot import model
from oleanderknot.wire import field_check
from oleanderknot.wire.gen.peer import ttypes


def notice_to_wire(
    notice: model.UpstreamNotice | None,
) -> ttypes.UpstreamNotice | None:
    """Convert a notice to a thrift struct."""
    if notice is None:
        return None
    return ttypes.UpstreamNotice(
        upstream=notice.upstream,
        rate=notice.rate,
        leaving=notice.leaving or None,
    )


def notice_from_wire(
    message: ttypes.UpstreamNotice | None,
) -> model.UpstreamNotice | None:
    """Convert a thrift struct to a notice, and validate it.

    Raises:
        BadFrame: The upstream is missing or the rate is no rate.
    """
    if message is None:
        return None
    field_check.require(
        bool(message.upstream), 'upstream notice without an upstream'
    )
    field_check.require(
        message.rate is None
        or (math.isfinite(message.rate) and message.rate >= 0),
        'upstream notice with an invalid rate',
    )
    return model.UpstreamNotice(
        upstream=message.upstream,
        rate=message.rate,
        leaving=bool(message.leaving),
    )
