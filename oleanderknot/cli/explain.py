"""The ``explain`` command."""

import asyncio
import dataclasses
import json
import textwrap
import time

from cleo.helpers import option

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.cli import account_reader
from oleanderknot.cli import alert_reader
from oleanderknot.cli import common_options
from oleanderknot.cli import operator_command
from oleanderknot.cli import platform_options
from oleanderknot.cli import since

TIMEOUT_S = 5.0
DEFAULT_SINCE = '24h'
LINE_WIDTH = 79


@dataclasses.dataclass(slots=True, kw_only=True)
class ReportQuery:
    """Selects the decisions that the report covers.

    Attributes:
        addresses: Addresses of the platform's services.
        ticket: Ticket number; None for all tickets.
        since: Start of the report as a Unix timestamp; None for the time at
            which the ticket was filed.
        data_centre: Only this data centre; empty for all.
        now: Current time as a Unix timestamp.
    """

    addresses: border.PlatformSettings
    ticket: int | None
    since: float | None
    data_centre: str
    now: float


class ExplainCommand(operator_command.OperatorCommand):
    """Reports in plain sentences what the system decided and why."""

    name = 'explain'
    description = 'Report what was served, refused and retried, and why'
    options = [
        option('ticket', description='Ticket number', flag=False),
        option('since', description='Start time, such as 8h', flag=False),
        option('data-centre', description='Only this data centre', flag=False),
        platform_options.SETTINGS,
        platform_options.OBJECTS,
        common_options.TABLE,
        common_options.OUTPUT,
    ]
    help = """Reads the reports of all nodes and summarises how many requests \
were served, what was refused and why, what was retried, which copies of \
services left or stopped responding, which alerts are open, and what is \
unknown.
Nodes report every 30 s, so the last 30 s may be missing.

Examples:

    oleanderknot explain --since 12h --settings node.yaml
    oleanderknot explain --ticket 12 --settings node.yaml"""

    def run_operation(self) -> int:
        """See the base class."""
        as_json = common_options.wants_json(self)
        addresses = platform_options.resolve_platform(self)
        platform_options.require_address(addresses.object_url, 'objects')
        now = time.time()
        number = self.option('ticket')
        text = self.option('since') or (None if number else DEFAULT_SINCE)
        query = ReportQuery(
            addresses=addresses,
            ticket=common_options.parse_positive_int(number)
            if number
            else None,
            since=since.parse_since(text, now) if text else None,
            data_centre=self.option('data-centre') or '',
            now=now,
        )
        totals, alerts, remarks = asyncio.run(read_report_inputs(query))
        sections = decisions.build_report(
            totals, alerts, now=now, remarks=remarks
        )
        if as_json:
            print(json.dumps(dump(totals, sections)))
        else:
            print(format_text(sections))
        return 0


async def read_report_inputs(
    query: ReportQuery,
) -> tuple[model.AccountTotals, list[model.Alert] | None, list[str]]:
    """Read the account, the open alerts and the ticket of a report.

    Returns:
        Totals of the account, the open alerts (None if they could not be
        read), and remarks on data that is missing.

    Raises:
        OperationError: The account cannot be read, or there is no such ticket.
    """
    remarks: list[str] = []
    alerts = None
    start = query.since
    url = query.addresses.table_url
    if url:
        table = platform.TableClient(url=url, timeout_s=TIMEOUT_S)
        try:
            found = await alert_reader.read_alerts(table)
            if found.is_ok():
                alerts = [x for x in found.ok if not x.acknowledged_by]
            if query.ticket is not None and start is None:
                start = await read_filing_time(table, query.ticket)
        finally:
            await table.close()
    if start is None:
        start = since.parse_since(DEFAULT_SINCE, query.now)
        remarks.append(
            'When the ticket was filed could not be read, so only the last'
            ' 24 hours are covered.'
        )
    client = platform.ObjectClient(
        url=query.addresses.object_url, timeout_s=TIMEOUT_S
    )
    try:
        result = await account_reader.read_batches(
            client,
            since=start,
            until=query.now,
            data_centre=query.data_centre,
        )
    finally:
        await client.close()
    if result.is_error():
        raise common_options.OperationError(
            'Cannot read the account: %s' % result.error.detail
        )
    batches, unread = result.ok
    totals = decisions.sum_batches(
        batches,
        since=start,
        until=query.now,
        unread=unread,
        ticket=query.ticket,
    )
    return totals, alerts, remarks


async def read_filing_time(
    table: platform.TableClient, number: int
) -> float | None:
    """Return the time a ticket was filed, or None if it cannot be read.

    Raises:
        OperationError: There is no such ticket.
    """
    rows = await table.read([border.ticket_rows.format_ticket_key(number)])
    if rows.is_error():
        return None
    try:
        ticket = border.ticket_rows.parse_ticket(rows.ok[0])
    except ValueError:
        return None
    if ticket is None:
        raise common_options.OperationError('There is no ticket %d.' % number)
    return ticket.filed_at


def format_text(sections: list[model.ReportSection]) -> str:
    """Format the report as wrapped text."""
    lines = []
    for section in sections:
        lines.append(section.title)
        for sentence in section.sentences:
            lines += textwrap.wrap(
                sentence,
                LINE_WIDTH,
                initial_indent='  - ',
                subsequent_indent='    ',
                break_long_words=False,
                break_on_hyphens=False,
            )
        lines.append('')
    return '\n'.join(lines).rstrip()


def dump(
    totals: model.AccountTotals, sections: list[model.ReportSection]
) -> dict[str, object]:
    """Convert the report to JSON-serialisable values."""
    return {
        'since': totals.since,
        'until': totals.until,
        'served': {
            kind.name.lower(): count
            for kind, count in decisions.count_served(totals).items()
        },
        'decisions': [
            {
                'ticket': key.ticket,
                'rule': key.rule.value,
                'class': key.request_class.name.lower(),
                'service': key.service,
                'verdict': key.verdict.value,
                'root': key.root,
                'count': count,
            }
            for key, count in totals.counts.items()
        ],
        'events': [
            {
                'at': item.at,
                'kind': item.kind.value,
                'subject': item.subject,
                'service': item.service,
            }
            for item in totals.events
        ],
        'missing_reports': sum(node.count_missing() for node in totals.nodes),
        'unread_reports': totals.unreadable,
        'sentences': {
            section.name: list(section.sentences) for section in sections
        },
    }
