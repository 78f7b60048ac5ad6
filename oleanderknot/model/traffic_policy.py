"""Traffic policy: routes and client limits."""

import dataclasses

from oleanderknot.model import client_limits
from oleanderknot.model import organisation
from oleanderknot.model import route


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TrafficPolicy:
    """Complete traffic policy as set by one change of an operator.

    Attributes:
        version: Number of the change; the higher one takes precedence.
        routes: All routes.
        probe_paths: Path for health probes, by service.
        limits: Limits on client requests and connections.
        organisations: All organisations with their keys and limits.
        requires_keys: Whether client requests need a key, except on routes
            that allow anonymous ones.
        left_out: Descriptions of the entries of the operators' document that
            this version does not know and that are not in force.
    """

    version: int
    routes: tuple[route.Route, ...]
    probe_paths: dict[str, str]
    limits: client_limits.ClientLimits
    organisations: tuple[organisation.Organisation, ...] = ()
    requires_keys: bool = False
    left_out: tuple[str, ...] = ()
