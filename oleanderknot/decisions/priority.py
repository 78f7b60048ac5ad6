"""Priority number of a request, the same at every node of its chain."""

from oleanderknot import model

HASH_RANGE = 1 << 32

# Bands of one class in a queue. More bands would add groups to search, and
# would not help, since the admitted share of a class varies by more than an
# eighth.
BANDS_PER_CLASS = 8

# Share of the requests of each class that are handled like the first class.
# The platform counts a kind of request as starved when its success rate is
# below a quarter of the overall rate. Without the reserved share, the first
# class would take all slots of a service that is overloaded for minutes.
RESERVED_SHARE = 0.25


def compute_priority(
    request_class: model.RequestClass, trace_id: str
) -> float:
    """Return the priority number of a request; the lowest is shed last.

    The fraction is derived from the trace id, so all nodes of a chain shed the
    same requests of a class, and no work is wasted on a request that a deeper
    node refuses.

    Args:
        request_class: Importance of the chain.
        trace_id: 32 hexadecimal digits; the last 8 are used, since the
            W3C recommends that they are random.

    Returns:
        A number from 0 up to 4.
    """
    return request_class + int(trace_id[-8:], 16) / HASH_RANGE


def rank_call(call: model.Call) -> float:
    """Return the priority number of a call; see ``compute_priority``.

    The first node may have assigned another fraction than that of the trace
    id; it travels with the call and its nested calls.
    """
    if call.rank is None:
        return compute_priority(call.request_class, call.trace_id)
    return call.request_class + call.rank


def find_call_band(call: model.Call) -> int:
    """Return the band within its class that a call belongs to."""
    if call.rank is None:
        return find_band(call.trace_id)
    return int(call.rank * BANDS_PER_CLASS)


def find_band(trace_id: str) -> int:
    """Return the band within its class that a trace belongs to.

    Args:
        trace_id: 32 hexadecimal digits; the same ones are used as by
            ``compute_priority``, so a band is a range of priority numbers.
    """
    return int(trace_id[-8:], 16) * BANDS_PER_CLASS // HASH_RANGE


def is_reserved(trace_id: str) -> bool:
    """Return whether a trace belongs to the reserved share of its class.

    Args:
        trace_id: 32 hexadecimal digits; the first 8 are used, which do not
            affect the priority number.
    """
    return int(trace_id[:8], 16) < RESERVED_SHARE * HASH_RANGE
