"""Formats the status of a node as text tables."""

import collections.abc
import typing


def format_table(
    titles: collections.abc.Sequence[str],
    rows: collections.abc.Sequence[collections.abc.Sequence[object]],
) -> list[str]:
    """Format a table with aligned columns as lines of text.

    Args:
        titles: Title of each column.
        rows: Values of each row.
    """
    cells = [list(titles), *([str(item) for item in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(titles))]
    return [
        '  '.join(
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]


def format_status(status: collections.abc.Mapping[str, typing.Any]) -> str:
    """Format the status of a node as text.

    Args:
        status: Response of the operator port; sections that an older node does
            not send are omitted.
    """
    account = status.get('account', {})
    node_rows = [
        ('instance', status.get('instance', '-')),
        ('data centre', status.get('data_centre', '-')),
        ('service', status.get('service') or 'none'),
        ('leaving', 'yes' if status.get('leaving') else 'no'),
        ('running calls', status.get('running', '-')),
        ('connections', ', '.join(status.get('connections', ())) or 'none'),
        ('reports written', account.get('written', '-')),
        ('reports held', account.get('held', '-')),
        ('reports lost', account.get('dropped', '-')),
    ]
    sections = [format_table(('node', ''), node_rows)]
    members = [
        (
            item.get('instance', '-'),
            item.get('data_centre', '-'),
            item.get('service') or '-',
            item.get('state', '-'),
            '%s:%s' % (item.get('host'), item.get('operator_port')),
        )
        for item in status.get('members', ())
    ]
    sections.append(
        format_table(
            ('member', 'data centre', 'service', 'state', 'operators'),
            sorted(members),
        )
    )
    scopes = status.get('policy', {}).get('scopes', {})
    if scopes:
        sections.append(
            format_table(('scope', 'ticket'), sorted(scopes.items()))
        )
    counts = {**status.get('counters', {}), **status.get('gauges', {})}
    if counts:
        sections.append(
            format_table(('metric', 'value'), sorted(counts.items()))
        )
    sections.append(
        ['alerts on their way: %s' % ('; '.join(status['alerts']) or 'none')]
        if 'alerts' in status
        else []
    )
    return '\n\n'.join('\n'.join(section) for section in sections if section)
