"""Records of soak runs in which organisations send requests."""

from features.support import soak_records
from soak import fault_span
from soak import organisation_plan
from soak import planned_fault
from soak import withdrawal

WITHDRAWN_AT = 10.0


def build_run(*, status=200, ran_for=None, credentials='', **fields):
    """Build the record of one request, and of its run unless that is None."""
    events = []
    if ran_for is not None:
        events = [
            soak_records.build_event(
                organisation=ran_for, credentials=credentials
            )
        ]
    request = soak_records.build_request(status=status, **fields)
    return {'sent': [request], 'events': events}


def build_crowd(organisation, count, per_s, statuses=(200,)):
    """Build the record of requests of an organisation that all ran."""
    key = organisation_plan.ORGANISATIONS[organisation]['apiKeys'][0]
    sent, events = [], []
    for number in range(count):
        at = 10 + number / per_s
        request_id = 'c%d' % number
        sent.append(
            soak_records.build_request(
                request_id=request_id,
                key=key,
                organisation=organisation,
                sent_at=at,
                ended_at=at,
                status=statuses[number % len(statuses)],
            )
        )
        if sent[-1].status == 200:
            for event in ('arrival', 'run'):
                events.append(
                    soak_records.build_event(
                        event,
                        at=at,
                        request_id=request_id,
                        organisation=organisation,
                    )
                )
    return {'sent': sent, 'events': events}


def build_withdrawal(*, after_s, status=200, kind='', instance=''):
    """Build the record of a request with a key that is withdrawn.

    Args:
        after_s: Seconds from the withdrawal until the request.
        status: Status of the response.
        kind: Kind of a fault from 2 s to 4 s after the withdrawal; empty for
            none.
        instance: Instance of the fault.
    """
    sent_at = WITHDRAWN_AT + after_s
    spans = []
    if kind:
        fault = planned_fault.PlannedFault(
            at_s=0.0, kind=kind, instance=instance, variant='down'
        )
        spans = [
            fault_span.FaultSpan(
                fault=fault,
                began_at=WITHDRAWN_AT + 2,
                ended_at=WITHDRAWN_AT + 4,
            )
        ]
    return {
        **build_run(
            status=status,
            ran_for='ash' if status == 200 else None,
            key=organisation_plan.WITHDRAWN_KEY,
            organisation='ash',
            sent_at=sent_at,
            ended_at=sent_at,
        ),
        'withdrawals': [
            withdrawal.Withdrawal(
                key=organisation_plan.WITHDRAWN_KEY,
                put_at=WITHDRAWN_AT,
                acknowledged_at=WITHDRAWN_AT,
            )
        ],
        'spans': spans,
    }


# One request in 30 is refused, which is more than 2 in 100.
SOMETIMES_REFUSED = (200,) * 29 + (429,)

RECORDS = {
    'a request without a key ran': lambda: build_run(
        key='', organisation='', status=0, ran_for=''
    ),
    'a request without a key was answered': lambda: build_run(
        key='', organisation=''
    ),
    'a request without a key got 401': lambda: build_run(
        key='', organisation='', status=401
    ),
    'an anonymous request got 401': lambda: build_run(
        key='', organisation='', anonymous=True, status=401
    ),
    'a request with a key got 401': lambda: build_run(status=401),
    'a run named another organisation': lambda: build_run(ran_for='oak'),
    'an anonymous run named an organisation': lambda: build_run(
        key='', organisation='', anonymous=True, ran_for='oak'
    ),
    'a key reached a back end': lambda: build_run(
        ran_for='vine', credentials='Bearer vine-key'
    ),
    'a withdrawn key was served after 6 s': lambda: build_withdrawal(
        after_s=6.0
    ),
    'a withdrawn key was served after 10 s, the store away until 4 s': (
        lambda: build_withdrawal(after_s=10.0, kind='harm_store')
    ),
    'a withdrawn key was served after 6 s, another node paused': (
        lambda: build_withdrawal(after_s=6.0, kind='pause_node', instance='i1')
    ),
    'a key was refused before its withdrawal': lambda: build_withdrawal(
        after_s=-1.0, status=401
    ),
    'a withdrawn key was served after 4 s': lambda: build_withdrawal(
        after_s=4.0
    ),
    'a withdrawn key was refused after 6 s': lambda: build_withdrawal(
        after_s=6.0, status=401
    ),
    'a withdrawn key was served after 8 s, the store away until 4 s': (
        lambda: build_withdrawal(after_s=8.0, kind='harm_store')
    ),
    'a limited organisation ran 30 requests a second': lambda: build_crowd(
        'oak', 300, 30.0
    ),
    'a limited organisation ran 20 requests a second': lambda: build_crowd(
        'oak', 300, 20.0
    ),
    'an organisation without a limit ran 60 requests a second': (
        lambda: build_crowd('vine', 600, 60.0)
    ),
    'an organisation inside its limit is refused': lambda: build_crowd(
        'elm', 300, 10.0, SOMETIMES_REFUSED
    ),
}
