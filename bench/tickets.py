"""Time from the filing of a ticket until it is in force on the last node."""

import asyncio
import random
import time

from bench import figure
from features.support import http
from features.support import system as systems
from features.support import ticket_system
from features.support import tickets
from oleanderknot import model
from oleanderknot import platform

CENTRES = ('dc1', 'dc2', 'dc3')
NODES = 4
TICKETS = 20
REJOINS = 3
SLOW_TICKETS = 3
SLOW_MS = 2000
SEED = 11
QUIET_S = 20.0
LIMIT_S = 60.0
POLL_S = 0.01

NOTE = '%d data centres of %d nodes, one machine' % (len(CENTRES), NODES)


async def file_ticket(url: str) -> tuple[int, float]:
    """File a ticket.

    Returns:
        Its number and the monotonic time at which it was sent.
    """
    table = platform.TableClient(
        url=url, timeout_s=platform.ticket_filing.TABLE_TIMEOUT_S
    )
    try:
        draft = tickets.build_draft(['catalogue'])
        plan = (await platform.ticket_filing.prepare(table, draft)).ok
        sent = time.monotonic()
        outcome = await platform.ticket_filing.file_ticket(table, plan)
    finally:
        await table.close()
    if outcome.result is not model.FilingResult.FILED:
        raise RuntimeError(outcome.detail)
    return outcome.ticket.number, sent


def wait_in_force(nodes: list, number: int) -> None:
    """Wait until all nodes have a ticket in force.

    Raises:
        RuntimeError: A node has not after ``LIMIT_S``.
    """
    end = time.monotonic() + LIMIT_S
    left = list(nodes)
    while left:
        left = [
            node
            for node in left
            if ticket_system.read_policy(node)['highest'] < number
        ]
        if left and time.monotonic() > end:
            names = [node.name for node in left]
            raise RuntimeError('ticket %d is not on %s' % (number, names))
        time.sleep(POLL_S)


def wait_for_members(system: systems.System) -> None:
    """Wait until every node knows every other one."""
    for node in system.nodes.values():
        system.wait_for(
            lambda node=node: (
                len(http.get_json(node.status_url())['members'])
                == len(system.nodes)
            ),
            '%s knows all nodes' % node.name,
        )


def measure_filings(
    system: systems.System, rng: random.Random, count: int
) -> list[float]:
    """File tickets at random moments.

    Args:
        system: The nodes.
        rng: Source of randomness.
        count: Number of tickets.

    Returns:
        Seconds until each was in force on the last node, sorted.
    """
    times = []
    for _ in range(count):
        time.sleep(rng.random())
        number, sent = asyncio.run(file_ticket(system.ticket_table_url))
        wait_in_force(list(system.nodes.values()), number)
        times.append(time.monotonic() - sent)
    return sorted(times)


def measure_rejoins(system: systems.System) -> list[float]:
    """File tickets while a data centre is cut off, and join it again.

    Returns:
        Seconds from each joining until the ticket was in force, sorted.
    """
    times = []
    name = CENTRES[-1]
    inside = [
        node for node in system.nodes.values() if node.data_centre == name
    ]
    outside = [
        node for node in system.nodes.values() if node.data_centre != name
    ]
    for _ in range(REJOINS):
        ticket_system.set_partition(system, name, refuse=True)
        number, _ = asyncio.run(file_ticket(system.ticket_table_url))
        wait_in_force(outside, number)
        # Long enough for the back-off of the cut-off nodes to be at its
        # largest.
        time.sleep(8)
        if ticket_system.read_policy(inside[0])['highest'] >= number:
            raise RuntimeError('%s was not cut off' % name)
        ticket_system.set_partition(system, name, refuse=False)
        joined = time.monotonic()
        wait_in_force(inside, number)
        times.append(time.monotonic() - joined)
    return sorted(times)


def count_reads(system: systems.System) -> int:
    """Return the reads of the table that all nodes made for tickets."""
    return sum(
        http.get_json(node.status_url())['counters'].get(name, 0)
        for node in system.nodes.values()
        for name in ('ticket.head_reads', 'ticket.load_reads')
    )


def measure_reads(system: systems.System) -> float:
    """Count the reads for tickets in a quiet time.

    Returns:
        Reads a second of one data centre.
    """
    before = count_reads(system)
    started = time.monotonic()
    time.sleep(QUIET_S)
    reads = count_reads(system) - before
    return reads / (time.monotonic() - started) / len(CENTRES)


def measure() -> list[figure.Figure]:
    """Measure filings, rejoins and the reads of a quiet time."""
    system = systems.System()
    try:
        ticket_system.start_proxied_platform(system)
        for centre in CENTRES:
            for number in range(NODES):
                system.start_node(
                    '%s-%d' % (centre, number), centre, proxied=True
                )
        wait_for_members(system)
        rng = random.Random(SEED)
        filings = measure_filings(system, rng, TICKETS)
        reads = measure_reads(system)
        rejoins = measure_rejoins(system)
        url = system.platform_url('/-/faults')
        http.post_json(url, {'delay_ms': SLOW_MS})
        slow = measure_filings(system, rng, SLOW_TICKETS)
    finally:
        system.stop()
    values = (
        ('tickets.in_force_p50', filings[len(filings) // 2], 's'),
        ('tickets.in_force_max', filings[-1], 's'),
        ('tickets.rejoin_max', rejoins[-1], 's'),
        ('tickets.slow_table_max', slow[-1], 's'),
        ('tickets.reads_per_data_centre', reads, 'reads a second'),
    )
    return [
        figure.Figure(
            name=name, value=round(value, 3), unit=unit, seed=SEED, note=NOTE
        )
        for name, value, unit in values
    ]
