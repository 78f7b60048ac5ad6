"""Polls the platform's table for new tickets."""

import asyncio
import collections.abc
import random
import time

from absl import logging

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import ticket_loader

# The period grows with the nodes of the data centre; a node that sleeps
# looks this often whether there are fewer of them now.
LOOK_S = 1.0


class TicketPoll:
    """Owns the schedule of polls.

    Attributes:
        loader: Reads from the table.
        policy: Policy in force; gets what is read.
        count_nodes: Returns the nodes alive in the own data centre.
        on_news: Takes states that are new here.
        failures: Polls that have failed since the last success.
        fault: What failed last; empty after a success.
    """

    def __init__(
        self,
        *,
        loader: ticket_loader.TicketLoader,
        policy: decisions.PolicyTable,
        count_nodes: collections.abc.Callable[[], int],
        on_news: collections.abc.Callable[[list[model.ScopeState]], None],
        rng: random.Random,
    ) -> None:
        self.loader = loader
        self.policy = policy
        self.count_nodes = count_nodes
        self.on_news = on_news
        self.rng = rng
        self.failures = 0
        self.fault = ''

    async def run(self) -> None:
        """Poll until cancelled."""
        # A node that starts cold asks soon, but not in step with others.
        await asyncio.sleep(self.rng.random() * decisions.POLL_PERIOD_S)
        while True:
            try:
                await self.poll()
            # A poll that ends for good would leave old policy in force.
            except Exception as error:
                logging.exception('a poll for tickets failed')
                self.note_failure(
                    model.PlatformFault(
                        kind=model.FaultKind.UNKNOWN, detail=repr(error)
                    )
                )
            await self.wait()

    async def wait(self) -> None:
        """Wait until the next poll is due."""
        started = time.monotonic()
        draw = self.rng.random()
        while True:
            delay = decisions.compute_poll_delay(
                nodes=self.count_nodes(), failures=self.failures, draw=draw
            )
            left = started + delay - time.monotonic()
            if left <= 0:
                return
            await asyncio.sleep(min(left, LOOK_S))

    async def poll(self) -> None:
        """Read the newest ticket's number and load what is lacking."""
        complete = self.policy.complete
        head = await self.loader.read_head()
        if head.is_error():
            self.note_failure(head.error)
            return
        number = head.ok.number
        if number < complete:
            self.note_lost_tickets(number)
        elif number > complete:
            states = await self.loader.load(complete, number)
            if states.is_error():
                self.note_failure(states.error)
                return
            changed = self.policy.merge(states.ok)
            self.policy.complete = max(self.policy.complete, number)
            if changed:
                logging.info('tickets up to %d are in force', number)
                self.on_news(changed)
        if self.failures:
            logging.info('the table service answers again')
        self.failures = 0
        self.fault = ''

    def note_lost_tickets(self, number: int) -> None:
        """Report a table that has lost tickets, as after a restore.

        Policy never reverts, so new tickets have no effect until their
        numbers pass the highest one that nodes hold.
        """
        self.loader.count('ticket.table_behind')
        logging.error(
            'the table service has lost tickets: its newest is %d, but %d '
            'is in force',
            number,
            self.policy.complete,
        )

    def note_failure(self, fault: model.PlatformFault) -> None:
        """Count a failed poll; the policy in force stays."""
        self.loader.count('ticket.poll_failures')
        if not self.failures:
            logging.warning('cannot load tickets: %s', fault.detail)
        self.failures += 1
        self.fault = fault.detail
