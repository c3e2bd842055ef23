"""Import of libraries without the parts that a SQL proxy never uses.

circuits imports process pools, pickling and bridges between processes, which
take longer than the rest of the library. A restarted proxy must serve before
that time is over.
"""

import importlib
import os
import sys
import types
import typing

# Names that circuits imports from modules of which a SQL proxy uses nothing.
_UNUSED: typing.Mapping[str, tuple[str, ...]] = types.MappingProxyType(
    {
        # Only used to declare a namespace package; circuits is installed as an
        # ordinary one. Without this module it reads all package metadata.
        'pkg_resources': ('declare_namespace',),
        # The manager can start other processes with it, and prints its own.
        'multiprocessing': ('Process', 'current_process'),
        'circuits.core.bridge': ('Bridge', 'ipc'),
        'circuits.core.debugger': ('Debugger',),
        'circuits.core.loader': ('Loader',),
        'circuits.core.workers': ('Worker', 'task'),
    },
)
# Modules that their importers can do without: msgspec uses `typing` instead of
# the first, and hashlib has its own code for all digests that a proxy uses.
_OPTIONAL = ('typing_extensions', '_hashlib')
_LIBRARIES = ('msgspec', 'hashlib', 'circuits')


def _current_process() -> types.SimpleNamespace:
    """Return what the manager shows of its process when it is printed."""
    return types.SimpleNamespace(pid=os.getpid())


def _placeholder(*_args: typing.Any) -> None:
    """Stand for a part of circuits that must not be used."""


# Parts that have to work.
_USED = types.MappingProxyType({'current_process': _current_process})


def import_libraries() -> None:
    """Import the libraries, without unused parts unless these are loaded.

    Other modules get the real parts when they import them by their full names.
    """
    stubs: dict[str, typing.Any] = {
        name: _stub(name, parts)
        for name, parts in _UNUSED.items()
        if name not in sys.modules
    }
    # None makes the import fail.
    stubs.update((name, None) for name in _OPTIONAL if name not in sys.modules)
    sys.modules.update(stubs)
    for library in _LIBRARIES:
        importlib.import_module(library)
    for stub_name in stubs:
        sys.modules.pop(stub_name)


def _stub(name: str, parts: tuple[str, ...]) -> types.ModuleType:
    module = types.ModuleType(name)
    for part in parts:
        setattr(module, part, _USED.get(part, _placeholder))
    return module
