"""Shares of organisations in the calls of one upstream."""

import math

from oleanderknot import model
from oleanderknot.decisions import admission_level
from oleanderknot.decisions import rank_fraction

# Time over which arrivals are averaged. An organisation with 10 calls a second
# is then known with an error of about a tenth.
SPAN_S = 5.0

# Time for which a result is used.
REFRESH_S = 0.25

# Largest number of organisations counted by name in one class. Those beyond it
# are counted together until others have no calls left.
MAX_ORGANISATIONS = 1024

# Weight of calls below which an organisation is no longer counted by name.
MIN_WEIGHT = 0.5

# Weight of calls from which an organisation can be in excess: of fewer calls,
# the error is too large.
MIN_DEMAND = 20.0

# Lowest share of the demand that is assumed to arrive. Below it, the mean of
# the numbers is that of few calls.
MIN_SHARE = 0.05

# Share of the demand from which an upstream is not full. The estimate of the
# demand has an error of a few hundredths.
FULL_SHARE = 0.95

# Largest number of organisations in one result, and the smallest factor.
MAX_REPORTED = 8
MIN_EXCESS = 1.25

# Largest factor. With a larger one, a single request of an organisation would
# decide whether its share is used.
MAX_EXCESS = 1000.0

# Lowest share of its demand that an organisation keeps, relative to that of
# all. The platform counts it as starved below a quarter; the rest is the
# error of the estimate.
MIN_KEPT_SHARE = 0.3


class OrganisationShares:
    """Finds the organisations that demand more than their fair share.

    Calls above the admission level do not arrive, since their first nodes
    refuse them. All organisations are refused at the same number, so the
    demand of each is estimated from its calls below that number. Where it
    lies is seen from the mean of the numbers that arrive, which are spread
    evenly below it; the level itself changes faster than reports of it
    spread.

    In the class that the level lies in, the calls that were not refused here
    are the capacity. It is divided by the max-min rule: nobody gets more than
    the fair share while others get less than they demand.

    Attributes:
        demands: Weight of calls by organisation, for each class.
        others: Weight of calls of organisations that are not counted by name,
            for each class.
        served: Number of calls that were not refused here, for each class.
        plain: Number of calls with the fraction of their trace id, for each
            class.
        fractions: Sum of these fractions, for each class.
        counted_at: Monotonic time in seconds up to which all have decayed.
        excess: Result of the last refresh.
    """

    def __init__(self, *, now: float) -> None:
        classes = len(model.RequestClass)
        self.demands: list[dict[str, float]] = [{} for _ in range(classes)]
        self.others = [0.0] * classes
        self.served = [0.0] * classes
        self.plain = [0.0] * classes
        self.fractions = [0.0] * classes
        self.counted_at = now
        self.excess: dict[str, float] = {}

    def count(self, call: model.Call, request_class: int) -> None:
        """Count an arriving call of an organisation.

        Args:
            call: The call.
            request_class: Class by which it is admitted.
        """
        self.served[request_class] += 1
        fraction = rank_fraction.find_fraction(call)
        if fraction >= rank_fraction.EXCESS_START:
            # Whether these arrive depends on their own part of the numbers.
            return
        weight = 1.0
        if call.rank is None:
            self.plain[request_class] += 1
            self.fractions[request_class] += fraction
        else:
            weight = rank_fraction.find_excess(call)
        demands = self.demands[request_class]
        demand = demands.get(call.organisation)
        if demand is not None:
            demands[call.organisation] = demand + weight
        elif len(demands) < MAX_ORGANISATIONS:
            demands[call.organisation] = weight
        else:
            self.others[request_class] += weight

    def count_refusal(self, request_class: int) -> None:
        """Count that a call was refused after it had been counted."""
        self.served[request_class] -= 1

    def refresh(self, level: float, now: float) -> dict[str, float]:
        """Return the excess of organisations, computed anew if it is due.

        Args:
            level: Admission level, from 0 to 4.
            now: Monotonic time in seconds.

        Returns:
            Factor above 1 by organisation; empty while the upstream is not
            full.
        """
        elapsed_s = now - self.counted_at
        if elapsed_s >= REFRESH_S:
            self.decay(math.exp(-elapsed_s / SPAN_S))
            self.counted_at = now
            request_class = int(level)
            self.excess = (
                compute_excess(
                    self.demands[request_class],
                    self.others[request_class],
                    self.served[request_class]
                    * self.find_arriving_share(request_class),
                )
                if level < admission_level.MAX_LEVEL
                else {}
            )
        return self.excess

    def find_arriving_share(self, request_class: int) -> float:
        """Return the share of the demand of a class that can arrive."""
        mean = self.fractions[request_class] / max(
            1.0, self.plain[request_class]
        )
        return min(rank_fraction.EXCESS_START, max(MIN_SHARE, 2 * mean))

    def decay(self, share: float) -> None:
        """Reduce all counts to a share of them."""
        for index, demands in enumerate(self.demands):
            self.demands[index] = {
                name: demand * share
                for name, demand in demands.items()
                if demand * share >= MIN_WEIGHT
            }
            self.others[index] *= share
            self.served[index] *= share
            self.plain[index] *= share
            self.fractions[index] *= share


def compute_excess(
    demands: dict[str, float], others: float, served: float
) -> dict[str, float]:
    """Return the factors by which organisations exceed their fair share.

    Args:
        demands: Demand by organisation.
        others: Demand of further organisations, all of them small.
        served: Capacity, in the same unit as the demand.

    Returns:
        The largest factors. Requests of all other organisations keep their
        numbers, so the factors are relative to the largest of those.
    """
    total = sum(demands.values()) + others
    if served <= 0 or served >= FULL_SHARE * total:
        return {}
    served_share = served / total
    fair = find_fair_share(
        sorted(demands.values()), served - others * served_share
    )
    kept = MIN_KEPT_SHARE * served_share
    factors = {
        name: demand / max(fair, kept * demand)
        for name, demand in demands.items()
        if demand > fair
    }
    ranking = sorted(factors, key=factors.__getitem__, reverse=True)
    first = [
        name for name in ranking[:MAX_REPORTED] if demands[name] >= MIN_DEMAND
    ]
    rest = [name for name in ranking if name not in first]
    lowest = factors[rest[0]] if rest else 1.0
    return {
        name: round(min(MAX_EXCESS, factors[name] / lowest), 3)
        for name in first
        if factors[name] >= MIN_EXCESS * lowest
    }


def find_fair_share(demands: list[float], capacity: float) -> float:
    """Return the max-min fair share.

    Args:
        demands: Demands in ascending order.
        capacity: Sum of what may be served.
    """
    left = capacity
    for index, demand in enumerate(demands):
        share = left / (len(demands) - index)
        if demand > share:
            return share
        left -= demand
    return math.inf
