"""Hooks of behave."""

from features.support import system


def before_scenario(context, scenario):
    """Give each scenario a system of its own."""
    context.system = system.System()


def after_scenario(context, scenario):
    """End all processes of the scenario; show logs when it failed."""
    if scenario.status.has_failed():
        for item in context.system.processes:
            print('--- %s' % item.name)
            print(item.read_log()[-4000:])
    context.system.stop()
