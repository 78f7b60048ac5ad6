"""Puts the tasks together that run orders at most once."""

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
class Orders:
    """The tasks that belong to orders.

    Attributes:
        answerer: Answers questions about keys.
        table: Records and running tasks.
    """

    answerer: key_query_handler.KeyQueryHandler
    table: order_table.OrderTable

    async def describe(self, key: str, wait_s: float) -> wire.KeyState:
        """Say what became of a key; see ``KeyQueryHandler.describe``."""
        return await self.answerer.describe(key, wait_s)

    def describe_load(self) -> dict[str, int]:
        """Describe the records for operators."""
        records = self.table.records
        return {
            'running': len(self.table.tasks),
            'records': len(records.records),
            'tombstones': len(records.records) - records.started_count,
            'answer_bytes': records.size,
        }

    async def close(self) -> None:
        """Stop what still runs."""
        tasks = list(self.table.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def build_orders(
    *,
    table_client: platform.TableClient | None,
    runner: runners.Runner,
    dispatcher: dispatchers.Dispatcher,
    count: collections.abc.Callable[[str], None],
) -> Orders:
    """Build the tasks for orders and connect them to runner and dispatcher.

    Args:
        table_client: The table service; None when settings name none.
        runner: Runs calls at the own upstream.
        dispatcher: Chooses upstreams.
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
    return Orders(answerer=answerer, table=table)
