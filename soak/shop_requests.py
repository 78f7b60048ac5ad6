"""Draws the requests of the organisation without a limit."""

import random

from soak import organisation_plan
from soak import request_group
from soak import sent_request
from soak import soak_cluster

# Share of the catalogue requests whose back end makes nested calls.
NESTED_CALL_SHARE = 0.3
MAX_WORK_MS = 250
MAX_ANSWER_BYTES = 20_000


def build_group(
    seed: int, rate: float, instances: list[str]
) -> request_group.RequestGroup:
    """Build the group of these requests.

    Args:
        seed: Seed of the run.
        rate: Mean requests per second.
        instances: Names of the instances.
    """

    def draw(
        rng: random.Random, number: int
    ) -> list[sent_request.SentRequest]:
        return [draw_request(rng, number, instances)]

    return request_group.RequestGroup(
        rate=rate, rng=random.Random(seed), draw=draw
    )


def draw_request(
    rng: random.Random, number: int, instances: list[str]
) -> sent_request.SentRequest:
    """Draw a random request."""
    name, route = rng.choice(tuple(soak_cluster.ROUTES.items()))
    size = rng.randrange(1, MAX_ANSWER_BYTES)
    target = '%s%d?size=%d&delay_ms=%d' % (
        route['prefix'],
        number,
        size,
        rng.randrange(MAX_WORK_MS),
    )
    if route['service'] == 'catalogue' and rng.random() < NESTED_CALL_SHARE:
        target += '&call=shop.example/look/%d&times=%d' % (
            number,
            rng.randint(1, 3),
        )
    return sent_request.SentRequest(
        request_id='%08x%08x' % (rng.getrandbits(32), number),
        instance=rng.choice(instances),
        method='POST' if name == 'order' else 'GET',
        target=target,
        service=route['service'],
        size=size,
        key=organisation_plan.SHOP_KEY,
        organisation=organisation_plan.ORGANISATIONS_BY_KEY[
            organisation_plan.SHOP_KEY
        ],
    )
