"""HTTP interface for operators."""

import collections.abc
import hmac
import json

from aiohttp import web

from oleanderknot.tasks import http_listener

STATUS_PATH = '/status'
AUTH_SCHEME = 'Bearer '


def has_token(request: web.BaseRequest, token: str) -> bool:
    """Return whether a request carries the operator token.

    Args:
        request: The request.
        token: The configured token; an empty one disables the check.
    """
    if not token:
        return True
    found = request.headers.get('Authorization', '')
    # Compares in constant time, so that the duration reveals nothing
    # about the token.
    return hmac.compare_digest(
        found.encode('utf-8', 'replace'), (AUTH_SCHEME + token).encode()
    )


def build_handler(
    describe: collections.abc.Callable[[], dict[str, object]],
    *,
    token: str,
    count: collections.abc.Callable[[str], None],
) -> http_listener.HandleFunction:
    """Build the function that handles requests of operators.

    Args:
        describe: Returns the state of the node as JSON values.
        token: Token that operators must send; empty to require none.
        count: Increments the counter with the given name.

    Returns:
        The function.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if not has_token(request, token):
            count('operators.refused')
            return web.Response(
                status=401,
                headers={'WWW-Authenticate': 'Bearer'},
                text='the token of the operators is missing or wrong\n',
            )
        if request.path == STATUS_PATH and request.method == 'GET':
            return web.Response(
                text=json.dumps(describe()), content_type='application/json'
            )
        return web.Response(status=404, text='not found\n')

    return handle
