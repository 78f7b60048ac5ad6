"""Writes and reads the traffic policy that nodes pass to each other."""

import pydantic

from oleanderknot import model

ADAPTER = pydantic.TypeAdapter(model.TrafficPolicy)


def dump_traffic_policy(policy: model.TrafficPolicy) -> str:
    """Return a policy as JSON."""
    return ADAPTER.dump_json(policy).decode()


def parse_traffic_policy(text: str) -> model.TrafficPolicy:
    """Undo ``dump_traffic_policy``.

    Raises:
        ValueError: The text is no policy.
    """
    return ADAPTER.validate_json(text)
