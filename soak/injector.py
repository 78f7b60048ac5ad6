"""Carries out the faults of a soak."""

import asyncio
import signal
import subprocess

from soak import planned_fault
from soak import world

# Time for which a back end goes on after its departure was acknowledged: the
# bound on new work, and a little more for what runs.
DRAIN_S = 2.5

# A stopped process ends within its grace of 6 s; more is a finding.
STOP_S = 9.0

DOWN_S = 0.3


class Injector:
    """Owns the signals, restarts and changes of a soak.

    Attributes:
        place: The processes.
        locks: One for each process that is ended and started again.
        findings: Promises that a fault itself found broken.
        done: What was carried out, for the report.
    """

    def __init__(self, *, place: world.World) -> None:
        self.place = place
        self.locks = {
            (name, part): asyncio.Lock()
            for name in place.names
            for part in ('node', 'backend')
        }
        self.findings: list[str] = []
        self.done: list[str] = []

    async def run(self, faults: list[planned_fault.PlannedFault]) -> None:
        """Carry out all faults, each at its time."""
        await asyncio.gather(*(self.inject(fault) for fault in faults))

    async def inject(self, fault: planned_fault.PlannedFault) -> None:
        """Carry out one fault."""
        await asyncio.sleep(fault.at_s)
        self.done.append('%.2f s: %s' % (fault.at_s, fault))
        await getattr(self, fault.kind)(fault)

    def find(self, fault: planned_fault.PlannedFault):
        """Return the instance that a fault hits."""
        return self.place.fleet.sidecars[fault.instance]

    async def kill_node(self, fault: planned_fault.PlannedFault) -> None:
        """Kill a node and start it again."""
        async with self.locks[fault.instance, 'node']:
            item = self.find(fault)
            await asyncio.to_thread(item.process.kill)
            await asyncio.sleep(DOWN_S)
            self.place.fleet.restart(item)

    async def restart_node(self, fault: planned_fault.PlannedFault) -> None:
        """Stop a node in a planned way and start it again."""
        async with self.locks[fault.instance, 'node']:
            item = self.find(fault)
            item.process.terminate()
            try:
                await asyncio.to_thread(item.process.wait, STOP_S)
            except subprocess.TimeoutExpired:
                self.findings.append(
                    '%s did not end %g s after SIGTERM' % (item.name, STOP_S)
                )
                await asyncio.to_thread(item.process.kill)
            await asyncio.sleep(DOWN_S)
            self.place.fleet.restart(item)

    async def reload_node(self, fault: planned_fault.PlannedFault) -> None:
        """Tell a node that its settings have changed."""
        async with self.locks[fault.instance, 'node']:
            # Before its handler is set, the signal would end the process.
            item = self.find(fault)
            if '"started"' in item.process.read_log():
                item.process.send_signal(signal.SIGHUP)

    async def pause_node(self, fault: planned_fault.PlannedFault) -> None:
        """Stop a node's process and let it go on later."""
        await self.pause(self.find(fault).process, fault.for_s)

    async def pause_backend(self, fault: planned_fault.PlannedFault) -> None:
        """Stop a back end's process and let it go on later."""
        await self.pause(self.find(fault).backend, fault.for_s)

    async def pause(self, process, for_s: float) -> None:
        """Stop a process that runs, for some seconds."""
        if process.is_running():
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            if process.is_running():
                process.send_signal(signal.SIGCONT)

    async def kill_backend(self, fault: planned_fault.PlannedFault) -> None:
        """Kill a back end and start it again."""
        async with self.locks[fault.instance, 'backend']:
            item = self.find(fault)
            await asyncio.to_thread(item.backend.kill)
            await asyncio.sleep(DOWN_S)
            self.place.fleet.restart_backend(item)

    async def drain_backend(self, fault: planned_fault.PlannedFault) -> None:
        """Let a back end leave, or say so and come back."""
        async with self.locks[fault.instance, 'backend']:
            if not await self.change_state(fault, 'draining'):
                return
            await asyncio.sleep(DRAIN_S)
            if fault.strength % 2:
                await self.change_state(fault, 'ready')
                return
            item = self.find(fault)
            await asyncio.to_thread(item.backend.kill)
            await asyncio.sleep(DOWN_S)
            self.place.fleet.restart_backend(item)

    async def change_state(
        self, fault: planned_fault.PlannedFault, state: str
    ) -> bool:
        """Let a back end report a state; return whether that was heard."""
        path = '/-/state?value=' + state
        try:
            status = await asyncio.to_thread(
                self.place.fleet.query_backend, fault.instance, path
            )
        except (OSError, ValueError) as error:
            self.done.append('%s was not told: %r' % (fault.instance, error))
            return False
        return status == 200

    async def delay_link(self, fault: planned_fault.PlannedFault) -> None:
        """Delay what goes to and from a node."""
        await self.harm_link(
            fault, {'delay_ms': fault.strength}, {'delay_ms': 0}
        )

    async def cut_link(self, fault: planned_fault.PlannedFault) -> None:
        """Reset the open connections to a node."""
        await self.harm_link(fault, {'cut': True}, {})

    async def freeze_link(self, fault: planned_fault.PlannedFault) -> None:
        """Make open connections to a node silent while new ones work."""
        await self.harm_link(fault, {'freeze': fault.how}, {'thaw': True})

    async def hold_link(self, fault: planned_fault.PlannedFault) -> None:
        """Make all connections to a node silent, new ones as well."""
        await self.harm_link(
            fault,
            {'hold_from': ['127.0.'], 'freeze': 'both'},
            {'hold_from': [], 'thaw': True},
        )

    async def harm_link(
        self,
        fault: planned_fault.PlannedFault,
        begin: dict[str, object],
        end: dict[str, object],
    ) -> None:
        """Change the faults of a proxy for some seconds."""
        inject = self.place.inject
        await asyncio.to_thread(lambda: inject(fault.instance, **begin))
        await asyncio.sleep(fault.for_s)
        await asyncio.to_thread(lambda: inject(fault.instance, **end))

    async def harm_store(self, fault: planned_fault.PlannedFault) -> None:
        """Let the store fail for some seconds."""
        change = self.place.fleet.set_faults
        begin = {fault.how: fault.strength}
        await asyncio.to_thread(lambda: change(**begin))
        await asyncio.sleep(fault.for_s)
        await asyncio.to_thread(lambda: change(**{fault.how: 0}))

    async def forget_history(self, fault: planned_fault.PlannedFault) -> None:
        """Let the store drop its history."""
        change = self.place.fleet.set_faults
        await asyncio.to_thread(lambda: change(forget=True))

    async def add_route(self, fault: planned_fault.PlannedFault) -> None:
        """Put a version of the policy with one more route."""
        fleet = self.place.fleet
        name = 'new%d' % len(fleet.routes)
        fleet.routes[name] = {
            'prefix': '/%s/' % name,
            'kind': 'safe',
            'service': 'catalogue',
        }
        await asyncio.to_thread(fleet.put_policy)
