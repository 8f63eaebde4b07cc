"""`guavawing config default set`: changes a fleet-wide default."""

import attrs
import click
import orjson

from guavawing.cli.examples import format_examples
from guavawing.cli.options import PublishOptions, publish_options
from guavawing.cli.submission import submit
from guavawing.cli.values import parse_value
from guavawing.config import (
    Defaults,
    Document,
    decode_document,
    encode_document,
)
from guavawing.errors import InvalidArgumentError
from guavawing.store import Head, Platform, publish_edit

__all__ = ["default"]

NAMES = tuple(field.name for field in attrs.fields(Defaults))


@click.group(
    epilog=format_examples("guavawing config default set deadline_ms 8000")
)
def default() -> None:
    """Change the fleet-wide defaults."""


@default.command(
    "set",
    epilog=format_examples("guavawing config default set deadline_ms 8000"),
)
@click.argument("name")
@click.argument("value")
@publish_options
def set_default(name: str, value: str, options: PublishOptions) -> None:
    """Set the default NAME to VALUE in the newest version and publish it."""
    if name not in NAMES:
        raise InvalidArgumentError(
            f"got {name!r}, expected one of {', '.join(NAMES)}"
        )

    def edit(document: Document) -> Document:
        tree = orjson.loads(encode_document(document))
        tree["defaults"][name] = parse_value(value)
        return decode_document(orjson.dumps(tree))

    async def attempt(platform: Platform, change_id: str) -> Head:
        return await publish_edit(
            platform,
            edit,
            change_id=change_id,
            author=options.author,
            base_version=options.base,
            summary=f"default set {name} {value}",
        )

    submit(options, attempt)
