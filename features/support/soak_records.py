"""Requests and events of a soak run, for tests of its checks."""

from soak import backend_event
from soak import organisation_plan
from soak import sent_request


def build_request(**changes):
    """Build an order that received a complete answer."""
    fields = {
        'request_id': 'a',
        'instance': 'i0',
        'method': 'POST',
        'target': '/order/1',
        'service': 'orders',
        'size': 5,
        'sent_at': 1.0,
        'ended_at': 1.2,
        'status': 200,
        'key': organisation_plan.SHOP_KEY,
        'organisation': 'vine',
        **changes,
    }
    return sent_request.SentRequest(**fields)


def build_event(event='run', at=1.1, **changes):
    """Build an event as recorded by a back end of orders."""
    fields = {
        'service': 'orders',
        'name': 'i2',
        'request_id': 'a',
        'method': 'POST',
        'target': '/order/1',
        'caller': 'front',
        'organisation': 'vine',
        **changes,
    }
    return backend_event.BackendEvent(at=at, event=event, **fields)
