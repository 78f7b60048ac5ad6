"""Builds the ticket that the demo files."""

import time
import uuid

from oleanderknot import model

DEADLINE_MS = 1000
RETRIES = 2

# Service, class of the requests that enter at it, and whether they are
# idempotent.
ROUTES = (
    ('catalogue', model.RequestClass.BROWSING, True),
    ('orders', model.RequestClass.ORDER, False),
    ('inventory', model.RequestClass.INTERNAL, True),
)


def build_scope(
    service: str, request_class: model.RequestClass, idempotent: bool
) -> model.ScopeState:
    """Build the policy scope of one service."""
    route = model.RoutePolicy(
        method='*',
        prefix='/',
        request_class=request_class,
        idempotent=idempotent,
        deadline_ms=DEADLINE_MS,
        retries=RETRIES,
    )
    if service == 'orders':
        # Other services send GET requests to orders; only the POST requests of
        # customers place orders.
        read = model.RoutePolicy(
            method='GET',
            prefix='/',
            request_class=model.RequestClass.INTERNAL,
            idempotent=True,
            deadline_ms=DEADLINE_MS,
            retries=RETRIES,
        )
        routes = (read, route)
    else:
        routes = (route,)
    return model.ScopeState(
        scope='service/' + service,
        number=0,
        policy=model.ServicePolicy(service=service, routes=routes),
    )


def build_ticket() -> model.Ticket:
    """Build the ticket; its number is assigned when it is filed."""
    return model.Ticket(
        number=0,
        id=uuid.uuid4().hex,
        author='demo',
        reason='Customers go before internal lookups',
        filed_at=time.time(),
        scopes=tuple(build_scope(*item) for item in ROUTES),
    )
