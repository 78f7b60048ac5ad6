"""Public names of a package whose modules are imported on first access.

Most processes use a part of a package only. A sidecar that imported all
modules of all packages would need twice the processor time for its start.
"""

import collections.abc
import importlib
import sys

# Separates the name in the defining module from the public name.
RENAME_SEPARATOR = ':'


def build_exports(
    package: str,
    modules: collections.abc.Mapping[str, collections.abc.Iterable[str]],
) -> tuple[list[str], collections.abc.Callable[[str], object]]:
    """Build ``__all__`` and ``__getattr__`` (PEP 562) of a package.

    Args:
        package: Full name of the package.
        modules: Public names by the name of the module within the package. A
            module without names is itself public. A name may have the form
            ``name:public_name``.

    Returns:
        The public names, and the function that imports one of them. An
        imported name becomes an attribute of the package, so that further
        accesses cost no call.
    """
    sources: dict[str, tuple[str, str]] = {}
    for module, names in modules.items():
        path = '%s.%s' % (package, module)
        if not names:
            sources[module] = (path, '')
        for entry in names:
            name, _, public_name = entry.partition(RENAME_SEPARATOR)
            sources[public_name or name] = (path, name)

    def import_name(name: str) -> object:
        if name not in sources:
            raise AttributeError(
                'module %r has no attribute %r' % (package, name)
            )
        path, attribute = sources[name]
        value: object = importlib.import_module(path)
        if attribute:
            value = getattr(value, attribute)
        setattr(sys.modules[package], name, value)
        return value

    return sorted(sources), import_name
