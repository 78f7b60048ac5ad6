"""Counts and logs each decision about a call."""

import collections.abc
import time

from absl import logging

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import json_formatter
from oleanderknot.tasks import metrics
from oleanderknot.tasks import tracing


class DecisionRecorder:
    """Passes each decision on to account, metrics and log.

    Attributes:
        count: Counts a decision for the account.
        metrics: Counters of the node.
        sampler: Limits the log lines about refusals.
        refused: Told each request of a caller that was refused.
        tracing: Spans of recorded calls.
    """

    def __init__(
        self,
        *,
        count: collections.abc.Callable[[model.DecisionKey], None],
        metrics: metrics.Metrics,
        sampler: decisions.LogSampler,
        refused: collections.abc.Callable[[model.Call], None],
        tracing: tracing.Tracing,
    ) -> None:
        self.count = count
        self.metrics = metrics
        self.sampler = sampler
        self.refused = refused
        self.tracing = tracing

    def record(
        self,
        call: model.Call,
        rule: model.Rule,
        verdict: model.Verdict,
        detail: str,
    ) -> None:
        """Record a decision.

        Args:
            call: The call; depth 0 stands for a request of a caller.
            rule: The rule that decided.
            verdict: Outcome of the call.
            detail: One English sentence for operators.
        """
        root = call.depth == 0
        self.count(
            model.DecisionKey(
                ticket=call.ticket,
                rule=rule,
                request_class=call.request_class,
                service=call.service,
                verdict=verdict,
                root=root,
            )
        )
        if call.sampled:
            self.tracing.note(call, rule, verdict)
        name = call.request_class.name.lower()
        if rule is model.Rule.RETRIED:
            self.metrics.count('retried')
        elif rule is model.Rule.ADMITTED:
            if root:
                self.metrics.count('served.' + name)
        else:
            self.metrics.count('refused.' + rule.value)
            if root:
                self.metrics.count('refused_class.' + name)
                self.refused(call)
            self.log(call, rule, verdict, detail)

    def log(
        self,
        call: model.Call,
        rule: model.Rule,
        verdict: model.Verdict,
        detail: str,
    ) -> None:
        """Log a refusal, unless this second has had enough of them."""
        if not self.sampler.allow(time.monotonic()):
            self.metrics.count('log.left_out')
            return
        left_out = self.sampler.flush()
        if left_out:
            logging.info('%d lines about refusals were left out', left_out)
        logging.info(
            'refused %s: %s',
            call.service or 'a request',
            detail,
            extra=json_formatter.describe_call(call, rule, verdict),
        )
