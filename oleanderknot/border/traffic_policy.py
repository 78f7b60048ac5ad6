"""Serializes the traffic policy that nodes exchange with each other."""

import collections.abc
import dataclasses
import math

import pydantic

from oleanderknot import model
from oleanderknot.border import base

ADAPTER = pydantic.TypeAdapter(model.TrafficPolicy)


def dump_traffic_policy(policy: model.TrafficPolicy) -> str:
    """Serialize a policy to JSON."""
    return ADAPTER.dump_json(policy).decode()


def parse_traffic_policy(text: str) -> model.TrafficPolicy:
    """Parse a policy from JSON; the inverse of ``dump_traffic_policy``.

    Raises:
        ValueError: The text is not a valid policy.
    """
    policy = ADAPTER.validate_json(text)
    check_numbers(dataclasses.asdict(policy))
    return policy


def check_numbers(value: object) -> None:
    """Check all numbers of a value against the rules of ``base``.

    Raises:
        ValueError: A number is not finite or does not fit into 64 bits.
    """
    if isinstance(value, dict):
        value = value.values()
    if isinstance(value, float):
        valid = math.isfinite(value)
    elif isinstance(value, int):
        valid = base.MIN_INTEGER <= value <= base.MAX_INTEGER
    else:
        valid = True
        if isinstance(value, (tuple, collections.abc.ValuesView)):
            for item in value:
                check_numbers(item)
    if not valid:
        raise ValueError('a number is not finite or too large')
