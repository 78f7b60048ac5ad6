"""What was observed in a soak run."""

import dataclasses

from soak import backend_event
from soak import fault_span
from soak import sent_request
from soak import withdrawal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunRecord:
    """The requests and events of a run, and what was done meanwhile.

    Attributes:
        sent: All requests that clients sent.
        events: Events recorded by the back ends, ordered by time.
        services: Service by instance.
        disturbed: Monotonic times in seconds at which a node was stopped,
            killed, paused or cut off, by instance.
        withdrawals: Keys that were withdrawn.
        spans: Faults that were injected.
    """

    sent: list[sent_request.SentRequest]
    events: list[backend_event.BackendEvent]
    services: dict[str, str]
    disturbed: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    withdrawals: list[withdrawal.Withdrawal] = dataclasses.field(
        default_factory=list
    )
    spans: list[fault_span.FaultSpan] = dataclasses.field(default_factory=list)
