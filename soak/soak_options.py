"""Options of one soak."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SoakOptions:
    """What is started and for how long.

    Attributes:
        seed: Decides the faults and the requests.
        instances: Nodes, each with a back end.
        rate: Requests a second of all clients together.
        fault_s: Seconds in which faults begin.
        settle_s: Seconds without faults before the final checks.
        planned_only: Whether only planned work is done, so that no request
            may be broken off.
    """

    seed: int
    instances: int = 6
    rate: float = 60.0
    fault_s: float = 12.0
    settle_s: float = 8.0
    planned_only: bool = False
