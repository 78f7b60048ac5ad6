"""Summary and operator action for each kind of alert."""

import dataclasses

from oleanderknot import model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AlertText:
    """Texts for a kind of alert.

    Attributes:
        summary: One sentence; ``%s`` stands for the subject.
        action: What the operator should do.
    """

    summary: str
    action: str


ALERT_TEXTS = {
    model.AlertKind.TABLE_OUT: AlertText(
        summary='The table service does not answer in data centre %s.',
        action=(
            'Ask the platform. Until it is back, no ticket can be filed and'
            ' orders with keys made by callers are refused; everything else'
            ' goes on under the tickets in force.'
        ),
    ),
    model.AlertKind.OBJECTS_OUT: AlertText(
        summary='The object store does not answer in data centre %s.',
        action=(
            'Ask the platform. Nodes hold their reports for about two hours;'
            ' do not stop many nodes until it is back, since a stopped node'
            ' loses the reports it holds.'
        ),
    ),
    model.AlertKind.BATCHES_DROPPED: AlertText(
        summary='Node %s has lost reports because it held too many.',
        action=(
            'Ask the platform about the object store. The figures of'
            ' `explain` for this time are too low; it says where.'
        ),
    ),
    model.AlertKind.MEMBER_DEAD: AlertText(
        summary='Instance %s does not answer any more.',
        action=(
            'See whether it was replaced. Orders that it was running are'
            ' told as "may have run": compare them with the shop.'
        ),
    ),
    model.AlertKind.DATA_CENTRE_OUT: AlertText(
        summary='No instance of data centre %s can be reached.',
        action=(
            'See whether the data centre or the line to it is out. Each data'
            ' centre goes on by itself; use `ticket status` to see which'
            ' tickets have not reached it.'
        ),
    ),
    model.AlertKind.CONNECTION_SILENT: AlertText(
        summary='A connection to %s went silent and was replaced.',
        action=(
            'Nothing, if it stays at one. If it comes back every hour, look'
            ' at the network between the two instances.'
        ),
    ),
    model.AlertKind.ORDERS_REFUSED: AlertText(
        summary='Node %s has refused orders or bookings for a while.',
        action=(
            'Run `explain --since` to see the rule. Orders are refused last,'
            ' so add upstreams of the service, or file a ticket that stops'
            ' less important work.'
        ),
    ),
}


def summarise(alert: model.Alert) -> str:
    """Return one sentence about an alert."""
    return ALERT_TEXTS[alert.kind].summary % alert.subject
