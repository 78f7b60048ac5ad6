"""Priority number of a request, the same at every node of its chain."""

from oleanderknot import model

HASH_RANGE = 1 << 32

# Bands of one class in a queue. Each is a group that may be searched, and
# the share of a class that is admitted moves by more than an eighth.
BANDS_PER_CLASS = 8

# Share of the requests of each class that are handled as if they were of the
# first one. The platform counts a kind of request as starved that is served
# less than a quarter as often as all; while a service lacks places for
# minutes, the first class alone would take them all.
RESERVED_SHARE = 0.25


def compute_priority(
    request_class: model.RequestClass, trace_id: str
) -> float:
    """Return the priority number; the lowest is shed last.

    The fraction comes from the trace id, so every node of a chain sheds the
    same requests of a class and no work is done for a request that a deeper
    node refuses.

    Args:
        request_class: Importance of the chain.
        trace_id: 32 hexadecimal digits; the last 8 are used, since the
            W3C recommends that they are random.

    Returns:
        A number from 0 up to 4.
    """
    return request_class + int(trace_id[-8:], 16) / HASH_RANGE


def find_band(trace_id: str) -> int:
    """Return the part of its class that a trace belongs to.

    Args:
        trace_id: 32 hexadecimal digits; the same ones are used as by
            ``compute_priority``, so that a band holds neighbours in rank.
    """
    return int(trace_id[-8:], 16) * BANDS_PER_CLASS // HASH_RANGE


def is_reserved(trace_id: str) -> bool:
    """Return whether a trace belongs to the reserved share of its class.

    Args:
        trace_id: 32 hexadecimal digits; the first 8 are used, which say
            nothing about the rank.
    """
    return int(trace_id[:8], 16) < RESERVED_SHARE * HASH_RANGE
