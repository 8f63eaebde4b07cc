"""Commands of a group that are imported when they are first asked for."""

import collections
import importlib
from collections.abc import Iterable

import click

__all__ = ["LazyCommands"]


class LazyCommands(collections.UserDict[str, click.Command]):
    """The commands of a group by name.

    A node lives in few MB and needs none of the modules of the other
    commands. Only help and completion ask for all of them.
    """

    def __init__(self, package: str, places: Iterable[str]) -> None:
        """Notes where the commands are, without importing them.

        Args:
            package: Package of the modules.
            places: Module and command, such as `queries.show:show`.
        """
        super().__init__()
        self._package = package
        self._places = {each.partition(":")[2]: each for each in places}
        self.data = dict.fromkeys(self._places)  # type: ignore[assignment]

    def __getitem__(self, name: str) -> click.Command:
        """Returns a command, imported if it was not yet.

        Raises:
            KeyError: If the group has no such command.
        """
        command = self.data[name]
        if command is None:
            module, _, attribute = self._places[name].partition(":")
            imported = importlib.import_module(f"{self._package}.{module}")
            command = getattr(imported, attribute)
            self.data[name] = command
        return command
