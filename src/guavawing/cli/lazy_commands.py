"""Commands of a group that are imported on first use."""

import collections
import importlib
from collections.abc import Iterable

import click

__all__ = ["LazyCommands"]


class LazyCommands(collections.UserDict[str, click.Command]):
    """The commands of a group by name.

    A node uses only a few MB of memory and needs none of the modules of the
    other commands. Only help and completion import all of them.
    """

    def __init__(self, package: str, locations: Iterable[str]) -> None:
        """Records the locations of the commands without importing them.

        Args:
            package: Package of the modules.
            locations: Module and command, such as `queries.show:show`.
        """
        super().__init__()
        self._package = package
        self._locations = {each.partition(":")[2]: each for each in locations}
        self.data = dict.fromkeys(self._locations)  # type: ignore[assignment]

    def __getitem__(self, name: str) -> click.Command:
        """Returns a command, importing it on first use.

        Raises:
            KeyError: If the group has no such command.
        """
        command = self.data[name]
        if command is None:
            module, _, attribute = self._locations[name].partition(":")
            imported = importlib.import_module(f"{self._package}.{module}")
            command = getattr(imported, attribute)
            self.data[name] = command
        return command
