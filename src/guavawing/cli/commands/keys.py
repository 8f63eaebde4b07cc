"""`guavawing keys prune`: removes old claims of callers' keys."""

import asyncio
import time

import click

from guavawing.cli.examples import format_examples
from guavawing.cli.options import output_option, platform_option
from guavawing.cli.printing import Progress, print_json
from guavawing.model import Address
from guavawing.store.claims import remove_claims
from guavawing.store.client import open_platform

__all__ = ["keys"]

SECONDS_PER_DAY = 86_400


@click.group(epilog=format_examples("guavawing keys prune --older-than-days 7"))
def keys() -> None:
    """Manage the idempotency keys chosen by callers."""


@keys.command(
    epilog=format_examples("guavawing keys prune --older-than-days 7")
)
@click.option(
    "--older-than-days",
    type=click.FloatRange(min=1.0),
    required=True,
    help="Age beyond which no caller sends a key again.",
)
@platform_option
@output_option()
def prune(
    older_than_days: float, platform_address: Address, output: str
) -> None:
    """Remove the claims of keys that no caller will send again.

    A key whose claim was removed is treated as new if it is sent again.
    """
    bound_before_s = time.time() - older_than_days * SECONDS_PER_DAY
    removed = asyncio.run(_prune(platform_address, bound_before_s))
    if output == "json":
        print_json({"removed": removed})
        return
    click.echo(f"{removed} claims removed")


async def _prune(address: Address, bound_before_s: float) -> int:
    removed = 0
    progress = Progress()
    async with open_platform(address) as platform:
        pages = remove_claims(platform, bound_before_s=bound_before_s)
        async for removed in pages:
            progress.show(f"{removed} claims removed")
    progress.clear()
    return removed
