"""Parses and builds the HTTP headers that the platform defines."""

from oleanderknot import border
from oleanderknot import model

REQUEST_ID = b'Request-Id'
DEADLINE = b'Deadline-Milliseconds'
SIGNATURE = b'response-signature'
EXPECTED_INSTANCE = b'Expected-Instance'
NOT_EXECUTED = b'not-executed'
RETRY_AFTER = b'Retry-After'
CALLING_SERVICE = b'Calling-Service'
INSTANCE = b'instance-id'

# Header names are compared in lower case, since HTTP ignores their case.
REQUEST_ID_LOWER = REQUEST_ID.lower()
DEADLINE_LOWER = DEADLINE.lower()
CALLING_SERVICE_LOWER = CALLING_SERVICE.lower()

# Request headers that are not forwarded: hop-by-hop headers, and headers that
# the proxy sets itself.
REQUEST_DROPPED = frozenset(
    (
        *(border.headers.HOP_HEADERS - {b'host', b'date', b'traceparent'}),
        b'content-length',
        DEADLINE_LOWER,
        CALLING_SERVICE_LOWER,
        EXPECTED_INSTANCE.lower(),
    )
)

# Response headers that are not forwarded: hop-by-hop headers, and the content
# length, which the proxy sets itself.
ANSWER_DROPPED = frozenset(
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

# Upper bound of the timeout that a client may request.
MAX_PATIENCE_S = 3600.0

# Status codes of refusals. On the platform, 503 guarantees that the request
# has not run and never will; 502 and 504 guarantee nothing.
NOT_RUN_STATUS = 503
MAY_HAVE_RUN_STATUS = 502
TIMEOUT_STATUS = 504
TIMEOUT_RULES = (model.Rule.DEADLINE, model.Rule.UPSTREAM_TIMEOUT)
STATUSES = {
    model.Rule.NO_ROUTE: 404,
    model.Rule.BAD_REQUEST: 400,
}


def read_request(headers: model.Headers) -> model.RequestFacts:
    """Parse the headers of a client's request.

    Args:
        headers: All headers as received.

    Returns:
        The parsed values and the headers to forward; a deadline that is
        malformed or negative is ignored.
    """
    request_id = host = ''
    patience_s = None
    kept = []
    named: tuple[bytes, ...] = ()
    for item in headers:
        name, value = item
        lower = name.lower()
        if lower == b'connection':
            named = tuple(token.strip().lower() for token in value.split(b','))
        elif lower == DEADLINE_LOWER:
            patience_s = parse_patience(value)
        if lower in REQUEST_DROPPED:
            continue
        if lower == REQUEST_ID_LOWER:
            request_id = value.decode('latin-1')
        elif lower == b'host':
            host = value.decode('latin-1').partition(':')[0].lower()
        kept.append(item)
    if named and named not in ((b'keep-alive',), (b'close',)):
        kept = [item for item in kept if item[0].lower() not in named]
    return model.RequestFacts(
        request_id=request_id,
        host=host,
        patience_s=patience_s,
        headers=kept,
    )


def parse_patience(value: bytes) -> float | None:
    """Return a deadline header in seconds; None if malformed or negative."""
    try:
        patience_s = float(value) / 1000
    except ValueError:
        return None
    return min(patience_s, MAX_PATIENCE_S) if patience_s >= 0 else None


def read_answer(headers: model.Headers) -> model.AnswerFacts:
    """Parse the headers of a back end's response."""
    facts = model.AnswerFacts(
        request_id='',
        signed=False,
        not_run=False,
        upstream='',
        encoded=False,
        idle_s=None,
        headers=[],
    )
    for item in headers:
        name, value = item
        lower = name.lower()
        if lower in ANSWER_DROPPED:
            if lower == b'keep-alive':
                facts.idle_s = parse_keep_alive(value)
            continue
        if lower == REQUEST_ID_LOWER:
            facts.request_id = value.decode('latin-1')
        elif lower == SIGNATURE:
            facts.signed = bool(value)
        elif lower == NOT_EXECUTED:
            facts.not_run = True
        elif lower == INSTANCE:
            facts.upstream = value.decode('latin-1')
        elif lower == b'content-encoding':
            facts.encoded = value.lower() != b'identity'
        facts.headers.append(item)
    return facts


def parse_keep_alive(value: bytes) -> float | None:
    """Return the idle timeout of a Keep-Alive header in seconds, if any."""
    for part in value.split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.strip().isdigit():
            return float(seconds)
    return None


def mark_origin(headers: model.Headers, service: str) -> model.Headers:
    """Add the header that names the calling service."""
    return [*headers, (CALLING_SERVICE, service.encode('latin-1'))]


def address_upstream(
    headers: model.Headers, left_s: float, upstream: str
) -> model.Headers:
    """Add the headers that a back end expects on a request.

    Args:
        headers: Headers to forward.
        left_s: Time until the client's deadline, in seconds.
        upstream: Id of the back end that must serve the request; empty for
            any.
    """
    added = [*headers, (DEADLINE, b'%d' % max(1, int(left_s * 1000)))]
    if upstream:
        added.append((EXPECTED_INSTANCE, upstream.encode('latin-1')))
    return added


def build_refusal(
    request_id: str, refusal: model.Refusal
) -> model.HttpResponse:
    """Build the response to a refused request.

    Args:
        request_id: Id of the request; empty when it has none.
        refusal: Reason of the refusal, and whether the request may have run.
    """
    status = STATUSES.get(refusal.rule)
    headers = []
    if request_id:
        headers.append((REQUEST_ID, request_id.encode('latin-1')))
    if status is None:
        if refusal.verdict is model.Verdict.NOT_RUN:
            status = NOT_RUN_STATUS
            wait_s = refusal.retry_after_ms / 1000
            headers.append((RETRY_AFTER, b'%.2f' % wait_s))
        elif refusal.rule in TIMEOUT_RULES:
            status = TIMEOUT_STATUS
        else:
            status = MAY_HAVE_RUN_STATUS
    return model.HttpResponse(status=status, headers=headers)
