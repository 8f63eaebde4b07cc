"""Entry point of the `guavawing` program."""

import click

from guavawing.cli.examples import format_examples
from guavawing.cli.lazy_commands import LazyCommands
from guavawing.cli.program import Program

__all__ = ["main"]

_CONFIG_COMMANDS = (
    "queries.check:check",
    "commands.defaults:default",
    "queries.diff:diff",
    "commands.exceptions:exception",
    "queries.history:history",
    "commands.prune:prune",
    "commands.publish:publish",
    "queries.show:show",
    "queries.validate:validate",
    "queries.wait:wait",
)
_COMMANDS = (
    "commands.drain:drain",
    "commands.exceptions:exception",
    "queries.explain:explain",
    "commands.keys:keys",
    "commands.node:node",
    "queries.status:status",
    "commands.drain:undrain",
)


@click.group(
    cls=Program,
    commands=LazyCommands("guavawing.cli", _COMMANDS),
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
    behind, 8 node replaced, 9 doubtful configuration, 130 interrupted.
    """


@main.group(
    commands=LazyCommands("guavawing.cli", _CONFIG_COMMANDS),
    epilog=format_examples(
        "guavawing config validate fleet.json",
        "guavawing config publish fleet.json --base 7",
    ),
)
def config() -> None:
    """Publish, change and read the configuration."""
