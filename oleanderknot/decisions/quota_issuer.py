"""Issues the tokens of one organisation at a home."""

import collections

from oleanderknot.decisions import quota_held
from oleanderknot.decisions import quota_issue
from oleanderknot.decisions import quota_loan
from oleanderknot.decisions import quota_pending
from oleanderknot.decisions import quota_stock

# Lifetime of tokens from the moment they leave a stock. The bound on the
# requests of a window contains the tokens of this time.
LIFETIME_S = 0.5

# Time that a request waits at the home for tokens. The first node waits
# 0.25 s, which includes the way to the home and back.
HOLD_S = 0.2

# Bounds of the time between two services of the queue, and between two
# requests to a home that had no tokens. In between, the time in which half of
# a stock is created: a full stock would lose tokens.
MIN_PERIOD_S = 0.005
MAX_PERIOD_S = 0.1


# Longest wait that clients are told. Most of those that wait now have given up
# by then, and the limit holds for windows of this length.
MAX_WAIT_S = 5.0


class QuotaIssuer:
    """Answers the requests for the tokens of one organisation.

    A node that may not create tokens still answers with tokens that it
    borrows from homes that may.

    Attributes:
        stock: Tokens created here.
        borrowed: Tokens of other homes, which keep their expiry.
        queue: Requests that wait for tokens, oldest first.
        loans: What is known of each home that may lend tokens, by key.
        served_at: Monotonic time in seconds of the latest service.
        active_at: Monotonic time in seconds of the latest request.
    """

    def __init__(self, *, rate: float, burst: float, shares: int) -> None:
        self.stock = quota_stock.QuotaStock(
            rate=rate, burst=burst, shares=shares
        )
        self.borrowed = quota_held.HeldTokens()
        self.queue: collections.deque[quota_pending.QuotaPending] = (
            collections.deque()
        )
        self.loans: dict[str, quota_loan.QuotaLoan] = {}
        self.served_at = float('-inf')
        self.active_at = 0.0

    @property
    def period_s(self) -> float:
        """Time in seconds between two services of the queue."""
        half_s = self.stock.capacity / self.stock.rate / 2
        return min(MAX_PERIOD_S, max(MIN_PERIOD_S, half_s))

    def serve(self, now: float) -> list[quota_issue.QuotaIssue]:
        """Answer the waiting requests for which there are tokens.

        The stock must have been refilled. A request is answered once it can
        get one token; the requester asks again if it needs more.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The answers, including empty ones to requests that have waited
            too long.
        """
        issues = []
        self.served_at = now
        while self.queue:
            pending = self.queue[0]
            tokens, lifetime_s = self.take(pending.wanted, now)
            if not tokens and now < pending.deadline:
                break
            self.queue.popleft()
            issues.append(
                quota_issue.QuotaIssue(
                    requester=pending.requester,
                    number=pending.number,
                    tokens=tokens,
                    lifetime_s=lifetime_s,
                    wait_s=self.find_wait_s(),
                )
            )
        return issues

    def issue(self, wanted: int, now: float) -> tuple[int, float]:
        """Take tokens for a new request; none while others wait.

        Args:
            wanted: Tokens that the request asks for.
            now: Monotonic time in seconds. The stock must have been refilled.

        Returns:
            How many were taken, and the shortest lifetime of them.
        """
        return (0, 0.0) if self.queue else self.take(wanted, now)

    def take(self, wanted: int, now: float) -> tuple[int, float]:
        """Take tokens, borrowed ones first.

        Returns:
            How many were taken, and the shortest lifetime of them.
        """
        tokens, expires_at = self.borrowed.take_many(wanted, now)
        tokens += self.stock.take(wanted - tokens)
        return tokens, min(LIFETIME_S, expires_at - now)

    def lend(self, wanted: int) -> int:
        """Take tokens for another home; none while requests wait here."""
        return 0 if self.queue else self.stock.take(wanted)

    def find_wait_s(self) -> float:
        """Return the seconds until a new request could get a token."""
        waiting = sum(pending.wanted for pending in self.queue)
        return min(MAX_WAIT_S, self.stock.find_wait_s(waiting + 1))

    def choose_loan(
        self, homes: list[str], now: float
    ) -> tuple[str, int] | None:
        """Choose a home to request tokens from, and how many.

        One home is asked at a time for what the others do not bring, since
        tokens that arrive twice would expire unused.

        Args:
            homes: Keys of the homes that may lend tokens.
            now: Monotonic time in seconds.
        """
        needed = sum(pending.wanted for pending in self.queue) - sum(
            loan.outstanding for loan in self.loans.values()
        )
        if needed <= 0:
            return None
        candidates = []
        for key in homes:
            loan = self.loans.setdefault(key, quota_loan.QuotaLoan())
            if not loan.outstanding and now >= loan.ask_from:
                candidates.append((loan.asked_at, key))
        if not candidates:
            return None
        key = min(candidates)[1]
        self.loans[key].outstanding = needed
        self.loans[key].asked_at = now
        return key, needed

    def note_loan(
        self, key: str, tokens: int, expires_at: float, now: float
    ) -> None:
        """Add the tokens of a response; 0 if there was none."""
        loan = self.loans.setdefault(key, quota_loan.QuotaLoan())
        loan.outstanding = 0
        if tokens:
            self.borrowed.add(tokens, expires_at)
        else:
            loan.ask_from = now + self.period_s

    def find_next_due(self, now: float) -> float | None:
        """Return when to serve the queue again; None if nothing waits."""
        if not self.queue:
            return None
        due = max(
            self.served_at + self.period_s, now + self.stock.find_wait_s(1.0)
        )
        for loan in self.loans.values():
            if not loan.outstanding and loan.ask_from > now:
                due = min(due, loan.ask_from)
        return min(due, max(now, self.queue[0].deadline))
