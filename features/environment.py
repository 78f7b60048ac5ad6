"""behave hooks that manage the processes of each scenario."""

from features.support import system


def before_scenario(context, scenario):
    """Create a separate system for each scenario."""
    context.system = system.System()


def after_scenario(context, scenario):
    """Stop all processes; print their logs if the scenario failed."""
    if scenario.status.has_failed():
        for item in context.system.processes:
            print('--- %s' % item.name)
            print(item.read_log()[-4000:])
    context.system.stop()
