"""Steps that test the decisions on order keys."""

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions
from oleanderknot import model

HOME = model.NodeIdentity(instance='a', incarnation=7, data_centre='dc1')


def build_key(**changes):
    """Build an order key issued by the home node."""
    values = {
        'instance': 'a',
        'incarnation': 7,
        'created_at': 100,
        'nonce': 'c123456789abcdef',
    }
    return model.OrderKey(**{**values, **changes})


@when(
    'an order key of home "{home}" incarnation {incarnation:d} made at'
    ' {second:d} is formatted and parsed'
)
def format_and_parse(context, home, incarnation, second):
    """Format a key and parse the text."""
    context.key = build_key(
        instance=home, incarnation=incarnation, created_at=second
    )
    context.parsed = decisions.parse_order_key(
        decisions.format_order_key(context.key)
    )


@then('the parsed order key is the same')
def check_same(context):
    """Check the parsed key."""
    assert context.parsed == context.key, context.parsed


@when('the order key text "{text}" is parsed')
def parse(context, text):
    """Parse a text and store the kind of key."""
    try:
        key = decisions.parse_order_key(text)
        context.key_kind = 'caller-made' if key is None else 'home'
    except ValueError:
        context.key_kind = 'malformed'


@when('an order key of age {age:g} s is checked')
def check_age(context, age):
    """Check the age of a key."""
    accepted = decisions.has_valid_age(build_key(created_at=1000), 1000 + age)
    context.key_kind = 'accepted' if accepted else 'expired'


@then('the order key is {kind}')
def check_kind(context, kind):
    """Check the kind of the key."""
    assert context.key_kind == kind, context.key_kind


@given('order records for {count:d} keys and {size:d} bytes')
def build_records(context, count, size):
    """Build an order record store with small limits."""
    context.records = decisions.OrderRecordStore(
        max_records=count, max_bytes=size
    )


@when('order "{key}" with digest "{digest}" begins at {now:d}')
def begin(context, key, digest, now):
    """Begin a request whose key was created at the same time."""
    context.decision = context.records.begin(
        key, digest=digest.encode(), expires_at=now + 600, now=now
    )


@when(
    'order "{key}" begins again at {now:d} with the end of its time at {end:d}'
)
def begin_again(context, key, now, end):
    """Begin a request whose key expires at the given time."""
    context.decision = context.records.begin(
        key, digest=b'd', expires_at=end, now=now
    )


@when('order "{key}" is answered with {size:d} bytes')
def finish(context, key, size):
    """Store the answer of an order."""
    answer = model.Answer(status=200, headers=[], content=bytes(size))
    context.records.finish(key, answer=answer)


@when(
    'orders {first:d} to {last:d} begin and are answered with {size:d}'
    ' bytes each at {now:d}'
)
def run_orders(context, first, last, size, now):
    """Begin and finish orders with consecutive keys."""
    for number in range(first, last + 1):
        begin(context, str(number), 'd', now)
        finish(context, str(number), size)


@when('order "{key}" is refused before it begins at {now:d}')
def refuse(context, key, now):
    """Record a refusal of a key that was not seen before."""
    refusal = model.Refusal(
        verdict=model.Verdict.NOT_RUN,
        rule=model.Rule.KEY_REFUSED,
        service='orders',
        detail='',
    )
    context.records.refuse(key, refusal=refusal, expires_at=now + 600)


@then('the order decision is "{decision}"')
def check_decision(context, decision):
    """Check the last decision."""
    assert context.decision.value == decision, context.decision


@when(
    'the home is asked at {now:d} about a key made at {created_at:d} for'
    ' incarnation {incarnation:d} whose record is "{state}"'
)
def ask_home(context, now, created_at, incarnation, state):
    """Query the home node about a key."""
    record = None
    if state != 'none':
        record = decisions.OrderRecord(
            state=model.OrderState(state), digest=b'', expires_at=700
        )
    key = build_key(created_at=created_at, incarnation=incarnation)
    context.answer = decisions.answer_query(key, record, home=HOME, now=now)


@then('the home answers "{state}" and {action} a tombstone')
def check_answer(context, state, action):
    """Check the state that the home node answers."""
    assert context.answer.state.value == state, context.answer
    assert context.answer.tombstone == (action == 'writes'), context.answer


@when('a key is known by "{knowledge}"')
@when('a key is known by ""')
def decide_not_run(context, knowledge=''):
    """Decide from the given facts whether a key has certainly not run."""
    known = knowledge.split()
    context.not_run = decisions.is_certainly_not_run(
        tombstone='tombstone' in known,
        claim_refused='claim_refused' in known,
        own_attempt='own_attempt' in known,
        sent='sent' in known,
    )


@then('not run {may} be said')
def check_not_run(context, may):
    """Check whether `not run` may be said."""
    assert context.not_run == (may == 'may'), context.not_run


@when('a peer opens calls with the numbers "{numbers}"')
def accept_numbers(context, numbers):
    """Offer the call numbers one after another."""
    known = decisions.CallNumbers()
    context.accepted = [
        known.accept(int(number)) for number in numbers.split()
    ]


@then('the calls are taken as "{accepted}"')
def check_accepted(context, accepted):
    """Check which calls were accepted as new."""
    expected = [word == 'yes' for word in accepted.split()]
    assert context.accepted == expected, context.accepted


@given('key accounts for {count:d} keys')
def build_accounts(context, count):
    """Build a key account table with a small limit."""
    context.accounts = decisions.KeyAccountTable(max_accounts=count)


@then(
    'the requests of key "{key}" with {retries:d} retries at {times} are'
    ' "{outcomes}"'
)
def check_requests(context, key, retries, times, outcomes):
    """Send requests with one key and check which are admitted."""
    admitted = []
    for now in times.split(', '):
        call = model.Call(
            service='orders',
            method='POST',
            path='/',
            headers=[],
            request_class=model.RequestClass.ORDER,
            deadline=0,
            trace_id='',
            span_id='',
            allowance=retries,
            key=key,
        )
        account = decisions.open_account(call)
        found = context.accounts.enter(call, account, float(now))
        admitted.append('yes' if found is not None else 'no')
    assert admitted == outcomes.split(), admitted
