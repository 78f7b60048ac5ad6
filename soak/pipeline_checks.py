"""Checks the requests behind a response that closes its connection."""

from soak import backend_event
from soak import sent_request


def check_unread(
    sent: list[sent_request.SentRequest],
    events: list[backend_event.BackendEvent],
) -> list[str]:
    """Check that requests that count as unread have not run.

    Clients send them again whatever their kind.

    Args:
        sent: All requests that clients sent.
        events: Events recorded by the back ends.
    """
    resent_at = {item.request_id: item.resent_at for item in sent}
    return [
        '%s ran at %s, and its connection closed before its response'
        % (event.request_id, event.name)
        for event in events
        if event.event == 'run'
        and event.at < resent_at.get(event.request_id, 0)
    ]
