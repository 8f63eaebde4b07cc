"""Chain of services as processes, in which each target calls the next one."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence

from standins.cluster import (
    Fleet,
    FleetNode,
    NodePlan,
    make_command,
    open_fleet,
)
from standins.records import read_records

TARGET_MODULE = "bench.chain_target"
LEAF = "-"
COPIES = 2
CONCURRENT_CALLS = 8


def name_layers(depth: int) -> list[str]:
    """Returns the names of the services in call order."""
    return [f"layer-{number}" for number in range(depth)]


@contextlib.asynccontextmanager
async def open_chain(
    depth: int, failures: Sequence[str]
) -> AsyncIterator[Fleet]:
    """Starts a chain whose last service drops the connection of every call.

    Args:
        depth: Number of services.
        failures: Reaction of each layer to a failed call to the next one,
            repeated cyclically: "answer" with an error, or "drop" the
            connection.
    """
    layers = name_layers(depth)
    next_services = dict(zip(layers, [*layers[1:], LEAF], strict=True))
    plans = [
        NodePlan(f"{name}-{copy}", name, "bergen", "vestland")
        for name in layers
        for copy in range(COPIES)
    ]

    def make_target(node: FleetNode) -> list[str]:
        failure = failures[layers.index(node.service) % len(failures)]
        options = (
            node.target,
            node.caller,
            next_services[node.service],
            failure,
        )
        return make_command(TARGET_MODULE, *options)

    async with open_fleet(plans, make_target=make_target) as fleet:
        yield fleet


async def count_attempts(fleet: Fleet, depth: int, calls: int) -> float:
    """Sends calls and returns the mean number of attempts at the last layer."""
    limit = asyncio.Semaphore(CONCURRENT_CALLS)
    layers = name_layers(depth)
    entry = next(iter(fleet.nodes))

    async def send_limited() -> None:
        async with limit:
            await fleet.call(entry, service=layers[0])

    await asyncio.gather(*(send_limited() for _ in range(calls)))
    records = await read_records(fleet, layers[-1])
    return sum(record["attempts"] for record in records) / calls
