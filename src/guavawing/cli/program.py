"""The group at the root of the command line: errors and exit codes."""

import sys
from collections.abc import Sequence
from typing import Any

import click

from guavawing.cli.exits import ExitCode, describe_error, exit_with, fail
from guavawing.errors import GuavawingError

__all__ = ["Program"]

PROGRAM_NAME = "guavawing"


class Program(click.Group):
    """Ends each failed command with one line and its exit code.

    click itself prints usage errors on three lines and ends an interrupted
    command with code 1.
    """

    def main(
        self,
        args: Sequence[str] | None = None,
        prog_name: str | None = None,
        complete_var: str | None = None,
        standalone_mode: bool = True,
        **extra: Any,
    ) -> Any:
        """Runs the command line and ends the process."""
        try:
            # The name is fixed, so that completion has the same variable
            # whichever way the program was started.
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
        """Runs the command that was named."""
        try:
            return super().invoke(ctx)
        except GuavawingError as exc:
            fail(describe_error(exc))
        except KeyboardInterrupt:
            exit_with(ExitCode.INTERRUPTED, "interrupted")
