"""`guavawing status`: prints the state of every node."""

import asyncio

import click

from guavawing.cli.examples import format_examples
from guavawing.cli.node_client import Status, collect_statuses
from guavawing.cli.options import node_option, output_option
from guavawing.cli.printing import print_json, print_table
from guavawing.model import Address

__all__ = ["status"]


@click.command(epilog=format_examples("guavawing status --node 10.0.0.7:7403"))
@node_option
@output_option()
def status(node: Address, output: str) -> None:
    """Print the state of every node in the member list of one node."""
    fleet = asyncio.run(collect_statuses(node))
    statuses: dict[str, Status | None] = {
        **fleet.answers,
        **dict.fromkeys(fleet.silent),
    }
    statuses = dict(sorted(statuses.items()))
    if output == "json":
        print_json(statuses)
        return
    print_table(
        (
            "node", "data centre", "service", "version", "serving",
            "running", "queued",
        ),
        [_make_row(name, entry) for name, entry in statuses.items()],
    )  # fmt: skip


def _make_row(name: str, entry: Status | None) -> tuple[object, ...]:
    if entry is None:
        return (name, *["-"] * 5, "does not answer")
    return (
        name,
        entry["data_centre"],
        entry["service"],
        entry["version"],
        "yes" if entry["serving"] else "no",
        entry["load"]["running"],
        entry["load"]["queued"],
    )
