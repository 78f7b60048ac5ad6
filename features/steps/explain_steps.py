"""Steps for the command explain, which reports the account of decisions."""

import json

from behave import then
from behave import when

from features.support import shop


def explain(context, *arguments):
    """Run explain in both formats and record its JSON and its text."""
    for output in ('json', 'text'):
        process = context.system.start_process(
            'explain',
            'oleanderknot',
            'explain',
            *arguments,
            '--output',
            output,
            '--objects',
            context.system.platform_url(''),
            '--table',
            context.system.platform_url(''),
        )
        assert process.wait() == 0, process.read_log()
        if output == 'text':
            context.text_report = process.read_log()
        else:
            context.report = shop.parse_report(process.read_log())


@when('an operator asks for the account of the last "{since}"')
def explain_since(context, since):
    """Run explain for a period."""
    explain(context, '--since', since)


@when('an operator asks for the account of ticket {number:d}')
def explain_ticket(context, number):
    """Run explain for a ticket."""
    explain(context, '--ticket', str(number))


@when('an operator asks for the account until it says "{text}"')
def explain_until(context, text):
    """Run explain until a sentence appears."""

    def is_said():
        explain(context, '--since', '10m')
        return text in json.dumps(context.report['sentences'])

    context.system.wait_for(is_said, 'the account says it')


@then('the account agrees with what the callers were told')
def check_callers(context):
    """Compare the counts of each class and rule."""
    counted = shop.count_decisions(context.report, root=True)
    for kind in ('browsing', 'order'):
        counted.pop((kind, 'retried'), None)
    assert counted == context.shop.response_counts, (
        counted,
        context.shop.response_counts,
    )
    assert context.shop.response_counts['browsing', 'admitted'] > 0


@then('the account agrees with what the upstreams ran')
def check_upstreams(context):
    """Check that each run is an answer or a retry, also one service below."""
    first = shop.count_decisions(context.report, root=True)
    inner = shop.count_decisions(context.report, root=False)
    answered = sum(
        count
        for (_, rule), count in first.items()
        if rule in ('admitted', 'upstream_error', 'retried')
    )
    below = sum(
        count for (_, rule), count in inner.items() if rule == 'admitted'
    )
    assert answered == context.runs['catalogue'], (first, context.runs)
    assert below == context.runs['inventory'], (inner, context.runs)


@then('the account\'s section "{name}" says "{text}"')
def check_section(context, name, text):
    """Check that the JSON and the text report both contain a sentence."""
    sentences = context.report['sentences'][name]
    assert any(text in item for item in sentences), sentences
    assert text in ' '.join(context.text_report.split()), context.text_report


@then('the account\'s text says "{text}"')
def check_text(context, text):
    """Check the text report."""
    assert text in ' '.join(context.text_report.split()), context.text_report


@then('the account misses as many reports as the nodes lost')
def check_missing(context):
    """Compare the reported gaps with the nodes' own counters."""
    assert context.lost > 0
    assert context.report['missing_reports'] == context.lost, (
        context.report['missing_reports'],
        context.lost,
    )


@then(
    'the account tells {count:d} of class "{kind}" as served and nothing else'
)
def check_only(context, count, kind):
    """Check that other tickets' decisions are left out."""
    assert context.report['served'] == {kind: count}, context.report['served']
    tickets = {item['ticket'] for item in context.report['decisions']}
    assert tickets == {1}, tickets
