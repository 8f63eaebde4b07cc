"""Stand-in for the platform's store with rows, feed, objects and faults.

Run it with `python -m standins.platform IP:PORT`. `POST /faults` replaces the
injected faults; `GET /counters` returns the numbers of reads and writes served
and of object bytes sent.
"""

import asyncio
import contextlib
import sys
import threading
from collections.abc import AsyncIterator
from typing import Any

import attrs
import orjson
from aiohttp import web

from guavawing.model import Address, parse_address
from standins.platform_tables import PlatformTables

__all__ = ["Faults", "PlatformStandIn", "open_stand_in"]

MS_PER_S = 1000
SILENT_DELAY_S = 60.0
MAX_NAMES = 1_000
GONE, CONFLICT, TOO_MANY, UNAVAILABLE = 410, 412, 429, 503


@attrs.define
class Faults:
    """Faults that the stand-in injects.

    Attributes:
        down: Whether every request is refused with status 503.
        refused: IP addresses of VMs whose requests are refused with status
            429.
        silent: IP addresses of VMs whose requests are delayed beyond every
            timeout.
        delay_s: Delay added to every request, in seconds.
        lose_replies: Number of writes to apply without a reply.
        lose_after: Number of writes that are answered before the first lost
            reply.
        lost_status: Status sent in place of a lost reply; 0 to abort the
            connection.
        serve_first: Number of requests that are served before all further
            ones are refused with status 503; None for no limit.
        era: Value of `Store-Era` in place of the era of the tables; None for
            that era.
        garbage: Whether reads are answered with an unexpected JSON value.
        history_lost: Whether the next feed request is answered with 410.
    """

    down: bool = False
    refused: set[str] = attrs.field(factory=set)
    silent: set[str] = attrs.field(factory=set)
    delay_s: float = 0.0
    lose_replies: int = 0
    lose_after: int = 0
    lost_status: int = 0
    serve_first: int | None = None
    era: str | None = None
    garbage: bool = False
    history_lost: bool = False

    def consume_refusal(self) -> bool:
        """Counts a request; returns whether it is to be refused."""
        if self.serve_first is None:
            return self.down
        self.serve_first -= 1
        return self.serve_first < 0

    def consume_lost_reply(self) -> bool:
        """Counts a write; returns whether its reply is to be lost."""
        if self.lose_after > 0:
            self.lose_after -= 1
            return False
        if self.lose_replies <= 0:
            return False
        self.lose_replies -= 1
        return True


class PlatformStandIn:
    """Store that keeps tables and objects in memory.

    Attributes:
        faults: Faults applied to subsequent requests.
        tables: Tables and rows.
        address: Listen address; empty until it is served.
        calls: Client IP address and path of each request received.
    """

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}
        self.faults = Faults()
        self.tables = PlatformTables()
        self.address = ""
        self.calls: list[tuple[str, str]] = []
        self._requested = threading.Event()
        self._counters = {"reads": 0, "writes": 0, "bytes": 0}

    def wait_for_request(self, timeout_s: float) -> bool:
        """Blocks the calling thread until a request was received.

        Returns:
            Whether one was received within the timeout.
        """
        return self._requested.wait(timeout_s)

    def build_app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(
            middlewares=[self._inject_faults], client_max_size=64 * 2**20
        )
        app.router.add_get("/-/rows-get", self._read_rows)
        app.router.add_get("/-/rows-feed", self._follow)
        app.router.add_post("/-/rows-tx", self._transact)
        app.router.add_put("/-/blob-put/{name}", self._put_object)
        app.router.add_get("/-/blob-get/{name}", self._get_object)
        app.router.add_get("/-/blob-list", self._list_objects)
        app.router.add_delete("/-/blob-drop/{name}", self._drop_object)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/counters", self._get_counters)
        return app

    @web.middleware
    async def _inject_faults(
        self, req: web.Request, handler: Any
    ) -> web.StreamResponse:
        if req.path in ("/faults", "/counters"):
            return await handler(req)
        resp = await self._handle(req, handler)
        era = self.faults.era
        resp.headers["Store-Era"] = str(self.tables.era) if era is None else era
        return resp

    async def _handle(
        self, req: web.Request, handler: Any
    ) -> web.StreamResponse:
        self._requested.set()
        host = req.remote or ""
        self.calls.append((host, req.path))
        if host in self.faults.silent:
            await asyncio.sleep(SILENT_DELAY_S)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.consume_refusal():
            return web.Response(status=UNAVAILABLE)
        if host in self.faults.refused:
            return web.Response(status=TOO_MANY)
        is_write = req.method != "GET"
        self._counters["writes" if is_write else "reads"] += 1
        resp = await handler(req)
        if not is_write:
            return web.Response(body=b"[7]") if self.faults.garbage else resp
        if self.faults.consume_lost_reply():
            if self.faults.lost_status:
                return web.Response(status=self.faults.lost_status)
            assert req.transport is not None
            req.transport.abort()
        return resp

    async def _read_rows(self, req: web.Request) -> web.Response:
        answer = self.tables.read(
            req.query["table"],
            start=req.query.get("from", ""),
            end=req.query.get("to", ""),
            limit=int(req.query.get("limit", "500")),
        )
        return _respond(answer)

    async def _follow(self, req: web.Request) -> web.Response:
        if self.faults.history_lost:
            self.faults.history_lost = False
            return web.Response(status=GONE)
        if not self.tables.knows(int(req.query["after"])):
            return web.Response(status=GONE)
        answer = await self.tables.follow(
            req.query["table"],
            after=int(req.query["after"]),
            wait_s=int(req.query["waitMs"]) / MS_PER_S,
        )
        return _respond(answer)

    async def _transact(self, req: web.Request) -> web.Response:
        answer = self.tables.transact(orjson.loads(await req.read()))
        if answer is None:
            return web.Response(status=CONFLICT, body=b'{"rows":[]}')
        return _respond(answer)

    async def _put_object(self, req: web.Request) -> web.Response:
        self._objects[req.match_info["name"]] = await req.read()
        return _respond({})

    async def _get_object(self, req: web.Request) -> web.Response:
        payload = self._objects.get(req.match_info["name"])
        if payload is None:
            return web.Response(status=404)
        self._counters["bytes"] += len(payload)
        return web.Response(body=payload)

    async def _list_objects(self, req: web.Request) -> web.Response:
        after = req.query.get("after", "")
        prefix = req.query.get("prefix", "")
        names = [
            name
            for name in sorted(self._objects)
            if name > after and name.startswith(prefix)
        ]
        more = len(names) > MAX_NAMES
        return _respond({"names": names[:MAX_NAMES], "hasMore": more})

    async def _drop_object(self, req: web.Request) -> web.Response:
        self._objects.pop(req.match_info["name"], None)
        return _respond({})

    async def _set_faults(self, req: web.Request) -> web.Response:
        self.faults = Faults(**orjson.loads(await req.read()))
        return _respond({})

    async def _get_counters(self, _: web.Request) -> web.Response:
        return _respond(self._counters)


def _respond(tree: Any) -> web.Response:
    return web.Response(
        body=orjson.dumps(tree), content_type="application/json"
    )


@contextlib.asynccontextmanager
async def open_stand_in(
    standin: PlatformStandIn, *, host: str = "127.0.0.1"
) -> AsyncIterator[Address]:
    """Serves a stand-in on a free port of a loopback IP; yields its address."""
    runner = web.AppRunner(
        standin.build_app(), access_log=None, shutdown_timeout=0.1
    )
    await runner.setup()
    await web.TCPSite(runner, host, 0).start()
    address = Address(*runner.addresses[0][:2])
    standin.address = str(address)
    try:
        yield address
    finally:
        await runner.cleanup()


def main() -> None:
    """Serves the stand-in until the process is stopped."""
    address = parse_address(sys.argv[1])
    web.run_app(
        PlatformStandIn().build_app(),
        host=address.host,
        port=address.port,
        print=None,
        access_log=None,
    )


if __name__ == "__main__":
    main()
