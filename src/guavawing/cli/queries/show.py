"""`guavawing config show`: prints an accepted document."""

import asyncio

import attrs
import click
import orjson

from guavawing.cli.examples import format_examples
from guavawing.cli.options import output_option, platform_option
from guavawing.cli.printing import print_table
from guavawing.config import Document, encode_document
from guavawing.model import Address
from guavawing.store import fetch_document, fetch_version
from guavawing.store.client import open_platform

__all__ = ["show"]


@click.command(epilog=format_examples("guavawing config show > fleet.json"))
@click.option(
    "--version",
    "number",
    type=click.IntRange(min=0),
    default=None,
    help="Version number; the newest one if omitted.",
)
@platform_option
@output_option("json")
def show(number: int | None, platform_address: Address, output: str) -> None:
    """Print the newest accepted document, or that of another version.

    The JSON output can be edited and published.
    """
    version, document = asyncio.run(_read(platform_address, number))
    if output == "json":
        tree = orjson.loads(encode_document(document))
        click.echo(orjson.dumps(tree, option=orjson.OPT_INDENT_2).decode())
        return
    _print_document(version, document)


async def _read(address: Address, number: int | None) -> tuple[int, Document]:
    async with open_platform(address) as platform:
        if number is None:
            head, document = await fetch_document(platform)
            return head.version, document
        _, document = await fetch_version(platform, number)
        return number, document


def _print_document(version: int, document: Document) -> None:
    click.echo(
        f"version {version}: {len(document.services)} services,"
        f" {len(document.routes)} routes,"
        f" {len(document.exceptions)} exceptions"
    )
    click.echo()
    defaults = attrs.asdict(document.defaults)
    print_table(("default", "value"), list(defaults.items()))
    if not document.exceptions:
        return
    click.echo()
    print_table(
        (
            "exception", "service", "route", "data centre", "setting",
            "value", "ends", "owner", "reason",
        ),
        [
            (
                name, entry.service, entry.route or "all",
                entry.data_centre or "all", entry.setting, entry.value,
                entry.ends or "never", entry.owner, entry.reason,
            )
            for name, entry in sorted(document.exceptions.items())
        ],
    )  # fmt: skip
