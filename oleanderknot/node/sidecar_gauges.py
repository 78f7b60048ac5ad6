"""Gauges of a sidecar node, read when its metrics are collected."""

import time
import typing

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.node import sidecar_recorder
from oleanderknot.tasks import json_formatter

if typing.TYPE_CHECKING:
    from oleanderknot.node import sidecar_application


def build_gauges(
    node: 'sidecar_application.SidecarApplication',
) -> dict[str, sidecar_recorder.GaugeFunction]:
    """Return the functions that read the gauges, by gauge name."""
    runner = node.local_upstream.runner
    return {
        **build_state_gauges(node),
        'nodes_lost': lambda: len(node.pool.reachability.failed_since),
        'queue_size': lambda: runner.admission.queue.size,
        'repeats_left': lambda: (
            node.local_upstream.repeat_budget.find_remaining(
                time.monotonic(), node.local_upstream.count_upstreams()
            )
        ),
        'policy_version': lambda: node.policies.version,
        'policy_confirmed_age_seconds': lambda: (
            node.feed.find_confirmed_age() or 0.0
        ),
        'requests_active': lambda: node.requests.active,
        'runs_active': lambda: runner.running,
        'run_limit': lambda: runner.admission.describe()['limit'],
        'organisations_in_excess': lambda: len(runner.shares.own.excess),
        'rate_limit': lambda: runner.admission.rate_limit.rate or 0.0,
        'admission_level': lambda: runner.admission.find_level(),
        'nodes_live': lambda: len(node.members.list_live()),
        'peer_connections': lambda: len(node.pool.open_connections),
        'store_answer_age_seconds': lambda: (
            node.store_availability.find_age(time.monotonic()) or 0.0
        ),
        'store_epoch': lambda: node.store_epoch.current or 0,
        'load_spread': lambda: decisions.measure_spread(
            node.dispatcher.chooser.loads, time.monotonic()
        ),
        'slowest_upstream': lambda: decisions.find_slowest(
            node.dispatcher.chooser.loads
        ),
        'memory_held_bytes': lambda: node.memory.held,
        'client_connections': lambda: len(node.requests.connections),
        'log_lines_dropped': json_formatter.count_dropped_lines,
    }


def build_state_gauges(
    node: 'sidecar_application.SidecarApplication',
) -> dict[str, sidecar_recorder.GaugeFunction]:
    """Return the functions that count the known nodes in each state."""

    def build(state: model.MemberState) -> sidecar_recorder.GaugeFunction:
        return lambda: sum(
            member.state is state for member in node.members.members.values()
        )

    return {
        'nodes_' + state.name.lower(): build(state)
        for state in model.MemberState
    }
