"""Encodes the account of decisions as objects of the object store."""

import datetime

from oleanderknot import model
from oleanderknot.border import base

PREFIX = 'account'


class CountObject(base.Model):
    """Count of decisions with the same key; see ``model.DecisionKey``."""

    ticket: base.Integer
    rule: model.Rule
    request_class: model.RequestClass
    service: str
    verdict: model.Verdict
    root: bool
    count: base.Count


class EventObject(base.Model):
    """JSON form of one event; see ``model.Event``."""

    at: float
    kind: model.EventKind
    subject: str
    service: str = ''


class AccountObject(base.Model):
    """JSON form of one batch; see ``model.AccountBatch``."""

    instance: str
    incarnation: base.Integer
    data_centre: str
    sequence: base.Integer
    started: float
    ended: float
    period_s: float
    dropped: base.Integer
    final: bool
    counts: tuple[CountObject, ...]
    events: tuple[EventObject, ...]


def format_day(epoch: float) -> str:
    """Return the UTC date of a Unix timestamp as used in object keys."""
    moment = datetime.datetime.fromtimestamp(epoch, datetime.timezone.utc)
    return moment.strftime('%Y-%m-%d')


def build_object_key(batch: model.AccountBatch) -> str:
    """Return the object key under which a batch is stored."""
    return '%s/%s/%s/%s-%d/%08d' % (
        PREFIX,
        format_day(batch.ended),
        batch.data_centre,
        batch.instance,
        batch.incarnation,
        batch.sequence,
    )


def dump_batch(batch: model.AccountBatch) -> bytes:
    """Serialize a batch to the JSON content of an object."""
    fields = {
        name: getattr(batch, name)
        for name in AccountObject.model_fields
        if name not in ('counts', 'events')
    }
    counts = tuple(
        CountObject(
            ticket=key.ticket,
            rule=key.rule,
            request_class=key.request_class,
            service=key.service,
            verdict=key.verdict,
            root=key.root,
            count=count,
        )
        for key, count in batch.counts.items()
    )
    events = tuple(
        EventObject(
            at=event.at,
            kind=event.kind,
            subject=event.subject,
            service=event.service,
        )
        for event in batch.events
    )
    value = AccountObject(counts=counts, events=events, **fields)
    return value.model_dump_json().encode()


def parse_batch(content: bytes) -> model.AccountBatch:
    """Parse a batch from the JSON content of an object.

    Raises:
        ValueError: The content is not a valid batch.
    """
    value = AccountObject.model_validate_json(content)
    fields = {
        name: getattr(value, name)
        for name in AccountObject.model_fields
        if name not in ('counts', 'events')
    }
    counts = {
        model.DecisionKey(**item.model_dump(exclude={'count'})): item.count
        for item in value.counts
    }
    events = tuple(model.Event(**item.model_dump()) for item in value.events)
    return model.AccountBatch(counts=counts, events=events, **fields)
