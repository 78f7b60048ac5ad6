"""Asks the local upstream about heartbeats that may be outdated."""

import asyncio
import collections.abc
import contextlib

from absl import logging

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import start_candidate
from oleanderknot.tasks import task_log

# Largest delay of the acknowledgement of a heartbeat by a status check. The
# upstream waits 1 s for it, and the node may have waited for the store before.
MAX_WAIT_S = 0.4

# Bounds of the delay between status checks that got no answer.
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0

# Heartbeat intervals for which the upstream is asked about a heartbeat. One
# that is alive has sent the next one by then.
CANDIDATE_INTERVALS = 2

# One upstream has the address, so more starts than this are never in doubt.
MAX_CANDIDATES = 8


class StartConfirmation:
    """Owns the status checks of starts that may have left.

    A heartbeat that was sent before a departure may arrive after all that
    knew of the departure has ended. Only the upstream can tell it from the
    heartbeat of a live start.

    Attributes:
        heartbeat_interval_s: Seconds between two heartbeats.
        find_path: Returns the path of the status check of a service; empty if
            it has none, and None while no policy is known.
        check: Sends a status check to the path; see ``check_status``.
        on_live: Awaited with the newest heartbeat of a start that is live;
            returns whether to acknowledge it.
        count: Counts an event by name.
        candidates: Starts that the upstream is being asked about.
        policy_arrived: Set when a policy comes into force.
    """

    def __init__(
        self,
        *,
        heartbeat_interval_s: float,
        find_path: collections.abc.Callable[[str], str | None],
        check: collections.abc.Callable[
            [str], collections.abc.Awaitable[model.UpstreamStatus | None]
        ],
        on_live: collections.abc.Callable[
            [model.UpstreamHeartbeat], collections.abc.Awaitable[bool]
        ],
        count: collections.abc.Callable[[str], None],
    ) -> None:
        self.heartbeat_interval_s = heartbeat_interval_s
        self.find_path = find_path
        self.check = check
        self.on_live = on_live
        self.count = count
        self.loop = asyncio.get_running_loop()
        self.candidates: dict[
            tuple[str, int], start_candidate.StartCandidate
        ] = {}
        self.policy_arrived = asyncio.Event()

    async def confirm(self, report: model.UpstreamHeartbeat) -> bool:
        """Handle a heartbeat once the upstream has said that it is live.

        The check goes on after the wait, so a start whose upstream is slow to
        answer does not depend on its next heartbeat.

        Returns:
            Whether the heartbeat may be acknowledged; False while the check
            is not finished.
        """
        start = (report.upstream, report.started_ms)
        candidate = self.candidates.get(start)
        if candidate is None:
            if len(self.candidates) >= MAX_CANDIDATES:
                return False
            candidate = start_candidate.StartCandidate(
                report=report,
                expires_at=self.find_expiry(),
                task=self.loop.create_task(self.ask(start)),
            )
            candidate.task.add_done_callback(
                lambda task: self.candidates.pop(start)
            )
            candidate.task.add_done_callback(task_log.log_failure)
            self.candidates[start] = candidate
        elif report.sequence > candidate.report.sequence:
            candidate.report = report
            candidate.expires_at = self.find_expiry()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_WAIT_S):
                return await asyncio.shield(candidate.task)
        return False

    def find_expiry(self) -> float:
        """Return the loop time in seconds at which a new candidate expires."""
        return (
            self.loop.time() + CANDIDATE_INTERVALS * self.heartbeat_interval_s
        )

    async def ask(self, start: tuple[str, int]) -> bool:
        """Ask the upstream about a start until it answers.

        Returns:
            Whether the newest heartbeat of the start may be acknowledged.
        """
        candidate = self.candidates[start]
        delay_s = MIN_RETRY_DELAY_S
        while (left_s := candidate.expires_at - self.loop.time()) > 0:
            path = self.find_path(candidate.report.service)
            if path is None:
                await self.wait_for_policy(left_s)
                continue
            if not path:
                return await self.on_live(candidate.report)
            self.count('upstream.status_checks')
            started = self.loop.time()
            status = await self.check(path)
            liveness = decisions.judge_start(candidate.report.upstream, status)
            log_check(
                candidate.report, status, liveness, self.loop.time() - started
            )
            if liveness is decisions.StartLiveness.LIVE:
                return await self.on_live(candidate.report)
            if liveness is not decisions.StartLiveness.UNKNOWN:
                return False
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
        return False

    async def wait_for_policy(self, timeout_s: float) -> None:
        """Wait until a policy comes into force, for a bounded time."""
        self.policy_arrived.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.policy_arrived.wait()

    def close(self) -> None:
        """Stop asking."""
        for candidate in self.candidates.values():
            candidate.task.cancel()


def log_check(
    report: model.UpstreamHeartbeat,
    status: model.UpstreamStatus | None,
    liveness: decisions.StartLiveness,
    duration_s: float,
) -> None:
    """Log the answer of the upstream and what follows from it."""
    logging.info(
        'the sender of heartbeat %d of %s is %s by its status check',
        report.sequence,
        report.upstream,
        liveness.value,
        extra={
            'call_fields': {
                'event': 'upstream_status',
                'upstream': report.upstream,
                'started_ms': report.started_ms,
                'sequence': report.sequence,
                'liveness': liveness.value,
                'answered_as': status and status.upstream,
                'unavailable': status and status.unavailable,
                'closing': status and status.closing,
                'duration_s': round(duration_s, 4),
            }
        },
    )
