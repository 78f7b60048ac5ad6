"""Parses and builds the HTTP headers that the platform defines."""

import hashlib
import math

from oleanderknot import border
from oleanderknot import model

REQUEST_ID = b'Request-Id'
DEADLINE = b'Deadline-Milliseconds'
RESPONSE_SIGNATURE = b'response-signature'
EXPECTED_INSTANCE = b'Expected-Instance'
NOT_EXECUTED = b'not-executed'
RETRY_AFTER = b'Retry-After'
CALLING_SERVICE = b'Calling-Service'
ORGANISATION = b'Tenant-Name'
INSTANCE_ID = b'instance-id'
RATE_LIMIT = b'server-limit'
LEAVING = b'server-leaving'

# Header names are compared in lower case, since HTTP ignores their case.
REQUEST_ID_LOWER = REQUEST_ID.lower()
DEADLINE_LOWER = DEADLINE.lower()
CALLING_SERVICE_LOWER = CALLING_SERVICE.lower()
ORGANISATION_LOWER = ORGANISATION.lower()
AUTHORIZATION_LOWER = b'authorization'

# Scheme of an Authorization header that carries an API key (RFC 6750).
KEY_SCHEME = b'bearer'

# Request headers that are not forwarded: hop-by-hop headers, and headers that
# the proxy sets itself.
UNFORWARDED_REQUEST_HEADERS = frozenset(
    (
        *(
            border.headers.HOP_BY_HOP_HEADERS
            - {b'host', b'date', b'traceparent'}
        ),
        b'content-length',
        DEADLINE_LOWER,
        CALLING_SERVICE_LOWER,
        EXPECTED_INSTANCE.lower(),
    )
)

# Response headers that are not forwarded: hop-by-hop headers, and the content
# length, which the proxy sets itself.
UNFORWARDED_RESPONSE_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
    )
)

# Upper bound of the timeout that a client may request, and of the idle timeout
# that a back end announces.
MAX_TIMEOUT_S = 3600.0

# Status codes of refusals. On the platform, 503 guarantees that the request
# has not run and never will; 502 and 504 guarantee nothing.
NOT_RUN_STATUS = 503
MAY_HAVE_RUN_STATUS = 502
TIMEOUT_STATUS = 504
QUOTA_STATUS = 429
RETRYABLE_STATUSES = (NOT_RUN_STATUS, QUOTA_STATUS)
TIMEOUT_RULES = (model.Rule.DEADLINE, model.Rule.UPSTREAM_TIMEOUT)
STATUS_BY_RULE = {
    model.Rule.NO_ROUTE: 404,
    model.Rule.BAD_REQUEST: 400,
    model.Rule.UNKNOWN_KEY: 401,
    model.Rule.QUOTA: QUOTA_STATUS,
}

# Headers that the response to a request without a valid key must have
# (RFC 9110, section 11.6.1).
CHALLENGE = (b'WWW-Authenticate', b'Bearer')


def parse_request_headers(headers: model.Headers) -> model.RequestMetadata:
    """Parse the headers of a client's request.

    Args:
        headers: All headers as received.

    Returns:
        The parsed values and the headers to forward; a deadline that is
        malformed or negative is ignored.
    """
    request_id = host = key_digest = ''
    timeout_s = None
    authorizations = 0
    forwarded = []
    connection_tokens: tuple[bytes, ...] = ()
    for item in headers:
        name, value = item
        lower = name.lower()
        if lower == b'connection':
            connection_tokens = tuple(
                token.strip().lower() for token in value.split(b',')
            )
        elif lower == DEADLINE_LOWER:
            timeout_s = parse_timeout(value)
        if lower in UNFORWARDED_REQUEST_HEADERS:
            continue
        if lower == REQUEST_ID_LOWER:
            request_id = value.decode('latin-1')
        elif lower == b'host':
            host = value.decode('latin-1').partition(':')[0].lower()
        elif lower == AUTHORIZATION_LOWER:
            authorizations += 1
            key_digest = digest_credentials(value)
        forwarded.append(item)
    if connection_tokens and connection_tokens not in (
        (b'keep-alive',),
        (b'close',),
    ):
        forwarded = [
            item
            for item in forwarded
            if item[0].lower() not in connection_tokens
        ]
    return model.RequestMetadata(
        request_id=request_id,
        host=host,
        client_timeout_s=timeout_s,
        headers=forwarded,
        key_digest=key_digest if authorizations == 1 else '',
        has_credentials=authorizations > 0,
    )


def digest_credentials(value: bytes) -> str:
    """Return the digest of the key in an Authorization header.

    Empty if the header has another scheme or no key.
    """
    scheme, _, key = value.strip().partition(b' ')
    key = key.strip()
    if scheme.lower() != KEY_SCHEME or not key:
        return ''
    return digest_key(key)


def digest_key(key: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of an API key."""
    return hashlib.sha256(key).hexdigest()


def parse_timeout(value: bytes) -> float | None:
    """Return a deadline header in seconds; None if malformed or negative."""
    try:
        timeout_s = float(value) / 1000
    except ValueError:
        return None
    return min(timeout_s, MAX_TIMEOUT_S) if timeout_s >= 0 else None


def parse_response_headers(headers: model.Headers) -> model.ResponseMetadata:
    """Parse the headers of a back end's response."""
    facts = model.ResponseMetadata(
        request_id='',
        signed=False,
        not_run=False,
        upstream='',
        encoded=False,
        idle_timeout_s=None,
        headers=[],
    )
    for item in headers:
        name, value = item
        lower = name.lower()
        if lower in UNFORWARDED_RESPONSE_HEADERS:
            if lower == b'keep-alive':
                facts.idle_timeout_s = parse_keep_alive(value)
            elif lower == b'connection':
                facts.closing = value.strip().lower() == b'close'
            continue
        if lower == REQUEST_ID_LOWER:
            facts.request_id = value.decode('latin-1')
        elif lower == RESPONSE_SIGNATURE:
            facts.signed = bool(value)
        elif lower == NOT_EXECUTED:
            facts.not_run = True
        elif lower == INSTANCE_ID:
            facts.upstream = value.decode('latin-1')
        elif lower == RATE_LIMIT:
            facts.rate = parse_rate(value)
        elif lower == LEAVING:
            facts.leaving = value.strip() == b'1'
        elif lower == b'content-encoding':
            facts.encoded = value.lower() != b'identity'
        facts.headers.append(item)
    return facts


def parse_rate(value: bytes) -> float | None:
    """Return a limit in requests per second; None if it is malformed."""
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def parse_keep_alive(value: bytes) -> float | None:
    """Return the idle timeout of a Keep-Alive header in seconds, if any."""
    for part in value.split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.strip().isdigit():
            # A float cannot hold the longest numbers and becomes infinite.
            return min(float(seconds), MAX_TIMEOUT_S)
    return None


def add_calling_service(headers: model.Headers, service: str) -> model.Headers:
    """Add the header that names the calling service."""
    return [*headers, (CALLING_SERVICE, service.encode('latin-1'))]


def set_organisation(
    headers: model.Headers, organisation: str
) -> model.Headers:
    """Replace the API key of a request by the name of its organisation.

    Args:
        headers: Headers of the request.
        organisation: Name to set; empty for none. A name that the client has
            set is dropped in any case.
    """
    kept = [
        item
        for item in headers
        if item[0].lower() not in (AUTHORIZATION_LOWER, ORGANISATION_LOWER)
    ]
    if organisation:
        kept.append((ORGANISATION, organisation.encode('latin-1')))
    return kept


def add_upstream_headers(
    headers: model.Headers, remaining_s: float, upstream: str
) -> model.Headers:
    """Add the headers that a back end expects on a request.

    Args:
        headers: Headers to forward.
        remaining_s: Time until the client's deadline, in seconds.
        upstream: Id of the back end that must serve the request; empty for
            any.
    """
    added = [*headers, (DEADLINE, b'%d' % max(1, int(remaining_s * 1000)))]
    if upstream:
        added.append((EXPECTED_INSTANCE, upstream.encode('latin-1')))
    return added


def build_refusal_response(
    request_id: str, refusal: model.Refusal
) -> model.HttpResponse:
    """Build the response to a refused request.

    Args:
        request_id: Id of the request; empty when it has none.
        refusal: Reason of the refusal, and whether the request may have run.
    """
    status = STATUS_BY_RULE.get(refusal.rule)
    headers = []
    if request_id:
        headers.append((REQUEST_ID, request_id.encode('latin-1')))
    if status is None:
        if refusal.verdict is model.Verdict.NOT_RUN:
            status = NOT_RUN_STATUS
        elif refusal.rule in TIMEOUT_RULES:
            status = TIMEOUT_STATUS
        else:
            status = MAY_HAVE_RUN_STATUS
    if status in RETRYABLE_STATUSES:
        wait_s = refusal.retry_after_ms / 1000
        headers.append((RETRY_AFTER, b'%.2f' % wait_s))
    elif refusal.rule is model.Rule.UNKNOWN_KEY:
        headers.append(CHALLENGE)
    return model.HttpResponse(status=status, headers=headers)
