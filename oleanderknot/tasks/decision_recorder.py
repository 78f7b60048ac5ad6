"""Records each decision about a call in account, metrics, log and trace."""

import collections.abc
import time

from absl import logging

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import json_formatter
from oleanderknot.tasks import metrics
from oleanderknot.tasks import tracing


class DecisionRecorder:
    """Records decisions in the account, the metrics, the log and spans.

    Attributes:
        count: Counts a decision for the account.
        metrics: Counters of the node.
        sampler: Limits the rate of log lines about refusals.
        on_refused: Called with each refused request of a caller.
        tracing: Records the decisions in the spans of sampled calls.
    """

    def __init__(
        self,
        *,
        count: collections.abc.Callable[[model.DecisionKey], None],
        metrics: metrics.Metrics,
        sampler: decisions.LogSampler,
        on_refused: collections.abc.Callable[[model.Call], None],
        tracing: tracing.Tracing,
    ) -> None:
        self.count = count
        self.metrics = metrics
        self.sampler = sampler
        self.on_refused = on_refused
        self.tracing = tracing

    def record(
        self,
        call: model.Call,
        rule: model.Rule,
        verdict: model.Verdict,
        detail: str,
    ) -> None:
        """Record a decision about a call.

        Args:
            call: The call; depth 0 means a request of a caller.
            rule: The rule that made the decision.
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
            self.tracing.record_decision(call, rule, verdict)
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
                self.on_refused(call)
            self.log(call, rule, verdict, detail)

    def log(
        self,
        call: model.Call,
        rule: model.Rule,
        verdict: model.Verdict,
        detail: str,
    ) -> None:
        """Log a refusal unless the rate limit of this second is reached."""
        if not self.sampler.allow(time.monotonic()):
            self.metrics.count('log.left_out')
            return
        left_out = self.sampler.flush()
        if left_out:
            logging.info('%d log lines about refusals were omitted', left_out)
        logging.info(
            'refused %s: %s',
            call.service or 'a request',
            detail,
            extra=json_formatter.describe_call(call, rule, verdict),
        )
