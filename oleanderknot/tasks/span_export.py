"""Builds spans and sends them to a collector.

This module alone imports the tracing library with its exporter: that takes
half a second at the start of a node, so it is loaded only when an endpoint
is set.
"""

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export

from oleanderknot import model

SAMPLED = trace.TraceFlags(trace.TraceFlags.SAMPLED)


class SpanExport:
    """Owns the exporter and its batches; they have a thread of their own.

    Attributes:
        provider: Provider of spans.
        tracer: Starts spans.
    """

    def __init__(self, *, endpoint: str, identity: model.NodeIdentity) -> None:
        self.provider = sdk.TracerProvider(
            resource=resources.Resource.create(
                {
                    'service.name': 'oleanderknot',
                    'service.instance.id': identity.instance,
                    'oleanderknot.data_centre': identity.data_centre,
                }
            )
        )
        self.provider.add_span_processor(
            export.BatchSpanProcessor(
                trace_exporter.OTLPSpanExporter(endpoint=endpoint),
                schedule_delay_millis=1000,
            )
        )
        self.tracer = self.provider.get_tracer('oleanderknot')

    def start(self, call: model.Call, hop: str) -> trace.Span:
        """Start the span of a hop and put the call below it.

        Args:
            call: The call; gets the span's ids.
            hop: What the node is for this call.

        Returns:
            The span.
        """
        above = None
        if call.span_id.strip('0'):
            above = trace.set_span_in_context(
                trace.NonRecordingSpan(
                    trace.SpanContext(
                        trace_id=int(call.trace_id, 16),
                        span_id=int(call.span_id, 16),
                        is_remote=True,
                        trace_flags=SAMPLED,
                    )
                )
            )
        span = self.tracer.start_span(
            '%s %s' % (hop, call.service),
            context=above,
            kind=trace.SpanKind.SERVER,
            attributes={
                'oleanderknot.service': call.service,
                'oleanderknot.class': call.request_class.name.lower(),
                'oleanderknot.ticket': call.ticket,
                'oleanderknot.depth': call.depth,
                'http.request.method': call.method,
            },
        )
        context = span.get_span_context()
        call.trace_id = '%032x' % context.trace_id
        call.span_id = '%016x' % context.span_id
        return span

    def close(self) -> None:
        """Send what is left; blocks for a few seconds at most."""
        self.provider.shutdown()
