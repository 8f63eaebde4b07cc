"""`guavawing exception add|retire`: edits the list of exceptions."""

import datetime

import attrs
import click

from guavawing.cli.examples import format_examples
from guavawing.cli.options import PublishOptions, publish_options
from guavawing.cli.submission import submit
from guavawing.cli.values import parse_value
from guavawing.config import Document, ExceptionEntry, describe_names
from guavawing.errors import InvalidArgumentError
from guavawing.store import Head, Platform, publish_edit
from guavawing.store.publisher import Edit

__all__ = ["exception"]


@click.group(epilog=format_examples("guavawing exception retire slow-archive"))
def exception() -> None:
    """Add or retire exceptions from the defaults."""


@exception.command(
    epilog=format_examples(
        "guavawing exception add slow-archive --service desk"
        " --setting deadline_ms --value 20000 --ends 2027-05-31"
        ' --reason "the archive moves in May" --owner "desk team"',
        "guavawing config exception add cold-disks --service feed"
        ' --setting slots --value 4 --reason "cold disks" --owner bo',
    )
)
@click.argument("name")
@click.option("--service", required=True, help="Service to which it applies.")
@click.option(
    "--setting",
    required=True,
    help="Default to replace, or 'slots' or 'connections'.",
)
@click.option("--value", required=True, help="Replacement value.")
@click.option("--reason", required=True, help="Why it is needed.")
@click.option(
    "--owner", required=True, help="Person or team responsible for it."
)
@click.option("--route", default=None, help="Route; all if omitted.")
@click.option(
    "--data-centre", default=None, help="Data centre; all if omitted."
)
@click.option(
    "--ends",
    type=click.DateTime(["%Y-%m-%d"]),
    default=None,
    help="Last day (UTC) on which it applies.",
)
@publish_options
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
    options: PublishOptions,
) -> None:
    """Add an exception to the newest version and publish it."""
    entry = ExceptionEntry(
        service=service,
        setting=setting,
        value=parse_value(value),
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

    _publish_edit(options, edit, f"exception add {name}")


@exception.command(
    epilog=format_examples(
        "guavawing exception retire slow-archive",
        "guavawing config exception retire slow-archive",
    )
)
@click.argument("name")
@publish_options
def retire(name: str, options: PublishOptions) -> None:
    """Remove an exception from the newest version and publish it."""

    def edit(document: Document) -> Document:
        if name not in document.exceptions:
            known = describe_names(document.exceptions) or "none"
            raise InvalidArgumentError(
                f"got {name!r}, expected an exception in force: {known}"
            )
        exceptions = dict(document.exceptions)
        del exceptions[name]
        return attrs.evolve(document, exceptions=exceptions)

    _publish_edit(options, edit, f"exception retire {name}")


def _publish_edit(options: PublishOptions, edit: Edit, summary: str) -> None:
    async def attempt(platform: Platform, change_id: str) -> Head:
        return await publish_edit(
            platform,
            edit,
            change_id=change_id,
            author=options.author,
            base_version=options.base,
            summary=summary,
        )

    submit(options, attempt)
