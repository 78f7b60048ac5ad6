"""What the local upstream says about itself in its answers."""

import time

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.node import lifecycle_log
from oleanderknot.tasks import leaving_reasons


class UpstreamNotices:
    """Keeps the notices of one start of the upstream, and puts them in force.

    A node that has restarted learns them again from callers, which send them
    back with their calls.

    Attributes:
        rate_limit: Rate of calls that the upstream takes.
        leaving: Reasons for which the upstream takes no new work.
        departure: Whether the upstream leaves by its own answers.
        upstream: Id of the start of the upstream; empty before the first.
        started_ms: Unix time in milliseconds of that start.
    """

    def __init__(
        self,
        *,
        rate_limit: decisions.RateLimit,
        leaving: leaving_reasons.LeavingReasons,
    ) -> None:
        self.rate_limit = rate_limit
        self.leaving = leaving
        self.departure = decisions.DepartureNotice()
        self.upstream = ''
        self.started_ms = 0

    def note_heartbeat(self, report: model.UpstreamHeartbeat) -> None:
        """Note a heartbeat; a new start of the upstream has said nothing."""
        start = (report.upstream, report.started_ms)
        if start != (self.upstream, self.started_ms):
            self.upstream, self.started_ms = start
            self.rate_limit.reset()
            self.departure = decisions.DepartureNotice()
        self.departure.note_heartbeat(report.draining, report.sequence)

    def note_answer(
        self, upstream: str, metadata: model.ResponseMetadata
    ) -> None:
        """Note what an answer of the upstream says about it.

        Args:
            upstream: Id of the upstream that the answer came from.
            metadata: Metadata of the answer.
        """
        if upstream != self.upstream:
            return
        before = self.rate_limit.rate
        self.rate_limit.note_answer(metadata.rate, time.monotonic())
        self.log_rate_limit(before, 'answer')
        if metadata.leaving:
            self.departure.note_leaving()
            self.update_leaving('answer')

    def adopt(self, notice: model.UpstreamNotice | None) -> None:
        """Note what the upstream has told a caller before this node ran."""
        if notice is None or notice.upstream != self.upstream:
            return
        before = self.rate_limit.rate
        if notice.rate is not None:
            self.rate_limit.adopt(notice.rate, time.monotonic())
        self.log_rate_limit(before, 'caller')
        if notice.leaving:
            self.departure.adopt()
            self.update_leaving('caller')

    def build_notice(self) -> model.UpstreamNotice | None:
        """Return what the upstream says about itself, or None."""
        if self.rate_limit.rate is None and not self.departure.leaving:
            return None
        return model.UpstreamNotice(
            upstream=self.upstream,
            rate=self.rate_limit.rate,
            leaving=self.departure.leaving,
        )

    def log_rate_limit(self, before: float | None, source: str) -> None:
        """Log that the rate limit begins or ends.

        Args:
            before: Rate before the change.
            source: Source of the new rate: ``answer`` or ``caller``.
        """
        rate = self.rate_limit.rate
        if (before is None) is (rate is None):
            return
        lifecycle_log.log_event(
            'upstream_rate_limited'
            if before is None
            else 'upstream_rate_unlimited',
            'the upstream limits the rate of its requests'
            if before is None
            else 'the upstream no longer limits the rate of its requests',
            upstream=self.upstream,
            rate=rate,
            before=before,
            source=source,
        )

    def update_leaving(self, source: str) -> None:
        """Refuse new work while the upstream leaves by its own answers.

        Args:
            source: Source of the change: ``answer``, ``caller`` or
                ``heartbeat``.
        """
        reason = leaving_reasons.LeavingReason.ANSWER
        leaving = self.departure.leaving
        if leaving == self.leaving.holds(reason):
            return
        self.leaving.set(reason, leaving)
        lifecycle_log.log_event(
            'upstream_leaving' if leaving else 'upstream_departure_ended',
            'the upstream announced in an answer that it leaves'
            if leaving
            else 'the upstream takes work again',
            upstream=self.upstream,
            sequence=self.departure.sequence,
            source=source,
        )
