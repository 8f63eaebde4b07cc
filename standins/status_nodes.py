"""Stand-in for the admin servers of many nodes, in one process.

Every node has an IP address of its own in 127.0.0.0/8 and the same port; one
listener answers for all. Silent nodes take the connection and never answer.
Run it with `python -m standins.status_nodes NODES SILENT`; it prints the admin
address of its first node.
"""

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator
from typing import Any

import orjson
from aiohttp import web

from guavawing.model import Address

FIRST_HOST = 127 * 2**24 + 1 * 2**16
VERSION = 7


def name_host(index: int) -> str:
    """Returns the IP address of a node."""
    return ".".join(str(byte) for byte in (FIRST_HOST + index).to_bytes(4))


class StatusNodes:
    """The statuses of all nodes.

    Args:
        count: Number of nodes.
        silent: Number of them that never answer.
        slow: Whether each node but the first does not answer the first time
            that it is asked.

    Attributes:
        lists: Number of lists of all members that were asked for.
    """

    def __init__(self, count: int, silent: int, slow: bool = False) -> None:
        self.member_list_requests = 0
        self._count = count
        # Spread over the fleet; the first node answers.
        step = count // max(silent, 1)
        self._silent = {name_host(1 + i * step) for i in range(silent)}
        asked_once = range(1, count if slow else 1)
        self._slow = {name_host(index) for index in asked_once}

    async def answer(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answers one request, or never."""
        host = req.host.partition(":")[0]
        if host in self._silent or host in self._slow:
            self._slow.discard(host)
            await asyncio.Event().wait()
        tree: dict[str, Any] = {"node": host, "version": VERSION}
        if req.query.get("members") != "no":
            self.member_list_requests += 1
            tree["members"] = self._list_members(req.host.rpartition(":")[2])
        return web.Response(body=orjson.dumps(tree))

    def _list_members(self, port: str) -> list[dict[str, Any]]:
        return [
            {
                "node": f"node-{index}",
                "state": "alive",
                "serving": True,
                "data_centre": "bergen",
                "service": "desk",
                "admin": f"{name_host(index)}:{port}",
            }
            for index in range(self._count)
        ]


@contextlib.asynccontextmanager
async def open_status_nodes(nodes: StatusNodes) -> AsyncIterator[Address]:
    """Serves nodes; gives the admin address of the first one."""
    runner = web.ServerRunner(
        web.Server(nodes.answer, handler_cancellation=True),
        shutdown_timeout=0.1,
    )
    await runner.setup()
    await web.TCPSite(runner, "0.0.0.0", 0, backlog=4096).start()
    try:
        yield Address(name_host(0), runner.addresses[0][1])
    finally:
        await runner.cleanup()


async def _serve(nodes: StatusNodes) -> None:
    async with open_status_nodes(nodes) as address:
        print(address, flush=True)
        await asyncio.Event().wait()


def main() -> None:
    """Serves until the process is stopped."""
    count, silent = map(int, sys.argv[1:])
    asyncio.run(_serve(StatusNodes(count, silent)))


if __name__ == "__main__":
    main()
