"""Where a request would go within one service of its route."""

import dataclasses

from oleanderknot.model import upstream_view


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetView:
    """Choice between the upstreams of one service.

    Attributes:
        service: Name of the service.
        weight: Weight of the service in its route.
        priority: Priority number of the request, from 0 to 4.
        upstreams: What is known of each upstream.
        choice: Instance that would be chosen; empty for a refusal.
        rule: Rule of the refusal; empty for a choice.
        detail: Why this is the outcome, in one English sentence.
        retry_after_ms: Milliseconds after which a refused request may be
            admitted; 0 for a choice.
    """

    service: str
    weight: float
    priority: float
    upstreams: tuple[upstream_view.UpstreamView, ...]
    choice: str = ''
    rule: str = ''
    detail: str = ''
    retry_after_ms: int = 0
