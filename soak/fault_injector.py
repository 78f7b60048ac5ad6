"""Injects the faults of a soak run."""

import asyncio
import signal
import subprocess
import time

from soak import fault_span
from soak import organisation_plan
from soak import planned_fault
from soak import soak_cluster
from soak import withdrawal

# Time for which a back end stays up after its departure was acknowledged: the
# bound on new work, plus a margin for requests that still run.
DRAIN_S = 2.5

# A node has a grace period of 6 s to stop after SIGTERM; exceeding this limit
# is a finding.
STOP_TIMEOUT_S = 9.0

DOWNTIME_S = 0.3


class FaultInjector:
    """Injects faults with signals, restarts, proxies and policy changes.

    Attributes:
        cluster: Processes under test.
        locks: Lock of each restartable process, by instance and part.
        findings: Violated guarantees found while injecting faults.
        disturbed: Monotonic times in seconds at which a node was stopped,
            killed, paused or cut off, by instance.
        spans: Faults that have ended, with their times.
        withdrawals: Keys that have been withdrawn.
        policy_lock: Lock of the policy. Two versions that are put at the same
            time could reach the store in the wrong order.
        log_entries: Injected faults and failed state reports, one text each.
    """

    def __init__(self, *, cluster: soak_cluster.SoakCluster) -> None:
        self.cluster = cluster
        self.locks = {
            (name, part): asyncio.Lock()
            for name in cluster.names
            for part in ('node', 'backend')
        }
        self.findings: list[str] = []
        self.disturbed: dict[str, list[float]] = {}
        self.spans: list[fault_span.FaultSpan] = []
        self.withdrawals: list[withdrawal.Withdrawal] = []
        self.policy_lock = asyncio.Lock()
        self.log_entries: list[str] = []

    async def run(self, faults: list[planned_fault.PlannedFault]) -> None:
        """Inject all faults, each at its start time."""
        await asyncio.gather(*(self.inject(fault) for fault in faults))

    async def inject(self, fault: planned_fault.PlannedFault) -> None:
        """Wait for the start time of a fault and inject it."""
        await asyncio.sleep(fault.at_s)
        self.log_entries.append('%.2f s: %s' % (fault.at_s, fault))
        disturbs = fault.kind.endswith(('_node', '_link'))
        if disturbs:
            self.note_disturbance(fault)
        began_at = time.monotonic()
        await getattr(self, fault.kind)(fault)
        self.spans.append(
            fault_span.FaultSpan(
                fault=fault, began_at=began_at, ended_at=time.monotonic()
            )
        )
        if disturbs:
            self.note_disturbance(fault)

    def note_disturbance(self, fault: planned_fault.PlannedFault) -> None:
        """Record that a node is disturbed, or was until now."""
        times = self.disturbed.setdefault(fault.instance, [])
        times.append(time.monotonic())

    def find_instance(self, fault: planned_fault.PlannedFault):
        """Return the instance that a fault targets."""
        return self.cluster.fleet.sidecars[fault.instance]

    async def kill_node(self, fault: planned_fault.PlannedFault) -> None:
        """Kill a node and restart it."""
        async with self.locks[fault.instance, 'node']:
            item = self.find_instance(fault)
            await asyncio.to_thread(item.process.kill)
            await asyncio.sleep(DOWNTIME_S)
            self.cluster.fleet.restart(item)

    async def restart_node(self, fault: planned_fault.PlannedFault) -> None:
        """Stop a node with SIGTERM and restart it."""
        async with self.locks[fault.instance, 'node']:
            item = self.find_instance(fault)
            item.process.terminate()
            try:
                await asyncio.to_thread(item.process.wait, STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.findings.append(
                    '%s did not end %g s after SIGTERM'
                    % (item.name, STOP_TIMEOUT_S)
                )
                await asyncio.to_thread(item.process.kill)
            await asyncio.sleep(DOWNTIME_S)
            self.cluster.fleet.restart(item)

    async def reload_node(self, fault: planned_fault.PlannedFault) -> None:
        """Send SIGHUP to a node so that it reloads its settings."""
        async with self.locks[fault.instance, 'node']:
            # SIGHUP ends a process that has not installed its handler yet.
            item = self.find_instance(fault)
            if '"started"' in item.process.read_log():
                item.process.send_signal(signal.SIGHUP)

    async def pause_node(self, fault: planned_fault.PlannedFault) -> None:
        """Suspend the process of a node and resume it later."""
        await self.pause(self.find_instance(fault).process, fault.duration_s)

    async def pause_backend(self, fault: planned_fault.PlannedFault) -> None:
        """Suspend the process of a back end and resume it later."""
        await self.pause(self.find_instance(fault).backend, fault.duration_s)

    async def pause(self, process, duration_s: float) -> None:
        """Suspend a running process with SIGSTOP for some seconds."""
        if process.is_running():
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            if process.is_running():
                process.send_signal(signal.SIGCONT)

    async def kill_backend(self, fault: planned_fault.PlannedFault) -> None:
        """Kill a back end and restart it."""
        async with self.locks[fault.instance, 'backend']:
            item = self.find_instance(fault)
            await asyncio.to_thread(item.backend.kill)
            await asyncio.sleep(DOWNTIME_S)
            self.cluster.fleet.restart_backend(item)

    async def drain_backend(self, fault: planned_fault.PlannedFault) -> None:
        """Drain a back end, then restart it or report it ready again."""
        async with self.locks[fault.instance, 'backend']:
            if not await self.change_state(fault, 'draining'):
                return
            await asyncio.sleep(DRAIN_S)
            if fault.magnitude % 2:
                await self.change_state(fault, 'ready')
                return
            item = self.find_instance(fault)
            await asyncio.to_thread(item.backend.kill)
            await asyncio.sleep(DOWNTIME_S)
            self.cluster.fleet.restart_backend(item)

    async def limit_backend(self, fault: planned_fault.PlannedFault) -> None:
        """Let a back end name a limit for some seconds."""
        await self.set_notice(fault, 'Server-Limit=%d' % fault.magnitude)
        await asyncio.sleep(fault.duration_s)
        await self.set_notice(fault, '')

    async def leave_backend(self, fault: planned_fault.PlannedFault) -> None:
        """Let a back end say that it leaves, first in its answers alone."""
        async with self.locks[fault.instance, 'backend']:
            await self.set_notice(fault, 'Server-Leaving=1')
            await asyncio.sleep(fault.duration_s)
            if not await self.change_state(fault, 'draining'):
                return
            await asyncio.sleep(DRAIN_S)
            item = self.find_instance(fault)
            await asyncio.to_thread(item.backend.kill)
            await asyncio.sleep(DOWNTIME_S)
            self.cluster.fleet.restart_backend(item)

    async def set_notice(
        self, fault: planned_fault.PlannedFault, notice: str
    ) -> None:
        """Set the headers that a back end adds to its answers."""
        path = '/-/notice?' + notice
        try:
            await asyncio.to_thread(
                self.cluster.fleet.query_backend, fault.instance, path
            )
        except (OSError, ValueError) as error:
            self.log_entries.append(
                '%s was not told: %r' % (fault.instance, error)
            )

    async def change_state(
        self, fault: planned_fault.PlannedFault, state: str
    ) -> bool:
        """Make a back end report a state; return whether that succeeded."""
        path = '/-/state?value=' + state
        try:
            status = await asyncio.to_thread(
                self.cluster.fleet.query_backend, fault.instance, path
            )
        except (OSError, ValueError) as error:
            self.log_entries.append(
                '%s was not told: %r' % (fault.instance, error)
            )
            return False
        return status == 200

    async def delay_link(self, fault: planned_fault.PlannedFault) -> None:
        """Delay the peer traffic to and from a node."""
        await self.apply_link_faults(
            fault, {'delay_ms': fault.magnitude}, {'delay_ms': 0}
        )

    async def cut_link(self, fault: planned_fault.PlannedFault) -> None:
        """Reset the open peer connections to a node."""
        await self.apply_link_faults(fault, {'cut': True}, {})

    async def freeze_link(self, fault: planned_fault.PlannedFault) -> None:
        """Stall the open connections to a node while new ones work."""
        await self.apply_link_faults(
            fault, {'freeze': fault.variant}, {'thaw': True}
        )

    async def hold_link(self, fault: planned_fault.PlannedFault) -> None:
        """Stall all connections to a node, including new ones."""
        await self.apply_link_faults(
            fault,
            {'hold_from': ['127.0.'], 'freeze': 'both'},
            {'hold_from': [], 'thaw': True},
        )

    async def apply_link_faults(
        self,
        fault: planned_fault.PlannedFault,
        begin: dict[str, object],
        end: dict[str, object],
    ) -> None:
        """Set proxy faults for a node and revert them after some time.

        Args:
            fault: Fault with the instance and the duration.
            begin: Proxy settings to apply.
            end: Proxy settings that revert them.
        """
        set_faults = self.cluster.set_link_faults
        await asyncio.to_thread(lambda: set_faults(fault.instance, **begin))
        await asyncio.sleep(fault.duration_s)
        await asyncio.to_thread(lambda: set_faults(fault.instance, **end))

    async def harm_store(self, fault: planned_fault.PlannedFault) -> None:
        """Make the store fail for some seconds."""
        set_faults = self.cluster.fleet.set_faults
        begin = {fault.variant: fault.magnitude}
        await asyncio.to_thread(lambda: set_faults(**begin))
        await asyncio.sleep(fault.duration_s)
        await asyncio.to_thread(lambda: set_faults(**{fault.variant: 0}))

    async def forget_history(self, fault: planned_fault.PlannedFault) -> None:
        """Make the store drop its history of changes."""
        set_faults = self.cluster.fleet.set_faults
        await asyncio.to_thread(lambda: set_faults(forget=True))

    async def restore_store(self, fault: planned_fault.PlannedFault) -> None:
        """Let the store go away and return from a copy.

        Rows of other writers raise the version before the copy is lost and
        again after it, so that nodes know versions that were given out twice.
        """
        fleet = self.cluster.fleet
        copied_at = time.monotonic()
        await asyncio.to_thread(lambda: fleet.put_other_rows(fault.magnitude))
        await self.add_route(fault)
        await asyncio.sleep(fault.duration_s / 2)
        await asyncio.to_thread(lambda: fleet.set_faults(down=1))
        await asyncio.sleep(fault.duration_s / 2)
        await asyncio.to_thread(lambda: fleet.set_faults(copied_at=copied_at))
        await self.add_route(fault)
        await asyncio.to_thread(
            lambda: fleet.put_other_rows(2 * fault.magnitude)
        )
        await asyncio.to_thread(lambda: fleet.set_faults(down=0))

    async def add_route(self, fault: planned_fault.PlannedFault) -> None:
        """Publish a policy version with one more route."""
        fleet = self.cluster.fleet
        async with self.policy_lock:
            name = 'new%d' % len(fleet.routes)
            fleet.routes[name] = {
                'prefix': '/%s/' % name,
                'kind': 'safe',
                'service': 'catalogue',
            }
            await asyncio.to_thread(fleet.put_policy)

    async def withdraw_key(self, fault: planned_fault.PlannedFault) -> None:
        """Publish a policy version without one of the API keys."""
        fleet = self.cluster.fleet
        key = organisation_plan.WITHDRAWN_KEY
        async with self.policy_lock:
            put_at = time.monotonic()
            name = organisation_plan.KEYS_ORGANISATION
            fleet.organisations[name]['apiKeys'].remove(key)
            await asyncio.to_thread(fleet.put_policy)
        self.withdrawals.append(
            withdrawal.Withdrawal(
                key=key, put_at=put_at, acknowledged_at=time.monotonic()
            )
        )

    async def strand_node(self, fault: planned_fault.PlannedFault) -> None:
        """Kill a node and restart it while the store is away."""
        set_faults = self.cluster.fleet.set_faults
        await asyncio.to_thread(lambda: set_faults(down=1))
        await self.kill_node(fault)
        await asyncio.sleep(fault.duration_s)
        await asyncio.to_thread(lambda: set_faults(down=0))
