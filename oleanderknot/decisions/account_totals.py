"""Aggregates account batches into totals."""

import collections.abc

from oleanderknot import model

# Nodes of a data centre report the same event within this time of each other.
DUPLICATE_EVENT_S = 60.0


def find_incarnation_start(incarnation: int) -> float:
    """Return the start of an incarnation in seconds since 1970 (UTC)."""
    return (incarnation >> 20) / 1000


def sum_batches(
    batches: collections.abc.Iterable[model.AccountBatch],
    *,
    since: float,
    until: float,
    unread: int = 0,
    ticket: int | None = None,
) -> model.AccountTotals:
    """Sum the batches of a period.

    Args:
        batches: Batches in any order; duplicates count once.
        since: Wall-clock start in seconds since 1970 (UTC).
        until: Wall-clock end in seconds since 1970 (UTC).
        unread: Number of batches that could not be read.
        ticket: Counts only decisions under this ticket; None for all.

    Returns:
        The totals.
    """
    totals = model.AccountTotals(since=since, until=until, unreadable=unread)
    unique = {
        (item.instance, item.incarnation, item.sequence): item
        for item in batches
        if item.ended >= since and item.started <= until
    }
    records: dict[tuple[str, int], model.ReportCoverage] = {}
    for _, batch in sorted(unique.items()):
        name = (batch.instance, batch.incarnation)
        if name not in records:
            # An incarnation that started in the period must have its first
            # report.
            whole = find_incarnation_start(batch.incarnation) >= since
            records[name] = model.ReportCoverage(
                instance=batch.instance,
                incarnation=batch.incarnation,
                data_centre=batch.data_centre,
                period_s=batch.period_s,
                first_sequence=1 if whole else batch.sequence,
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


def add_batch(record: model.ReportCoverage, batch: model.AccountBatch) -> None:
    """Add a batch to the record of its node, in order of sequence."""
    record.last_sequence = batch.sequence
    record.reports_found += 1
    record.reports_dropped = max(record.reports_dropped, batch.dropped)
    record.last_ended = batch.ended
    record.final = batch.final


def merge_events(
    events: collections.abc.Iterable[model.Event],
) -> list[model.Event]:
    """Return events in order of time, without duplicates of other nodes."""
    merged: list[model.Event] = []
    last: dict[tuple[model.EventKind, str], float] = {}
    for event in sorted(events, key=lambda item: item.at):
        name = (event.kind, event.subject)
        before = last.get(name)
        last[name] = event.at
        if before is None or event.at - before > DUPLICATE_EVENT_S:
            merged.append(event)
    return merged
