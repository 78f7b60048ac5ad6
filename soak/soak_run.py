"""Plays one seed and checks the promises."""

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

# Time within which each node must serve each route once all faults are over.
RECOVERY_S = 10.0

RETRY_S = 0.2

# What a process writes when its own code has failed.
FAULT_MARKS = ('Traceback (most recent call last)', '"level": "error"')


async def play(
    options: soak_options.SoakOptions, place: world.World
) -> tuple[list[str], dict[str, int]]:
    """Play one seed.

    Args:
        options: Options with the seed.
        place: Processes that have been started.

    Returns:
        The promises that were broken, one sentence each, and counts of what
        clients were told.
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
    """Check that each node serves each route that was put."""
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
    """Return the status of one request, or why there is none."""
    try:
        return place.fleet.send(name, target, request_id='ready')[0]
    except OSError as error:
        return repr(error)


def check_processes(place: world.World) -> list[str]:
    """Check that no process has failed or ended by itself."""
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
