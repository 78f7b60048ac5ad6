"""Time from filing a ticket until it is in force on all nodes."""

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

DATA_CENTRES = ('dc1', 'dc2', 'dc3')
NODES = 4
TICKETS = 20
REJOINS = 3
SLOW_TICKETS = 3
SLOW_TABLE_DELAY_MS = 2000
SEED = 11
IDLE_S = 20.0
WAIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.01

NOTE = '%d data centres of %d nodes, one machine' % (len(DATA_CENTRES), NODES)


async def file_ticket(url: str) -> tuple[int, float]:
    """File a ticket.

    Returns:
        The ticket number and the monotonic time at which filing started.
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
    """Wait until a ticket is in force on all nodes.

    Raises:
        RuntimeError: It is not in force on a node after ``WAIT_TIMEOUT_S``.
    """
    end = time.monotonic() + WAIT_TIMEOUT_S
    pending = list(nodes)
    while pending:
        pending = [
            node
            for node in pending
            if ticket_system.read_policy(node)['highest'] < number
        ]
        if pending and time.monotonic() > end:
            names = [node.name for node in pending]
            raise RuntimeError(
                'ticket %d is not in force on %s' % (number, names)
            )
        time.sleep(POLL_INTERVAL_S)


def wait_for_members(system: systems.System) -> None:
    """Wait until every node has all nodes in its member table."""
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
    """File tickets at random times and measure their propagation.

    Args:
        system: Processes under test.
        rng: Random number generator.
        count: Number of tickets to file.

    Returns:
        Seconds until each ticket was in force on all nodes, sorted.
    """
    times = []
    for _ in range(count):
        time.sleep(rng.random())
        number, sent = asyncio.run(file_ticket(system.ticket_table_url))
        wait_in_force(list(system.nodes.values()), number)
        times.append(time.monotonic() - sent)
    return sorted(times)


def measure_rejoins(system: systems.System) -> list[float]:
    """File tickets while a data centre is isolated, then reconnect it.

    Returns:
        Seconds from each reconnection until the ticket was in force there,
        sorted.
    """
    times = []
    name = DATA_CENTRES[-1]
    isolated_nodes = [
        node for node in system.nodes.values() if node.data_centre == name
    ]
    connected_nodes = [
        node for node in system.nodes.values() if node.data_centre != name
    ]
    for _ in range(REJOINS):
        ticket_system.set_partition(system, name, refuse=True)
        number, _ = asyncio.run(file_ticket(system.ticket_table_url))
        wait_in_force(connected_nodes, number)
        # Long enough for the isolated nodes to reach their maximum back-off.
        time.sleep(8)
        if ticket_system.read_policy(isolated_nodes[0])['highest'] >= number:
            raise RuntimeError(
                'data centre %s was not isolated from the ticket table' % name
            )
        ticket_system.set_partition(system, name, refuse=False)
        reconnected_at = time.monotonic()
        wait_in_force(isolated_nodes, number)
        times.append(time.monotonic() - reconnected_at)
    return sorted(times)


def count_reads(system: systems.System) -> int:
    """Return the number of ticket table reads by all nodes."""
    return sum(
        http.get_json(node.status_url())['counters'].get(name, 0)
        for node in system.nodes.values()
        for name in ('ticket.head_reads', 'ticket.load_reads')
    )


def measure_reads(system: systems.System) -> float:
    """Measure the rate of ticket table reads while no ticket is filed.

    Returns:
        Reads per second and data centre.
    """
    before = count_reads(system)
    started = time.monotonic()
    time.sleep(IDLE_S)
    reads = count_reads(system) - before
    return reads / (time.monotonic() - started) / len(DATA_CENTRES)


def measure() -> list[figure.Figure]:
    """Measure propagation, reconnection and idle table reads."""
    system = systems.System()
    try:
        ticket_system.start_proxied_platform(system)
        for centre in DATA_CENTRES:
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
        http.post_json(url, {'delay_ms': SLOW_TABLE_DELAY_MS})
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
