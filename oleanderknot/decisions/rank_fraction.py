"""Fraction of a priority number that differs from that of the trace id."""

from oleanderknot import model
from oleanderknot.decisions import priority
from oleanderknot.decisions import remembered_refusal

# Part of the numbers of a class that returning clients get. It is one band of
# the queue, and eight bins of the admission level, which can therefore still
# choose between them.
RETURNED_SHARE = 1 / priority.BANDS_PER_CLASS

# Start of the numbers of requests beyond the fair share of an organisation.
# They keep an order among each other, so that unused capacity can be given to
# some of them.
EXCESS_START = 15 / 16

MAX_FRACTION = 1 - 1 / priority.HASH_RANGE


def assign_fraction(
    trace_id: str,
    *,
    excess: float = 1.0,
    earlier: remembered_refusal.RememberedRefusal | None = None,
) -> float:
    """Return the fraction of the priority number of a root request.

    Args:
        trace_id: Trace id of the request.
        excess: Factor by which its organisation exceeds its fair share. One
            of so many requests is within the share.
        earlier: Refusal after which its client has returned as told; None
            for a new client. Whether a client is within the share depends on
            its first request: otherwise, most clients would be within it in
            one of their attempts. One beyond the share gains nothing by its
            return.
    """
    fraction = find_trace_fraction(trace_id)
    scaled = excess * (fraction if earlier is None else earlier.first_fraction)
    if excess > 1 and scaled >= EXCESS_START:
        beyond = (scaled - EXCESS_START) / (excess - EXCESS_START)
        return min(MAX_FRACTION, EXCESS_START + beyond * (1 - EXCESS_START))
    if earlier is not None:
        return fraction * RETURNED_SHARE / earlier.refusals
    return scaled


def find_excess(call: model.Call) -> float:
    """Return the excess with which a fraction was assigned to a call.

    Returns 1 for a returned request, whose fraction is lower than that of
    its trace id. For a request beyond the share, it is not known.
    """
    fraction = find_trace_fraction(call.trace_id)
    if call.rank is None or call.rank <= fraction:
        return 1.0
    return call.rank / fraction if fraction else 1.0


def is_beyond_share(call: model.Call) -> bool:
    """Return whether a call is beyond the fair share of its organisation."""
    return call.rank is not None and call.rank >= EXCESS_START


def find_fraction(call: model.Call) -> float:
    """Return the fraction of the priority number of a call."""
    if call.rank is None:
        return find_trace_fraction(call.trace_id)
    return call.rank


def find_trace_fraction(trace_id: str) -> float:
    """Return the fraction that a trace id gives."""
    return int(trace_id[-8:], 16) / priority.HASH_RANGE
