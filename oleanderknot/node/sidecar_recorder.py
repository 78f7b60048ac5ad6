"""Counts, measures and logs the decisions of a sidecar node."""

import collections
import collections.abc
import time

from absl import logging

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import json_formatter

# Upper bounds of the histogram buckets, from the target for added latency,
# 0.35 ms, to the longest deadline of a customer.
BUCKETS_S = (
    0.00035,
    0.001,
    0.005,
    0.02,
    0.1,
    0.25,
    0.5,
    1.0,
    2.0,
    5.0,
)

GaugeFunction = collections.abc.Callable[[], float]


class SidecarRecorder:
    """Keeps the metrics of a node and writes its decisions to the log.

    Attributes:
        totals: Counts since the start by name.
        decisions: Counts since the start by rule, route and verdict.
        gauges: Functions that read the gauges, by gauge name.
        requests: Seconds from a request to its answer.
        runs: Seconds that a call spent in the queue and at the upstream.
        queues: Seconds in the queue, for calls that had to wait.
        upstreams: Seconds from sending to the upstream to its answer.
        stores: Seconds from a call to the store to its answer, by call.
        refusal_sampler: Rate limit of lines about refused or failed calls.
        answer_sampler: Rate limit of lines about admitted calls.
    """

    def __init__(self, *, settings: border.LogSettings) -> None:
        self.totals: collections.Counter[str] = collections.Counter()
        self.decisions: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self.gauges: dict[str, GaugeFunction] = {}
        self.refusal_sampler = decisions.LogSampler(
            per_second=settings.refusals_per_s
        )
        self.answer_sampler = decisions.LogSampler(
            per_second=settings.answers_per_s
        )
        self.requests = decisions.Histogram(bounds=BUCKETS_S)
        self.runs = decisions.Histogram(bounds=BUCKETS_S)
        self.queues = decisions.Histogram(bounds=BUCKETS_S)
        self.upstreams = decisions.Histogram(bounds=BUCKETS_S)
        self.stores: dict[str, decisions.Histogram] = {}

    def measure_store(self, call: str, seconds: float) -> None:
        """Record the duration of a call to the store."""
        if call not in self.stores:
            self.stores[call] = decisions.Histogram(bounds=BUCKETS_S)
        self.stores[call].observe(seconds)

    def format_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported when first scraped: with the HTTP server that it contains,
        # the library takes a tenth of the processor time of a start.
        from oleanderknot.node import sidecar_metrics

        return sidecar_metrics.format_metrics(self)

    def count(self, name: str, number: int = 1) -> None:
        """Increase the counter of an event."""
        self.totals[name] += number

    def record(
        self,
        call: model.Call,
        rule: model.Rule,
        verdict: model.Verdict,
        detail: str,
    ) -> None:
        """Record a decision about a call that started at this node.

        Args:
            call: The call.
            rule: The rule that decided.
            verdict: Outcome of the call.
            detail: Explanation for operators in one English sentence.
        """
        self.decisions[rule.value, call.route, verdict.value] += 1
        sampler = (
            self.answer_sampler
            if rule is model.Rule.ADMITTED
            else self.refusal_sampler
        )
        if sampler.allow(time.monotonic()):
            self.log('request', call, rule, verdict, detail, sampler)

    def record_run(
        self,
        call: model.Call,
        refusal: model.Refusal | None,
        took_s: float,
        load: collections.abc.Mapping[str, float],
    ) -> None:
        """Record the outcome of a call at the local upstream.

        Args:
            call: The call.
            refusal: Why the call got no answer; None if it got one.
            took_s: Seconds in the queue and at the upstream.
            load: Load of the upstream at the time of the refusal.
        """
        self.runs.observe(took_s)
        if refusal is None:
            return
        self.decisions[refusal.rule.value, call.route, 'run'] += 1
        if self.refusal_sampler.allow(time.monotonic()):
            self.log(
                'run',
                call,
                refusal.rule,
                refusal.verdict,
                refusal.detail,
                self.refusal_sampler,
                took_ms=round(took_s * 1000, 1),
                # Prefixed, as every log line already has a field "level".
                **{'upstream_' + name: load[name] for name in load},
            )

    def log(
        self,
        event: str,
        call: model.Call,
        rule: model.Rule,
        verdict: model.Verdict,
        detail: str,
        sampler: decisions.LogSampler,
        **inputs: object,
    ) -> None:
        """Log one line about a call with the inputs of the decision."""
        fields = json_formatter.describe_call(call, rule, verdict)
        fields['call_fields'].update(
            event=event,
            request=call.span_id,
            route=call.route,
            depth=call.depth,
            attempts=call.failed_attempts,
            left_ms=round((call.deadline - time.monotonic()) * 1000),
            left_out=sampler.flush(),
            **inputs,
        )
        logging.info('%s: %s', rule.value, detail, extra=fields)
