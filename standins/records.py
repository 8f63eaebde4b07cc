"""Execution records of the targets of a fleet."""

import collections
from typing import Any

from standins.cluster import Fleet


async def read_record(fleet: Fleet, name: str) -> Any:
    """Returns the record of the target of a node."""
    return await fleet.get(fleet.nodes[name].target, "/record")


async def read_records(fleet: Fleet, service: str = "") -> list[Any]:
    """Returns the records of the targets of a service, or of all targets."""
    return [
        await read_record(fleet, node.name)
        for node in fleet.nodes.values()
        if service in ("", node.service)
    ]


async def count_executions(fleet: Fleet) -> collections.Counter[str]:
    """Returns the executions per key, summed over all targets."""
    counts: collections.Counter[str] = collections.Counter()
    for record in await read_records(fleet):
        counts.update(record["executions"])
    return counts
