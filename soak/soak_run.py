"""Runs one seed and checks the guarantees."""

import asyncio
import time

from soak import answer_checks
from soak import backend_event
from soak import clients
from soak import fault_injector
from soak import fault_plan
from soak import key_checks
from soak import limit_checks
from soak import notice_plan
from soak import organisation_plan
from soak import organisation_requests
from soak import pipelined_requests
from soak import planned_fault
from soak import record_checks
from soak import restore_plan
from soak import run_counts
from soak import run_record
from soak import shop_requests
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
        One sentence for each violated guarantee, and the counts of requests
        and of injected faults.
    """
    callers = [
        clients.Clients(cluster=cluster, group=group)
        for group in (
            shop_requests.build_group(
                options.seed, options.rate, cluster.names
            ),
            organisation_requests.build_group(options.seed, cluster.names),
            pipelined_requests.build_group(options.seed, cluster.names),
        )
    ]
    begun_at = time.monotonic()
    client_tasks = [asyncio.create_task(item.run()) for item in callers]
    injector = fault_injector.FaultInjector(cluster=cluster)
    await asyncio.gather(
        injector.run(draw_schedule(options, cluster)),
        asyncio.sleep(options.fault_s),
    )
    await asyncio.to_thread(cluster.clear_faults)
    await asyncio.sleep(options.settle_s)
    findings = await asyncio.to_thread(check_recovery, cluster)
    for item in callers:
        item.stopped = True
    await asyncio.gather(*client_tasks)
    sent = [request for item in callers for request in item.sent]
    events = backend_event.read_events(cluster.folder)
    findings += injector.findings
    record = run_record.RunRecord(
        sent=sent,
        events=events,
        services={
            name: item.service for name, item in cluster.fleet.sidecars.items()
        },
        disturbed=injector.disturbed,
        withdrawals=injector.withdrawals,
        spans=injector.spans,
    )
    findings += record_checks.check_record(record)
    findings += check_processes(cluster)
    if options.planned_only:
        findings += answer_checks.check_planned(sent, events)
    if options.calm:
        findings += answer_checks.check_calm(sent)
        findings += limit_checks.check_refusals(
            sent, organisation_plan.INSIDE_ORGANISATION, begun_at
        )
    counts = run_counts.count_outcomes(record)
    counts['faults'] = len(injector.log_entries)
    return findings, counts


def draw_schedule(
    options: soak_options.SoakOptions, cluster: soak_cluster.SoakCluster
) -> list[planned_fault.PlannedFault]:
    """Draw all that happens to the processes, store and policy of a run."""
    changes = organisation_plan.draw_key_changes(options, cluster.names)
    if options.calm:
        return changes
    return (
        fault_plan.draw_faults(options, cluster.names)
        + notice_plan.draw_notices(options, cluster.list_called())
        + restore_plan.draw_returns(options)
        + changes
    )


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
    keys = list(organisation_plan.ORGANISATIONS_BY_KEY)
    keys.append(organisation_plan.UNKNOWN_KEY)
    for process in cluster.system.processes:
        text = process.read_log()
        if process.name.startswith('sidecar'):
            findings += key_checks.check_output(process.name, text, keys)
        findings += [
            '%s wrote %r' % (process.name, marker)
            for marker in FAILURE_MARKERS
            if marker in text and process.name.startswith('sidecar')
        ]
    return findings
