"""Decides by a status check whether the sender of a heartbeat takes work."""

import enum

from oleanderknot import model


class StartLiveness(enum.Enum):
    """What a status check says about the sender of a heartbeat.

    Attributes:
        LIVE: It runs and is not leaving.
        LEAVING: It is leaving, or has left.
        REPLACED: Another upstream answers at its address.
        UNKNOWN: Nothing answered; the check has to be repeated.
    """

    LIVE = 'live'
    LEAVING = 'leaving'
    REPLACED = 'replaced'
    UNKNOWN = 'unknown'


def judge_start(
    upstream: str, status: model.UpstreamStatus | None
) -> StartLiveness:
    """Decide whether the sender of a heartbeat takes work.

    An upstream that is full, or that fails its own health check, is
    unavailable too. Only one that leaves also closes the connection, so the
    others are not kept out. Any other error, as for a wrong path of the
    check, says nothing about a departure.

    Args:
        upstream: Id of the upstream in the heartbeat.
        status: Answer to the status check; None if there was none.
    """
    if status is None:
        return StartLiveness.UNKNOWN
    if status.upstream and status.upstream != upstream:
        return StartLiveness.REPLACED
    if status.closing and status.unavailable:
        return StartLiveness.LEAVING
    return StartLiveness.LIVE
