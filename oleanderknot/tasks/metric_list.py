"""Definitions of all metrics; docs/metrics.md is generated from them."""

from oleanderknot import model

# Name, unit and description of each metric.
COUNTERS = (
    (
        'account.batches_dropped',
        'batches',
        'Account batches dropped because too many were held in memory.',
    ),
    (
        'account.batches_written',
        'batches',
        'Account batches written to the object store.',
    ),
    (
        'alerts.posts_failed',
        'posts',
        'Failed posts to the webhook; they are retried.',
    ),
    (
        'alerts.raised',
        'alerts',
        'Alerts raised by this node.',
    ),
    (
        'choice.remote',
        'calls',
        'Calls that were sent to another data centre; on a platform.',
    ),
    (
        'client.connections_full',
        'connections',
        'Connections of clients at the bound, for each of which one was'
        ' closed; on a platform.',
    ),
    (
        'client.left_unread',
        'connections',
        'Connections of clients closed because the client had left while'
        ' nothing was read from them; on a platform.',
    ),
    (
        'client.no_progress',
        'connections',
        'Connections of clients closed because they transferred too little;'
        ' on a platform.',
    ),
    (
        'client.response_dropped',
        'responses',
        'Responses replaced by 502 for lack of memory; on a platform.',
    ),
    (
        'log.left_out',
        'lines',
        'Log lines about refusals omitted by sampling.',
    ),
    (
        'member.asked_others',
        'probes',
        'Probes that got no answer, so that other nodes were asked to probe.',
    ),
    (
        'memory.gave_way',
        'holders',
        'Holders of memory that gave way to others; on a platform.',
    ),
    (
        'memory.refused',
        'requests',
        'Requests for memory that were refused; on a platform.',
    ),
    (
        'member.refuted',
        'claims',
        'Wrong reports of the departure or death of this node, refuted by it.',
    ),
    (
        'member.incarnation_raised',
        'claims',
        'Records of an earlier process of this node with a later incarnation.',
    ),
    (
        'member.replaced',
        'claims',
        'Reports of a newer incarnation of this instance elsewhere.',
    ),
    (
        'operators.refused',
        'requests',
        'Requests to the operator port without a valid token.',
    ),
    (
        'orders.inquiry',
        'questions',
        'Queries to other nodes for the outcome of an order.',
    ),
    (
        'peer.bad_frame',
        'connections',
        'Node connections closed after a malformed or unexpected message.',
    ),
    (
        'peer.chunk_gap',
        'bodies',
        'Bodies truncated because a chunk between two nodes was missing.',
    ),
    (
        'peer.found_again',
        'connections',
        'Connections to nodes that had disappeared without a goodbye.',
    ),
    (
        'peer.recovered',
        'connections',
        'Connections whose node was asked on a new one about their calls.',
    ),
    (
        'peer.revoked_call',
        'calls',
        'Calls that arrived after their sender had given them up; not run.',
    ),
    (
        'peer.silent',
        'connections',
        'Node connections replaced because nothing was received on them.',
    ),
    (
        'peer.tls_failed',
        'connections',
        'Connections to nodes whose certificate could not be verified.',
    ),
    (
        'peer.unknown_answer',
        'messages',
        'Answers for calls that have already ended; they are dropped.',
    ),
    (
        'peer.unknown_call',
        'messages',
        'Request chunks for calls that have already ended; they are dropped.',
    ),
    (
        'quota.expired',
        'tokens',
        'Tokens of organisations that were not used in time.',
    ),
    (
        'quota.granted',
        'tokens',
        'Tokens of organisations that this node gave to first nodes.',
    ),
    (
        'quota.refused',
        'requests',
        'Requests of organisations that were over their limit.',
    ),
    (
        'quota.transferred',
        'tokens',
        'Tokens of organisations sent to homes of other data centres.',
    ),
    (
        'refused.<rule>',
        'calls',
        'Calls that this node refused or that failed, by rule.',
    ),
    (
        'refused_class.<class>',
        'requests',
        'Requests of callers that were refused or failed, by class.',
    ),
    (
        'retried',
        'calls',
        'Calls retried by this node.',
    ),
    (
        'returns.early',
        'requests',
        'Requests of refused clients that came back too early; on a platform.',
    ),
    (
        'returns.evicted',
        'refusals',
        'Refusals forgotten before their clients came back, because too many'
        ' were remembered; on a platform.',
    ),
    (
        'returns.ranked',
        'requests',
        'Requests of refused clients that came back in time and were ranked'
        ' before newcomers; on a platform.',
    ),
    (
        'returns.remembered',
        'refusals',
        'Refusals remembered for the return of their clients; on a platform.',
    ),
    (
        'served.<class>',
        'requests',
        'Requests of callers that got a complete answer, by class.',
    ),
    (
        'policy.left_out',
        'policies',
        'Policies with entries that this version does not know.',
    ),
    (
        'shares.worsened',
        'requests',
        'Requests of callers whose organisation exceeded its fair share of a'
        ' service, and that were therefore refused first; on a platform.',
    ),
    (
        'policy.requested',
        'requests',
        'Policies requested from another node that has a newer one.',
    ),
    (
        'policy.left_out',
        'policies',
        'Policies with entries that this version does not know.',
    ),
    (
        'ticket.digest_mismatches',
        'messages',
        'Policy digests of other nodes that differed from that of this node.',
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
        'Policy messages that could not be delivered to a node.',
    ),
    (
        'ticket.pushes',
        'messages',
        'Policy messages sent to other nodes.',
    ),
    (
        'ticket.table_behind',
        'reads',
        'Reads that returned an older ticket than the one in force.',
    ),
    (
        'task.restarted',
        'restarts',
        'Tasks started again after an unexpected error; on a platform.',
    ),
    (
        'upstream.budget_spent',
        'calls',
        'Repeats that were not sent to the local upstream because its budget'
        ' of repeats was spent; on a platform.',
    ),
    (
        'upstream.repeated',
        'calls',
        'Repeats that were sent to the local upstream; on a platform.',
    ),
    (
        'upstream.status_checks',
        'checks',
        'Status checks sent to the local upstream about heartbeats that may'
        ' be outdated; on a platform.',
    ),
)

# Name, unit and description of each metric.
GAUGES = (
    (
        'account.batches_held',
        'batches',
        'Account batches waiting to be written to the object store.',
    ),
    (
        'alerts.pending',
        'alerts',
        'Alerts not yet stored and posted.',
    ),
    (
        'callers.active',
        'requests',
        'Requests of callers in progress.',
    ),
    (
        'peer.connections',
        'connections',
        'Open connections to other nodes.',
    ),
    (
        'runner.running',
        'calls',
        'Calls running at the local upstream.',
    ),
)

METRICS = tuple(
    model.Metric(kind=kind, name=name, unit=unit, text=text)
    for kind, rows in (('counter', COUNTERS), ('gauge', GAUGES))
    for name, unit, text in rows
)
