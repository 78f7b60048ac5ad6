"""Pages that a node serves to its platform."""

import collections.abc

import prometheus_client

from oleanderknot import model
from oleanderknot.node import sidecar_recorder
from oleanderknot.tasks import client_listener

METRICS_TYPE = prometheus_client.CONTENT_TYPE_LATEST.encode()


def build_readiness_page(
    is_ready: collections.abc.Callable[[], bool],
) -> client_listener.HandleFunction:
    """Build the function that says whether clients may send requests."""

    async def answer(request: model.HttpRequest) -> model.HttpResponse:
        return model.HttpResponse(status=200 if is_ready() else 503)

    return answer


def build_metrics_page(
    recorder: sidecar_recorder.SidecarRecorder,
) -> client_listener.HandleFunction:
    """Build the function that returns the metrics as text."""

    async def answer(request: model.HttpRequest) -> model.HttpResponse:
        return model.HttpResponse(
            status=200,
            headers=[(b'Content-Type', METRICS_TYPE)],
            content=recorder.format_metrics(),
        )

    return answer
