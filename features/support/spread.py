"""Result of the test of even load."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Spread:
    """How the calls were spread.

    Attributes:
        busiest: Mean calls per slot at the busiest upstream, over the mean of
            all.
        arrivals: Calls at the most used upstream, over the mean of all.
        needless: Percentage of calls that had to wait although a slot was
            free at another upstream.
        wait_ms: Mean time in milliseconds that a call waited for a slot.
        late_wait_ms: Time that 99 in 100 calls waited at most.
        response_ms: Mean time in milliseconds from the call to the answer.
        remote: Percentage of calls that ran in another data centre.
        messages: Messages for each call.
    """

    busiest: float
    arrivals: float
    needless: float
    wait_ms: float
    late_wait_ms: float
    response_ms: float
    remote: float
    messages: float
