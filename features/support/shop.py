"""Customers of a small system, and what they were told."""

import collections
import json

from features.support import http

ORDER = 'order'
BROWSING = 'browsing'


class Shop:
    """Sends requests and counts the answers as a caller sees them.

    Attributes:
        front: Node that takes the requests.
        told: Number of answers by class and rule; ``admitted`` is a whole
            answer and ``upstream_error`` an error without a refusal.
    """

    def __init__(self, *, front) -> None:
        self.front = front
        self.told: collections.Counter[tuple[str, str]] = collections.Counter()

    def send(self, method: str, path: str, kind: str) -> None:
        """Send one request and count its answer."""
        status, headers, _ = http.request(method, self.front.caller_url(path))
        rule = headers.get('oleanderknot-rule')
        if rule is None:
            rule = 'admitted' if status == 200 else 'upstream_error'
        self.told[kind, rule] += 1

    def visit(self, browse: int, order: int, unknown: int) -> None:
        """Send requests of customers, one after another."""
        for index in range(max(browse, order, unknown)):
            if index < browse:
                self.send('GET', '/catalogue/page', BROWSING)
            if index < order:
                self.send('POST', '/catalogue/order', ORDER)
            if index < unknown:
                self.send('GET', '/nothing/x', BROWSING)


def count_decisions(report: dict, *, root: bool) -> collections.Counter:
    """Return the decisions of a report by class and rule."""
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for item in report['decisions']:
        if item['root'] is root:
            counts[item['class'], item['rule']] += item['count']
    return counts


def parse_report(text: str) -> dict:
    """Return the JSON report in the output of a command."""
    return json.loads(text)
