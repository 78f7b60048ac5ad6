"""Stand-in of the operators' webhook."""

import collections
import http.server
import json
import threading


class Webhook:
    """Takes posts of alerts in a thread of the test.

    Attributes:
        status: Status that it answers.
        refused: Posts answered with another status than success, by kind.
        taken: Alerts of the posts answered with success.
        url: Address for the settings.
    """

    def __init__(self, *, status: int) -> None:
        self.status = status
        self.refused: collections.Counter[str] = collections.Counter()
        self.taken: list[dict] = []
        webhook = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Answers one post."""

            def do_POST(self) -> None:
                """Take a post; called by the HTTP server."""
                size = int(self.headers['Content-Length'])
                webhook.take(json.loads(self.rfile.read(size)))
                self.send_response(webhook.status)
                self.send_header('Content-Length', '0')
                self.end_headers()

            def log_message(self, *arguments: object) -> None:
                """Keep the output of the test readable."""

        self.server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), Handler
        )
        self.url = 'http://127.0.0.1:%d/alerts' % self.server.server_port
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def take(self, alert: dict) -> None:
        """Keep an alert or count a refused post."""
        if self.status < 300:
            self.taken.append(alert)
        else:
            self.refused[alert['kind']] += 1

    def list_kind(self, kind: str) -> list[dict]:
        """Return the alerts of one kind that were taken."""
        return [item for item in self.taken if item['kind'] == kind]

    def close(self) -> None:
        """Stop to listen."""
        self.server.shutdown()
        self.server.server_close()
