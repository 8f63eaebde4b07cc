"""`guavawing config diff`: prints the differences of two documents."""

import asyncio
import pathlib

import attrs
import click

from guavawing.cli.examples import format_examples
from guavawing.cli.options import output_option, platform_option
from guavawing.cli.printing import format_value, print_json, print_table
from guavawing.config import (
    Difference,
    Document,
    compare_documents,
    decode_document,
)
from guavawing.errors import InvalidArgumentError
from guavawing.model import Address
from guavawing.store import Platform, fetch_head, fetch_version
from guavawing.store.client import open_platform

__all__ = ["diff"]


@click.command(
    epilog=format_examples(
        "guavawing config diff 3 7", "guavawing config diff 7 fleet.json"
    )
)
@click.argument("old", required=False)
@click.argument("new", required=False)
@platform_option
@output_option()
def diff(
    old: str | None,
    new: str | None,
    platform_address: Address,
    output: str,
) -> None:
    """Print the differences between OLD and NEW.

    Each is a version number or the path of a file. By default, NEW is the
    newest version and OLD the one before it.
    """
    differences = asyncio.run(_compare(platform_address, old, new))
    if output == "json":
        print_json([attrs.asdict(each) for each in differences])
        return
    print_table(
        ("place", "old", "new"),
        [
            (each.place, format_value(each.old), format_value(each.new))
            for each in differences
        ],
        colours=(None, "red", "green"),
    )


async def _compare(
    address: Address, old: str | None, new: str | None
) -> list[Difference]:
    async with open_platform(address) as platform:
        newest = (await fetch_head(platform)).version
        new_name = str(newest) if new is None else new
        old_name = str(max(newest - 1, 0)) if old is None else old
        return compare_documents(
            await _read(platform, old_name), await _read(platform, new_name)
        )


async def _read(platform: Platform, name: str) -> Document:
    if name.isdecimal() and name.isascii():
        _, document = await fetch_version(platform, int(name))
        return document
    path = pathlib.Path(name)
    if not path.is_file():
        raise InvalidArgumentError(
            f"got {name!r}, expected a version number or the path of a file"
        )
    return decode_document(path.read_bytes())
