"""Entry point of the `guavawing` program."""

import click

from guavawing.cli.commands.defaults import default
from guavawing.cli.commands.drain import drain, undrain
from guavawing.cli.commands.exceptions import exception
from guavawing.cli.commands.keys import keys
from guavawing.cli.commands.node import node
from guavawing.cli.commands.publish import publish
from guavawing.cli.examples import format_examples
from guavawing.cli.program import Program
from guavawing.cli.queries.diff import diff
from guavawing.cli.queries.history import history
from guavawing.cli.queries.show import show
from guavawing.cli.queries.status import status
from guavawing.cli.queries.validate import validate
from guavawing.cli.queries.wait import wait

__all__ = ["main"]


@click.group(
    cls=Program,
    epilog=format_examples(
        "guavawing config show --platform 10.0.9.1:7000",
        "guavawing status --node 10.0.0.7:7403",
    ),
)
@click.version_option(package_name="guavawing")
def main() -> None:
    """Distribute configuration to a service mesh and route its calls.

    Exit codes: 0 done, 1 other failure, 2 bad usage, 3 conflict, 4 no answer
    and nothing done, 5 outcome unknown, 6 invalid configuration, 7 nodes
    behind, 8 node replaced, 130 interrupted.
    """


@main.group(
    epilog=format_examples(
        "guavawing config validate fleet.json",
        "guavawing config publish fleet.json --base 7",
    )
)
def config() -> None:
    """Publish, change and read the configuration."""


for _command in (
    default,
    diff,
    exception,
    history,
    publish,
    show,
    validate,
    wait,
):
    config.add_command(_command)
for _command in (drain, exception, keys, node, status, undrain):
    main.add_command(_command)
