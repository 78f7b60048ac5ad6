"""Cost of control traffic for an idle node, and at the designed size."""

import statistics
import time
import tracemalloc

from bench import figure
from bench import latency
from features.support import http
from features.support import memory
from features.support import system as systems
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire

SIZES = (4, 8, 16, 32)
DATA_CENTRES = 4
SETTLE_S = 5.0
IDLE_S = 20.0

# Size that the system is designed for.
DESIGN_NODES = 1200
DESIGN_DATA_CENTRES = 11
RESTARTS_PER_DAY = 100

# Member state changes per restart: leaving and left, then joining and taking
# for the new incarnation. A killed node goes through suspect and dead instead
# of leaving and left.
CHANGES_PER_RESTART = 4

# Time for a change to reach all nodes. Each node exchanges messages with two
# others per second, so this takes about log2(1200) s, and as long again to
# reach the last nodes.
SPREAD_S = 22.0

# Probes and acknowledgements that a node sends and receives per second: one
# probe of its own and one from another node.
MESSAGES_PER_S = 4


def build_records(nodes: int, data_centres: int) -> list[model.Member]:
    """Build member records with names of typical length."""
    return [
        model.Member(
            instance='catalogue-qld-south-%04d' % number,
            incarnation=(1_800_000_000_000 << 20) + number,
            version=7,
            state=model.MemberState.TAKING,
            data_centre='qld-south-%d' % (number % data_centres),
            host='10.20.%d.%d' % (number // 250, number % 250),
            peer_port=7100,
            caller_port=7101,
            operator_port=7102,
            service='service-%03d' % (number % 220),
            slots=100,
        )
        for number in range(nodes)
    ]


def compute_probe_size(
    hashes: dict[str, int], records: list[model.Member]
) -> int:
    """Return the encoded size of a probe in bytes."""
    gossip = wire.Gossip(
        kind=0,
        number=1000,
        changes=[wire.member_to_wire(record) for record in records],
        hashes=wire.hashes_to_wire(hashes),
    )
    frame = wire.Frame(session=1 << 62, call=0, gossip=gossip)
    return len(wire.Codec().encode(frame))


def read_control(system: systems.System) -> tuple[int, float, int]:
    """Return total control bytes and CPU seconds, and the largest memory."""
    total = 0
    seconds = 0.0
    resident = 0
    for node in system.nodes.values():
        control = http.get_json(node.status_url())['control']
        total += control['sent_bytes'] + control['received_bytes']
        pid = node.process.popen.pid
        seconds += latency.read_cpu_seconds(pid)
        resident = max(resident, memory.read_resident_bytes(pid))
    return total, seconds, resident


def measure_idle_nodes() -> list[tuple[int, float, float, float]]:
    """Measure idle nodes in groups of increasing size.

    Returns:
        For each size: number of nodes, control bytes per second and node,
        CPU use per node in percent of a core, and the largest memory in MB.
    """
    system = systems.System()
    rows = []
    try:
        for size in SIZES:
            while len(system.nodes) < size:
                number = len(system.nodes)
                seeds = [
                    node.peer_address()
                    for node in list(system.nodes.values())[:2]
                ]
                system.start_node(
                    'n%d' % number,
                    'dc%d' % (number % DATA_CENTRES),
                    seeds=seeds,
                )
            system.wait_for(
                lambda: all(
                    len(http.get_json(node.status_url())['members']) == size
                    for node in system.nodes.values()
                ),
                'all nodes know each other',
            )
            # Waits until the changes of the nodes that joined have spread.
            transmissions = size * decisions.compute_transmit_limit(size)
            slots = decisions.CHANGES_PER_PING * MESSAGES_PER_S // 2
            time.sleep(SETTLE_S + transmissions / slots)
            started = time.monotonic()
            before = read_control(system)
            time.sleep(IDLE_S)
            after = read_control(system)
            node_seconds = (time.monotonic() - started) * size
            rows.append(
                (
                    size,
                    (after[0] - before[0]) / node_seconds,
                    (after[1] - before[1]) / node_seconds * 100,
                    after[2] / (1 << 20),
                )
            )
    finally:
        system.stop()
    return rows


def measure_decisions() -> dict[str, float]:
    """Measure the decisions of one node with 1,200 members in its table.

    Returns:
        CPU time of probes in microseconds per second, CPU time of one
        version exchange in microseconds, and size of the table in MB.
    """
    tracemalloc.start()
    table = decisions.MemberTable()
    table.merge(build_records(DESIGN_NODES, DESIGN_DATA_CENTRES))
    table_mb = tracemalloc.get_traced_memory()[0] / (1 << 20)
    tracemalloc.stop()
    own = next(iter(table.members.values()))
    schedule = decisions.ProbeSchedule(
        own=own.instance, data_centre=own.data_centre, draw=lambda n: n // 2
    )
    gossip_queue = decisions.GossipQueue()
    rounds = 500
    started = time.process_time()
    for second in range(1, rounds + 1):
        for step in schedule.advance(table, float(second)):
            schedule.note_answer(step.instance)
        for _ in range(MESSAGES_PER_S // 2):
            gossip_queue.next_batch(DESIGN_NODES)
            compute_probe_size(table.hashes, [])
    probe_us = (time.process_time() - started) / rounds * 1e6
    name = own.data_centre
    versions = [
        decisions.build_version(record)
        for record in table.list_data_centre(name)
    ]
    started = time.process_time()
    for _ in range(100):
        decisions.compare_versions(table, name, versions, whole=True)
    exchange_us = (time.process_time() - started) / 100 * 1e6
    return {
        'probe_us': probe_us,
        'exchange_us': exchange_us,
        'table_mb': table_mb,
    }


def find_slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return the slope and intercept of a least-squares line."""
    fit = statistics.linear_regression(
        [point[0] for point in points], [point[1] for point in points]
    )
    return fit.slope, fit.intercept


def extrapolate_bytes(
    rows: list[tuple[int, float, float, float]],
) -> dict[str, float]:
    """Extrapolate control bytes per second to the designed size."""
    records = build_records(DESIGN_NODES, DESIGN_DATA_CENTRES)
    hashes = {
        record.data_centre: decisions.hash_record(record)
        for record in records[:DESIGN_DATA_CENTRES]
    }
    few = dict(list(hashes.items())[:DATA_CENTRES])
    more = compute_probe_size(hashes, []) - compute_probe_size(few, [])
    record = compute_probe_size(hashes, records[:1]) - compute_probe_size(
        hashes, []
    )
    changes = RESTARTS_PER_DAY * CHANGES_PER_RESTART / 86400
    transmissions = decisions.compute_transmit_limit(DESIGN_NODES)
    # A node sends each change up to its transmit limit and receives it as
    # often.
    churn = changes * transmissions * record * 2
    # While a change spreads, version lists are sent in both directions at
    # their maximum rate.
    share = min(1.0, changes * SPREAD_S)
    lists = share * 2 * 2 * decisions.VERSION_LIST_BYTES_PER_S
    slope, intercept = find_slope([(row[0], row[1]) for row in rows])
    rest = max(intercept + slope * DESIGN_NODES, rows[-1][1])
    return {
        'bytes_slope': slope,
        'bytes_hashes': more * MESSAGES_PER_S,
        'bytes_churn': churn + lists,
        'bytes_1200': rest + more * MESSAGES_PER_S + churn + lists,
    }


def measure() -> list[figure.Figure]:
    """Measure idle nodes and extrapolate the cost to the designed size."""
    cost = measure_decisions()
    rows = measure_idle_nodes()
    note = '%d data centres, %.0f s at rest, no calls' % (
        DATA_CENTRES,
        IDLE_S,
    )
    figures = []

    def add_figure(name: str, value: float, unit: str, note: str) -> None:
        figures.append(
            figure.Figure(
                name='membership.' + name,
                value=round(value, 4),
                unit=unit,
                note=note,
            )
        )

    for size, rate, core, resident in rows:
        add_figure('bytes_%d' % size, rate, 'B/s a node', note)
        add_figure('core_%d' % size, core, '% of a core a node', note)
        add_figure('memory_%d' % size, resident, 'MB', note + ', largest node')
    for name, value in extrapolate_bytes(rows).items():
        add_figure(name, value, 'B/s a node', 'worked out, sent and received')
    add_figure(
        'probe_cpu_1200', cost['probe_us'], 'us a second', 'one process'
    )
    add_figure('exchange_cpu_1200', cost['exchange_us'], 'us', 'one process')
    add_figure('table_memory_1200', cost['table_mb'], 'MB', 'one process')
    extra = (cost['probe_us'] + cost['exchange_us']) / 1e6 * 100
    add_figure(
        'core_1200', rows[-1][2] + extra, '% of a core a node', 'worked out'
    )
    slope, intercept = find_slope([(row[0], row[3]) for row in rows])
    memory_mb = max(rows[-1][3], intercept + slope * DESIGN_NODES)
    add_figure('memory_1200', memory_mb + cost['table_mb'], 'MB', 'worked out')
    return figures
