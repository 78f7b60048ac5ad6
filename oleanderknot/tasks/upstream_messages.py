"""Builds requests to the local upstream and interprets its answers."""

from expression import Result

from oleanderknot import model
from oleanderknot import transport
from oleanderknot.tasks import call_refusal
from oleanderknot.tasks import http_dialect


def build_head(
    call: model.Call,
    content: bytes,
    left_s: float,
    dialect: http_dialect.HttpDialect,
    upstream: str,
) -> bytes:
    """Build the head of a request to the upstream.

    Args:
        call: The call.
        content: The complete request body.
        left_s: Seconds until the deadline of the call.
        dialect: Encodes the headers.
        upstream: Id of the run of the upstream; empty if unknown.
    """
    headers = dialect.add_upstream_headers(call.headers, left_s, upstream)
    lines = [
        b'%b %b HTTP/1.1'
        % (call.method.encode(), call.path.encode('latin-1')),
        *[b': '.join(header) for header in headers],
    ]
    if call.has_body:
        lines.append(b'Content-Length: %d' % len(content))
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)


def interpret_answer(
    call: model.Call, answer: transport.RawAnswer
) -> Result[model.Answer, model.Refusal]:
    """Convert an answer of the upstream to the outcome of the call."""
    metadata = answer.metadata
    if metadata.not_run:
        return call_refusal.refuse(
            call,
            model.Verdict.NOT_RUN,
            model.Rule.UPSTREAM_REFUSED,
            'the upstream answered %d and did not run the request'
            % answer.status,
        )
    if not metadata.signed or metadata.encoded:
        return call_refusal.refuse(
            call,
            model.Verdict.MAY_HAVE_RUN,
            model.Rule.UPSTREAM_CUT,
            'the upstream answered %d without its receipt' % answer.status,
        )
    return model.build_success(
        model.Answer(
            status=answer.status,
            headers=metadata.headers,
            content=answer.content,
        )
    )
