"""The ticket that the demo files."""

import time
import uuid

from oleanderknot import model

DEADLINE_MS = 1000
RETRIES = 2

# Class of the requests that start at a service, and whether they may run
# more than once.
ROUTES = (
    ('catalogue', model.RequestClass.BROWSING, True),
    ('orders', model.RequestClass.ORDER, False),
    ('inventory', model.RequestClass.INTERNAL, True),
)


def build_service(
    service: str, request_class: model.RequestClass, idempotent: bool
) -> model.ScopeState:
    """Build the whole state of one service."""
    route = model.RoutePolicy(
        method='*',
        prefix='/',
        request_class=request_class,
        idempotent=idempotent,
        deadline_ms=DEADLINE_MS,
        retries=RETRIES,
    )
    if service == 'orders':
        # Other services read from orders; only customers' posts are orders.
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
    """Build the ticket, not yet numbered."""
    return model.Ticket(
        number=0,
        id=uuid.uuid4().hex,
        author='demo',
        reason='Customers go before internal lookups',
        filed_at=time.time(),
        scopes=tuple(build_service(*item) for item in ROUTES),
    )
