"""Builds the root calls of call chains."""

import collections.abc
import random
import time

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model


def split_path(raw_path: str) -> tuple[str, str]:
    """Split ``/<service>/<path>`` into the service and the path.

    Args:
        raw_path: Path and query of the request as received.

    Returns:
        The service and the path and query for the upstream.

    Raises:
        ValueError: The path does not name a service.
    """
    service, slash, rest = raw_path[1:].partition('/')
    if not slash:
        service, separator, query = service.partition('?')
        rest = separator + query
    if not service or not raw_path.startswith('/'):
        raise ValueError('the path must start with /<service>/')
    return service, '/' + rest


def build_root_call(
    *,
    method: str,
    raw_path: str,
    headers: collections.abc.Mapping[str, str],
    raw_headers: collections.abc.Iterable[tuple[bytes, bytes]],
    has_body: bool,
    policy: decisions.PolicyTable,
) -> model.Call:
    """Build the root call of a chain.

    Args:
        method: HTTP method in upper case.
        raw_path: ``/<service>/<path>`` with the query.
        headers: Headers by case-insensitive name.
        raw_headers: The same headers as received.
        has_body: Whether the request carries a body.
        policy: Policy in force.

    Returns:
        The call, with the full retry allowance of its route.

    Raises:
        ValueError: The path or a header is malformed.
    """
    service, path = split_path(raw_path)
    deadline_ms = border.headers.parse_deadline(
        headers.get(border.headers.DEADLINE)
    )
    key = border.headers.parse_idempotency_key(
        headers.get(border.headers.IDEMPOTENCY_KEY)
    )
    trace = border.headers.parse_traceparent(
        headers.get(border.headers.TRACEPARENT)
    )
    if trace is None:
        trace = ('%032x' % random.getrandbits(128), '0' * 16, False)
    service_policy, ticket = policy.find_service(service)
    route = decisions.match_route(service_policy, method, path)
    allowed_ms = min(deadline_ms or route.deadline_ms, route.deadline_ms)
    return model.Call(
        service=service,
        method=method,
        path=path,
        headers=border.headers.keep_end_to_end(raw_headers),
        request_class=route.request_class,
        deadline=time.monotonic() + allowed_ms / 1000,
        allowance=route.retries,
        key=key,
        idempotent=route.idempotent,
        trace_id=trace[0],
        span_id=trace[1],
        sampled=trace[2],
        route=route.prefix,
        ticket=ticket,
        has_body=has_body,
    )
