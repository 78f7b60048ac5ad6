"""A node inside the process of a caller."""

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
    """Sends requests as their first node, and so spares a process hop.

    It is a member of the system like any node, without an upstream. Use it
    as an asynchronous context manager.

    Attributes:
        node: The node.
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
            run. A body in parts must be read to its end or cancelled.

        Raises:
            ValueError: The path or a header is malformed.
        """
        named = multidict.CIMultiDict(headers or {})
        calls = self.node.dispatcher
        call = root_call.build_root_call(
            method=method,
            raw_path=path,
            headers=named,
            raw_headers=[
                (name.encode('latin-1'), value.encode('latin-1'))
                for name, value in named.items()
            ],
            has_body=bool(content),
            policy=self.node.policy,
        )
        calls.begin(call)
        result = await ingress.dispatch_safely(
            call, decisions.open_account(call), content, None, calls
        )
        if result.is_error():
            refusal = result.error
            calls.count_decision(
                call, refusal.rule, refusal.verdict, refusal.detail
            )
            return Error(refusal)
        calls.count_decision(call, *outcome.classify(result.ok.status, None))
        return result


def open_node(settings: border.NodeSettings) -> EmbeddedNode:
    """Return a node to embed in a caller.

    Args:
        settings: Settings of the node.

    Returns:
        The node, to be started by ``async with``.
    """
    return EmbeddedNode(settings=settings)
