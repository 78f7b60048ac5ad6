"""Time that tracing adds to a call that is not sampled."""

import timeit

from bench import figure
from oleanderknot import model
from oleanderknot.tasks import span_export
from oleanderknot.tasks import tracing

CALLS = 200_000
ROUNDS = 5


def build_call() -> model.Call:
    """Build a call that arrived without a ``traceparent`` header."""
    return model.Call(
        service='catalogue',
        method='GET',
        path='/page',
        headers=[],
        request_class=model.RequestClass.BROWSING,
        deadline=0.0,
        trace_id='1' * 32,
        span_id=tracing.NO_SPAN_ID,
    )


def measure() -> list[figure.Figure]:
    """Measure the tracing code on the call path with an exporter set."""
    export = span_export.SpanExport(
        endpoint='http://127.0.0.1:1/v1/traces',
        identity=model.NodeIdentity(
            instance='bench', incarnation=1, data_centre='dc1'
        ),
    )
    tracer = tracing.Tracing(export=export, ratio=0.0, draw=lambda: 0.5)
    call = build_call()

    def pass_through() -> None:
        tracer.begin(call)
        if call.sampled:
            tracer.record_decision(
                call, model.Rule.ADMITTED, model.Verdict.ANSWERED
            )

    best = min(timeit.repeat(pass_through, number=CALLS, repeat=ROUNDS))
    export.close()
    return [
        figure.Figure(
            name='tracing.unsampled',
            value=round(best / CALLS * 1e6, 3),
            unit='microseconds',
            note='best of %d rounds of %d calls' % (ROUNDS, CALLS),
        )
    ]
