"""`guavawing config wait`: waits until a version is in force."""

import asyncio
from collections.abc import Collection

import attrs
import click

from guavawing.cli.examples import format_examples
from guavawing.cli.exits import ExitCode, exit_with
from guavawing.cli.node_client import Status, collect_statuses
from guavawing.cli.options import node_option, output_option
from guavawing.cli.printing import Progress, print_json, print_table
from guavawing.model import Address

__all__ = ["wait"]

POLL_PERIOD_S = 0.5
DEFAULT_TIMEOUT_S = 19.0


@attrs.frozen
class Spread:
    """Which nodes enforce a version.

    Attributes:
        in_force: Nodes that enforce it or a newer one.
        behind: Nodes that enforce an older one.
        unreachable: Nodes that don't answer.
    """

    in_force: list[str]
    behind: list[str]
    unreachable: list[str]

    def describe(self, version: int) -> str:
        """Returns the numbers in one line."""
        answering = len(self.in_force) + len(self.behind)
        return (
            f"{len(self.in_force)} of {answering} nodes enforce version"
            f" {version}, {len(self.unreachable)} don't answer"
        )


@click.command(
    epilog=format_examples(
        "guavawing config wait --version 7 --node 10.0.0.7:7403"
    )
)
@click.option(
    "--version",
    "number",
    type=click.IntRange(min=1),
    required=True,
    help="Version to wait for; a newer one will do.",
)
@click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(min=0),
    default=DEFAULT_TIMEOUT_S,
    show_default=True,
    help="Longest wait, in seconds.",
)
@node_option
@output_option()
def wait(number: int, timeout_s: float, node: Address, output: str) -> None:
    """Wait until every node that answers enforces a version.

    Names the nodes that are behind or don't answer. The exit code is 7 if a
    node is still behind after the timeout.
    """
    spread = asyncio.run(_wait(node, number, timeout_s))
    if output == "json":
        print_json({"version": number, **attrs.asdict(spread)})
    else:
        _print_spread(spread, number)
    if spread.behind:
        noun = "node is" if len(spread.behind) == 1 else "nodes are"
        exit_with(
            ExitCode.BEHIND,
            f"{len(spread.behind)} {noun} behind version {number} after"
            f" {timeout_s:g} s",
            "run 'guavawing config wait' again, or look at the rejections in"
            " 'guavawing status --output json'",
        )


async def _wait(node: Address, version: int, timeout_s: float) -> Spread:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    progress = Progress()
    # A node never goes back, so each is asked only until it is there.
    in_force: set[str] = set()
    try:
        while True:
            statuses = await collect_statuses(node, skip=in_force)
            spread = _measure_spread(statuses, version, in_force)
            in_force.update(spread.in_force)
            if not spread.behind or loop.time() >= deadline:
                return spread
            progress.show(spread.describe(version))
            left_s = deadline - loop.time()
            await asyncio.sleep(min(POLL_PERIOD_S, max(left_s, 0)))
    finally:
        progress.clear()


def _measure_spread(
    statuses: dict[str, Status | None], version: int, in_force: Collection[str]
) -> Spread:
    spread = Spread(list(in_force), [], [])
    for name, status in statuses.items():
        if status is None:
            spread.unreachable.append(name)
        elif status["version"] >= version:
            spread.in_force.append(name)
        else:
            spread.behind.append(name)
    spread.in_force.sort()
    return spread


def _print_spread(spread: Spread, version: int) -> None:
    click.echo(spread.describe(version))
    rows = [(name, "behind") for name in spread.behind]
    rows += [(name, "does not answer") for name in spread.unreachable]
    if rows:
        print_table(("node", "state"), rows)
