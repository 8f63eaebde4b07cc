"""Exit codes and error messages of the command line."""

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
    NodeReplacedError,
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
    REPLACED = 8
    DOUBTFUL_CONFIG = 9
    INTERRUPTED = 130


@attrs.frozen
class Failure:
    """Exit code and message of a failed command.

    Attributes:
        code: Exit code.
        message: Cause of the failure.
        next_step: Advice to the operator; empty if the message has it.
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
    """Returns the exit code and message for an error."""
    text = str(exc)
    match exc:
        case SettingsInvalidError() | InvalidArgumentError():
            return Failure(ExitCode.USAGE, text)
        case VersionPrunedError():
            return Failure(
                ExitCode.USAGE,
                text,
                "'guavawing config history' lists the later changes",
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
        case NodeReplacedError():
            return Failure(
                ExitCode.REPLACED,
                text,
                "run one process per node id; don't start this one again",
            )
        case ControlError():
            return Failure(
                ExitCode.UNAVAILABLE,
                text,
                "try again, or name another node with --node",
            )
        case _:
            return Failure(ExitCode.FAILURE, text)
