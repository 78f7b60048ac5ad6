"""Steps for the filing of tickets."""

import json

from behave import given
from behave import then
from behave import when

from features.support import http
from features.support import ticket_system
from features.support import tickets


@given('a ticket platform without nodes')
def start_platform(context):
    """Start the platform only."""
    ticket_system.start_proxied_platform(context.system)
    context.rounds = []


def read_rows(context, prefix):
    """Return the values of rows by key."""
    url = context.system.platform_url('/scan')
    question = {'prefix': prefix, 'after': '', 'limit': 1000}
    body = json.dumps(question).encode()
    rows = json.loads(http.request('POST', url, body=body)[2])['rows']
    return {row['key']: json.loads(row['value']) for row in rows}


@when(
    'two operators confirm their tickets at the same time in {count:d} rounds'
)
def file_at_once(context, count):
    """Start two commands, wait for both prompts, then confirm both."""
    table = context.system.ticket_table_url
    for number in range(count):
        commands = {}
        for index, author in enumerate(('Carys', 'Bindi')):
            states = {
                'service/orders': tickets.build_service_state(
                    deadline_ms=1000 + 2 * number + index
                ),
                'global': {
                    'retry_ratio': 0.1,
                    'retry_minimum': 2 * number + index,
                },
                'upstream/only-%s' % author.lower(): {'taking_work': True},
            }
            path = context.system.folder / ('%s.yaml' % author)
            tickets.write_ticket(path, author=author, **states)
            command = tickets.start_command(
                'ticket', 'file', str(path), '--table', table
            )
            commands[author] = (command, states)
        results = {}
        for command, _ in commands.values():
            tickets.wait_for_prompt(command)
        for command, _ in commands.values():
            command.stdin.write('yes\n')
            command.stdin.flush()
        for author, (command, states) in commands.items():
            _, errors = command.communicate(timeout=tickets.COMMAND_TIMEOUT_S)
            results[author] = (command.returncode, errors, states)
        context.rounds.append((results, read_rows(context, 'scope/')))


@then('in each round one ticket won its number and the other was told who won')
def check_winners(context):
    """Check exit codes, messages and the ticket of each number."""
    rows = read_rows(context, 'ticket/')
    assert len(rows) == len(context.rounds), rows.keys()
    for number, (results, _) in enumerate(context.rounds, 1):
        winners = [name for name, item in results.items() if item[0] == 0]
        assert len(winners) == 1, (number, results)
        assert rows['ticket/%012d' % number]['author'] == winners[0]
        for name, (code, errors, _) in results.items():
            if name != winners[0]:
                text = '%s filed ticket %d first' % (winners[0], number)
                assert code == 1 and text in errors, (code, errors)


@then('no scope of a losing ticket was written')
def check_scopes(context):
    """Check the rows of scopes after each round."""
    for number, (results, rows) in enumerate(context.rounds, 1):
        for name, (code, _, states) in results.items():
            for scope, state in states.items():
                row = rows.get('scope/' + scope)
                written = row == {'number': number, 'state': state}
                assert written == (code == 0), (number, name, scope, row)


@when('the table loses the answer to a filing after the write')
def lose_answer(context):
    """File the example while the answer of the commit is lost."""
    set_faults(context, drop_commits=1)
    file_example(context, '--yes')


@when('the table loses a filing before the write')
def lose_filing(context):
    """File the example while the commit request is lost."""
    set_faults(context, lose_commits=1)
    file_example(context, '--yes')


@when('the table loses the answer to a filing and goes down')
def lose_answer_and_go(context):
    """File the example; the platform goes down after the lost answer."""
    set_faults(context, drop_commits=1, down_after_drop=True)
    file_example(context, '--yes')


def set_faults(context, **faults):
    """Change the faults of the platform."""
    http.post_json(context.system.platform_url('/-/faults'), faults)


def file_example(context, *options, text=''):
    """File the example ticket."""
    context.result = tickets.run_command(
        *('ticket', 'file', str(tickets.EXAMPLE), *options),
        *('--table', context.system.ticket_table_url),
        text=text,
    )


@when(
    'an operator answers "{answer}" to the question about the example ticket'
)
def answer_question(context, answer):
    """File the example with an answer on standard input."""
    file_example(context, text=answer + '\n')


@then('the ticket platform holds {count:d} ticket')
@then('the ticket platform holds {count:d} tickets')
def check_count(context, count):
    """Check the head and the rows of the table."""
    rows = read_rows(context, 'ticket/')
    assert len(rows) == count, rows
    heads = read_rows(context, 'ticket-head').values()
    assert [row['number'] for row in heads if row['number']] == (
        [count] if count else []
    ), heads


@then('the question named "{text}"')
def check_preview(context, text):
    """Check what the command showed before it asked."""
    assert text in context.result.stdout, context.result.stdout


@then('ticket {number:d} is listed and shown')
def check_list(context, number):
    """Check both commands, as text and as JSON."""
    for arguments in (('list',), ('show', str(number))):
        command = ('ticket', *arguments, '--table')
        table = context.system.ticket_table_url
        text = tickets.run_command(*command, table)
        assert text.returncode == 0, text.stderr
        assert 'service/orders' in text.stdout, text.stdout
        dumped = tickets.run_command(*command, table, '--output', 'json')
        value = json.loads(dumped.stdout)
        value = value[0] if isinstance(value, list) else value
        assert (value['number'], value['author']) == (number, 'Carys'), value
    absent = tickets.run_command('ticket', 'show', '99', '--table', table)
    assert absent.returncode == 1, absent
    assert 'There is no ticket 99.' in absent.stderr, absent.stderr
