"""Registry of plug-ins that register themselves when imported.

Routing policies, backend kinds and store kinds are chosen by name in the
settings, so the kernel must not import them.
"""

import collections
import typing

ROUTING_POLICY = 'routing_policy'
BACKEND_KIND = 'backend_kind'
STORE_KIND = 'store_kind'

_registry: dict[str, dict[str, typing.Any]] = collections.defaultdict(dict)


class UnknownPluginError(LookupError):
    """No plug-in of this category has the requested name."""

    def __init__(self, category: str, name: str) -> None:
        """Remember what was asked for and what is available."""
        super().__init__(category, name)
        self.category = category
        self.name = name


def register(category: str, name: str) -> typing.Callable:
    """Return a decorator that registers a class under a name.

    Args:
      category: One of the category constants of this module.
      name: Name used in the settings.
    """

    def decorate(plugin: type) -> type:  # noqa: WPS430
        _registry[category][name] = plugin
        return plugin

    return decorate


def find(category: str, name: str) -> typing.Any:
    """Return the plug-in registered under a name.

    Raises:
      UnknownPluginError: If nothing is registered under that name.
    """
    try:
        return _registry[category][name]
    except KeyError as error:
        raise UnknownPluginError(category, name) from error


def names(category: str) -> list[str]:
    """Return the sorted names registered in a category."""
    return sorted(_registry[category])
