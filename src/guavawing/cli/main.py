"""Entry point of the `guavawing` program."""

import click

from guavawing.cli.commands.drain import drain, undrain
from guavawing.cli.commands.exceptions import exception
from guavawing.cli.commands.node import node
from guavawing.cli.commands.publish import publish
from guavawing.cli.queries.show import show
from guavawing.cli.queries.status import status

__all__ = ["main"]


@click.group()
@click.version_option(package_name="guavawing")
def main() -> None:
    """Distribute configuration to a service mesh and route its calls."""


@main.group()
def config() -> None:
    """Publish and read the configuration."""


config.add_command(publish)
config.add_command(show)
main.add_command(config)
main.add_command(drain)
main.add_command(exception)
main.add_command(node)
main.add_command(status)
main.add_command(undrain)
