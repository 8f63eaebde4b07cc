"""Stand-in for the admin servers of many nodes in one process.

Each node has its own IP address in 127.0.0.0/8; all use the same port, which is
served by one listener. Silent nodes accept connections and never respond. Run
it with `python -m standins.status_nodes NODES SILENT`; it prints the admin
address of the first node.
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


def format_host(index: int) -> str:
    """Returns the IP address of a node."""
    return ".".join(str(byte) for byte in (FIRST_HOST + index).to_bytes(4))


class StatusNodes:
    """Status handlers of all nodes.

    Args:
        count: Number of nodes.
        silent: Number of nodes that never respond.
        slow: Whether every node but the first ignores its first request.

    Attributes:
        member_list_requests: Number of requests for the list of all members.
    """

    def __init__(self, count: int, silent: int, slow: bool = False) -> None:
        self.member_list_requests = 0
        self._count = count
        # Silent nodes are spread evenly; the first node always responds.
        step = count // max(silent, 1)
        self._silent = {format_host(1 + i * step) for i in range(silent)}
        slow_indexes = range(1, count if slow else 1)
        self._slow = {format_host(index) for index in slow_indexes}

    async def answer(self, req: web.BaseRequest) -> web.StreamResponse:
        """Handles one request; never returns for silent nodes."""
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
                "admin": f"{format_host(index)}:{port}",
            }
            for index in range(self._count)
        ]


@contextlib.asynccontextmanager
async def open_status_nodes(nodes: StatusNodes) -> AsyncIterator[Address]:
    """Serves nodes; yields the admin address of the first one."""
    runner = web.ServerRunner(
        web.Server(nodes.answer, handler_cancellation=True),
        shutdown_timeout=0.1,
    )
    await runner.setup()
    await web.TCPSite(runner, "0.0.0.0", 0, backlog=4096).start()
    try:
        yield Address(format_host(0), runner.addresses[0][1])
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
