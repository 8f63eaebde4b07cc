"""A chain of services as processes: each target calls the next service."""

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
    """Returns the names of the services, the first one called first."""
    return [f"layer-{number}" for number in range(depth)]


@contextlib.asynccontextmanager
async def open_chain(
    depth: int, failures: Sequence[str]
) -> AsyncIterator[Fleet]:
    """Starts a chain whose last service drops every call.

    Args:
        depth: Number of services.
        failures: What a service does when its own call fails, layer by layer
            in turn: "answer" an error or "drop" the connection.
    """
    layers = name_layers(depth)
    following = dict(zip(layers, [*layers[1:], LEAF], strict=True))
    plans = [
        NodePlan(f"{name}-{copy}", name, "bergen", "vestland")
        for name in layers
        for copy in range(COPIES)
    ]

    def make_target(node: FleetNode) -> list[str]:
        failure = failures[layers.index(node.service) % len(failures)]
        options = (node.target, node.caller, following[node.service], failure)
        return make_command(TARGET_MODULE, *options)

    async with open_fleet(plans, make_target=make_target) as fleet:
        yield fleet


async def count_attempts(fleet: Fleet, depth: int, calls: int) -> float:
    """Returns the attempts at the leaf for each of some calls offered."""
    limit = asyncio.Semaphore(CONCURRENT_CALLS)
    layers = name_layers(depth)
    entry = next(iter(fleet.nodes))

    async def offer() -> None:
        async with limit:
            await fleet.call(entry, service=layers[0])

    await asyncio.gather(*(offer() for _ in range(calls)))
    records = await read_records(fleet, layers[-1])
    return sum(record["attempts"] for record in records) / calls
