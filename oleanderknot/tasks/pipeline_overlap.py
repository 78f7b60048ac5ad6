"""Decides which pipelined requests may run at the same time."""

from oleanderknot import model
from oleanderknot.tasks import http_dialect
from oleanderknot.tasks import pipelined_request
from oleanderknot.tasks import request_pipeline
from oleanderknot.tasks import traffic_policies


def build_overlap_capture(
    policies: traffic_policies.TrafficPolicies,
    dialect: http_dialect.HttpDialect,
) -> request_pipeline.CaptureFunction:
    """Build the function that captures how the policy in force overlaps.

    A request without a route is refused and may overlap with any other.

    Args:
        policies: Traffic policy in force.
        dialect: Decodes headers.

    Returns:
        A function that returns the check of requests by the routes that are
        in force when it is called.
    """

    def capture() -> pipelined_request.OverlapCheck | None:
        if policies.policy is None:
            return None
        routes = policies.routes

        def may_overlap(request: model.HttpRequest) -> bool:
            host = dialect.parse_request_headers(request.headers).host
            route = routes.find(host, request.target)
            return route is None or route.idempotent

        return may_overlap

    return capture
