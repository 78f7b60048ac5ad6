"""Retry allowance and waiting time of a call chain at one node."""

import dataclasses

from oleanderknot import model


@dataclasses.dataclass(slots=True, kw_only=True)
class ChainAccount:
    """Remaining retries and waiting time of the requests of one trace.

    Attributes:
        trace_id: Id of the trace.
        request_class: Importance of the chain.
        deadline: Monotonic time in seconds at which the answer is due.
        depth: Number of calls above the request that the upstream runs.
        route: Route of the request that the upstream runs.
        ticket: Ticket that set the policy of the chain.
        sampled: Whether the trace is recorded.
        organisation: Name of the organisation that the chain belongs to;
            empty for none.
        rank: Fraction of the priority number that the first node has
            assigned to the chain; None if it is that of the trace id.
        repeated: Whether a run of the trace was itself a repeat.
        remaining: Retries left for all outgoing calls together.
        requests: Number of requests of the trace that run at the upstream.
        outgoing: Number of outgoing calls that the upstream waits for.
        waiting_since: Monotonic time in seconds since which ``outgoing`` is
            above 0.
        waited_s: Seconds with at least one outgoing call, so far.
        called: Services and routes that the upstream has called.
        failures: Failed outgoing calls that have not been retried, counted
            by method, service and path.
    """

    trace_id: str
    request_class: model.RequestClass
    deadline: float
    depth: int
    route: str
    ticket: int
    sampled: bool
    organisation: str = ''
    rank: float | None = None
    repeated: bool = False
    remaining: int = 0
    requests: int = 0
    outgoing: int = 0
    waiting_since: float = 0.0
    waited_s: float = 0.0
    called: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    failures: dict[str, int] = dataclasses.field(default_factory=dict)

    def grant(self) -> int:
        """Deduct the part of the allowance that an outgoing call carries.

        At least half is kept. When an answer is lost, its part counts as
        spent, and a retry must still be left to replace the lost call.

        Returns:
            Number of retries that the call may spend.
        """
        part = self.remaining // 2
        self.remaining -= part
        return part

    def refund(self, unspent: int, granted: int) -> None:
        """Return the unspent retries of an outgoing call to the allowance.

        Args:
            unspent: Retries that the other node reports as not spent.
            granted: Retries that the call carried; the other node cannot
                return more.
        """
        self.remaining += min(max(unspent, 0), granted)

    def spend(self) -> bool:
        """Deduct one retry if any is left.

        Returns:
            Whether a retry was left.
        """
        if self.remaining <= 0:
            return False
        self.remaining -= 1
        return True

    def admit_repeat(self, call: model.Call) -> bool:
        """Deduct a retry for an outgoing call that repeats a failed one.

        The HTTP client of the upstream may retry; such a retry counts like
        one of a node. Equal concurrent calls do not count as retries.

        Args:
            call: The outgoing call.

        Returns:
            Whether the call may run: it repeats no failed call, or a retry
            was left for it.
        """
        identity = identify(call)
        if not self.failures.get(identity):
            return True
        if not self.spend():
            return False
        self.failures[identity] -= 1
        return True

    def note_failure(self, call: model.Call) -> None:
        """Count an outgoing call without a complete and successful answer."""
        identity = identify(call)
        self.failures[identity] = self.failures.get(identity, 0) + 1

    def start_waiting(self, now: float) -> None:
        """Record the start of an outgoing call.

        Args:
            now: Monotonic time in seconds.
        """
        if self.outgoing == 0:
            self.waiting_since = now
        self.outgoing += 1

    def stop_waiting(self, now: float) -> None:
        """Record the end of an outgoing call.

        Args:
            now: Monotonic time in seconds.
        """
        self.outgoing -= 1
        if self.outgoing == 0:
            self.waited_s += now - self.waiting_since


def identify(call: model.Call) -> str:
    """Return the key by which a call of a chain is seen as a repeat."""
    return '%s %s%s' % (call.method, call.service, call.path)


def open_account(call: model.Call) -> ChainAccount:
    """Open the account of a call with the allowance that it carries.

    Args:
        call: A call at its first node, or one that arrives at the node of its
            upstream.

    Returns:
        The account.
    """
    return ChainAccount(
        trace_id=call.trace_id,
        request_class=call.request_class,
        deadline=call.deadline,
        depth=call.depth,
        route=call.route,
        ticket=call.ticket,
        sampled=call.sampled,
        organisation=call.organisation,
        rank=call.rank,
        remaining=call.allowance,
        requests=1,
    )
