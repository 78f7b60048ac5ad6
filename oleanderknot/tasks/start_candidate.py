"""Start of the local upstream that awaits a status check."""

import asyncio
import dataclasses

from oleanderknot import model


@dataclasses.dataclass(slots=True, kw_only=True)
class StartCandidate:
    """Start of the local upstream that awaits a status check.

    Attributes:
        report: Its newest heartbeat.
        expires_at: Loop time in seconds after which the upstream is no longer
            asked about it.
        task: Task that asks; its result tells whether the heartbeat may be
            acknowledged.
    """

    report: model.UpstreamHeartbeat
    expires_at: float
    task: asyncio.Task[bool]
