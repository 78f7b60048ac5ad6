"""The ``ticket file`` command."""

import json
import pathlib
import sys
import time
import uuid

from cleo.helpers import argument
from cleo.helpers import option

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.cli import common_options
from oleanderknot.cli import operator_command


class TicketFileCommand(operator_command.OperatorCommand):
    """Shows what a ticket changes, asks for confirmation and files it."""

    name = 'ticket file'
    description = 'File a ticket after showing what it changes'
    arguments = [argument('file', description='YAML ticket file')]
    options = [
        common_options.TABLE,
        option('yes', description='File without confirmation', flag=True),
        common_options.OUTPUT,
    ]
    help = """Shows what a ticket changes in the policy in force, asks for \
confirmation and files it.
The command fails if another operator files a ticket in the meantime.

Example:

    oleanderknot ticket file slow-press.yaml --table http://10.0.0.5:8080"""

    def run_operation(self) -> int:
        """See the base class."""
        as_json = common_options.wants_json(self)
        url = common_options.parse_table_url(self)
        draft = load(self.argument('file'))
        plan = common_options.run_with_table(
            url, lambda table: platform.ticket_filing.prepare(table, draft)
        )
        if plan.is_error():
            raise common_options.OperationError(
                'The ticket is not filed: %s' % plan.error.detail
            )
        # With JSON output, the plan goes to standard error to keep standard
        # output valid JSON.
        show_plan(plan.ok, sys.stderr if as_json else sys.stdout)
        if not self.option('yes') and not confirm():
            raise common_options.OperationError('The ticket is not filed.')
        outcome = common_options.run_with_table(
            url,
            lambda table: platform.ticket_filing.file_ticket(table, plan.ok),
        )
        if as_json:
            print(json.dumps(dump(outcome)))
        elif outcome.result is model.FilingResult.FILED:
            print(describe(outcome))
        else:
            raise common_options.OperationError(describe(outcome))
        return int(outcome.result is not model.FilingResult.FILED)


def load(path: str) -> model.Ticket:
    """Load and validate a ticket file.

    Raises:
        UsageError: The file is invalid; the message lists all errors.
    """
    try:
        return border.load_ticket(
            pathlib.Path(path),
            ticket_id=uuid.uuid4().hex,
            filed_at=time.time(),
        )
    except border.InvalidFileError as error:
        raise common_options.UsageError(str(error)) from error


def show_plan(plan: platform.ticket_filing.FilingPlan, output) -> None:
    """Print the changes that a ticket makes to each scope."""
    ticket = plan.ticket
    lines = [
        'Ticket %d by %s' % (ticket.number, ticket.author),
        'Reason: %s' % ticket.reason,
    ]
    for state in ticket.scopes:
        before = plan.in_force.get(state.scope)
        since = 'ticket %d' % before.number if before else 'built in'
        lines += ['', '%s (now: %s)' % (state.scope, since)]
        changes = decisions.describe_changes(
            before and before.policy, state.policy
        )
        lines += ['  ' + text for text in changes or ['Nothing changes.']]
    print('\n'.join(lines), file=output)


def confirm() -> bool:
    """Ask the operator for confirmation; end of input means no."""
    print('\nFile this ticket? (yes/no) ', end='', file=sys.stderr, flush=True)
    return sys.stdin.readline().strip().lower() in ('y', 'yes')


def describe(outcome: model.FilingOutcome) -> str:
    """Describe the outcome of filing a ticket."""
    number = outcome.ticket.number
    winner = outcome.winner
    if outcome.result is model.FilingResult.FILED:
        return 'Ticket %d is filed.' % number
    if outcome.result is model.FilingResult.UNKNOWN:
        return (
            'It is unknown whether ticket %d is filed: %s. Look with '
            '"ticket show %d" for id %s before you file it again.'
            % (number, outcome.detail, number, outcome.ticket.id)
        )
    if winner is not None:
        return (
            'Not filed: %s filed ticket %d first (%s). Nothing was changed; '
            'file again to see what changes now.'
            % (winner.author, winner.number, ' '.join(winner.reason.split()))
        )
    return 'Not filed: %s.' % outcome.detail


def dump(outcome: model.FilingOutcome) -> dict[str, object]:
    """Convert the outcome to JSON-serialisable values."""
    winner = outcome.winner
    return {
        'result': outcome.result.value,
        'number': outcome.ticket.number,
        'id': outcome.ticket.id,
        'winner': winner and common_options.dump_ticket(winner),
        'detail': outcome.detail,
    }
