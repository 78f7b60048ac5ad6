"""Steps about the deadlines that one timer keeps."""

import asyncio
import re

from behave import then
from behave import when
import uvloop

from oleanderknot.tasks import deadlines

# Event loops round the times of timers to milliseconds.
ROUNDING_S = 0.002

# Time after which all deadlines of a scenario have passed, if any does.
END_S = 0.5

# Time at which the timer of the first deadline, 20 ms, has fired.
FIRED_S = 0.03


def parse_numbers(text):
    """Return the numbers in a text."""
    return [int(number) for number in re.findall(r'\d+', text)]


@when('deadlines of {text} ms are set')
def plan_deadlines(context, text):
    """Note the deadlines of the scenario, in the order of being set."""
    context.set_ms = parse_numbers(text)
    context.removed_ms = None
    context.late_ms = None


@when('the one of {number:d} ms is removed at once')
def plan_removal(context, number):
    """Note the deadline to remove."""
    context.removed_ms = number


@when('one of {number:d} ms is set when the first timer has fired')
def plan_late(context, number):
    """Note the deadline to set later."""
    context.late_ms = number


async def keep(context):
    """Keep the deadlines; return the ones that passed and how early."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    passed = []
    kept = deadlines.Deadlines(
        on_passed=lambda number: passed.append(
            (number, started_at + number / 1000 - loop.time())
        )
    )
    for number in context.set_ms:
        kept.add(number, started_at + number / 1000)
    if context.removed_ms is not None:
        kept.remove(context.removed_ms)
    if context.late_ms is not None:
        await asyncio.sleep(FIRED_S)
        kept.add(context.late_ms, started_at + context.late_ms / 1000)
    await asyncio.sleep(END_S)
    return passed


@then('those of {text} ms pass in this order, none of them early')
def check_passed(context, text):
    """Check which deadlines pass, in which order, and none too early."""
    passed = uvloop.run(keep(context))
    assert [number for number, _ in passed] == parse_numbers(text), passed
    assert all(early_s <= ROUNDING_S for _, early_s in passed), passed
