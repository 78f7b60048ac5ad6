"""Steps that test the budget of repeats across the nodes of a service."""

import random

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions

WINDOW_S = 10.0

# Probability of a crash, for each upstream and second of a history.
CRASH_SHARE = 0.02


@given(
    '{count:d} upstreams of a service with a bound of {ratio:f} and a slack '
    'of {slack:d}'
)
def build_budgets(context, count, ratio, slack):
    """Build the budgets of the nodes beside the upstreams of a service."""
    context.ratio = ratio
    context.slack = slack
    context.budgets = [
        build_budget_at(context, -WINDOW_S) for _ in range(count)
    ]


def build_budget_at(context, started_at):
    """Build the budget of a node that started at the given time."""
    return decisions.RepeatBudget(
        ratio=context.ratio,
        slack=context.slack,
        window_s=WINDOW_S,
        started_at=started_at,
    )


@when(
    'they are sent {requests:d} first calls each and as many repeats as they '
    'allow'
)
def acquire_repeats(context, requests):
    """Count first calls and take all repeats within one window."""
    context.granted = 0
    for budget in context.budgets:
        for _ in range(requests):
            budget.count_first(1.0)
        while budget.take(1.5, len(context.budgets)):
            context.granted += 1


@then('between {least:d} and {most:d} repeats were granted')
def check_repeats(context, least, most):
    """Check the sum; the upper limit is the bound itself."""
    assert least <= context.granted <= most, context.granted


@given('they shed {share:d} in 100 of the calls that they get')
def set_shed_share(context, share):
    """Set the share of calls that the upstreams refuse."""
    context.shed_share = share / 100


@when(
    'requests of {calls:d} calls each arrive for {span_s:d} seconds, {rate:d}'
    ' a second'
)
def send_requests(context, calls, span_s, rate):
    """Send the requests with and without regard to their priority."""
    context.completed = {}
    for by_priority in (True, False):
        context.budgets = [
            build_budget_at(context, -WINDOW_S) for _ in context.budgets
        ]
        rng = random.Random(7)
        context.completed[by_priority] = sum(
            run_request(
                context,
                rng,
                calls,
                now=WINDOW_S + number / rate,
                by_priority=by_priority,
            )
            for number in range(span_s * rate)
        )


def run_request(context, rng, calls, *, now, by_priority):
    """Return whether all calls of a request are served."""
    # Half of the requests are of the first class, as orders are.
    priority = rng.choice((0, 2)) + rng.random()
    for _ in range(calls):
        budget = rng.choice(context.budgets)
        budget.count_first(now)
        while rng.random() < context.shed_share:
            if not budget.take(
                now, len(context.budgets), priority if by_priority else 0.0
            ):
                return False
    return True


@then(
    'at least twice as many complete as with repeats in the order of arrival'
)
def check_completed(context):
    """Compare the numbers of requests whose calls were all served."""
    completed = context.completed
    assert completed[True] >= 2 * completed[False] > 0, completed


@when('seed {seed:d} plays {span_s:d} s of calls, repeats and crashes')
def play_history(context, seed, span_s):
    """Send random calls; all nodes try to repeat as much as they may."""
    rng = random.Random(seed)
    count = len(context.budgets)
    context.first = []
    context.repeats = []
    for second in range(span_s):
        if rng.random() < CRASH_SHARE:
            # A power loss of all machines.
            context.budgets = [
                build_budget_at(context, float(second)) for _ in range(count)
            ]
        rate = rng.choice((0, 2, 10, 40))
        for index in range(count):
            if rng.random() < CRASH_SHARE:
                context.budgets[index] = build_budget_at(
                    context, float(second)
                )
            budget = context.budgets[index]
            for step in range(rng.randrange(rate + 1)):
                now = second + step / (rate + 1)
                budget.count_first(now)
                context.first.append(now)
                while budget.take(now, count):
                    context.repeats.append(now)


@then('no span of 10 s held more repeats than the bound allows')
def check_history(context):
    """Check each span of a window that begins with a repeat.

    The platform compares with the requests of the span, of the one before it
    or of the one half a window before it.
    """
    for start in context.repeats:
        repeats = count_between(context.repeats, start, start + WINDOW_S)
        first = max(
            count_between(context.first, start - back, start + WINDOW_S - back)
            for back in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        bound = context.ratio * first + context.slack
        assert repeats <= bound, (start, repeats, bound)


def count_between(times, start, end):
    """Count the times in a half-open span."""
    return sum(start <= item < end for item in times)


@when('it is sent {first:d} first calls and {nested:d} calls of repeated runs')
def send_nested(context, first, nested):
    """Count first calls and calls of repeated runs."""
    for _ in range(first):
        context.budgets[0].count_first(1.0)
    for _ in range(nested):
        context.budgets[0].count_nested(1.0)


@then('no repeat is granted')
def check_no_repeat(context):
    """Check that the budget is spent."""
    assert not context.budgets[0].take(1.5, 1)


@given(
    'a budget of repeats over {window_s:f} seconds with a slack of {slack:d}'
)
def build_budget(context, window_s, slack):
    """Build the budget of a single node."""
    context.budget = decisions.RepeatBudget(
        ratio=0.2, slack=slack, window_s=window_s, started_at=0.0
    )


@when('it grants all repeats of the slack at second {now:f}')
def exhaust_budget(context, now):
    """Acquire retries until the budget is exhausted."""
    context.granted = 0
    while context.budget.take(now, 1):
        context.granted += 1


@when('its window changes to {window_s:f} seconds')
def change_budget(context, window_s):
    """Change the window as a reload of the settings does."""
    context.budget.reconfigure(ratio=0.2, slack=5, window_s=window_s)


@then('it grants {count:d} repeats at second {now:f}')
def check_budget(context, count, now):
    """Check how many retries the budget grants."""
    exhaust_budget(context, now)
    assert context.granted == count, context.granted
