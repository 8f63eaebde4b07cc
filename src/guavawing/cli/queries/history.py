"""`guavawing config history`: prints the accepted changes."""

import asyncio
from collections.abc import Sequence

import attrs
import click

from guavawing.cli.examples import format_examples
from guavawing.cli.options import output_option, platform_option
from guavawing.cli.printing import print_json, print_table
from guavawing.model import Address
from guavawing.store import Change, fetch_history
from guavawing.store.client import open_platform

__all__ = ["history"]

DEFAULT_LIMIT = 20


@click.command(epilog=format_examples("guavawing config history --limit 5"))
@click.option(
    "--limit",
    type=click.IntRange(min=1),
    default=DEFAULT_LIMIT,
    show_default=True,
    help="Maximum number of changes, the newest first.",
)
@platform_option
@output_option()
def history(limit: int, platform_address: Address, output: str) -> None:
    """Print the newest accepted changes."""
    changes = asyncio.run(_read(platform_address, limit))
    if output == "json":
        print_json(
            [
                {**attrs.asdict(change), "digest": change.digest.hex()}
                for change in changes
            ]
        )
        return
    print_table(
        ("version", "at", "author", "change id", "summary"),
        [(c.version, c.at, c.author, c.change_id, c.summary) for c in changes],
    )


async def _read(address: Address, limit: int) -> Sequence[Change]:
    async with open_platform(address) as platform:
        return await fetch_history(platform, limit=limit)
