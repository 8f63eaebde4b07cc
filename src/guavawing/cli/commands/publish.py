"""`guavawing config publish`: publishes a whole document."""

import asyncio
import getpass
import pathlib
import uuid

import click

from guavawing.cli.exits import run_safely
from guavawing.cli.options import platform_option
from guavawing.config import Document, decode_document
from guavawing.model import Address
from guavawing.platform import Head, fetch_head, publish_document
from guavawing.platform.client import open_platform

__all__ = ["publish"]


@click.command()
@click.argument("path", type=click.Path(exists=True, path_type=pathlib.Path))
@click.option(
    "--base",
    type=int,
    default=None,
    help="Version the change starts from; the newest one if left out.",
)
@click.option("--change-id", default=None, help="Id for a safe repeat.")
@click.option("--author", default=getpass.getuser, help="Who changes.")
@platform_option
def publish(
    path: pathlib.Path,
    base: int | None,
    change_id: str | None,
    author: str,
    platform_address: Address,
) -> None:
    """Publish a configuration document (JSON).

    Example: guavawing config publish fleet.json --platform 10.0.0.2:7000
    """
    chosen_id = change_id or uuid.uuid4().hex
    click.echo(f"change id {chosen_id}", err=True)
    head = run_safely(
        lambda: asyncio.run(
            _publish(
                platform_address,
                decode_document(path.read_bytes()),
                chosen_id,
                base,
                author,
            )
        )
    )
    click.echo(f"version {head.version} accepted")


async def _publish(
    address: Address,
    document: Document,
    change_id: str,
    base: int | None,
    author: str,
) -> Head:
    async with open_platform(address) as platform:
        if base is None:
            base = (await fetch_head(platform)).version
        return await publish_document(
            platform,
            document,
            change_id=change_id,
            base_version=base,
            author=author,
        )
