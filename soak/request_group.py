"""Requests that are drawn in the same way."""

import collections.abc
import dataclasses
import random

from soak import sent_request


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestGroup:
    """Requests with a random generator of their own.

    Attributes:
        rate: Mean number of draws per second.
        rng: Generator of all draws of the group.
        draw: Draws the requests that are sent together on one connection,
            given the generator and the number of the draw.
    """

    rate: float
    rng: random.Random
    draw: collections.abc.Callable[
        [random.Random, int], list[sent_request.SentRequest]
    ]
