"""Builds the tasks that run non-idempotent calls at most once."""

import asyncio
import collections.abc
import dataclasses

from oleanderknot import platform
from oleanderknot import wire
from oleanderknot.tasks import claim_store
from oleanderknot.tasks import dispatcher as dispatchers
from oleanderknot.tasks import key_query_client
from oleanderknot.tasks import key_query_handler
from oleanderknot.tasks import order_dispatcher
from oleanderknot.tasks import order_runner
from oleanderknot.tasks import order_sender
from oleanderknot.tasks import order_table
from oleanderknot.tasks import runner as runners


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderTasks:
    """The tasks that run orders, i.e. non-idempotent calls.

    Attributes:
        answerer: Answers queries about idempotency keys.
        table: Order records and the tasks of running orders.
    """

    answerer: key_query_handler.KeyQueryHandler
    table: order_table.OrderTable

    async def describe(self, key: str, wait_s: float) -> wire.KeyState:
        """Return the state of a key; see ``KeyQueryHandler.describe``."""
        return await self.answerer.describe(key, wait_s)

    def describe_load(self) -> dict[str, int]:
        """Return the numbers and sizes of order records for operators."""
        records = self.table.records
        return {
            'running': len(self.table.tasks),
            'records': len(records.records),
            'tombstones': len(records.records) - records.started_count,
            'answer_bytes': records.size,
        }

    async def close(self) -> None:
        """Cancel the orders that are still running."""
        tasks = list(self.table.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def build_order_tasks(
    *,
    table_client: platform.TableClient | None,
    runner: runners.Runner,
    dispatcher: dispatchers.Dispatcher,
    count: collections.abc.Callable[[str], None],
) -> OrderTasks:
    """Build the tasks for orders and connect them to runner and dispatcher.

    Args:
        table_client: Client of the table service, if one is configured.
        runner: Runs calls at the local upstream.
        dispatcher: Chooses an upstream for each call.
        count: Counts an event by name.

    Returns:
        The tasks.
    """
    identity = dispatcher.identity
    rows = claim_store.ClaimStore(identity=identity, table=table_client)
    table = order_table.OrderTable()
    query_client = key_query_client.KeyQueryClient(
        members=dispatcher.members, pool=dispatcher.pool, count=count
    )
    runner.orders = order_runner.OrderRunner(
        identity=identity,
        check_call=runner.check,
        run_call=runner.admit,
        find_service=lambda: runner.service,
        claims=rows,
        query_home=query_client.query,
        count=count,
        table=table,
    )
    dispatcher.orders = order_dispatcher.OrderDispatcher(
        identity=identity,
        call_dispatcher=dispatcher,
        query_client=query_client,
        sender=order_sender.OrderSender(
            identity=identity,
            call_dispatcher=dispatcher,
            query_client=query_client,
        ),
        claims=rows,
    )
    answerer = key_query_handler.KeyQueryHandler(
        identity=identity,
        find_service=lambda: runner.service,
        claims=rows,
        table=table,
    )
    return OrderTasks(answerer=answerer, table=table)
