"""Steps that test the retry budget across all nodes."""

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions


@given(
    '{count:d} nodes with a shared bound of {ratio:f} and a slack of {slack:d}'
)
def build_budgets(context, count, ratio, slack):
    """Build the budgets of all nodes."""
    context.budgets = [
        decisions.RepeatBudget(
            ratio=ratio, slack=slack, share=share, window_s=10.0
        )
        for _ in range(count)
        for share in (decisions.ORIGIN_SHARE, decisions.GATEWAY_SHARE)
    ]
    context.node_count = count


@when(
    'each counts {requests:d} requests and asks for {repeats:d} repeats at '
    'its gateway and at its origin'
)
def acquire_repeats(context, requests, repeats):
    """Count requests and acquire retries within one window."""
    context.granted = 0
    for budget in context.budgets:
        for _ in range(requests):
            budget.count_request('s', 1.0)
        context.granted += sum(
            budget.take('s', 1.5, context.node_count) for _ in range(repeats)
        )


@then('all nodes together were granted at most {most:d} repeats')
def check_repeats(context, most):
    """Check the sum; the bound is 0.2 of 1300 requests and 47."""
    assert 0 < context.granted <= most, context.granted


@given(
    'a budget of repeats over {window_s:f} seconds with a slack of {slack:d}'
)
def build_budget(context, window_s, slack):
    """Build the budget of a single node."""
    context.budget = decisions.RepeatBudget(
        ratio=0.2, slack=slack, share=1.0, window_s=window_s
    )


@when('it grants all repeats of the slack at second {now:f}')
def exhaust_budget(context, now):
    """Acquire retries until the budget is exhausted."""
    context.granted = 0
    while context.budget.take('s', now, 1):
        context.granted += 1


@when('its window changes to {window_s:f} seconds')
def change_budget(context, window_s):
    """Change the window as a reload of the settings does."""
    context.budget.reconfigure(ratio=0.2, slack=4, window_s=window_s)


@then('it grants {count:d} repeats at second {now:f}')
def check_budget(context, count, now):
    """Check how many retries the budget grants."""
    exhaust_budget(context, now)
    assert context.granted == count, context.granted
