"""Test double of the operators' alert webhook."""

import collections
import http.server
import json
import threading


class Webhook:
    """Receives alerts over HTTP in a background thread.

    Attributes:
        status: HTTP status of every response.
        rejected_counts: Number of rejected alerts by kind.
        accepted_alerts: Alerts answered with a success status.
        url: Webhook URL for the node settings.
    """

    def __init__(self, *, status: int) -> None:
        self.status = status
        self.rejected_counts: collections.Counter[str] = collections.Counter()
        self.accepted_alerts: list[dict] = []
        webhook = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Handles one POST request."""

            def do_POST(self) -> None:
                """Handle an alert; called by the HTTP server."""
                size = int(self.headers['Content-Length'])
                webhook.record_alert(json.loads(self.rfile.read(size)))
                self.send_response(webhook.status)
                self.send_header('Content-Length', '0')
                self.end_headers()

            def log_message(self, *arguments: object) -> None:
                """Suppress the access log in the test output."""

        self.server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), Handler
        )
        self.url = 'http://127.0.0.1:%d/alerts' % self.server.server_port
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def record_alert(self, alert: dict) -> None:
        """Store an accepted alert or count a rejected one."""
        if self.status < 300:
            self.accepted_alerts.append(alert)
        else:
            self.rejected_counts[alert['kind']] += 1

    def list_alerts(self, kind: str) -> list[dict]:
        """Return the accepted alerts of one kind."""
        return [item for item in self.accepted_alerts if item['kind'] == kind]

    def close(self) -> None:
        """Stop the HTTP server."""
        self.server.shutdown()
        self.server.server_close()
