"""Adds up batches of the account."""

import collections.abc

from oleanderknot import model

# Nodes of a data centre tell the same thing within this time of each other.
DUPLICATE_EVENT_S = 60.0


def find_incarnation_start(incarnation: int) -> float:
    """Return when a life of a node began, in seconds since 1970 (UTC)."""
    return (incarnation >> 20) / 1000


def sum_batches(
    batches: collections.abc.Iterable[model.AccountBatch],
    *,
    since: float,
    until: float,
    unread: int = 0,
    ticket: int | None = None,
) -> model.AccountTotals:
    """Add up the batches of a time.

    Args:
        batches: Batches in any order; each one counts once.
        since: Wall-clock start in seconds since 1970 (UTC).
        until: Wall-clock end.
        unread: Batches that could not be read.
        ticket: Only decisions under this ticket; None for all.

    Returns:
        The sum.
    """
    totals = model.AccountTotals(since=since, until=until, unread=unread)
    unique = {
        (item.instance, item.incarnation, item.sequence): item
        for item in batches
        if item.ended >= since and item.started <= until
    }
    records: dict[tuple[str, int], model.NodeRecord] = {}
    for _, batch in sorted(unique.items()):
        name = (batch.instance, batch.incarnation)
        if name not in records:
            # A life that began in this time must have its first report.
            whole = find_incarnation_start(batch.incarnation) >= since
            records[name] = model.NodeRecord(
                instance=batch.instance,
                incarnation=batch.incarnation,
                data_centre=batch.data_centre,
                period_s=batch.period_s,
                first=1 if whole else batch.sequence,
            )
        add_batch(records[name], batch)
        for key, count in batch.counts.items():
            if ticket is None or key.ticket == ticket:
                totals.counts[key] += count
    totals.nodes = list(records.values())
    totals.events = merge_events(
        event for batch in unique.values() for event in batch.events
    )
    return totals


def add_batch(record: model.NodeRecord, batch: model.AccountBatch) -> None:
    """Note a batch, in order of their numbers."""
    record.last = batch.sequence
    record.found += 1
    record.dropped = max(record.dropped, batch.dropped)
    record.last_ended = batch.ended
    record.final = batch.final


def merge_events(
    events: collections.abc.Iterable[model.Event],
) -> list[model.Event]:
    """Return events in order; what several nodes tell comes once."""
    merged: list[model.Event] = []
    last: dict[tuple[model.EventKind, str], float] = {}
    for event in sorted(events, key=lambda item: item.at):
        name = (event.kind, event.subject)
        before = last.get(name)
        last[name] = event.at
        if before is None or event.at - before > DUPLICATE_EVENT_S:
            merged.append(event)
    return merged
