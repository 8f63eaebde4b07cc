"""Structured logs of a node in JSON lines, written with eliot.

Every message has a `level`. Calls are logged at level `debug` only, since a
record takes more time than the rest of the bookkeeping of a call. The `call_id`
is the same at every node on the path of the call. Bodies, headers and keys are
never logged.
"""

import contextlib
import sys
from collections.abc import Iterator
from typing import Any, TextIO

import eliot

from guavawing.node.settings import LOG_LEVELS

__all__ = ["is_logged", "log", "log_action", "open_logs"]

_min_level = LOG_LEVELS.index("info")


def is_logged(level: str) -> bool:
    """Returns whether records of `level` are written."""
    return LOG_LEVELS.index(level) >= _min_level


def log(level: str, message_type: str, **fields: Any) -> None:
    """Writes one record if its level is enabled in the settings."""
    if is_logged(level):
        eliot.log_message(message_type, level=level, **fields)


@contextlib.contextmanager
def log_action(action_type: str, **fields: Any) -> Iterator[eliot.Action]:
    """Writes the start and the end of an action, at level `info`.

    An exception raised in the block ends the action as failed.
    """
    with eliot.start_action(action_type=action_type, **fields) as action:
        yield action


@contextlib.contextmanager
def open_logs(*, file: str, level: str) -> Iterator[None]:
    """Directs the log of this process to a file or standard output.

    Args:
        file: Path of the file to append to; empty for standard output.
        level: Lowest level that is written.
    """
    global _min_level
    _min_level = LOG_LEVELS.index(level)
    with _open_stream(file) as stream:
        write = eliot.FileDestination(file=stream)

        def destination(record: dict[str, Any]) -> None:
            if is_logged(_level_of(record)):
                write(record)

        eliot.add_destinations(destination)
        try:
            yield
        finally:
            eliot.remove_destination(destination)


def _level_of(record: dict[str, Any]) -> str:
    level = record.get("level")
    if level is not None:
        return str(level)
    # Start and end records of actions have no level field.
    return "error" if record.get("action_status") == "failed" else "info"


@contextlib.contextmanager
def _open_stream(file: str) -> Iterator[TextIO]:
    if not file:
        yield sys.stdout
        return
    with open(file, "a", encoding="utf-8", buffering=1) as stream:
        yield stream
