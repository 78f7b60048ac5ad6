"""Steps for ticket files and for ticket functions without I/O."""

import random

from behave import given
from behave import then
from behave import when

from features.support import tickets
from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire


@given('a ticket file')
def write_ticket_file(context):
    """Write the text of the step into a file."""
    context.ticket_path = context.system.folder / 'ticket.yaml'
    context.ticket_path.write_text(context.text)


@when('the operator files it')
def file_text(context):
    """File the ticket file of the scenario."""
    file_path(context, context.ticket_path)


@when('the operator files "{path}"')
def file_path(context, path):
    """File a ticket file; the table is not needed to find mistakes."""
    context.result = tickets.run_command(
        'ticket', 'file', str(path), '--table', 'http://127.0.0.1:1'
    )


@then('the command ends with exit code {code:d}')
def check_exit_code(context, code):
    """Check the exit code of the last command."""
    result = context.result
    assert result.returncode == code, (
        result.returncode,
        result.stdout,
        result.stderr,
    )


@then('the command names these mistakes')
def check_mistakes(context):
    """Check that each mistake has one line and that there are no others."""
    found = context.result.stderr.splitlines()
    for row in context.table:
        start = '%s:%s: %s: found %s' % (
            context.ticket_path,
            row['line'],
            row['field'],
            row['found'],
        )
        assert any(
            line.startswith(start) and row['allowed'] in line for line in found
        ), (start, found)
    assert len(found) == len(context.table.rows), found


@then('the command\'s errors contain "{text}"')
def check_errors(context, text):
    """Check the error output of the last command."""
    assert text in context.result.stderr, context.result.stderr


@given('the ticket of the example file')
def load_example(context):
    """Load the example file of the operators' page."""
    draft = border.load_ticket(
        tickets.EXAMPLE, ticket_id='a', filed_at=1764800000.25
    )
    context.ticket = decisions.number_ticket(draft, 7)
    assert len(context.ticket.scopes) == 3


@then('its rows hold the same ticket and scopes')
def check_rows(context):
    """Check that the rows are the same after encoding and decoding."""
    rows = {
        key: model.TableRow(key=key, version=1, value=value)
        for key, value in border.ticket_rows.format_writes(
            context.ticket
        ).items()
    }
    found = border.ticket_rows.parse_ticket(rows['ticket/000000000007'])
    assert found == context.ticket, found
    head = border.ticket_rows.parse_head(rows['ticket-head'])
    assert (head.number, head.id) == (7, 'a'), head
    states = tuple(
        border.ticket_rows.parse_scope(rows['scope/' + state.scope])
        for state in context.ticket.scopes
    )
    assert states == context.ticket.scopes, states


@then('its scopes pass between nodes unchanged')
def check_wire(context):
    """Encode and decode each scope."""
    states = tuple(
        wire.scope_from_wire(wire.scope_to_wire(state))
        for state in context.ticket.scopes
    )
    assert states == context.ticket.scopes, states


@then('a scope message with {field} {value} is a bad frame')
def check_bad_scope(context, field, value):
    """Check that a message with one wrong field is refused."""
    good = {
        'scope': 'upstream/orders-1',
        'number': 1,
        'state': '{"taking_work":true}',
    }
    assert wire.scope_from_wire(wire.ScopeState(**good)).number == 1
    wrong = int(value) if field == 'number' else value
    try:
        wire.scope_from_wire(wire.ScopeState(**{**good, field: wrong}))
    except wire.BadFrame:
        return
    raise AssertionError('%s %r was taken' % (field, value))


@given('{count:d} tickets over {scopes:d} scopes')
def build_states(context, count, scopes):
    """Build states that each name their ticket."""
    context.states = [
        model.ScopeState(
            scope='upstream/u%d' % (number % scopes),
            number=number,
            policy=model.UpstreamPolicy(
                instance='u%d' % (number % scopes),
                taking_work=bool(number % 2),
            ),
        )
        for number in range(1, count + 1)
    ]


@when(
    '{count:d} policy tables take them, each in another order and some twice'
)
def merge_states(context, count):
    """Merge the states in random orders."""
    context.policies = []
    for seed in range(count):
        rng = random.Random(seed)
        states = context.states + rng.sample(context.states, 10)
        rng.shuffle(states)
        table = decisions.PolicyTable()
        while states:
            part = rng.randint(1, 5)
            table.merge(states[:part])
            states = states[part:]
        context.policies.append(table)


@then('each table holds the highest number of each scope')
def check_highest(context):
    """Check the state in force of each scope."""
    expected = {state.scope: state for state in context.states}
    for table in context.policies:
        assert table.scopes == expected, table.scopes
        assert table.highest == context.states[-1].number


@then('all tables have the same digest')
def check_digests(context):
    """Check the digests, also against a table that lacks a state."""
    digests = {table.build_digest() for table in context.policies}
    assert len(digests) == 1, digests
    less = decisions.PolicyTable()
    less.merge(context.states[:-1])
    assert less.build_digest() not in digests


@then('a filing with found ticket {found} and head {head} is {result}')
def check_settle(context, found, head, result):
    """Check how a filing whose answer was lost is resolved."""
    outcome = decisions.resolve_filing(
        own_id='own',
        found_id=None if found == 'none' else found,
        checked_version=4,
        head_version=4 if head == 'unchanged' else 5,
    )
    assert outcome.value == result, outcome


@then(
    'polls are 0.5 s times the nodes apart on average for 1, 4 and 109 nodes'
)
def check_poll_delay(context):
    """Check the mean of many draws."""
    draws = [index / 1000 for index in range(1000)]
    for nodes in (1, 4, 109):
        delays = [
            decisions.compute_poll_delay(nodes=nodes, failures=0, draw=draw)
            for draw in draws
        ]
        mean = sum(delays) / len(delays)
        assert abs(mean - 0.5 * nodes) < 0.001 * nodes, (nodes, mean)


@then('a lone node that backs off polls again within {limit:d} s')
def check_back_off(context, limit):
    """Check the longest delay after any number of failures."""
    delays = [
        decisions.compute_poll_delay(nodes=1, failures=failures, draw=0.999)
        for failures in range(100)
    ]
    assert delays == sorted(delays) and delays[-1] < limit, delays
