"""HTTP handlers for the readiness probes and metrics of a sidecar node."""

import collections.abc

from oleanderknot import model
from oleanderknot.node import sidecar_recorder
from oleanderknot.tasks import client_listener

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
