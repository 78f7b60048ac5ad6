"""Traffic policy: the routes and limits that are in force."""

import dataclasses

from oleanderknot.model import client_limits
from oleanderknot.model import route


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TrafficPolicy:
    """The whole state that one change of an operator puts in force.

    Attributes:
        version: Number of the change; the higher one wins.
        routes: All routes.
        probe_paths: Path that answers probes, by service.
        limits: Limits on what clients may send.
    """

    version: int
    routes: tuple[route.Route, ...]
    probe_paths: dict[str, str]
    limits: client_limits.ClientLimits
