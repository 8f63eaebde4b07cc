"""Stand-in for the platform: transactional table service and object store.

Run it with `python -m standins.platform IP:PORT`. `POST /faults` changes how
it fails; `GET /counters` tells how many reads and writes it has served.
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


@attrs.define
class Faults:
    """How the stand-in fails.

    Attributes:
        down: Whether every request is refused with status 503.
        delay_s: Time added to every request, in seconds.
        lose_replies: Number of writes to carry out without an answer.
        lose_after: Number of writes that are answered before that.
        lost_status: Status answered in place of a lost reply; 0 to close the
            connection.
        serve_first: Number of requests that are served before every request
            is refused; None for no such limit.
        garbage: Whether reads are answered with bytes that mean nothing.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    lose_after: int = 0
    lost_status: int = 0
    serve_first: int | None = None
    garbage: bool = False

    def refuses(self) -> bool:
        """Counts a request; returns whether it is refused."""
        if self.serve_first is None:
            return self.down
        self.serve_first -= 1
        return self.serve_first < 0

    def loses_reply(self) -> bool:
        """Counts a write; returns whether its reply is lost."""
        if self.lose_after > 0:
            self.lose_after -= 1
            return False
        self.lose_replies -= 1
        return self.lose_replies >= 0


class PlatformStandIn:
    """Tables and objects in memory.

    Attributes:
        faults: How it fails from now on.
    """

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, tuple[Any, int]]] = {}
        self._objects: dict[str, bytes] = {}
        self.faults = Faults()
        self._requested = threading.Event()
        self._counters = {"reads": 0, "writes": 0, "bytes": 0}

    def wait_for_request(self, timeout_s: float) -> bool:
        """Waits in another thread until a request has come."""
        return self._requested.wait(timeout_s)

    def build_app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(
            middlewares=[self._inject_faults], client_max_size=64 * 2**20
        )
        app.router.add_get("/tables/{table}/rows", self._scan)
        app.router.add_get("/tables/{table}/rows/{key}", self._get_row)
        app.router.add_post("/transactions", self._transact)
        app.router.add_put("/objects/{name}", self._put_object)
        app.router.add_get("/objects/{name}", self._get_object)
        app.router.add_get("/objects", self._list_objects)
        app.router.add_delete("/objects/{name}", self._delete_object)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/counters", self._get_counters)
        return app

    @web.middleware
    async def _inject_faults(
        self, req: web.Request, handler: Any
    ) -> web.StreamResponse:
        if req.path in ("/faults", "/counters"):
            return await handler(req)
        self._requested.set()
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.refuses():
            return web.Response(status=503)
        is_write = req.method != "GET"
        self._counters["writes" if is_write else "reads"] += 1
        resp = await handler(req)
        if not is_write:
            return web.Response(body=b"[7]") if self.faults.garbage else resp
        if self.faults.loses_reply():
            if self.faults.lost_status:
                return web.Response(status=self.faults.lost_status)
            assert req.transport is not None
            req.transport.abort()
        return resp

    async def _scan(self, req: web.Request) -> web.Response:
        rows = self._tables.get(req.match_info["table"], {})
        after = req.query.get("after", "")
        limit = int(req.query.get("limit", "1000"))
        keys = sorted(key for key in rows if key > after)[:limit]
        return _respond({"rows": [_row(key, rows[key]) for key in keys]})

    async def _get_row(self, req: web.Request) -> web.Response:
        rows = self._tables.get(req.match_info["table"], {})
        key = req.match_info["key"]
        if key not in rows:
            return web.Response(status=404)
        return _respond(_row(key, rows[key]))

    async def _transact(self, req: web.Request) -> web.Response:
        writes = orjson.loads(await req.read())["writes"]
        for write in writes:
            expected = write["expected_revision"]
            rows = self._tables.get(write["table"], {})
            _, revision = rows.get(write["key"], (None, 0))
            if expected is not None and expected != revision:
                return web.Response(status=409)
        for write in writes:
            rows = self._tables.setdefault(write["table"], {})
            _, revision = rows.get(write["key"], (None, 0))
            if write["value"] is None:
                rows.pop(write["key"], None)
            else:
                rows[write["key"]] = (write["value"], revision + 1)
        return _respond({})

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
        limit = int(req.query.get("limit", "1000"))
        names = sorted(name for name in self._objects if name > after)
        return _respond({"names": names[:limit]})

    async def _delete_object(self, req: web.Request) -> web.Response:
        self._objects.pop(req.match_info["name"], None)
        return _respond({})

    async def _set_faults(self, req: web.Request) -> web.Response:
        self.faults = Faults(**orjson.loads(await req.read()))
        return _respond({})

    async def _get_counters(self, _: web.Request) -> web.Response:
        return _respond(self._counters)


def _row(key: str, entry: tuple[Any, int]) -> dict[str, Any]:
    return {"key": key, "value": entry[0], "revision": entry[1]}


def _respond(tree: Any) -> web.Response:
    return web.Response(
        body=orjson.dumps(tree), content_type="application/json"
    )


@contextlib.asynccontextmanager
async def open_stand_in(standin: PlatformStandIn) -> AsyncIterator[Address]:
    """Serves a stand-in on loopback; gives its address."""
    runner = web.AppRunner(
        standin.build_app(), access_log=None, shutdown_timeout=0.1
    )
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield Address(*runner.addresses[0][:2])
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
