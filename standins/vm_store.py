"""Stand-in for the platform's store: rows, their feed, and how it fails."""

import asyncio
import base64
import contextlib
import time
from collections.abc import AsyncIterator

import attrs
import orjson
from aiohttp import web

OK, GONE, CONFLICT, TOO_MANY, UNAVAILABLE = 200, 410, 412, 429, 503
MS_PER_S = 1000
SILENCE_S = 60.0


@attrs.define
class StoreFaults:
    """How the store fails.

    Attributes:
        away: Whether all calls are answered with 503.
        refused: Addresses of VMs that are answered with 429.
        silent: Addresses of VMs that get no answer.
        lost_writes: Writes to be carried out and not answered.
        history_lost: Whether the next feed is answered with 410.
    """

    away: bool = False
    refused: set[str] = attrs.field(factory=set)
    silent: set[str] = attrs.field(factory=set)
    lost_writes: int = 0
    history_lost: bool = False


@attrs.define
class VmStore:
    """Rows by table and key.

    Attributes:
        faults: How it fails.
        calls: Calls by address of the VM and path.
    """

    faults: StoreFaults = attrs.field(factory=StoreFaults)
    calls: list[tuple[str, str]] = attrs.field(factory=list)
    address: str = ""
    _rows: dict[tuple[str, str], tuple[str | None, int]] = attrs.field(
        factory=dict
    )
    _version: int = 0
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Writes or removes a row as the operator does."""
        self._version += 1
        text = None if value is None else base64.b64encode(value).decode()
        self._rows[table, key] = (text, self._version)
        self._changed.set()
        self._changed = asyncio.Event()

    def put_raw(self, table: str, key: str, text: str) -> None:
        """Writes a row whose value is not base64."""
        self._version += 1
        self._rows[table, key] = (text, self._version)

    def get(self, table: str, key: str) -> bytes | None:
        """Returns the value of a row, or None."""
        text, _ = self._rows.get((table, key), (None, 0))
        return None if text is None else base64.b64decode(text)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answers a call, or fails as told."""
        host = request.remote or ""
        self.calls.append((host, request.path))
        if host in self.faults.silent:
            await asyncio.sleep(SILENCE_S)
        if self.faults.away:
            return web.Response(status=UNAVAILABLE)
        if host in self.faults.refused:
            return web.Response(status=TOO_MANY)
        match request.path:
            case "/-/rows-get":
                return self._reply(self._list(request.query["table"], -1))
            case "/-/rows-feed":
                return await self._feed(request)
            case "/-/rows-tx":
                return await self._transact(request)
        return web.Response(status=404)

    def _list(self, table: str, after: int) -> list[dict[str, object]]:
        found = []
        for (name, key), (text, version) in sorted(self._rows.items()):
            if name != table or version <= after:
                continue
            row = {"table": name, "part": "", "key": key}
            row |= {"schemaVersion": version}
            row |= {"deleted": True} if text is None else {"value": text}
            if text is not None or after >= 0:
                found.append(row)
        return found

    def _reply(self, rows: list[dict[str, object]]) -> web.Response:
        body = {
            "rows": rows,
            "hasMore": False,
            "schemaVersion": self._version,
            "nowMs": int(time.monotonic() * MS_PER_S),
        }
        return web.Response(
            body=orjson.dumps(body), content_type="application/json"
        )

    async def _feed(self, request: web.Request) -> web.Response:
        if self.faults.history_lost:
            self.faults.history_lost = False
            return web.Response(status=GONE)
        table, after = request.query["table"], int(request.query["after"])
        wait_s = int(request.query["waitMs"]) / MS_PER_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._list(table, after):
                    await self._changed.wait()
        return self._reply(self._list(table, after))

    async def _transact(self, request: web.Request) -> web.StreamResponse:
        body = orjson.loads(await request.read())
        for row in body["precondition"]:
            _, version = self._rows.get((row["table"], row["key"]), (None, 0))
            if version != row["schemaVersion"]:
                return web.Response(status=CONFLICT, body=b'{"rows":[]}')
        for row in body["puts"]:
            value = base64.b64decode(row["value"])
            self.put(row["table"], row["key"], value)
        for row in body["remove"]:
            self.put(row["table"], row["key"], None)
        if self.faults.lost_writes:
            self.faults.lost_writes -= 1
            assert request.transport is not None
            request.transport.abort()
        return self._reply([])


@contextlib.asynccontextmanager
async def open_vm_store(host: str) -> AsyncIterator[VmStore]:
    """Serves a store on a free port of an address until closed."""
    store = VmStore()
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", store.handle)
    runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, host, 0)
    await site.start()
    port = runner.addresses[0][1]
    store.address = f"{host}:{port}"
    try:
        yield store
    finally:
        await runner.cleanup()
