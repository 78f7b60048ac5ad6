"""Describes the gaps in the decision account of a report."""

from oleanderknot import model
from oleanderknot.decisions import account_format

# A node whose last report is older than this number of report periods, plus
# the grace time, counts as stopped.
MAX_MISSED_PERIODS = 3
REPORT_GRACE_S = 5.0

OUTAGE_EVENTS = (
    (
        model.EventKind.OBJECTS_OUT,
        model.EventKind.OBJECTS_BACK,
        'The object store, which keeps the reports,',
    ),
    (
        model.EventKind.TABLE_OUT,
        model.EventKind.TABLE_BACK,
        'The table service, which keeps tickets and orders,',
    ),
)


def find_gaps(totals: model.AccountTotals, now: float) -> list[str]:
    """Return a sentence for each gap in the account.

    Args:
        totals: Totals of the account.
        now: Wall-clock time in seconds since 1970 (UTC).
    """
    sentences = []
    if not totals.nodes:
        sentences.append('No reports at all were found for this time.')
    if totals.unreadable:
        sentences.append(
            '%s could not be read.'
            % account_format.format_count(
                totals.unreadable, 'report', 'reports'
            )
        )
    for node in totals.nodes:
        sentences += describe_missing(node)
        sentences += describe_unclean_end(node, now)
    sentences += describe_unreported(totals)
    return sentences + describe_outages(totals)


def describe_unreported(totals: model.AccountTotals) -> list[str]:
    """Return a sentence for each dead instance that sent no report."""
    reported = {node.instance for node in totals.nodes}
    dead = {
        event.subject
        for event in totals.events
        if event.kind is model.EventKind.UPSTREAM_DEAD
    }
    return [
        'Node %s went silent and no report of it was found; what it decided'
        ' is not known.' % name
        for name in sorted(dead - reported)
    ]


def describe_missing(node: model.ReportCoverage) -> list[str]:
    """Return a sentence about the missing reports of a node, if any."""
    missing = node.count_missing()
    if not missing:
        return []
    reason = (
        'lost, because the node could not hold more'
        if node.reports_dropped >= missing
        else 'lost or not written yet'
    )
    return [
        'Node %s: %s %s missing (%s), about %d seconds of its decisions; the'
        ' true numbers are higher.'
        % (
            node.instance,
            account_format.format_count(missing, 'report', 'reports'),
            'is' if missing == 1 else 'are',
            reason,
            max(1, round(missing * node.period_s)),
        )
    ]


def describe_unclean_end(node: model.ReportCoverage, now: float) -> list[str]:
    """Return a sentence if a node stopped without a final report."""
    silence_s = now - node.last_ended
    if (
        node.final
        or silence_s <= MAX_MISSED_PERIODS * node.period_s + REPORT_GRACE_S
    ):
        return []
    return [
        'Node %s sent its last report at %s and did not say that it stopped;'
        ' what it decided after that is not known.'
        % (node.instance, account_format.format_time(node.last_ended))
    ]


def describe_outages(totals: model.AccountTotals) -> list[str]:
    """Return a sentence for each platform outage in each data centre."""
    sentences = []
    for began, ended, name in OUTAGE_EVENTS:
        open_since: dict[str, float] = {}
        for event in totals.events:
            if event.kind is began:
                open_since.setdefault(event.subject, event.at)
            elif event.kind is ended and event.subject in open_since:
                start = open_since.pop(event.subject)
                sentences.append(
                    '%s did not answer in data centre %s from %s to %s.'
                    % (
                        name,
                        event.subject,
                        account_format.format_time(start),
                        account_format.format_time(event.at),
                    )
                )
        sentences += [
            '%s has not answered in data centre %s since %s.'
            % (name, subject, account_format.format_time(start))
            for subject, start in open_since.items()
        ]
    return sentences
