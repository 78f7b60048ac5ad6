"""Draws the requests of organisations, and those without a known key."""

import random

from soak import organisation_plan
from soak import request_group
from soak import sent_request
from soak import soak_cluster

# Offset of the seed, so that the other requests stay as they were.
SEED_OFFSET = 4 << 32

# Requests per second by key; an empty one stands for none. One organisation
# sends at twice its limit, another one at less than half.
RATES_BY_KEY = {
    organisation_plan.LIMITED_KEY: 40.0,
    organisation_plan.INSIDE_KEY: 8.0,
    organisation_plan.KEPT_KEY: 4.0,
    organisation_plan.WITHDRAWN_KEY: 10.0,
    organisation_plan.UNKNOWN_KEY: 4.0,
    '': 4.0,
}

# Share of the requests with an unknown key or none on a route that does not
# need one, and of those that name an organisation themselves.
ANONYMOUS_SHARE = 0.5
CLAIM_SHARE = 0.3

MAX_WORK_MS = 60
MAX_ANSWER_BYTES = 5_000


def build_group(seed: int, instances: list[str]) -> request_group.RequestGroup:
    """Build the group of these requests.

    Args:
        seed: Seed of the run.
        instances: Names of the instances.
    """
    keys = tuple(RATES_BY_KEY)
    rates = tuple(RATES_BY_KEY.values())

    def draw(
        rng: random.Random, number: int
    ) -> list[sent_request.SentRequest]:
        (key,) = rng.choices(keys, rates)
        instance = rng.choice(instances)
        return [draw_request(rng, '%d' % number, key, instance)]

    return request_group.RequestGroup(
        rate=sum(rates), rng=random.Random(seed + SEED_OFFSET), draw=draw
    )


def draw_request(
    rng: random.Random, label: str, key: str, instance: str
) -> sent_request.SentRequest:
    """Draw a request with a given key.

    Args:
        rng: Generator of the draws.
        label: Last part of the path.
        key: API key; empty for none.
        instance: Instance whose node receives it.
    """
    organisation = organisation_plan.ORGANISATIONS_BY_KEY.get(key, '')
    anonymous = not organisation and rng.random() < ANONYMOUS_SHARE
    routes = (
        soak_cluster.ANONYMOUS_ROUTES if anonymous else soak_cluster.ROUTES
    )
    name, route = rng.choice(tuple(routes.items()))
    size = rng.randrange(1, MAX_ANSWER_BYTES)
    claimed = ''
    if rng.random() < CLAIM_SHARE:
        claimed = rng.choice(tuple(organisation_plan.ORGANISATIONS))
    return sent_request.SentRequest(
        request_id='%016x' % rng.getrandbits(64),
        instance=instance,
        method='POST' if name == 'order' else 'GET',
        target='%s%s?size=%d&delay_ms=%d'
        % (route['prefix'], label, size, rng.randrange(MAX_WORK_MS)),
        service=route['service'],
        size=size,
        key=key,
        organisation=organisation,
        anonymous=anonymous,
        claimed_organisation=claimed,
    )
