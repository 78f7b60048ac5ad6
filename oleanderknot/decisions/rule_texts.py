"""Plain-language reason for the refusal by each rule."""

from oleanderknot import model

RULE_TEXTS = {
    model.Rule.BAD_REQUEST: 'the request was written wrongly',
    model.Rule.QUOTA: 'the organisation was over its limit of requests',
    model.Rule.NO_UPSTREAM: 'no copy of the service was known',
    model.Rule.LEAVING: 'the copy of the service was being shut down',
    model.Rule.NOT_TAKING_WORK: (
        'an operator had taken the copy of the service out of work'
    ),
    model.Rule.LEVEL: (
        'the service was busy and more important requests came first'
    ),
    model.Rule.QUEUE_FULL: 'too many requests were already waiting',
    model.Rule.NO_MEMORY: 'the answer did not fit the memory of the node',
    model.Rule.QUEUE_DELAY: 'the wait at the service had become too long',
    model.Rule.DEADLINE: 'there was not enough time left to answer',
    model.Rule.EARLY_REFUSAL: (
        'every copy of the service was known to be too busy for requests of'
        ' this importance'
    ),
    model.Rule.RETRY_ALLOWANCE: (
        'the request had used up the repeats that it may cause'
    ),
    model.Rule.RETRY_BUDGET: (
        'too many requests were being repeated at that moment'
    ),
    model.Rule.CONNECTION_LOST: (
        'the connection to the copy of the service broke'
    ),
    model.Rule.CALL_LOST: (
        'they were lost on a connection that no longer responded'
    ),
    model.Rule.CONNECTION_REFUSED: (
        'the copy of the service could not be reached'
    ),
    model.Rule.WRONG_RECEIVER: ('another instance had taken over the address'),
    model.Rule.UPSTREAM_CUT: 'the service broke off its answer',
    model.Rule.UPSTREAM_REFUSED: 'the service itself refused the request',
    model.Rule.UPSTREAM_TIMEOUT: 'the service did not answer in time',
    model.Rule.UPSTREAM_ERROR: 'the service itself answered with an error',
    model.Rule.BODY_CUT: 'a part of the request or the answer was lost',
    model.Rule.BODY_TOO_LARGE: 'the request was too large',
    model.Rule.CALLER_LEFT: 'the customer had already gone',
    model.Rule.KEY_REFUSED: 'an earlier attempt had been refused for good',
    model.Rule.KEY_EXPIRED: 'the order number was too old',
    model.Rule.KEY_RUNNING: 'the same order was still being worked on',
    model.Rule.KEY_HOME_UNREACHABLE: (
        'the instance that knows about this order could not be asked'
    ),
    model.Rule.KEY_EARLIER_INCARNATION: (
        'the instance that knew about this order had been restarted'
    ),
    model.Rule.KEY_ANSWER_NOT_KEPT: (
        'the order had run before and its answer was no longer kept'
    ),
    model.Rule.KEY_RECORDS_FULL: 'too many orders were being remembered',
    model.Rule.CLAIM_HELD: 'another instance was working on the same order',
    model.Rule.CLAIM_UNKNOWN: (
        'the platform could not say whether the order had run before'
    ),
    model.Rule.INTERNAL_ERROR: 'a node failed',
}


def explain_rule(rule: model.Rule) -> str:
    """Return the reason for a refusal, as a clause that follows "because"."""
    return RULE_TEXTS.get(rule, 'the rule %s said so' % rule.value)
