"""Builds the candidate that represents an upstream in the choice."""

from oleanderknot.decisions import instance_load
from oleanderknot.decisions import upstream_choice


def build_candidate(
    load: instance_load.InstanceLoad,
    now: float,
    *,
    instance: str,
    local: bool,
    suspect: bool,
    level: float,
) -> upstream_choice.Candidate:
    """Build a candidate from the known load of an upstream.

    Args:
        load: Load of the upstream.
        now: Monotonic time in seconds.
        instance: Name of the instance.
        local: Whether it is in the data centre of the calling node.
        suspect: Whether it is suspected to have failed.
        level: Estimated admission level, from 0 to 4.
    """
    group = load.group
    return upstream_choice.Candidate(
        instance=instance,
        local=local,
        suspect=suspect,
        outstanding=load.outstanding,
        in_flight=load.estimate_in_flight(now, group.estimate(now)),
        limit=load.limit,
        level=level,
        failure_share=load.failures.estimate(now),
        speed_cost=load.speed_cost,
        lead=group.find_lead(load.turn),
    )
