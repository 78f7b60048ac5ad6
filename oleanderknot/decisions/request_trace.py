"""Reconstructs the path of one request from the logs of several nodes."""

import collections.abc
import datetime

from oleanderknot import model

# State changes of a node up to this time before the first line of a request
# are part of its context. The platform applies a policy, and learns that an
# upstream is leaving, within this time.
CONTEXT_BEFORE_S = 7.0

REQUEST_EVENTS = ('request', 'run')

VERDICT_TEXTS = {
    'not-run': 'it has not run',
    'may-have-run': 'it may have run',
    'answered': 'it was answered',
}


def find_lines(
    entries: collections.abc.Iterable[model.LogEntry], request: str
) -> list[model.LogEntry]:
    """Return the lines about a request and all calls of its trace.

    Args:
        entries: Lines of several nodes, in any order.
        request: Id of the request or of one of its calls.

    Returns:
        The lines in order of time.
    """
    lines = [entry for entry in entries if entry.event in REQUEST_EVENTS]
    traces = {entry.trace for entry in lines if entry.request == request}
    return sorted(
        (entry for entry in lines if entry.trace in traces),
        key=lambda entry: entry.at,
    )


def find_context(
    entries: collections.abc.Iterable[model.LogEntry],
    lines: collections.abc.Sequence[model.LogEntry],
) -> list[model.LogEntry]:
    """Return the state changes of the nodes of a request around its time.

    Args:
        entries: Lines of several nodes, in any order.
        lines: The lines about the request, in order of time.

    Returns:
        Lines of the same nodes, from shortly before the first line of the
        request to its last.
    """
    if not lines:
        return []
    instances = {entry.instance for entry in lines}
    for entry in lines:
        instances.update(text.partition(' ')[0] for text in entry.attempts)
    return sorted(
        (
            entry
            for entry in entries
            if entry.event
            and entry.event not in REQUEST_EVENTS
            and entry.instance in instances
            and lines[0].at - CONTEXT_BEFORE_S <= entry.at <= lines[-1].at
        ),
        key=lambda entry: entry.at,
    )


def describe_line(entry: model.LogEntry) -> str:
    """Return a log entry as readable sentences."""
    prefix = '%s %s: ' % (format_time(entry.at), entry.instance)
    if entry.event not in REQUEST_EVENTS:
        return '%s%s.' % (prefix, entry.message)
    rule, _, detail = entry.message.partition(': ')
    text = '%s%s %s for %s (route %s, policy %d) ended with %s' % (
        prefix,
        'request' if entry.event == 'request' else 'the run of',
        entry.request,
        entry.service or 'no service',
        entry.route or 'unknown',
        entry.policy,
        rule,
    )
    if detail:
        text += ', since ' + detail
    if entry.verdict in VERDICT_TEXTS:
        text += '; ' + VERDICT_TEXTS[entry.verdict]
    text += '.'
    if entry.attempts:
        text += ' Failed attempts: %s.' % ', '.join(entry.attempts)
    if entry.took_ms is not None:
        text += ' It took %.1f ms.' % entry.took_ms
    if entry.limit is not None:
        text += ' The upstream ran %d of %d calls and %d waited.' % (
            entry.running or 0,
            entry.limit,
            entry.queued or 0,
        )
    if entry.left_ms is not None:
        text += ' %d ms were left.' % entry.left_ms
    if entry.left_out:
        text += ' This node had left out %d lines before.' % entry.left_out
    return text


def format_time(at: float) -> str:
    """Return the time of day (UTC) with milliseconds."""
    moment = datetime.datetime.fromtimestamp(at, datetime.timezone.utc)
    return moment.strftime('%H:%M:%S.%f')[:-3]
