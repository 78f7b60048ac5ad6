"""Ranks the requests of returning clients, and tells them when to return."""

import collections.abc
import random
import time

from oleanderknot import decisions
from oleanderknot import model

# Shortest Retry-After, unless the client has less time. A return sooner than
# this meets the same load.
MIN_WAIT_S = 0.25

# A client honours a Retry-After up to this share of the time it has left.
HONOURED_SHARE = 1 / 3

# Refusals that do not come from load. A client that returns after a limit is
# admitted by the limit, and none of its requests was refused behind others.
UNRELATED_RULES = (model.Rule.QUOTA, model.Rule.DEADLINE)

# Refusals whose cause is the load of the service, so that its level tells
# when it admits the client.
LEVEL_RULES = (
    model.Rule.EARLY_REFUSAL,
    model.Rule.LEVEL,
    model.Rule.QUEUE_DELAY,
    model.Rule.QUEUE_FULL,
)

LevelFunction = collections.abc.Callable[[str, str], tuple[float, float]]


class ReturningClients:
    """Owns the refusals that clients of this node have received.

    Attributes:
        memory: Refusals that have not been used.
        schedules: Return times by service and class.
        find_service_levels: Returns the reported and the estimated level of
            a service and route.
        rng: Source of randomness.
        count: Counts an event by name.
    """

    def __init__(
        self,
        *,
        capacity: int,
        find_service_levels: LevelFunction,
        rng: random.Random,
        count: collections.abc.Callable[[str, int], None],
    ) -> None:
        self.memory = decisions.RefusalMemory(capacity=capacity)
        self.schedules: dict[
            tuple[str, model.RequestClass], decisions.ReturnSchedule
        ] = {}
        self.find_service_levels = find_service_levels
        self.rng = rng
        self.count = count

    def recognise(
        self,
        call: model.Call,
        *,
        host: str,
        content: bytes,
        client_deadline: float,
        received_at: float,
    ) -> decisions.RememberedRefusal | None:
        """Find the refusal that the client of a root request has received.

        Args:
            call: The call of the request.
            host: Host that it names.
            content: Its body.
            client_deadline: Monotonic time in seconds at which the client
                gives up.
            received_at: Monotonic time in seconds at which it arrived.

        Returns:
            The refusal, or None; it is not due if the client came too early.
        """
        if not self.memory.size:
            return None
        entry = self.memory.match(
            digest_call(call, host, content), client_deadline, received_at
        )
        if entry is None:
            return None
        self.count(
            'returns.ranked' if entry.is_due(received_at) else 'returns.early',
            1,
        )
        return entry

    def note_answer(self, call: model.Call) -> None:
        """Count an answered root request."""
        now = time.monotonic()
        self.find_schedule(call, now).count_answer(now)

    def note_refusal(
        self,
        call: model.Call,
        refusal: model.Refusal,
        earlier: decisions.RememberedRefusal | None,
        *,
        host: str,
        content: bytes,
        client_deadline: float,
        received_at: float,
    ) -> bool:
        """Assign a return time to a refused client, and remember it.

        Args:
            call: The call of the request.
            refusal: The refusal; its ``retry_after_ms`` is set.
            earlier: Result of ``recognise`` for the request.
            host: Host that it names.
            content: Its body.
            client_deadline: Monotonic time in seconds at which the client
                gives up.
            received_at: Monotonic time in seconds at which it arrived.

        Returns:
            Whether a return time was assigned.
        """
        now = time.monotonic()
        latest_s = (client_deadline - now) * HONOURED_SHARE
        if (
            refusal.verdict is not model.Verdict.NOT_RUN
            or refusal.rule in UNRELATED_RULES
            or latest_s <= 0
        ):
            return False
        if earlier is not None and not earlier.is_due(received_at):
            # It came too early and keeps its place.
            wait_s = max(MIN_WAIT_S, earlier.return_at - now)
            set_wait(refusal, min(wait_s, latest_s))
            return True
        entry = decisions.RememberedRefusal(
            refused_at=now,
            return_at=now,
            client_deadline=client_deadline,
            refusals=1 if earlier is None else earlier.refusals + 1,
            first_fraction=decisions.find_trace_fraction(call.trace_id)
            if earlier is None
            else earlier.first_fraction,
        )
        wait_s = self.find_schedule(call, now).assign(
            now=now,
            earliest_s=min(
                latest_s, self.estimate_wait_s(call, refusal, entry)
            ),
            latest_s=latest_s,
            draw=self.rng.random,
        )
        set_wait(refusal, wait_s)
        entry.return_at += refusal.retry_after_ms / 1000
        evicted = self.memory.add(digest_call(call, host, content), entry, now)
        self.count('returns.remembered', 1)
        if evicted:
            self.count('returns.evicted', evicted)
        return True

    def estimate_wait_s(
        self,
        call: model.Call,
        refusal: model.Refusal,
        entry: decisions.RememberedRefusal,
    ) -> float:
        """Return the seconds until the level admits the returning client."""
        if refusal.rule in LEVEL_RULES:
            level, _ = self.find_service_levels(call.service, call.route)
            rank = (
                call.rank
                if decisions.is_beyond_share(call)
                else decisions.assign_fraction(call.trace_id, earlier=entry)
            )
            wait_ms = decisions.estimate_wait_ms(
                call.request_class + rank, level
            )
        else:
            wait_ms = refusal.retry_after_ms
        return max(MIN_WAIT_S, wait_ms / 1000)

    def find_schedule(
        self, call: model.Call, now: float
    ) -> decisions.ReturnSchedule:
        """Return the schedule of a call's service and class."""
        key = call.service, call.request_class
        schedule = self.schedules.get(key)
        if schedule is None:
            schedule = decisions.ReturnSchedule(now=now)
            self.schedules[key] = schedule
        return schedule


def set_wait(refusal: model.Refusal, wait_s: float) -> None:
    """Set the wait of a refusal, rounded down to what the header can say."""
    refusal.retry_after_ms = int(wait_s * 100) * 10
    refusal.detail += '; the client may return in %.2f s' % (
        refusal.retry_after_ms / 1000
    )


def digest_call(call: model.Call, host: str, content: bytes) -> bytes:
    """Return the digest that identifies the request of a call."""
    return decisions.digest_request(
        organisation=call.organisation,
        method=call.method,
        host=host,
        path=call.path,
        content=content,
    )
