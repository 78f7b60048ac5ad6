"""Node that runs in the process of a caller."""

import collections.abc

from expression import Error
from expression import Result
import multidict

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.node import application
from oleanderknot.tasks import ingress
from oleanderknot.tasks import outcome
from oleanderknot.tasks import root_call


class EmbeddedNode:
    """Node in the process of a caller, which saves a hop between processes.

    It joins the membership like any other node, but has no upstream. Use it
    as an asynchronous context manager.

    Attributes:
        node: The node application.
    """

    def __init__(self, *, settings: border.NodeSettings) -> None:
        self.node = application.NodeApplication(settings=settings)

    async def __aenter__(self) -> 'EmbeddedNode':
        await self.node.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.node.stop()

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: collections.abc.Mapping[str, str] | None = None,
        content: bytes = b'',
    ) -> Result[model.Answer, model.Refusal]:
        """Send a request to a service.

        Args:
            method: HTTP method in upper case.
            path: ``/<service>/<path>`` with the query.
            headers: Request headers.
            content: The whole request body.

        Returns:
            The answer, or a refusal that says whether the request may have
            run. A streamed body must be read to its end or cancelled.

        Raises:
            ValueError: The path or a header is malformed.
        """
        header_map = multidict.CIMultiDict(headers or {})
        dispatcher = self.node.dispatcher
        call = root_call.build_root_call(
            method=method,
            raw_path=path,
            headers=header_map,
            raw_headers=[
                (name.encode('latin-1'), value.encode('latin-1'))
                for name, value in header_map.items()
            ],
            has_body=bool(content),
            policy=self.node.policy,
        )
        dispatcher.on_root_call(call)
        result = await ingress.dispatch_safely(
            call, decisions.open_account(call), content, None, dispatcher
        )
        if result.is_error():
            refusal = result.error
            dispatcher.record_decision(
                call, refusal.rule, refusal.verdict, refusal.detail
            )
            return Error(refusal)
        dispatcher.record_decision(
            call, *outcome.classify(result.ok.status, None)
        )
        return result


def open_node(settings: border.NodeSettings) -> EmbeddedNode:
    """Return a node that runs in the process of the caller.

    Args:
        settings: Settings of the node.

    Returns:
        The node; ``async with`` starts and stops it.
    """
    return EmbeddedNode(settings=settings)
