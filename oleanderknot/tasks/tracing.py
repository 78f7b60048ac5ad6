"""Records a span for each hop of a sampled call."""

import asyncio
import collections.abc
import typing

from expression import Result

from oleanderknot import border
from oleanderknot import model
from oleanderknot.tasks import peer_handlers

if typing.TYPE_CHECKING:
    from oleanderknot.tasks import span_export

NO_SPAN_ID = '0' * 16
FIRST_HOP = 'request'
INNER_HOP = 'call'
UPSTREAM_HOP = 'run'


class Tracing:
    """Owns the spans in progress.

    Attributes:
        export: Exports spans; None disables tracing.
        ratio: Fraction of the requests without a ``traceparent`` that are
            sampled.
        draw: Returns a random number from 0 to 1.
        spans: Spans in progress, by span id.
    """

    def __init__(
        self,
        *,
        export: 'span_export.SpanExport | None',
        ratio: float,
        draw: collections.abc.Callable[[], float],
    ) -> None:
        self.export = export
        self.ratio = ratio
        self.draw = draw
        self.spans: dict[str, typing.Any] = {}

    def begin(self, call: model.Call) -> None:
        """Start the span of a call that enters the system at this node.

        The sampling decision of the caller is kept; only a request without
        one is sampled at random.

        Args:
            call: The call; if sampled, its ids become those of the span.
        """
        if self.export is None:
            return
        if call.span_id == NO_SPAN_ID and not call.depth:
            call.sampled = self.draw() < self.ratio
        if call.sampled:
            hop = INNER_HOP if call.depth else FIRST_HOP
            span = self.export.start(call, hop)
            self.spans[call.span_id] = span

    def record_decision(
        self, call: model.Call, rule: model.Rule, verdict: model.Verdict
    ) -> None:
        """Record a decision in the span of a call; the final one ends it.

        Args:
            call: The call.
            rule: The rule that made the decision.
            verdict: Outcome of the call.
        """
        span = self.spans.get(call.span_id)
        if span is None:
            return
        if rule is model.Rule.RETRIED:
            span.add_event('retried')
            return
        del self.spans[call.span_id]
        end_span(span, rule, verdict)

    def wrap(
        self, run: peer_handlers.RunFunction
    ) -> peer_handlers.RunFunction:
        """Wrap a function that runs calls to add spans to sampled ones."""
        if self.export is None:
            return run

        async def run_traced(
            call: model.Call, content: bytes, body: model.Body | None
        ) -> Result[model.Answer, model.Refusal]:
            if not call.sampled:
                return await run(call, content, body)
            span = self.export.start(call, UPSTREAM_HOP)
            rule = model.Rule.INTERNAL_ERROR
            verdict = model.Verdict.MAY_HAVE_RUN
            try:
                result = await run(call, content, body)
                if result.is_ok():
                    rule = model.Rule.ADMITTED
                    verdict = model.Verdict.ANSWERED
                else:
                    rule, verdict = result.error.rule, result.error.verdict
                return result
            except asyncio.CancelledError:
                rule = model.Rule.CALLER_LEFT
                raise
            finally:
                end_span(span, rule, verdict)

        return run_traced

    async def close(self) -> None:
        """Export the remaining spans without blocking the event loop."""
        if self.export is not None:
            loop = asyncio.get_running_loop()
            await loop.run_in_executor(None, self.export.close)


def end_span(
    span: typing.Any, rule: model.Rule, verdict: model.Verdict
) -> None:
    """End a span with its rule and verdict."""
    span.set_attribute('oleanderknot.rule', rule.value)
    span.set_attribute('oleanderknot.verdict', verdict.value)
    span.end()


def build_tracing(
    settings: border.TracingSettings,
    identity: model.NodeIdentity,
    draw: collections.abc.Callable[[], float],
) -> Tracing:
    """Build the tracing of a node; disabled without an endpoint.

    Args:
        settings: Endpoint and sampling ratio.
        identity: Identity of this node.
        draw: Returns a random number from 0 to 1.

    Returns:
        The tracing of the node.
    """
    export = None
    if settings.endpoint:
        # The import takes half a second and 20 MB, saved without tracing.
        from oleanderknot.tasks import span_export

        export = span_export.SpanExport(
            endpoint=settings.endpoint, identity=identity
        )
    return Tracing(export=export, ratio=settings.ratio, draw=draw)
