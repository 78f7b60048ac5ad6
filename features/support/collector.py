"""Test double of an OTLP collector over HTTP."""

import http.server
import threading

from opentelemetry.proto.collector.trace.v1 import trace_service_pb2


class TraceCollector:
    """Receives spans over HTTP in a background thread.

    Attributes:
        spans: Name, IDs and attributes of each span received.
        url: Export URL for the node settings.
    """

    def __init__(self) -> None:
        self.spans: list[dict[str, object]] = []
        collector = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Handles one POST request."""

            def do_POST(self) -> None:
                """Handle an export request; called by the HTTP server."""
                size = int(self.headers['Content-Length'])
                collector.record_spans(self.rfile.read(size))
                self.send_response(200)
                self.send_header('Content-Length', '0')
                self.end_headers()

            def log_message(self, *arguments: object) -> None:
                """Suppress the access log in the test output."""

        self.server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), Handler
        )
        self.url = 'http://127.0.0.1:%d/v1/traces' % self.server.server_port
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def record_spans(self, content: bytes) -> None:
        """Record the spans of one export request."""
        message = trace_service_pb2.ExportTraceServiceRequest()
        message.ParseFromString(content)
        for resource in message.resource_spans:
            for scope in resource.scope_spans:
                for span in scope.spans:
                    self.spans.append(
                        {
                            'name': span.name,
                            'trace': span.trace_id.hex(),
                            'id': span.span_id.hex(),
                            'above': span.parent_span_id.hex(),
                            **{
                                item.key: item.value.string_value
                                for item in span.attributes
                            },
                        }
                    )

    def close(self) -> None:
        """Stop the HTTP server."""
        self.server.shutdown()
        self.server.server_close()
