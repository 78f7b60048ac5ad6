"""Polls the platform's table for new tickets."""

import asyncio
import collections.abc
import random
import time

from absl import logging

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import ticket_loader

# The poll period grows with the number of nodes in the data centre. A waiting
# node computes it again at this interval, in case there are fewer nodes now.
NODE_COUNT_CHECK_S = 1.0


class TicketPoller:
    """Owns the schedule of polls.

    Attributes:
        loader: Reads from the table.
        policy: Policy in force, into which states that are read are merged.
        count_nodes: Returns the number of live nodes in the data centre of
            this node.
        on_new_states: Called with the states that are new to this node.
        rng: Random number generator.
        failures: Failed polls since the last success.
        fault: Detail of the last failure; empty after a success.
    """

    def __init__(
        self,
        *,
        loader: ticket_loader.TicketLoader,
        policy: decisions.PolicyTable,
        count_nodes: collections.abc.Callable[[], int],
        on_new_states: collections.abc.Callable[
            [list[model.ScopeState]], None
        ],
        rng: random.Random,
    ) -> None:
        self.loader = loader
        self.policy = policy
        self.count_nodes = count_nodes
        self.on_new_states = on_new_states
        self.rng = rng
        self.failures = 0
        self.fault = ''

    async def run(self) -> None:
        """Poll until cancelled."""
        # A node without policy polls soon after its start, but not at the
        # same time as the other nodes.
        await asyncio.sleep(self.rng.random() * decisions.POLL_PERIOD_S)
        while True:
            try:
                await self.poll()
            # If this task ended, the old policy would stay in force.
            except Exception as error:
                logging.exception('unexpected error in a poll for tickets')
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
            await asyncio.sleep(min(left, NODE_COUNT_CHECK_S))

    async def poll(self) -> None:
        """Read the newest ticket's number and load the missing states."""
        complete = self.policy.complete
        head = await self.loader.read_head()
        if head.is_error():
            self.note_failure(head.error)
            return
        number = head.ok.number
        if number < complete:
            self.report_lost_tickets(number)
        elif number > complete:
            states = await self.loader.load(complete, number)
            if states.is_error():
                self.note_failure(states.error)
                return
            changed = self.policy.merge(states.ok)
            self.policy.complete = max(self.policy.complete, number)
            if changed:
                logging.info('policy is in force up to ticket %d', number)
                self.on_new_states(changed)
        if self.failures:
            logging.info('the table service answers again')
        self.failures = 0
        self.fault = ''

    def report_lost_tickets(self, number: int) -> None:
        """Report that the table has lost tickets, for example by a restore.

        Policy never reverts, so new tickets have no effect until their
        numbers exceed the highest one that nodes hold.
        """
        self.loader.count('ticket.table_behind')
        logging.error(
            'the table service has lost tickets: its newest is %d, but %d '
            'is in force',
            number,
            self.policy.complete,
        )

    def note_failure(self, fault: model.PlatformFault) -> None:
        """Record a failed poll; the policy in force stays unchanged."""
        self.loader.count('ticket.poll_failures')
        if not self.failures:
            logging.warning('failed to load tickets: %s', fault.detail)
        self.failures += 1
        self.fault = fault.detail
