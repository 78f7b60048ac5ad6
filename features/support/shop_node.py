"""Runs a node with the routes of a test shop preconfigured."""

import pathlib
import sys

from oleanderknot import border
from oleanderknot import model
from oleanderknot.node import application
from oleanderknot.node import serve

ROUTES = (
    ('POST', '/order', model.RequestClass.ORDER),
    ('GET', '/page', model.RequestClass.BROWSING),
    ('GET', '/pattern', model.RequestClass.DOWNLOAD),
    ('GET', '/lookup', model.RequestClass.INTERNAL),
)


def build_policy(service: str) -> model.ScopeState:
    """Build the scope state of a service with the shop routes."""
    return model.ScopeState(
        scope='service/' + service,
        number=1,
        policy=model.ServicePolicy(
            service=service,
            routes=tuple(
                model.RoutePolicy(
                    method=method,
                    prefix=prefix,
                    request_class=request_class,
                    idempotent=method == 'GET',
                    deadline_ms=2000,
                    retries=2,
                )
                for method, prefix, request_class in ROUTES
            ),
        ),
    )


def main(path: str) -> None:
    """Run a node with a built-in policy instead of one from a ticket."""
    settings = border.load_settings(pathlib.Path(path))
    node = application.NodeApplication(settings=settings)
    node.policy.merge([build_policy('catalogue')])
    serve.serve(
        node,
        instance=settings.instance,
        level=settings.log.level,
        stop_timeout_s=settings.drain_timeout_s,
    )


if __name__ == '__main__':
    main(sys.argv[1])
