"""Draws requests that a client sends without waiting for the answers."""

import random

from soak import organisation_plan
from soak import organisation_requests
from soak import request_group
from soak import sent_request

# Offset of the seed, so that the other requests stay as they were.
SEED_OFFSET = 5 << 32

# Pipelines per second.
RATE = 4.0

# A connection runs at most 8 requests at a time; some pipelines are longer.
MIN_REQUESTS = 2
MAX_REQUESTS = 12

# Share of the pipelines that end with a request that may run at most once.
UNSAFE_END_SHARE = 0.2

# Share of the pipelines in which a request before the last one asks for the
# end of the connection.
CLOSING_SHARE = 0.25

# Keys of the requests of a pipeline. Refused requests must not delay or
# displace the others.
WEIGHTS_BY_KEY = {
    organisation_plan.SHOP_KEY: 16,
    organisation_plan.WITHDRAWN_KEY: 2,
    organisation_plan.UNKNOWN_KEY: 1,
    '': 1,
}


def build_group(seed: int, instances: list[str]) -> request_group.RequestGroup:
    """Build the group of these requests.

    Args:
        seed: Seed of the run.
        instances: Names of the instances.
    """

    def draw(
        rng: random.Random, number: int
    ) -> list[sent_request.SentRequest]:
        return draw_pipeline(rng, number, rng.choice(instances))

    return request_group.RequestGroup(
        rate=RATE, rng=random.Random(seed + SEED_OFFSET), draw=draw
    )


def draw_pipeline(
    rng: random.Random, number: int, instance: str
) -> list[sent_request.SentRequest]:
    """Draw idempotent requests, and sometimes an order behind them."""
    keys = tuple(WEIGHTS_BY_KEY)
    weights = tuple(WEIGHTS_BY_KEY.values())
    count = rng.randint(MIN_REQUESTS, MAX_REQUESTS)
    unsafe_end = rng.random() < UNSAFE_END_SHARE
    requests: list[sent_request.SentRequest] = []
    while len(requests) < count:
        (key,) = rng.choices(keys, weights)
        request = organisation_requests.draw_request(
            rng, '%d-%d' % (number, len(requests)), key, instance
        )
        last = len(requests) == count - 1
        if request.idempotent != (last and unsafe_end):
            requests.append(request)
    if rng.random() < CLOSING_SHARE:
        rng.choice(requests[:-1]).closing = True
    return requests
