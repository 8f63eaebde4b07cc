"""`guavawing config wait`: waits until a version is in force."""

import asyncio
from collections.abc import Collection

import attrs
import click

from guavawing.cli.examples import format_examples
from guavawing.cli.exits import ExitCode, exit_with
from guavawing.cli.node_client import FleetStatus, collect_statuses
from guavawing.cli.options import node_option, output_option
from guavawing.cli.printing import Progress, print_json, print_table
from guavawing.model import Address

__all__ = ["DEFAULT_TIMEOUT_S", "wait", "wait_for_version"]

POLL_PERIOD_S = 0.5
DEFAULT_TIMEOUT_S = 19.0
# Time for the answers to requests in flight at the timeout; longer than the
# timeout of one request.
GRACE_S = 3.0


@attrs.frozen
class Spread:
    """Nodes by whether they enforce a version.

    Attributes:
        in_force: Nodes that enforce it or a newer one.
        behind: Nodes that enforce an older one.
        unreachable: Nodes that don't answer.
        unreached: Nodes whose poll was not completed before the timeout.
    """

    in_force: list[str]
    behind: list[str]
    unreachable: list[str]
    unreached: list[str]

    def describe(self, version: int) -> str:
        """Returns the numbers of nodes in one line."""
        answering = len(self.in_force) + len(self.behind)
        line = (
            f"{len(self.in_force)} of {answering} nodes enforce version"
            f" {version}, {len(self.unreachable)} don't answer"
        )
        if self.unreached:
            line += f", {len(self.unreached)} were not reached in time"
        return line

    def is_complete(self) -> bool:
        """Returns whether no node is behind or was not reached."""
        return not self.behind and not self.unreached


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
    help="Version to wait for; a newer one is accepted.",
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

    Lists the nodes that are behind or don't answer; the latter are polled
    twice. The exit code is 7 if, at the timeout, a node is still behind or
    was not reached. Exits at most 3 s after the timeout.
    """
    spread = asyncio.run(wait_for_version(node, number, timeout_s))
    if output == "json":
        print_json({"version": number, **attrs.asdict(spread)})
    else:
        _print_spread(spread, number)
    if not spread.is_complete():
        count = len(spread.behind) + len(spread.unreached)
        noun = "node is" if count == 1 else "nodes are"
        suffix = " or not reached" if spread.unreached else ""
        exit_with(
            ExitCode.BEHIND,
            f"{count} {noun} behind version {number}{suffix} after"
            f" {timeout_s:g} s",
            "run 'guavawing config wait' again, or check the rejections in"
            " 'guavawing status --output json'",
        )


async def wait_for_version(
    node: Address, version: int, timeout_s: float
) -> Spread:
    """Polls nodes until each that answers enforces a version.

    Args:
        node: Admin address of any node.
        version: The version; a newer one is accepted.
        timeout_s: Longest wait, in seconds; requests in flight then may take
            up to `GRACE_S` longer.

    Raises:
        ControlError: If `node` gives no usable answer.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    progress = Progress()
    # The version of a node never decreases, so a node that enforces the version
    # is not polled again.
    in_force: set[str] = set()
    silent: set[str] = set()
    try:
        while True:
            fleet = await collect_statuses(
                node, skip=in_force, no_retry=silent, until=deadline + GRACE_S
            )
            silent.update(fleet.silent)
            spread = _measure_spread(fleet, version, in_force)
            in_force.update(spread.in_force)
            if spread.is_complete() or loop.time() >= deadline:
                return spread
            progress.show(spread.describe(version))
            remaining_s = deadline - loop.time()
            await asyncio.sleep(min(POLL_PERIOD_S, max(remaining_s, 0)))
    finally:
        progress.clear()


def _measure_spread(
    fleet: FleetStatus, version: int, in_force: Collection[str]
) -> Spread:
    up_to_date = [
        n for n, s in fleet.answers.items() if s["version"] >= version
    ]
    return Spread(
        in_force=sorted([*in_force, *up_to_date]),
        behind=sorted(fleet.answers.keys() - set(up_to_date)),
        unreachable=fleet.silent,
        unreached=fleet.unreached,
    )


def _print_spread(spread: Spread, version: int) -> None:
    click.echo(spread.describe(version))
    rows = [(name, "behind") for name in spread.behind]
    rows += [(name, "does not answer") for name in spread.unreachable]
    rows += [(name, "not reached") for name in spread.unreached]
    if rows:
        print_table(("node", "state"), rows)
