"""Root group of the command line, with error handling and exit codes."""

import sys
from collections.abc import Sequence
from typing import Any

import click

from guavawing.cli.exits import ExitCode, describe_error, exit_with, fail
from guavawing.errors import GuavawingError

__all__ = ["Program"]

PROGRAM_NAME = "guavawing"


class Program(click.Group):
    """Reports each failed command by one line and an exit code.

    By default, click prints three lines for a usage error, and exits with 1
    if a command is interrupted.
    """

    def main(
        self,
        args: Sequence[str] | None = None,
        prog_name: str | None = None,
        complete_var: str | None = None,
        standalone_mode: bool = True,
        **extra: Any,
    ) -> Any:
        """Runs the command line and exits the process."""
        try:
            # The name is fixed, so that the environment variable of shell
            # completion does not depend on how the program was started.
            code = super().main(
                args,
                prog_name=PROGRAM_NAME,
                complete_var=complete_var,
                standalone_mode=False,
                **extra,
            )
        except click.exceptions.NoArgsIsHelpError as exc:
            exc.show()
            sys.exit(ExitCode.USAGE)
        except click.UsageError as exc:
            command = exc.ctx.command_path if exc.ctx else PROGRAM_NAME
            exit_with(
                ExitCode.USAGE,
                exc.format_message().rstrip("."),
                f"see '{command} --help'",
            )
        except click.ClickException as exc:
            exit_with(ExitCode.FAILURE, exc.format_message())
        except click.Abort:
            exit_with(ExitCode.INTERRUPTED, "interrupted")
        sys.exit(code if isinstance(code, int) else ExitCode.OK)

    def invoke(self, ctx: click.Context) -> Any:
        """Runs a command and reports its errors."""
        try:
            return super().invoke(ctx)
        except GuavawingError as exc:
            fail(describe_error(exc))
        except KeyboardInterrupt:
            exit_with(ExitCode.INTERRUPTED, "interrupted")
