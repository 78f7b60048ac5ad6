"""All metrics of a node; docs/metrics.md is generated from this list."""

from oleanderknot import model


def describe(kind: str, name: str, unit: str, text: str) -> model.Metric:
    """Build the description of a metric."""
    return model.Metric(name=name, kind=kind, unit=unit, text=text)


METRICS = (
    describe(
        'counter',
        'served.<class>',
        'requests',
        'Requests of callers that got a whole answer, by class.',
    ),
    describe(
        'counter',
        'refused.<rule>',
        'calls',
        'Calls that this node refused or lost for its caller, by rule.',
    ),
    describe(
        'counter',
        'refused_class.<class>',
        'requests',
        'Requests of callers that were refused or lost, by class.',
    ),
    describe(
        'counter', 'retried', 'calls', 'Calls sent once more by this node.'
    ),
    describe(
        'counter',
        'log.left_out',
        'lines',
        'Log lines about refusals that were left out by sampling.',
    ),
    describe(
        'counter',
        'peer.bad_frame',
        'connections',
        'Connections to nodes ended after a malformed or wrong message.',
    ),
    describe(
        'counter',
        'peer.chunk_gap',
        'bodies',
        'Bodies cut because a part between two nodes was missing.',
    ),
    describe(
        'counter',
        'peer.silent',
        'connections',
        'Connections to nodes replaced because they had gone silent.',
    ),
    describe(
        'counter',
        'peer.unknown_answer',
        'messages',
        'Answers for calls that no longer wait; they are dropped.',
    ),
    describe(
        'counter',
        'peer.unknown_call',
        'messages',
        'Parts of requests for calls that have ended; they are dropped.',
    ),
    describe(
        'counter',
        'account.batches_written',
        'batches',
        'Batches of the account written to the object store.',
    ),
    describe(
        'counter',
        'account.batches_dropped',
        'batches',
        'Batches of the account lost because too many were held.',
    ),
    describe(
        'counter',
        'alerts.raised',
        'alerts',
        'Alerts that this node has raised.',
    ),
    describe(
        'counter',
        'alerts.posts_failed',
        'posts',
        'Posts to the webhook that failed; they are tried again.',
    ),
    describe(
        'gauge',
        'runner.running',
        'calls',
        'Calls that run at the own upstream.',
    ),
    describe(
        'gauge',
        'callers.active',
        'requests',
        'Requests of callers that are being answered.',
    ),
    describe(
        'gauge', 'peer.connections', 'connections', 'Connections to nodes.'
    ),
    describe(
        'gauge',
        'account.batches_held',
        'batches',
        'Batches of the account that wait for the object store.',
    ),
    describe(
        'gauge',
        'alerts.pending',
        'alerts',
        'Alerts that are not yet stored and posted.',
    ),
)
