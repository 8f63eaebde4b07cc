"""A target that calls the next service through its node.

Run it with `python -m bench.chain_target IP:PORT ENTRY NEXT FAILURE`. NEXT is
the service to call, `-` for a leaf. A leaf drops every connection without an
answer; another target whose call fails answers an error (FAILURE `answer`)
or drops the connection too (FAILURE `drop`). `GET /record` returns how many
requests it got.
"""

import asyncio
import sys

import aiohttp
import orjson
from aiohttp import web

from guavawing.model import parse_address
from guavawing.node.call_headers import (
    BUDGET_HEADER,
    CALL_ID_HEADER,
    DEADLINE_HEADER,
    DEPTH_HEADER,
    SERVICE_HEADER,
)

LEAF = "-"
PASSED_ON = (DEADLINE_HEADER, DEPTH_HEADER, CALL_ID_HEADER)
_OK = 200


class ChainTarget:
    """One target of the chain."""

    def __init__(self, entry: str, following: str, failure: str) -> None:
        self._entry = entry
        self._following = following
        self._drops = failure == "drop" or following == LEAF
        self._requests = 0

    async def run(self, host: str, port: int) -> None:
        """Serves requests until the process is stopped."""
        async with aiohttp.ClientSession() as self._session:
            runner = web.ServerRunner(web.Server(self._handle))
            await runner.setup()
            await web.TCPSite(runner, host, port).start()
            await asyncio.Event().wait()

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        if req.path == "/health":
            return web.Response()
        if req.path == "/record":
            return web.Response(body=orjson.dumps({"attempts": self._requests}))
        self._requests += 1
        headers = {}
        if self._following != LEAF:
            ok, headers = await self._call_next(req)
            if ok:
                return web.Response()
        if self._drops:
            assert req.transport is not None
            req.transport.abort()
        return web.Response(status=502, headers=headers)

    async def _call_next(
        self, req: web.BaseRequest
    ) -> tuple[bool, dict[str, str]]:
        headers = {name: req.headers[name] for name in PASSED_ON}
        headers[SERVICE_HEADER] = self._following
        async with self._session.get(
            f"http://{self._entry}/", headers=headers
        ) as resp:
            await resp.read()
            spent = resp.headers.get(BUDGET_HEADER)
            flag = {} if spent is None else {BUDGET_HEADER: spent}
            return resp.status == _OK, flag


def main() -> None:
    """Runs a target of the chain from command-line arguments."""
    address, entry, following, failure = sys.argv[1:]
    listen = parse_address(address)
    target = ChainTarget(entry, following, failure)
    asyncio.run(target.run(listen.host, listen.port))


if __name__ == "__main__":
    main()
