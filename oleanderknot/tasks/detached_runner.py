"""Runs non-idempotent calls to completion once they have been sent."""

import asyncio

from expression import Result

from oleanderknot import model
from oleanderknot.tasks import peer_handlers
from oleanderknot.tasks import task_log


class DetachedRunner:
    """Shields a call that has been sent from cancellation by its waiters.

    A non-idempotent call whose client has disconnected is cancelled
    only while it waits for admission.

    Attributes:
        run_call: Admits and runs a call.
        tasks: Calls that run.
    """

    def __init__(self, *, run_call: peer_handlers.RunFunction) -> None:
        self.run_call = run_call
        self.tasks: set[asyncio.Task] = set()

    async def run(
        self, call: model.Call, content: bytes, body: model.Body | None
    ) -> Result[model.Answer, model.Refusal]:
        """Run a call; see ``Runner.run``."""
        task = asyncio.ensure_future(self.run_call(call, content, body))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if call.started:
                task.add_done_callback(task_log.log_failure)
            else:
                task.cancel()
            raise
