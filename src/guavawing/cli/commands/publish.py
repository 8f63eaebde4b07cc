"""`guavawing config publish`: publishes a complete document."""

import pathlib

import click

from guavawing.cli.examples import format_examples
from guavawing.cli.options import PublishOptions, publish_options
from guavawing.cli.submission import submit
from guavawing.config import check_document, decode_document
from guavawing.errors import InvalidArgumentError
from guavawing.store import (
    Head,
    Platform,
    fetch_change,
    fetch_head,
    publish_document,
)

__all__ = ["publish"]


@click.command(
    epilog=format_examples("guavawing config publish fleet.json --base 7")
)
@click.argument(
    "path",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@publish_options
def publish(path: pathlib.Path, options: PublishOptions) -> None:
    """Publish a configuration document (JSON).

    --base is the version on which the document is based, so that a
    concurrent change of another operator is detected and not overwritten. It
    is optional only for the first version.
    """
    document = decode_document(path.read_bytes())
    check_document(document)

    async def attempt(platform: Platform, change_id: str) -> Head:
        return await publish_document(
            platform,
            document,
            change_id=change_id,
            base_version=await _choose_base(platform, options, change_id),
            author=options.author,
            summary=f"publish {path.name}",
        )

    submit(options, attempt)


async def _choose_base(
    platform: Platform, options: PublishOptions, change_id: str
) -> int:
    if options.base is not None:
        return options.base
    head = await fetch_head(platform)
    change = await fetch_change(platform, change_id)
    if change is not None:
        return change.version - 1
    if head.version > 0:
        raise InvalidArgumentError(
            "got no --base, expected the version on which the document is"
            f" based; the newest one is {head.version}"
        )
    return 0
