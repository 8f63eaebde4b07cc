"""`guavawing drain` and `guavawing undrain`."""

import asyncio

import click

from guavawing.cli.exits import run_safely
from guavawing.cli.node_client import send_drain
from guavawing.cli.options import AddressType
from guavawing.model import Address

__all__ = ["drain", "undrain"]

_node_option = click.option(
    "--node",
    type=AddressType(),
    required=True,
    help="Admin address of the node beside the target.",
)


@click.command()
@_node_option
def drain(node: Address) -> None:
    """Give a target no new work; what runs goes on.

    Example: guavawing drain --node 10.0.0.7:7403
    """
    run_safely(lambda: asyncio.run(send_drain(node, draining=True)))
    click.echo(f"{node} is draining")


@click.command()
@_node_option
def undrain(node: Address) -> None:
    """Give a drained target work again.

    Example: guavawing undrain --node 10.0.0.7:7403
    """
    run_safely(lambda: asyncio.run(send_drain(node, draining=False)))
    click.echo(f"{node} takes work")
