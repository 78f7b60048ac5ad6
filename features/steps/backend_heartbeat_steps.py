"""Steps about the heartbeats of the stand-in for a back end."""

import argparse
import asyncio

from behave import given
from behave import then
from behave import when

from oleanderknot.standins import backend_heartbeats


class HeldHeartbeats(backend_heartbeats.BackendHeartbeats):
    """Heartbeats whose answers wait until they are released."""

    async def post(self, action, content):
        """Wait, and answer with success."""
        released = asyncio.Event()
        self.held.append(released)
        await released.wait()
        return 200


@given('a back end that has said "{state}" and waits for the acknowledgement')
def report_state(context, state):
    """Send a heartbeat whose answer is held."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.events = []
    context.heartbeats = HeldHeartbeats(
        options=argparse.Namespace(
            name='one',
            service='orders',
            address='127.0.0.1:1',
            slots=1,
            clock_ahead_s=0.0,
        ),
        session=None,
        record=lambda event, state: context.events.append((event, state)),
    )
    context.heartbeats.held = []
    context.tasks = [
        context.loop.create_task(context.heartbeats.change_state(state))
    ]
    context.loop.run_until_complete(asyncio.sleep(0))


@when('it says "{state}", and both are acknowledged in turn')
def change_and_acknowledge(context, state):
    """Send another heartbeat, and release the answers."""

    async def acknowledge():
        context.tasks.append(
            context.loop.create_task(context.heartbeats.change_state(state))
        )
        await asyncio.sleep(0)
        for released, task in zip(context.heartbeats.held, context.tasks):
            released.set()
            await task

    context.loop.run_until_complete(acknowledge())


@then('its record ends with the report and the acknowledgement of "{state}"')
def check_record(context, state):
    """Check that the late acknowledgement is not in the record."""
    assert context.events[-2:] == [
        ('report', state),
        ('state', state),
    ], context.events
