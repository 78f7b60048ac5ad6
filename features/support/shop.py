"""Customer requests to a node, and counts of their outcomes."""

import collections
import json

from features.support import http

ORDER = 'order'
BROWSING = 'browsing'


class ShopClient:
    """Sends customer requests and counts the responses they receive.

    Attributes:
        front: Node that receives the requests.
        response_counts: Number of responses by class and rule;
            ``admitted`` is status 200 and ``upstream_error`` any other
            status without a rule.
    """

    def __init__(self, *, front) -> None:
        self.front = front
        self.response_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def send(self, method: str, path: str, kind: str) -> None:
        """Send one request and count its response."""
        status, headers, _ = http.request(method, self.front.caller_url(path))
        rule = headers.get('oleanderknot-rule')
        if rule is None:
            rule = 'admitted' if status == 200 else 'upstream_error'
        self.response_counts[kind, rule] += 1

    def send_requests(self, browse: int, order: int, unknown: int) -> None:
        """Send the given number of requests of each kind sequentially."""
        for index in range(max(browse, order, unknown)):
            if index < browse:
                self.send('GET', '/catalogue/page', BROWSING)
            if index < order:
                self.send('POST', '/catalogue/order', ORDER)
            if index < unknown:
                self.send('GET', '/nothing/x', BROWSING)


def count_decisions(report: dict, *, root: bool) -> collections.Counter:
    """Count the decisions of a report by class and rule."""
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for item in report['decisions']:
        if item['root'] is root:
            counts[item['class'], item['rule']] += item['count']
    return counts


def parse_report(text: str) -> dict:
    """Parse the JSON report that a command printed."""
    return json.loads(text)
