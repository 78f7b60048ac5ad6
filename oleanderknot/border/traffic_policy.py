"""Serializes the traffic policy that nodes exchange with each other."""

import pydantic

from oleanderknot import model

ADAPTER = pydantic.TypeAdapter(model.TrafficPolicy)


def dump_traffic_policy(policy: model.TrafficPolicy) -> str:
    """Serialize a policy to JSON."""
    return ADAPTER.dump_json(policy).decode()


def parse_traffic_policy(text: str) -> model.TrafficPolicy:
    """Parse a policy from JSON; the inverse of ``dump_traffic_policy``.

    Raises:
        ValueError: The text is not a valid policy.
    """
    return ADAPTER.validate_json(text)
