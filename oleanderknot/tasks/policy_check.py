"""Refuses new work for an upstream that a ticket takes out of service."""

import collections.abc

from oleanderknot import decisions
from oleanderknot import model


def build_policy_check(
    policy: decisions.PolicyTable, instance: str
) -> collections.abc.Callable[[model.Call], model.Refusal | None]:
    """Build the function that checks a call against the upstream's policy.

    Args:
        policy: Policy in force.
        instance: Instance of the upstream.

    Returns:
        A function that returns the refusal of a call, or None.
    """

    def check(call: model.Call) -> model.Refusal | None:
        number = policy.find_blocking_ticket(instance)
        if number is None:
            return None
        refusal = model.build_refusal(
            call,
            model.Verdict.NOT_RUN,
            model.Rule.NOT_TAKING_WORK,
            'ticket %d says that %s takes no work' % (number, instance),
        )
        refusal.ticket = number
        return refusal

    return check
