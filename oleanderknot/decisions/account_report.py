"""Builds the readable report from the totals of the account."""

import collections
import collections.abc

from oleanderknot import model
from oleanderknot.decisions import account_format
from oleanderknot.decisions import account_gaps
from oleanderknot.decisions import alert_texts
from oleanderknot.decisions import rule_texts

EVENT_TEXTS = {
    model.EventKind.UPSTREAM_TAKING: '%s began to take work',
    model.EventKind.UPSTREAM_LEAVING: '%s left as planned',
    model.EventKind.UPSTREAM_SUSPECT: (
        '%s did not answer for a moment and was used only if need be'
    ),
    model.EventKind.UPSTREAM_DEAD: '%s went silent and got no more work',
    model.EventKind.CONNECTION_SILENT: (
        'a connection to %s went silent and was replaced'
    ),
}


def is_unserved(key: model.DecisionKey) -> bool:
    """Return whether a decision left a call without a complete answer."""
    return key.rule not in (model.Rule.ADMITTED, model.Rule.RETRIED)


def build_report(
    totals: model.AccountTotals,
    alerts: collections.abc.Iterable[model.Alert] | None,
    *,
    now: float,
    remarks: collections.abc.Iterable[str] = (),
) -> list[model.ReportSection]:
    """Build the report for a reader with no technical background.

    Args:
        totals: Totals of the account.
        alerts: Unacknowledged alerts; None when they could not be read.
        now: Wall-clock time in seconds since 1970 (UTC).
        remarks: Further sentences for the section of unknown facts.

    Returns:
        The sections of the report.
    """
    unknown = [*account_gaps.find_gaps(totals, now), *remarks]
    if alerts is None:
        unknown.append('Whether alerts are open could not be read.')
    if not unknown:
        unknown.append('Nothing is missing: every report is there.')
    return [
        build_section('time', 'Time', [describe_time(totals)]),
        build_section('served', 'Served', describe_served(totals)),
        build_section('refused', 'Not served', describe_refused(totals, True)),
        build_section('retried', 'Tried again', describe_retried(totals)),
        build_section(
            'inner', 'Between services', describe_refused(totals, False)
        ),
        build_section(
            'upstreams', 'Copies of services', describe_events(totals)
        ),
        build_section('unknown', 'Not known', unknown),
        build_section('alerts', 'Open alerts', describe_alerts(alerts or ())),
    ]


def build_section(
    name: str, title: str, sentences: list[str]
) -> model.ReportSection:
    """Build a section of the report from its sentences."""
    return model.ReportSection(
        name=name, title=title, sentences=tuple(sentences)
    )


def describe_time(totals: model.AccountTotals) -> str:
    """Return a sentence with the period and the nodes that are covered."""
    centres = {node.data_centre for node in totals.nodes}
    nodes = {node.instance for node in totals.nodes}
    return 'This covers %s to %s; %s in %s reported.' % (
        account_format.format_time(totals.since),
        account_format.format_time(totals.until),
        account_format.format_count(len(nodes), 'node', 'nodes'),
        account_format.format_count(
            len(centres), 'data centre', 'data centres'
        ),
    )


def count_served(
    totals: model.AccountTotals,
) -> dict[model.RequestClass, int]:
    """Return the number of served root requests by class."""
    served: collections.Counter[model.RequestClass] = collections.Counter()
    for key, count in totals.counts.items():
        if key.root and key.rule is model.Rule.ADMITTED:
            served[key.request_class] += count
    return dict(sorted(served.items()))


def describe_served(totals: model.AccountTotals) -> list[str]:
    """Return a sentence with the number of served root requests."""
    served = count_served(totals)
    if not served:
        return ['No request of a customer was served.']
    parts = [
        account_format.format_class_count(count, kind)
        for kind, count in served.items()
    ]
    return [
        '%s of customers %s served whole: %s.'
        % (
            account_format.format_count(
                sum(served.values()), 'request', 'requests'
            ),
            'was' if sum(served.values()) == 1 else 'were',
            account_format.join_list(parts),
        )
    ]


def describe_refused(totals: model.AccountTotals, root: bool) -> list[str]:
    """Return a sentence for each kind of unserved call.

    The sentences are sorted by class, then by count in descending order.

    Args:
        totals: Totals of the account.
        root: Whether to describe root requests or calls between services.
    """
    groups = [
        (key, count)
        for key, count in totals.counts.items()
        if key.root is root and is_unserved(key)
    ]
    groups.sort(
        key=lambda item: (item[0].request_class, -item[1], item[0].service)
    )
    if not groups:
        noun = 'request of a customer' if root else 'call between services'
        return ['No %s was refused or lost.' % noun]
    return [describe_group(key, count) for key, count in groups]


def describe_group(key: model.DecisionKey, count: int) -> str:
    """Return a sentence with the outcome of one kind of call and its rule."""
    one = count == 1
    if key.verdict is model.Verdict.NOT_RUN:
        outcome = '%s turned away and did not run' % ('was' if one else 'were')
    elif key.verdict is model.Verdict.MAY_HAVE_RUN:
        outcome = 'got no answer and may or may not have run'
    else:
        outcome = 'ran but did not end well'
    noun = (
        account_format.format_class_count(count, key.request_class)
        if key.root
        else account_format.format_count(count, 'call', 'calls')
    )
    return '%s%s %s, because %s (rule %s, %s).' % (
        noun,
        ' to ' + key.service if key.service else '',
        outcome,
        rule_texts.explain_rule(key.rule),
        key.rule.value,
        account_format.format_ticket(key.ticket),
    )


def count_retried(totals: model.AccountTotals, root: bool) -> int:
    """Return the number of retried root requests or nested calls."""
    return sum(
        count
        for key, count in totals.counts.items()
        if key.rule is model.Rule.RETRIED and key.root is root
    )


def describe_retried(totals: model.AccountTotals) -> list[str]:
    """Return a sentence with the number of retries."""
    root_count, nested_count = (
        count_retried(totals, True),
        count_retried(totals, False),
    )
    if not root_count + nested_count:
        return ['Nothing was tried again.']
    return [
        '%s: %d for customers directly, %d between services.'
        % (
            account_format.format_count(
                root_count + nested_count,
                'call was tried once more',
                'calls were tried once more',
            ),
            root_count,
            nested_count,
        )
    ]


def describe_events(totals: model.AccountTotals) -> list[str]:
    """Return a sentence for each upstream and ticket event."""
    sentences = []
    for event in totals.events:
        text = EVENT_TEXTS.get(event.kind)
        if text is not None:
            name = event.subject
            if event.service:
                name += ' (%s)' % event.service
            sentences.append(
                '%s: %s.' % (account_format.format_time(event.at), text % name)
            )
        elif event.kind is model.EventKind.TICKET_IN_FORCE:
            sentences.append(
                '%s: ticket %s came into force.'
                % (account_format.format_time(event.at), event.subject)
            )
    return sentences or ['No copy of a service came, left or went silent.']


def describe_alerts(
    alerts: collections.abc.Iterable[model.Alert],
) -> list[str]:
    """Return a sentence with the operator action for each open alert."""
    return [
        '%s: %s %s (Acknowledge with: oleanderknot alert ack %s)%s'
        % (
            account_format.format_time(alert.at),
            alert_texts.summarise(alert),
            alert_texts.ALERT_TEXTS[alert.kind].action,
            alert.id,
            '' if alert.posted else ' It has not reached the webhook.',
        )
        for alert in sorted(alerts, key=lambda item: item.at)
    ] or ['No alert is open.']
