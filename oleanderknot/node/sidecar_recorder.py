"""Counts and logs the decisions of a node on a platform."""

import collections
import time

from absl import logging

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import json_formatter


class SidecarRecorder:
    """Counts each decision and logs those that end a request badly.

    Attributes:
        totals: Counts since the start by name.
        sampler: Limits the log lines.
    """

    def __init__(self, *, lines_per_s: int) -> None:
        self.totals: collections.Counter[str] = collections.Counter()
        self.sampler = decisions.LogSampler(per_second=lines_per_s)

    def count(self, name: str, number: int = 1) -> None:
        """Count an event."""
        self.totals[name] += number

    def record(
        self,
        call: model.Call,
        rule: model.Rule,
        verdict: model.Verdict,
        detail: str,
    ) -> None:
        """Record a decision about a call.

        Args:
            call: The call.
            rule: The rule that decided.
            verdict: Outcome of the call.
            detail: One English sentence for operators.
        """
        self.totals[rule.value] += 1
        if rule is model.Rule.ADMITTED:
            return
        if not self.sampler.take(time.monotonic()):
            return
        fields = json_formatter.describe_call(call, rule, verdict)
        fields['call_fields'].update(
            event='decision',
            request=call.span_id,
            route=call.route,
            depth=call.depth,
            left_out=self.sampler.flush(),
        )
        logging.info('%s: %s', rule.value, detail, extra=fields)
