"""Answers operators over HTTP."""

import collections.abc
import json

from aiohttp import web

from oleanderknot.tasks import http_listener

STATUS_PATH = '/status'


def build_handler(
    describe: collections.abc.Callable[[], dict[str, object]],
) -> http_listener.HandleFunction:
    """Build the function that answers operators.

    Args:
        describe: Returns the state of the node as JSON values.

    Returns:
        The function.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path == STATUS_PATH and request.method == 'GET':
            return web.Response(
                text=json.dumps(describe()), content_type='application/json'
            )
        return web.Response(status=404, text='not found\n')

    return handle
