"""Steps about the imports of modules."""

import ast
import concurrent.futures
import importlib.util
import pathlib
import subprocess
import sys

from behave import then

from bench import start

ROOT = pathlib.Path(__file__).resolve().parents[2]
SOURCE = ROOT / 'oleanderknot'

# Modules that a sidecar imports before it starts.
SIDECAR_MODULES = (
    'oleanderknot.cli.serve_sidecar',
    'oleanderknot.node.run_sidecar',
)

# Interpreters that run at the same time.
WORKERS = 2

# Modules that an interpreter imports before it ends; each one is imported in
# a state without modules of this project.
IMPORT_PROGRAM = """
import importlib, sys
for name in sys.argv[1:]:
    for loaded in [key for key in sys.modules if key.startswith('oleander')]:
        del sys.modules[loaded]
    importlib.import_module(name)
"""


def list_sources():
    """Return the source files except generated ones."""
    return [
        path
        for path in sorted(SOURCE.rglob('*.py'))
        if 'gen' not in path.relative_to(SOURCE).parts
    ]


def find_implicit_submodules(path):
    """Return submodules that a module uses without importing them."""
    tree = ast.parse(path.read_text())
    imported = {
        alias.name
        for node in ast.walk(tree)
        if isinstance(node, ast.Import)
        for alias in node.names
    }
    roots = {name.partition('.')[0] for name in imported}
    used = {
        '%s.%s' % (node.value.id, node.attr)
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id in roots
    }
    return [name for name in used - imported if is_submodule(name)]


def is_submodule(name):
    """Return whether a name is a submodule and nothing else."""
    package, _, attribute = name.partition('.')
    try:
        if importlib.util.find_spec(name) is None:
            return False
    except (ImportError, ValueError):
        return False
    # A package may export an object under the name of its submodule.
    value = getattr(importlib.import_module(package), attribute, None)
    return value is None or type(value).__name__ == 'module'


@then('no module names a submodule that it does not import')
def check_submodules(context):
    """Check all modules."""
    found = {
        str(path.relative_to(ROOT)): names
        for path in list_sources()
        if (names := find_implicit_submodules(path))
    }
    assert not found, found


@then('each module can be imported by a fresh interpreter')
def check_import_order(context):
    """Import each module without any other of this project before it."""
    names = [
        '.'.join(path.relative_to(ROOT).with_suffix('').parts)
        for path in list_sources()
        if path.name != '__main__.py'
    ]

    def run(part):
        return subprocess.run(
            [sys.executable, '-c', IMPORT_PROGRAM, *part],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
        )

    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        parts = [names[index::WORKERS] for index in range(WORKERS)]
        for result in pool.map(run, parts):
            assert result.returncode == 0, result.stderr[-2000:]


def list_modules(*names):
    """Return the modules of a fresh interpreter that imports these."""
    program = 'import sys, %s; print(*sys.modules)' % ', '.join(names)
    return subprocess.run(
        [sys.executable, '-c', program],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        check=True,
        text=True,
    ).stdout.split()


@then('a sidecar imports at most {ratio:f} times the modules of its libraries')
def check_module_count(context, ratio):
    """Check the number of modules; it is the same on each run."""
    libraries = len(list_modules(*start.LIBRARIES))
    found = len(list_modules(*SIDECAR_MODULES))
    assert found <= ratio * libraries, (found, libraries)


@then('a sidecar imports none of "{names}"')
def check_absent_modules(context, names):
    """Check that libraries of other commands are not imported."""
    found = {name.partition('.')[0] for name in list_modules(*SIDECAR_MODULES)}
    assert not found & set(names.split()), found
