"""Exit codes and one-line errors of the command line."""

import enum
from collections.abc import Callable
from typing import Any, NoReturn

import click

from guavawing.errors import (
    ConfigInvalidError,
    ConflictingChangeError,
    ControlError,
    GuavawingError,
    InvalidArgumentError,
    PlatformUnavailableError,
    PlatformWriteUnknownError,
    SettingsInvalidError,
)

__all__ = ["ExitCode", "exit_with", "run_safely"]


class ExitCode(enum.IntEnum):
    """Exit codes of `guavawing`."""

    OK = 0
    FAILURE = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN_OUTCOME = 5
    INVALID_CONFIG = 6
    BEHIND = 7


def exit_with(code: ExitCode, message: str, next_step: str = "") -> NoReturn:
    """Prints one line on standard error and ends the process."""
    line = f"guavawing: {message}"
    if next_step:
        line += f" ({next_step})"
    click.echo(line, err=True)
    raise SystemExit(int(code))


def run_safely(action: Callable[[], Any]) -> Any:
    """Runs an action and turns guavawing's errors into exit codes."""
    try:
        return action()
    except (SettingsInvalidError, InvalidArgumentError) as exc:
        exit_with(ExitCode.USAGE, str(exc))
    except ConflictingChangeError as exc:
        exit_with(ExitCode.CONFLICT, str(exc))
    except ConfigInvalidError as exc:
        exit_with(ExitCode.INVALID_CONFIG, str(exc), "nothing was published")
    except PlatformUnavailableError as exc:
        exit_with(
            ExitCode.UNAVAILABLE, str(exc), "nothing was written; try again"
        )
    except PlatformWriteUnknownError as exc:
        exit_with(
            ExitCode.UNKNOWN_OUTCOME,
            str(exc),
            "repeat it with the same --change-id",
        )
    except ControlError as exc:
        exit_with(ExitCode.UNAVAILABLE, str(exc))
    except GuavawingError as exc:
        exit_with(ExitCode.FAILURE, str(exc))
