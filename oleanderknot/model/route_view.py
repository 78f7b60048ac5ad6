"""Explanation of what a node would do with a request."""

import dataclasses

from oleanderknot.model import target_view


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteView:
    """What a node would do with a request now, and why.

    Attributes:
        instance: Node that was asked.
        version: Version of the policy in force; -1 for none.
        store_lost: Whether the store does not answer this node.
        store_age_s: Seconds since its last answer; None before the first.
        route: Name of the route; empty if none matches.
        idempotent: Whether the request may run more than once.
        timeout_s: Timeout of the route in seconds.
        organisation: Organisation that was named; empty for none.
        quota: What this node knows of its limit; empty without one.
        request_class: Class of the request, in lower case.
        rule: Rule that refuses the request before a service is chosen; empty
            if none does.
        detail: Why, in one English sentence.
        targets: Services of the route. A request goes to one of them, by
            weight.
    """

    instance: str
    version: int
    store_lost: bool
    store_age_s: float | None
    route: str = ''
    idempotent: bool = False
    timeout_s: float = 0.0
    organisation: str = ''
    quota: str = ''
    request_class: str = ''
    rule: str = ''
    detail: str = ''
    targets: tuple[target_view.TargetView, ...] = ()
