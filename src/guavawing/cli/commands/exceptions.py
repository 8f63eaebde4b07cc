"""`guavawing exception add|retire`: edits the list of exceptions."""

import asyncio
import datetime
import getpass
import uuid
from collections.abc import Callable

import attrs
import click
import orjson

from guavawing.cli.exits import run_safely
from guavawing.cli.options import platform_option
from guavawing.config import Document, ExceptionEntry
from guavawing.errors import InvalidArgumentError
from guavawing.model import Address
from guavawing.platform import Head, fetch_document, publish_document
from guavawing.platform.client import open_platform

__all__ = ["exception"]

Edit = Callable[[Document], Document]


@click.group()
def exception() -> None:
    """Add or retire exceptions from the defaults."""


@exception.command()
@click.argument("name")
@click.option("--service", required=True, help="Service it applies to.")
@click.option("--setting", required=True, help="Default it replaces.")
@click.option("--value", required=True, help="Value in place of the default.")
@click.option("--reason", required=True, help="Why it is needed.")
@click.option("--owner", required=True, help="Who answers for it.")
@click.option("--route", default=None, help="Route; all if left out.")
@click.option("--data-centre", default=None, help="All if left out.")
@click.option(
    "--ends",
    type=click.DateTime(["%Y-%m-%d"]),
    default=None,
    help="Last day.",
)
@click.option("--change-id", default=None, help="Id for a safe repeat.")
@platform_option
def add(
    name: str,
    service: str,
    setting: str,
    value: str,
    reason: str,
    owner: str,
    route: str | None,
    data_centre: str | None,
    ends: datetime.datetime | None,
    change_id: str | None,
    platform_address: Address,
) -> None:
    """Add an exception to the newest version and publish it.

    Example: guavawing exception add slow-archive --service desk --setting
    deadline_ms --value 20000 --reason "archive moves in May" --owner ana
    """
    entry = ExceptionEntry(
        service=service,
        setting=setting,
        value=_parse_value(value),
        reason=reason,
        owner=owner,
        route=route,
        data_centre=data_centre,
        ends=None if ends is None else ends.date(),
    )

    def edit(document: Document) -> Document:
        if name in document.exceptions:
            raise InvalidArgumentError(
                f"got {name!r}, expected a name that is not in use"
            )
        exceptions = {**document.exceptions, name: entry}
        return attrs.evolve(document, exceptions=exceptions)

    _publish_edit(platform_address, edit, change_id)


@exception.command()
@click.argument("name")
@click.option("--change-id", default=None, help="Id for a safe repeat.")
@platform_option
def retire(name: str, change_id: str | None, platform_address: Address) -> None:
    """Remove an exception from the newest version and publish it.

    Example: guavawing exception retire slow-archive
    """

    def edit(document: Document) -> Document:
        if name not in document.exceptions:
            raise InvalidArgumentError(
                f"got {name!r}, expected one of {sorted(document.exceptions)}"
            )
        exceptions = dict(document.exceptions)
        del exceptions[name]
        return attrs.evolve(document, exceptions=exceptions)

    _publish_edit(platform_address, edit, change_id)


def _parse_value(text: str) -> bool | int | float | str:
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        return text
    return value if isinstance(value, bool | int | float) else text


def _publish_edit(address: Address, edit: Edit, change_id: str | None) -> None:
    chosen_id = change_id or uuid.uuid4().hex
    click.echo(f"change id {chosen_id}", err=True)
    head = run_safely(
        lambda: asyncio.run(_edit_and_publish(address, edit, chosen_id))
    )
    click.echo(f"version {head.version} accepted")


async def _edit_and_publish(
    address: Address, edit: Edit, change_id: str
) -> Head:
    async with open_platform(address) as platform:
        head, document = await fetch_document(platform)
        return await publish_document(
            platform,
            edit(document),
            change_id=change_id,
            base_version=head.version,
            author=getpass.getuser(),
        )
