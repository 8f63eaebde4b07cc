"""`guavawing config prune`: removes old versions from the platform."""

import asyncio
import datetime
from typing import NoReturn

import attrs
import click

from guavawing.cli.examples import format_examples
from guavawing.cli.exits import describe_error, fail
from guavawing.cli.options import output_option, platform_option
from guavawing.cli.printing import Progress, print_json
from guavawing.errors import (
    PlatformError,
    PlatformUnavailableError,
    PlatformWriteUnknownError,
)
from guavawing.model import Address
from guavawing.store import PruneState, RetentionRule
from guavawing.store import prune as prune_steps
from guavawing.store.client import open_platform

__all__ = ["prune"]

# Limit on writes of rows and objects. Leaves most of the several hundred writes
# per second of the platform to publishes and claims.
WRITES_PER_S = 100
MIN_LAST = 10
DEFAULT_DAYS = 7.0
DEFAULT_LAST = 1_000
DEFAULT_CHANGES_DAYS = 400.0


@attrs.define
class _Run:
    """One run of the command.

    Attributes:
        rule: Which documents and changes are kept.
        dry_run: Whether nothing is removed.
        state: Progress; None before the first step.
    """

    rule: RetentionRule
    dry_run: bool
    state: PruneState | None = None

    def describe(self) -> str:
        """Returns the numbers of removals in one line."""
        objects = self.state.objects if self.state else 0
        changes = self.state.changes if self.state else 0
        verb = "would be removed" if self.dry_run else "removed"
        return f"{objects} objects and {changes} changes {verb}"


@click.command(
    epilog=format_examples(
        "guavawing config prune --dry-run",
        "guavawing config prune --keep-days 30 --keep-last 5000",
    )
)
@click.option(
    "--keep-days",
    type=click.FloatRange(min=1.0),
    default=DEFAULT_DAYS,
    show_default=True,
    help="Keep documents that were in force within this many days.",
)
@click.option(
    "--keep-last",
    type=click.IntRange(min=MIN_LAST),
    default=DEFAULT_LAST,
    show_default=True,
    help="Keep this many newest documents, whatever their age.",
)
@click.option(
    "--keep-changes-days",
    type=click.FloatRange(min=1.0),
    default=DEFAULT_CHANGES_DAYS,
    show_default=True,
    help="Keep records of changes for this many days.",
)
@click.option(
    "--dry-run", is_flag=True, help="Only count what would be removed."
)
@platform_option
@output_option()
def prune(
    keep_days: float,
    keep_last: int,
    keep_changes_days: float,
    dry_run: bool,
    platform_address: Address,
    output: str,
) -> None:
    """Remove old documents and changes from the platform.

    The newest version and objects of publishes in progress are always kept.
    The command can be interrupted and repeated at any time. It removes at
    most 100 rows and objects per second.
    """
    rule = RetentionRule(
        days=keep_days, last=keep_last, changes_days=keep_changes_days
    )
    run = _Run(rule, dry_run)
    try:
        asyncio.run(_prune(platform_address, run))
    except (PlatformUnavailableError, PlatformWriteUnknownError) as exc:
        _fail(exc, run)
    _print(run, output)


async def _prune(address: Address, run: _Run) -> None:
    now = datetime.datetime.now(datetime.UTC)
    progress = Progress()
    try:
        async with open_platform(address) as platform:
            steps = prune_steps(
                platform, run.rule, now=now, dry_run=run.dry_run
            )
            async for state in steps:
                run.state = state
                progress.show(run.describe())
                if not run.dry_run:
                    await asyncio.sleep(state.writes / WRITES_PER_S)
    finally:
        progress.clear()


def _fail(exc: PlatformError, run: _Run) -> NoReturn:
    failure = describe_error(exc)
    fail(
        attrs.evolve(
            failure,
            message=f"{exc}; so far {run.describe()}",
            next_step="run it again to resume",
        )
    )


def _print(run: _Run, output: str) -> None:
    state = run.state
    assert state is not None, "a run without an error has a state"
    if output == "json":
        print_json(
            {
                "newest_version": state.newest,
                "oldest_document": state.floor.document,
                "oldest_change": state.floor.change,
                "objects": state.objects,
                "changes": state.changes,
                "dry_run": run.dry_run,
            }
        )
        return
    click.echo(run.describe())
    click.echo(
        f"documents are kept from version {state.floor.document}, changes"
        f" from version {state.floor.change}, the newest is {state.newest}"
    )
