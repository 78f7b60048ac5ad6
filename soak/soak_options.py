"""Options of one soak run."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SoakOptions:
    """Size, load and duration of one soak run.

    Attributes:
        seed: Seed of the random faults and requests.
        instances: Number of nodes, each with a back end.
        rate: Requests per second of all clients together.
        fault_s: Length in seconds of the period in which faults start.
        settle_s: Seconds without faults before the final checks.
        planned_only: Whether only planned operations are run, during which no
            request may be interrupted.
        calm: Whether a key is withdrawn and nothing else happens.
    """

    seed: int
    instances: int = 6
    rate: float = 60.0
    fault_s: float = 12.0
    settle_s: float = 8.0
    planned_only: bool = False
    calm: bool = False
