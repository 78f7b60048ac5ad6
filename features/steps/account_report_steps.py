"""Steps for the text report of the decision account."""

import collections

from behave import given
from behave import then
from behave import when

from oleanderknot import decisions
from oleanderknot import model


@given('the counts')
def build_counts(context):
    """Build aggregated decision counts."""
    context.totals = model.AccountTotals(since=0.0, until=60.0)
    counts: collections.Counter = context.totals.counts
    for row in context.table:
        key = model.DecisionKey(
            ticket=int(row['ticket']),
            rule=model.Rule(row['rule']),
            request_class=model.RequestClass[row['class'].upper()],
            service=row['service'],
            verdict=model.Verdict(row['verdict']),
            root=row['root'] == 'yes',
        )
        counts[key] += int(row['count'])


@when('the report is built')
def build_report(context):
    """Build the report from the aggregated counts."""
    context.sections = decisions.build_report(context.totals, [], now=60.0)


@then('it says')
def check_sentences(context):
    """Check that the report has each expected sentence."""
    sentences = [
        sentence
        for section in context.sections
        for sentence in section.sentences
    ]
    for line in context.text.splitlines():
        assert line in sentences, (line, sentences)
