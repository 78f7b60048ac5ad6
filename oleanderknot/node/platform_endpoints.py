"""HTTP handlers for the readiness probes and metrics of a sidecar node."""

import collections.abc
import dataclasses
import json

from oleanderknot import border
from oleanderknot import model
from oleanderknot.node import sidecar_recorder
from oleanderknot.tasks import client_listener
from oleanderknot.tasks import route_explainer

JSON_HEADERS = [(b'Content-Type', b'application/json')]
METRICS_CONTENT_TYPE = b'text/plain; version=1.0.0; charset=utf-8'


def build_readiness_handler(
    is_ready: collections.abc.Callable[[], bool],
) -> client_listener.HandleFunction:
    """Build the handler that answers readiness probes with 200 or 503."""

    async def answer(request: model.HttpRequest) -> model.HttpResponse:
        return model.HttpResponse(status=200 if is_ready() else 503)

    return answer


def build_metrics_handler(
    recorder: sidecar_recorder.SidecarRecorder,
) -> client_listener.HandleFunction:
    """Build the handler that returns the metrics in text format."""

    async def answer(request: model.HttpRequest) -> model.HttpResponse:
        return model.HttpResponse(
            status=200,
            headers=[(b'Content-Type', METRICS_CONTENT_TYPE)],
            content=recorder.format_metrics(),
        )

    return answer


def build_control_handler(
    handle_heartbeat: client_listener.HandleFunction,
    explain: route_explainer.ExplainFunction,
) -> client_listener.HandleFunction:
    """Build the handler of the heartbeats' address.

    It also answers operators who ask where a request would go.
    """

    async def answer(request: model.HttpRequest) -> model.HttpResponse:
        path = request.target.partition('?')[0]
        if request.method != 'GET' or path != border.ROUTE_QUERY_PATH:
            return await handle_heartbeat(request)
        try:
            query = border.parse_route_query(request.target)
        except ValueError as error:
            return model.HttpResponse(
                status=400, headers=JSON_HEADERS, content=dump_error(error)
            )
        content = json.dumps(dataclasses.asdict(explain(query)))
        return model.HttpResponse(
            status=200, headers=JSON_HEADERS, content=content.encode()
        )

    return answer


def dump_error(error: ValueError) -> bytes:
    """Return the response to a malformed question."""
    return json.dumps({'error': str(error)}).encode()
