"""All metrics of a node; docs/metrics.md is generated from this list."""

from oleanderknot import model

# Name, unit and what it tells.
COUNTERS = (
    (
        'account.batches_dropped',
        'batches',
        'Batches of the account lost because too many were held.',
    ),
    (
        'account.batches_written',
        'batches',
        'Batches of the account written to the object store.',
    ),
    (
        'alerts.posts_failed',
        'posts',
        'Posts to the webhook that failed; they are tried again.',
    ),
    (
        'alerts.raised',
        'alerts',
        'Alerts that this node has raised.',
    ),
    (
        'log.left_out',
        'lines',
        'Log lines about refusals that were left out by sampling.',
    ),
    (
        'member.asked_others',
        'probes',
        'Nodes that did not answer, so that others were asked to try.',
    ),
    (
        'member.refuted',
        'claims',
        'Wrong claims that this node had left or died, which it corrected.',
    ),
    (
        'member.replaced',
        'claims',
        'Claims of a newer life of this instance elsewhere.',
    ),
    (
        'operators.refused',
        'requests',
        'Requests to the operators\' port without the right token.',
    ),
    (
        'orders.inquiry',
        'questions',
        'Questions to other nodes about what became of an order.',
    ),
    (
        'peer.bad_frame',
        'connections',
        'Connections to nodes ended after a malformed or wrong message.',
    ),
    (
        'peer.chunk_gap',
        'bodies',
        'Bodies cut because a part between two nodes was missing.',
    ),
    (
        'peer.found_again',
        'connections',
        'Connections to nodes that had gone without a goodbye.',
    ),
    (
        'peer.silent',
        'connections',
        'Connections to nodes replaced because they had gone silent.',
    ),
    (
        'peer.tls_failed',
        'connections',
        'Connections to nodes whose certificate could not be verified.',
    ),
    (
        'peer.unknown_answer',
        'messages',
        'Answers for calls that no longer wait; they are dropped.',
    ),
    (
        'peer.unknown_call',
        'messages',
        'Parts of requests for calls that have ended; they are dropped.',
    ),
    (
        'refused.<rule>',
        'calls',
        'Calls that this node refused or lost for its caller, by rule.',
    ),
    (
        'refused_class.<class>',
        'requests',
        'Requests of callers that were refused or lost, by class.',
    ),
    (
        'retried',
        'calls',
        'Calls sent once more by this node.',
    ),
    (
        'served.<class>',
        'requests',
        'Requests of callers that got a whole answer, by class.',
    ),
    (
        'ticket.digest_mismatches',
        'messages',
        'Policy digests of other nodes that differed from the own one.',
    ),
    (
        'ticket.head_reads',
        'reads',
        'Reads of the newest ticket number from the table.',
    ),
    (
        'ticket.load_reads',
        'reads',
        'Reads of tickets or scopes from the table.',
    ),
    (
        'ticket.poll_failures',
        'reads',
        'Polls that the table service did not answer.',
    ),
    (
        'ticket.push_failures',
        'messages',
        'Policy messages that did not reach a node.',
    ),
    (
        'ticket.pushes',
        'messages',
        'Policy messages sent to other nodes.',
    ),
    (
        'ticket.table_behind',
        'reads',
        'Reads that showed an older ticket than one already in force.',
    ),
    (
        'upstream.budget_spent',
        'calls',
        'Calls that the own upstream turned away and whose repeat the budget'
        ' did not allow; on a platform.',
    ),
    (
        'upstream.repeated',
        'calls',
        'Calls sent again after the own upstream turned them away; on a'
        ' platform.',
    ),
)

# Name, unit and what it tells.
GAUGES = (
    (
        'account.batches_held',
        'batches',
        'Batches of the account that wait for the object store.',
    ),
    (
        'alerts.pending',
        'alerts',
        'Alerts that are not yet stored and posted.',
    ),
    (
        'callers.active',
        'requests',
        'Requests of callers that are being answered.',
    ),
    (
        'peer.connections',
        'connections',
        'Connections to nodes.',
    ),
    (
        'runner.running',
        'calls',
        'Calls that run at the own upstream.',
    ),
)

METRICS = tuple(
    model.Metric(kind=kind, name=name, unit=unit, text=text)
    for kind, rows in (('counter', COUNTERS), ('gauge', GAUGES))
    for name, unit, text in rows
)
