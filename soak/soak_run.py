"""Runs one seed and checks the guarantees."""

import asyncio
import time

from soak import answer_checks
from soak import backend_event
from soak import clients
from soak import fault_injector
from soak import fault_plan
from soak import notice_checks
from soak import notice_plan
from soak import restore_plan
from soak import run_checks
from soak import soak_cluster
from soak import soak_options

# Time within which every node must serve every route after the last fault.
RECOVERY_S = 10.0

RETRY_S = 0.2

# Log output that shows an internal failure of a process.
FAILURE_MARKERS = ('Traceback (most recent call last)', '"level": "error"')


async def run_seed(
    options: soak_options.SoakOptions, cluster: soak_cluster.SoakCluster
) -> tuple[list[str], dict[str, int]]:
    """Run one seed.

    Args:
        options: Options of the run, including the seed.
        cluster: Processes under test, already started.

    Returns:
        One sentence for each violated guarantee, and the number of requests,
        of responses by status and of injected faults.
    """
    load_clients = clients.Clients(cluster=cluster, seed=options.seed)
    client_task = asyncio.create_task(load_clients.run(options.rate))
    injector = fault_injector.FaultInjector(cluster=cluster)
    await injector.run(
        fault_plan.draw_faults(options, cluster.names)
        + notice_plan.draw_notices(options, cluster.list_called())
        + restore_plan.draw_returns(options)
    )
    await asyncio.to_thread(cluster.clear_faults)
    await asyncio.sleep(options.settle_s)
    findings = await asyncio.to_thread(check_recovery, cluster)
    load_clients.stopped = True
    await client_task
    events = backend_event.read_events(cluster.folder)
    services = {
        name: item.service for name, item in cluster.fleet.sidecars.items()
    }
    findings += injector.findings
    findings += answer_checks.check_answers(load_clients.sent)
    findings += run_checks.check_runs(load_clients.sent, events, services)
    findings += run_checks.check_drains(events)
    findings += run_checks.check_budget(events)
    findings += notice_checks.check_notices(
        load_clients.sent, events, injector.disturbed
    )
    findings += check_processes(cluster)
    if options.planned_only:
        findings += answer_checks.check_planned(load_clients.sent, events)
    counts: dict[str, int] = {'sent': len(load_clients.sent)}
    for item in load_clients.sent:
        name = 'status_%d' % item.status
        counts[name] = counts.get(name, 0) + 1
    counts['faults'] = len(injector.log_entries)
    return findings, counts


def check_recovery(cluster: soak_cluster.SoakCluster) -> list[str]:
    """Check that every node serves every route, and has its row."""
    findings = []
    end = time.monotonic() + RECOVERY_S
    for name in cluster.names:
        for route in list(cluster.fleet.routes.values()):
            target = route['prefix'] + 'ready'
            while True:
                status = request_status(cluster, name, target)
                if status == 200:
                    break
                if time.monotonic() > end:
                    findings.append(
                        '%s answers %s with %s %g s after all faults'
                        % (name, target, status, RECOVERY_S)
                    )
                    break
                time.sleep(RETRY_S)
    missing = set(cluster.names) - cluster.fleet.list_rows()
    findings += ['%s has no row in the store' % name for name in missing]
    return findings


def request_status(
    cluster: soak_cluster.SoakCluster, name: str, target: str
) -> int | str:
    """Send one request and return its status, or the connection error."""
    try:
        return cluster.fleet.send(name, target, request_id='ready')[0]
    except OSError as error:
        return repr(error)


def check_processes(cluster: soak_cluster.SoakCluster) -> list[str]:
    """Check that no node has exited or logged an internal failure."""
    findings = [
        'the node of %s has ended with %s' % (name, item.process.popen.poll())
        for name, item in cluster.fleet.sidecars.items()
        if not item.process.is_running()
    ]
    for process in cluster.system.processes:
        text = process.read_log()
        findings += [
            '%s wrote %r' % (process.name, marker)
            for marker in FAILURE_MARKERS
            if marker in text and process.name.startswith('sidecar')
        ]
    return findings
