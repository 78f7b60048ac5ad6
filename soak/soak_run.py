"""Runs one seed and checks the guarantees."""

import asyncio
import time

from soak import answer_checks
from soak import backend_event
from soak import clients
from soak import fault_plan
from soak import injector
from soak import run_checks
from soak import soak_options
from soak import world

# Time within which every node must serve every route after the last fault.
RECOVERY_S = 10.0

RETRY_S = 0.2

# Log output that shows an internal failure of a process.
FAULT_MARKS = ('Traceback (most recent call last)', '"level": "error"')


async def play(
    options: soak_options.SoakOptions, place: world.World
) -> tuple[list[str], dict[str, int]]:
    """Run one seed.

    Args:
        options: Options of the run, including the seed.
        place: Processes under test, already started.

    Returns:
        One sentence for each violated guarantee, and the number of requests,
        of responses by status and of injected faults.
    """
    sender = clients.Clients(place=place, seed=options.seed)
    sending = asyncio.create_task(sender.run(options.rate))
    harm = injector.Injector(place=place)
    await harm.run(fault_plan.draw_faults(options, place.names))
    await asyncio.to_thread(place.heal)
    await asyncio.sleep(options.settle_s)
    findings = await asyncio.to_thread(check_recovery, place)
    sender.stopped = True
    await sending
    events = backend_event.read_events(place.folder)
    services = {
        name: item.service for name, item in place.fleet.sidecars.items()
    }
    findings += harm.findings
    findings += answer_checks.check_answers(sender.sent)
    findings += run_checks.check_runs(sender.sent, events, services)
    findings += run_checks.check_drains(events)
    findings += run_checks.check_budget(events)
    findings += check_processes(place)
    if options.planned_only:
        findings += answer_checks.check_planned(sender.sent, events)
    counts: dict[str, int] = {'sent': len(sender.sent)}
    for item in sender.sent:
        name = 'status_%d' % item.status
        counts[name] = counts.get(name, 0) + 1
    counts['faults'] = len(harm.done)
    return findings, counts


def check_recovery(place: world.World) -> list[str]:
    """Check that every node serves every route of the policy."""
    findings = []
    end = time.monotonic() + RECOVERY_S
    for name in place.names:
        for route in list(place.fleet.routes.values()):
            target = route['prefix'] + 'ready'
            while True:
                status = ask(place, name, target)
                if status == 200:
                    break
                if time.monotonic() > end:
                    findings.append(
                        '%s answers %s with %s %g s after all faults'
                        % (name, target, status, RECOVERY_S)
                    )
                    break
                time.sleep(RETRY_S)
    return findings


def ask(place: world.World, name: str, target: str) -> int | str:
    """Send one request and return its status, or the connection error."""
    try:
        return place.fleet.send(name, target, request_id='ready')[0]
    except OSError as error:
        return repr(error)


def check_processes(place: world.World) -> list[str]:
    """Check that no node has exited or logged an internal failure."""
    findings = [
        'the node of %s has ended with %s' % (name, item.process.popen.poll())
        for name, item in place.fleet.sidecars.items()
        if not item.process.is_running()
    ]
    for process in place.system.processes:
        text = process.read_log()
        findings += [
            '%s wrote %r' % (process.name, mark)
            for mark in FAULT_MARKS
            if mark in text and process.name.startswith('sidecar')
        ]
    return findings
