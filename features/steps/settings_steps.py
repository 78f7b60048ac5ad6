"""Steps for settings files and exit codes."""

from behave import given
from behave import then
from behave import when


def run_command(context, *arguments):
    """Run a command of oleanderknot to completion and record its output."""
    process = context.system.start_process(
        'command', 'oleanderknot', *arguments
    )
    context.exit_status = process.wait()
    context.output = process.read_log()


@given('a settings file')
def write_settings(context):
    """Write the text of the step as a settings file."""
    context.path = context.system.folder / 'checked.yaml'
    context.path.write_text(context.text)


@when('the command "{name}" is run on it')
def run_on_file(context, name):
    """Run a command with the settings file."""
    run_command(context, name, str(context.path))


@when('the command line "{line}" is run')
def run_line(context, line):
    """Run a command line."""
    run_command(context, *line.split())


@then('the command ends with status {status:d}')
def check_exit_status(context, status):
    """Check the exit status."""
    assert context.exit_status == status, (context.exit_status, context.output)


@then('it names the mistakes')
def check_mistakes(context):
    """Check that each row of the table is one line of the output."""
    lines = context.output.splitlines()
    for row in context.table:
        start = '%s:%s: %s: ' % (context.path, row['line'], row['field'])
        found = [line for line in lines if line.startswith(start)]
        assert len(found) == 1, (start, lines)
        for word in row['words'].split(', '):
            assert word in found[0], (word, found)
    assert len(lines) == len(context.table.rows), lines


@then('it names {count:d} mistakes')
def check_mistake_count(context, count):
    """Check the number of lines."""
    assert len(context.output.splitlines()) == count, context.output
