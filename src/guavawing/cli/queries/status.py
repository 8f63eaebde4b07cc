"""`guavawing status`: prints the state of every node."""

import asyncio

import click
import orjson

from guavawing.cli.exits import run_safely
from guavawing.cli.node_client import Status, collect_statuses
from guavawing.cli.options import AddressType, output_option
from guavawing.model import Address

__all__ = ["status"]

ROW = "{:<16} {:<12} {:<12} {:>8} {:<8} {:>8} {:>7}"


@click.command()
@click.option(
    "--node",
    type=AddressType(),
    required=True,
    envvar="GUAVAWING_NODE",
    show_envvar=True,
    help="Admin address of any node.",
)
@output_option
def status(node: Address, output: str) -> None:
    """Print the state of every node that one node knows.

    Example: guavawing status --node 10.0.0.7:7403
    """
    statuses = run_safely(lambda: asyncio.run(collect_statuses(node)))
    if output == "json":
        click.echo(orjson.dumps(statuses).decode())
        return
    header = ROW.format(
        "node", "data centre", "service", "version", "serving", "running",
        "queued",
    )  # fmt: skip
    click.echo(header)
    for name, entry in statuses.items():
        click.echo(_format_row(name, entry))


def _format_row(name: str, entry: Status | None) -> str:
    if entry is None:
        return f"{name:<16} does not answer"
    return ROW.format(
        name,
        entry["data_centre"],
        entry["service"],
        entry["version"],
        "yes" if entry["serving"] else "no",
        entry["load"]["running"],
        entry["load"]["queued"],
    )
