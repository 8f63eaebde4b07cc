"""`guavawing node`: runs the daemon."""

import os
import pathlib

import click

from guavawing.cli.examples import format_examples
from guavawing.cli.exits import ExitCode, exit_with
from guavawing.node.settings import read_settings

__all__ = ["node"]


@click.command(epilog=format_examples("guavawing node --config node.ini"))
@click.option(
    "--config",
    "path",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="Settings file (INI).",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def node(path: pathlib.Path, check: bool) -> None:
    """Run the node beside a target."""
    settings = read_settings(path)
    if check:
        click.echo(f"{path}: ok")
        return
    # aiohttp loads the CA certificates of the machine on import, which takes
    # 2 MB of memory. No connection of a node uses TLS.
    os.environ["SSL_CERT_FILE"] = os.devnull
    # Imported here so that invalid settings are reported before sockets are
    # opened, and so that other commands start quickly.
    from guavawing.node.process import run_node

    try:
        run_node(settings)
    except OSError as exc:
        exit_with(
            ExitCode.FAILURE,
            f"{path}: the node could not start: {exc}",
            "check the addresses and the log file in the settings;"
            " '--check' does not open them",
        )
