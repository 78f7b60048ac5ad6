"""Converts the messages about rate limits to and from thrift structs."""

from oleanderknot import model
from oleanderknot.wire import field_check
from oleanderknot.wire.gen.peer import ttypes

# Times above this are cut off, so that they fit into 32 bits.
MAX_TIME_MS = 3_600_000


def quota_request_to_wire(
    request: model.QuotaRequest,
) -> ttypes.QuotaRequest:
    """Convert a request to a thrift struct."""
    return ttypes.QuotaRequest(
        number=request.number,
        organisation=request.organisation,
        tokens=request.tokens,
        wait_ms=int(request.wait_s * 1000),
        lending=request.lending or None,
        lost=list(request.lost) or None,
    )


def quota_request_from_wire(
    message: ttypes.QuotaRequest,
) -> model.QuotaRequest:
    """Convert a thrift struct to a request, and validate it.

    Raises:
        BadFrame: The number is missing, or a value is negative.
    """
    field_check.require(
        message.number is not None, 'quota request without a number'
    )
    field_check.require(
        min(message.tokens or 0, message.wait_ms or 0) >= 0,
        'quota request with a negative value',
    )
    return model.QuotaRequest(
        number=message.number,
        organisation=message.organisation or '',
        tokens=message.tokens or 0,
        wait_s=(message.wait_ms or 0) / 1000,
        lending=bool(message.lending),
        lost=tuple(message.lost or ()),
    )


def quota_grant_to_wire(grant: model.QuotaGrant) -> ttypes.QuotaGrant:
    """Convert an answer to a thrift struct.

    Times are rounded so that tokens do not live longer than granted.
    """
    return ttypes.QuotaGrant(
        number=grant.number,
        tokens=grant.tokens,
        lifetime_ms=int(grant.lifetime_s * 1000),
        wait_ms=min(MAX_TIME_MS, int(grant.wait_s * 1000)),
        queued=grant.queued or None,
        declined=grant.declined or None,
        heard=list(grant.heard) or None,
    )


def quota_grant_from_wire(message: ttypes.QuotaGrant) -> model.QuotaGrant:
    """Convert a thrift struct to an answer, and validate it.

    Raises:
        BadFrame: The number is missing, or a value is negative.
    """
    field_check.require(
        message.number is not None, 'quota grant without a number'
    )
    values = (
        message.tokens or 0,
        message.lifetime_ms or 0,
        message.wait_ms or 0,
    )
    field_check.require(min(values) >= 0, 'quota grant with a negative value')
    tokens, lifetime_ms, wait_ms = values
    return model.QuotaGrant(
        number=message.number,
        tokens=tokens,
        lifetime_s=lifetime_ms / 1000,
        wait_s=wait_ms / 1000,
        queued=bool(message.queued),
        declined=bool(message.declined),
        heard=tuple(message.heard or ()),
    )
