"""Exit codes and one-line errors of the command line."""

import enum
from typing import NoReturn

import attrs
import click

from guavawing.errors import (
    ChangeIdReusedError,
    ConfigInvalidError,
    ConflictingChangeError,
    ControlError,
    GuavawingError,
    InvalidArgumentError,
    PlatformUnavailableError,
    PlatformWriteUnknownError,
    SettingsInvalidError,
    VersionPrunedError,
)

__all__ = ["ExitCode", "Failure", "describe_error", "exit_with", "fail"]


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
    INTERRUPTED = 130


@attrs.frozen
class Failure:
    """How a command ends that did not succeed.

    Attributes:
        code: Its exit code.
        message: What went wrong.
        next_step: What the operator can do; empty if the message says it.
    """

    code: ExitCode
    message: str
    next_step: str = ""

    def __str__(self) -> str:
        line = f"guavawing: {self.message}"
        if self.next_step:
            line += f" ({self.next_step})"
        return " ".join(line.split())


def fail(failure: Failure) -> NoReturn:
    """Prints one line on standard error and ends the process."""
    click.echo(str(failure), err=True)
    raise SystemExit(int(failure.code))


def exit_with(code: ExitCode, message: str, next_step: str = "") -> NoReturn:
    """Prints one line on standard error and ends the process."""
    fail(Failure(code, message, next_step))


def describe_error(exc: GuavawingError) -> Failure:
    """Returns how a command ends that met an error."""
    text = str(exc)
    match exc:
        case SettingsInvalidError() | InvalidArgumentError():
            return Failure(ExitCode.USAGE, text)
        case VersionPrunedError():
            return Failure(
                ExitCode.USAGE,
                text,
                "'guavawing config history' lists what was changed since",
            )
        case ConflictingChangeError():
            return Failure(ExitCode.CONFLICT, text)
        case ChangeIdReusedError():
            return Failure(
                ExitCode.CONFLICT, text, "publish under another change id"
            )
        case ConfigInvalidError():
            return Failure(
                ExitCode.INVALID_CONFIG,
                text,
                "nothing was published; 'guavawing config validate' checks a"
                " file",
            )
        case PlatformUnavailableError():
            return Failure(ExitCode.UNAVAILABLE, text, "try again")
        case PlatformWriteUnknownError():
            return Failure(
                ExitCode.UNKNOWN_OUTCOME,
                text,
                "repeat it with the same --change-id",
            )
        case ControlError():
            return Failure(
                ExitCode.UNAVAILABLE,
                text,
                "try again, or name another node with --node",
            )
        case _:
            return Failure(ExitCode.FAILURE, text)
