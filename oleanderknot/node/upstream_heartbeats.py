"""Tracks the upstream on the same instance by its heartbeats."""

import time

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.node import upstream_log
from oleanderknot.node import upstream_notices
from oleanderknot.tasks import departure_store
from oleanderknot.tasks import leaving_reasons
from oleanderknot.tasks import membership
from oleanderknot.tasks import runner as runners
from oleanderknot.tasks import start_confirmation


class UpstreamHeartbeats:
    """Decides which upstream gets calls, and whether it takes new ones.

    Attributes:
        runner: Runs calls at the upstream.
        heartbeat_filter: Separates new heartbeats from late and foreign ones.
        leaving: Reasons for which the upstream takes no new work.
        notices: What the upstream has said in its answers.
        upstream: Id of the upstream process that calls are sent to.
        membership: Publishes the record of this node; set at its start.
        departures: Keeps the latest departure beyond the end of this process;
            set at the start of the node.
        confirmation: Asks the upstream about heartbeats that may be outdated;
            set at the start of the node.
    """

    membership: membership.Membership
    departures: departure_store.DepartureStore
    confirmation: start_confirmation.StartConfirmation

    def __init__(
        self,
        *,
        settings: border.SidecarSettings,
        runner: runners.Runner,
        rate_limit: decisions.RateLimit,
    ) -> None:
        host, _, port = settings.upstream.address.rpartition(':')
        self.runner = runner
        self.upstream = ''
        self.heartbeat_filter = decisions.HeartbeatFilter(
            service=settings.upstream.service,
            host=host,
            port=int(port),
            heartbeat_interval_s=settings.upstream.heartbeat_interval,
            first_process=settings.first_start,
        )
        self.leaving = leaving_reasons.LeavingReasons(
            on_change=self.change_leaving
        )
        self.notices = upstream_notices.UpstreamNotices(
            rate_limit=rate_limit, leaving=self.leaving
        )

    async def handle_heartbeat(self, report: model.UpstreamHeartbeat) -> bool:
        """Handle a heartbeat, which may be late or of another upstream.

        Returns:
            Whether it may be acknowledged.
        """
        await self.departures.wait_until_tried()
        if self.heartbeat_filter.needs_status_check(report):
            return await self.confirmation.confirm(report)
        return await self.process_heartbeat(report)

    async def process_heartbeat(self, report: model.UpstreamHeartbeat) -> bool:
        """Decide about a heartbeat by those before it, and put it in force.

        The state may have changed since the status check, so the filter
        decides only now.

        Returns:
            Whether it may be acknowledged.
        """
        before = self.heartbeat_filter.current
        outcome = self.heartbeat_filter.accept(report, time.monotonic())
        if outcome is decisions.HeartbeatOutcome.ACCEPTED:
            if before is not None and before.started_ms != report.started_ms:
                upstream_log.log_heartbeat('upstream_restarted', report)
                self.runner.admission.forget_times()
                self.runner.downstream_level.calls.clear()
            await self.apply_heartbeat(report)
        else:
            upstream_log.log_heartbeat('heartbeat_' + outcome.value, report)
        if outcome is decisions.HeartbeatOutcome.UNCONFIRMED:
            return False
        # It may repeat an announcement that could not be acknowledged yet.
        return not report.draining or await self.departures.wait_until_kept()

    async def apply_heartbeat(self, report: model.UpstreamHeartbeat) -> None:
        """Apply a new heartbeat of the local upstream."""
        self.notices.note_heartbeat(report)
        own_member = self.membership.own
        if (
            report.upstream != self.upstream
            or report.slots != own_member.slots
        ):
            self.upstream = report.upstream
            await self.runner.set_upstream(
                service=report.service,
                host=report.host,
                port=report.port,
                slots=report.slots,
                warm=True,
            )
            upstream_log.log_heartbeat('upstream_joined', report)
            self.membership.update_own_record(
                service=report.service,
                slots=report.slots,
                state=leaving_reasons.find_state(
                    self.runner.leaving, report.service
                ),
            )
        reason = leaving_reasons.LeavingReason.UPSTREAM
        is_change = report.draining != self.leaving.holds(reason)
        self.leaving.set(reason, report.draining)
        self.notices.update_leaving('heartbeat')
        if is_change:
            upstream_log.log_heartbeat(
                'upstream_draining' if report.draining else 'upstream_back',
                report,
            )
        if report.draining and (
            is_change
            or not self.departures.is_about(report.upstream, report.started_ms)
        ):
            self.publish_departure(
                model.Departure(
                    upstream=report.upstream,
                    started_ms=report.started_ms,
                    sequence=report.sequence,
                )
            )

    async def handle_deregistration(
        self, upstream: str, started_ms: int
    ) -> bool:
        """Refuse new work if it is the current upstream that deregisters.

        Args:
            upstream: Id of the upstream.
            started_ms: Unix time in milliseconds of its start; 0 when
                unknown.

        Returns:
            Whether the deregistration may be acknowledged.
        """
        outcome = self.heartbeat_filter.deregister(
            upstream, started_ms, time.monotonic()
        )
        if outcome is decisions.HeartbeatOutcome.ACCEPTED:
            current = self.heartbeat_filter.current
            self.leaving.set(leaving_reasons.LeavingReason.UPSTREAM, True)
            upstream_log.log_heartbeat('upstream_gone', current)
            started_ms = started_ms or current.started_ms
        departure = model.Departure(upstream=upstream, started_ms=started_ms)
        if outcome is decisions.HeartbeatOutcome.UNCONFIRMED:
            upstream_log.log_departure(
                'departure_unconfirmed',
                '%s may be an earlier start that deregisters' % upstream,
                departure,
            )
            return False
        upstream_log.log_departure(
            'departure_noted',
            'recorded the deregistration of %s' % upstream,
            departure,
        )
        # One upstream has this address, so another one than the current left
        # earlier, and its departure must not replace that of the current one.
        if (
            outcome is decisions.HeartbeatOutcome.ACCEPTED
            or self.heartbeat_filter.current is None
        ):
            self.publish_departure(departure)
            return await self.departures.wait_until_kept()
        return True

    def publish_departure(self, departure: model.Departure) -> None:
        """Make a departure known beyond the end of this process."""
        if departure != self.membership.own.departure:
            self.membership.update_own_record(departure=departure)
        self.departures.save(departure)

    def adopt_departure(self, departure: model.Departure) -> None:
        """Adopt a departure that an earlier process has acknowledged."""
        if not self.heartbeat_filter.is_news(departure):
            return
        current_left = self.heartbeat_filter.adopt(departure)
        upstream_log.log_departure(
            'departure_adopted',
            'an earlier process of this node acknowledged the departure of %s'
            % departure.upstream,
            departure,
            current=current_left,
        )
        if current_left:
            self.leaving.set(leaving_reasons.LeavingReason.UPSTREAM, True)
        self.departures.keep(departure)
        if self.membership.own.departure is None:
            self.membership.update_own_record(departure=departure)

    def change_leaving(self) -> None:
        """Accept or refuse new work, and publish the state to other nodes."""
        is_leaving = bool(self.leaving.reasons)
        if is_leaving != self.runner.leaving:
            self.membership.update_own_record(
                state=leaving_reasons.find_state(
                    is_leaving, self.runner.service
                )
            )
        self.runner.set_leaving(is_leaving, self.leaving.is_upstream_leaving())
