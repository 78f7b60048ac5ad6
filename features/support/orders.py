"""Concurrent order requests and their responses."""

import asyncio
import concurrent.futures
import dataclasses

import aiohttp

from features.support import http
from features.support import system as systems


@dataclasses.dataclass(slots=True, kw_only=True)
class Order:
    """Order request of a customer and its response.

    Attributes:
        number: Identifier in the query, by which runs are counted.
        key: Idempotency key; empty for none.
        status: HTTP status of the response; 0 when the connection failed.
        verdict: Verdict of a refusal.
        rule: Rule of a refusal.
        content: Body of the response.
    """

    number: str
    key: str = ''
    status: int = 0
    verdict: str = ''
    rule: str = ''
    content: bytes = b''


class OrderClient:
    """Sends batches of orders from background threads.

    Attributes:
        orders: All orders sent so far.
    """

    def __init__(self) -> None:
        self.orders: list[Order] = []
        self.executor = concurrent.futures.ThreadPoolExecutor(max_workers=12)
        self.pending_batches: list[concurrent.futures.Future] = []

    def send(
        self,
        url: str,
        orders: list[Order],
        *,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        method: str = 'POST',
    ) -> None:
        """Send orders concurrently without waiting for the responses.

        Args:
            url: URL; ``id`` is added to its query.
            orders: The orders.
            body: Request body of each.
            headers: Additional headers of each.
            method: HTTP method of each.
        """
        self.orders += orders
        self.pending_batches.append(
            self.executor.submit(
                lambda: asyncio.run(
                    send_all(url, orders, method, body, headers or {})
                )
            )
        )

    def wait(self) -> None:
        """Wait until all orders have completed."""
        for batch in self.pending_batches:
            batch.result(60)
        self.pending_batches.clear()


async def send_all(
    url: str,
    orders: list[Order],
    method: str,
    body: bytes,
    headers: dict[str, str],
) -> None:
    """Send orders concurrently and record their responses."""
    connector = aiohttp.TCPConnector(limit=0)
    separator = '&' if '?' in url else '?'

    async def send_one(order: Order) -> None:
        key_header = {'Idempotency-Key': order.key} if order.key else {}
        try:
            async with session.request(
                method,
                '%s%sid=%s' % (url, separator, order.number),
                data=body,
                headers={**headers, **key_header},
            ) as response:
                order.content = await response.read()
                order.status = response.status
                order.verdict = response.headers.get(
                    'Oleanderknot-Verdict', ''
                )
                order.rule = response.headers.get('Oleanderknot-Rule', '')
        except aiohttp.ClientError:
            order.status = 0

    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*(send_one(order) for order in orders))


def request_home_key(base: str, service: str) -> str:
    """Request a home key; return an empty string if none is issued."""
    status, _, content = http.request(
        'POST', '%s/-/order-keys/%s' % (base, service)
    )
    return http.json.loads(content)['key'] if status == 201 else ''


def require_home_key(base: str, service: str) -> str:
    """Request a home key and fail if none is issued."""
    key = request_home_key(base, service)
    assert key, 'node issued no home key'
    return key


def count_runs(system: systems.System) -> dict[str, int]:
    """Count the runs at all upstreams by order number."""
    counts: dict[str, int] = {}
    for node in system.nodes.values():
        if node.upstream_port:
            url = node.upstream_url('/-/runs')
            for run in http.get_json(url)['runs']:
                number = run['path'].rpartition('id=')[2]
                counts[number] = counts.get(number, 0) + 1
    return counts
