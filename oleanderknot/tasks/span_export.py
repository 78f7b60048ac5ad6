"""Creates spans and exports them to a collector.

Only this module imports the tracing library and its exporter. The import takes
half a second when a node starts, so the module is imported only if an endpoint
is configured.
"""

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export

from oleanderknot import model

SAMPLED = trace.TraceFlags(trace.TraceFlags.SAMPLED)


class SpanExport:
    """Owns the exporter, which sends batches in its own thread.

    Attributes:
        provider: Tracer provider with the exporter.
        tracer: Creates spans.
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
        """Start the span of a hop and make it the parent of the call.

        Args:
            call: The call; its trace and span ids become those of the span.
            hop: Role of the node for this call, used in the name of the span.

        Returns:
            The span.
        """
        parent = None
        if call.span_id.strip('0'):
            parent = trace.set_span_in_context(
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
            context=parent,
            kind=trace.SpanKind.SERVER,
            attributes={
                'oleanderknot.service': call.service,
                'oleanderknot.class': call.request_class.name.lower(),
                'oleanderknot.ticket': call.ticket,
                'oleanderknot.depth': call.depth,
                'http.request.method': call.method,
            },
        )
        span_context = span.get_span_context()
        call.trace_id = '%032x' % span_context.trace_id
        call.span_id = '%016x' % span_context.span_id
        return span

    def close(self) -> None:
        """Export the remaining spans; blocks for a few seconds at most."""
        self.provider.shutdown()
