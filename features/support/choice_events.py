"""Random events that change what a node knows of upstreams."""

import collections.abc
import random

from features.support import choice_world
from oleanderknot import model

UPSTREAMS = 13
ROUTES = ('/a', '/b')
STATES = (
    *[model.MemberState.TAKING] * 6,
    model.MemberState.SUSPECT,
    model.MemberState.SUSPECT,
    model.MemberState.LEAVING,
)

Event = collections.abc.Callable[[choice_world.ChoiceWorld], None]


def build_call(rng: random.Random, now: float) -> model.Call:
    """Build a call of a random route, class and depth."""
    return model.Call(
        service=choice_world.SERVICE,
        method='GET',
        path='/',
        headers=[],
        request_class=model.RequestClass(rng.randrange(4)),
        deadline=now + 1.0,
        trace_id='%032x' % rng.getrandbits(128),
        span_id='r',
        route=rng.choice(ROUTES),
        depth=rng.choice((0, 0, 1)),
    )


def draw_report(rng: random.Random) -> Event:
    """Return the event of a load report."""
    instance = draw_instance(rng)
    report = model.LoadReport(
        service=choice_world.SERVICE,
        route=rng.choice(ROUTES),
        level=rng.choice((4.0, 4.0, 4.0, rng.uniform(0.0, 4.0))),
        in_flight=rng.randrange(12),
        limit=rng.choice((10, 10, 5)),
        own_time_s=rng.choice((None, 0.01, 0.02, 0.04)),
        start=rng.choice((1, 1, 1, 2)),
    )
    return lambda world: world.report(instance, report)


def draw_low_level(rng: random.Random) -> Event:
    """Return the event of low levels at all upstreams, as in an overload."""
    level = rng.uniform(0.0, 1.0)

    def apply(world: choice_world.ChoiceWorld) -> None:
        world.own_level = level
        for number in range(UPSTREAMS):
            for route in ROUTES:
                world.report(
                    'i%d' % number,
                    model.LoadReport(
                        service=choice_world.SERVICE,
                        route=route,
                        level=level,
                        in_flight=10,
                        limit=10,
                    ),
                )

    return apply


def draw_own_level(rng: random.Random) -> Event:
    """Return the event of another level of the own upstream."""
    level = rng.choice((4.0, 4.0, rng.uniform(0.0, 4.0)))

    def apply(world: choice_world.ChoiceWorld) -> None:
        world.own_level = level

    return apply


def draw_answer(rng: random.Random) -> Event:
    """Return the event of an answered call."""
    instance = draw_instance(rng)
    failed = rng.random() < 0.3
    call_s = rng.uniform(0.001, 0.5)
    call = build_call(rng, 0.0)

    def apply(world: choice_world.ChoiceWorld) -> None:
        load = world.chooser.loads.loads.get(instance)
        if load is None:
            return
        load.outstanding = max(0, load.outstanding - 1)
        load.record_outcome(failed, world.now)
        world.chooser.suspicions.note_answer(instance)
        world.chooser.loads.record_call_time(instance, call, call_s)

    return apply


def draw_failures(rng: random.Random) -> Event:
    """Return the event of a failed call at each upstream."""

    def apply(world: choice_world.ChoiceWorld) -> None:
        for load in world.chooser.loads.loads.values():
            load.record_outcome(True, world.now)

    return apply


def draw_suspicion(rng: random.Random) -> Event:
    """Return the event of a connection that was lost."""
    instance = draw_instance(rng)
    return lambda world: world.chooser.suspicions.note_unreachable(
        instance, world.now
    )


def draw_unreachable(rng: random.Random) -> Event:
    """Return the event of other unreachable nodes."""
    names = draw_few(rng)

    def apply(world: choice_world.ChoiceWorld) -> None:
        world.unreachable = names

    return apply


def draw_overdue(rng: random.Random) -> Event:
    """Return the event of other overdue nodes."""
    names = draw_few(rng)

    def apply(world: choice_world.ChoiceWorld) -> None:
        world.overdue = names

    return apply


def draw_member(rng: random.Random) -> Event:
    """Return the event of a newer record of an instance."""
    number = rng.randrange(UPSTREAMS)
    state = rng.choice(STATES)
    service = rng.choice(
        (*[choice_world.SERVICE] * 9, choice_world.OTHER_SERVICE)
    )
    slots = rng.choice((10, 20))
    return lambda world: world.put_member(
        number, state=state, service=service, slots=slots
    )


def draw_policy(rng: random.Random) -> Event:
    """Return the event of a changed policy of an upstream."""
    instance = draw_instance(rng)
    taking_work = rng.random() < 0.8
    return lambda world: world.put_policy(instance, taking_work)


def draw_load_query(rng: random.Random) -> Event:
    """Return the event of loads that are asked for with an old record."""
    number = rng.randrange(UPSTREAMS)

    def apply(world: choice_world.ChoiceWorld) -> None:
        old = world.members.members.get('i%d' % number)
        world.put_member(number, service=choice_world.OTHER_SERVICE)
        world.put_member(number)
        if old is not None:
            world.chooser.loads.find(old)

    return apply


def draw_pause(rng: random.Random) -> Event:
    """Return the event of time that passes."""
    pause_s = rng.choice((0.0, 0.001, 0.02, 0.02, 0.3, 5.0, 20.0))

    def apply(world: choice_world.ChoiceWorld) -> None:
        world.now += pause_s

    return apply


def draw_instance(rng: random.Random) -> str:
    """Return the name of a random instance."""
    return 'i%d' % rng.randrange(UPSTREAMS)


def draw_few(rng: random.Random) -> set[str]:
    """Return the names of no, few, or all instances."""
    count = rng.choice((0, 0, 0, 1, 2, UPSTREAMS))
    return {'i%d' % item for item in rng.sample(range(UPSTREAMS), count)}


# Numbers of equal entries are weights.
DRAWS = (
    *[draw_report] * 20,
    *[draw_answer] * 10,
    *[draw_pause] * 6,
    draw_low_level,
    draw_own_level,
    draw_failures,
    draw_suspicion,
    draw_unreachable,
    draw_overdue,
    draw_member,
    draw_member,
    draw_policy,
    draw_load_query,
)


def draw_event(rng: random.Random) -> Event:
    """Return a random event."""
    return rng.choice(DRAWS)(rng)
