"""`guavawing drain` and `guavawing undrain`."""

import asyncio

import click

from guavawing.cli.examples import format_examples
from guavawing.cli.node_client import send_drain
from guavawing.cli.options import AddressType, output_option
from guavawing.cli.printing import print_json
from guavawing.model import Address

__all__ = ["drain", "undrain"]

_target_node_option = click.option(
    "--node",
    type=AddressType(),
    required=True,
    help="Admin address of the node beside the target.",
)


@click.command(epilog=format_examples("guavawing drain --node 10.0.0.7:7403"))
@_target_node_option
@output_option()
def drain(node: Address, output: str) -> None:
    """Stop sending calls to a target; running calls are completed."""
    _set_draining(node, output, draining=True)


@click.command(epilog=format_examples("guavawing undrain --node 10.0.0.7:7403"))
@_target_node_option
@output_option()
def undrain(node: Address, output: str) -> None:
    """Resume sending calls to a drained target."""
    _set_draining(node, output, draining=False)


def _set_draining(node: Address, output: str, *, draining: bool) -> None:
    asyncio.run(send_drain(node, draining=draining))
    if output == "json":
        print_json({"node": str(node), "draining": draining})
        return
    click.echo(f"{node} is draining" if draining else f"{node} accepts calls")
