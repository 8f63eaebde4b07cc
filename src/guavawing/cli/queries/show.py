"""`guavawing config show`: prints the newest accepted document."""

import asyncio

import click
import orjson

from guavawing.cli.exits import run_safely
from guavawing.cli.options import platform_option
from guavawing.config import Document, encode_document
from guavawing.model import Address
from guavawing.platform import Head, fetch_document
from guavawing.platform.client import open_platform

__all__ = ["show"]


@click.command()
@platform_option
def show(platform_address: Address) -> None:
    """Print the newest accepted document as JSON.

    Example: guavawing config show --platform 10.0.0.2:7000
    """
    head, document = run_safely(lambda: asyncio.run(_read(platform_address)))
    click.echo(f"version {head.version}", err=True)
    tree = orjson.loads(encode_document(document))
    click.echo(orjson.dumps(tree, option=orjson.OPT_INDENT_2).decode())


async def _read(address: Address) -> tuple[Head, Document]:
    async with open_platform(address) as platform:
        return await fetch_document(platform)
