"""Transport of a store client to tables in memory."""

import asyncio
import urllib.parse
from collections.abc import Callable
from typing import Any

import orjson

from guavawing.errors import PlatformWriteUnknownError
from guavawing.platform.store_transport import HttpAnswer, HttpCall
from standins.platform_tables import PlatformTables

__all__ = ["TablesTransport"]

CALL_S = 0.004


class TablesTransport:
    """Calls of one client to tables in memory.

    Attributes:
        calls: Paths of the calls.
        refused_writes: Number of writes that are refused with status 503.
        before_write: Called before a write is executed.
    """

    def __init__(self, tables: PlatformTables) -> None:
        self.tables = tables
        self.calls: list[str] = []
        self.refused_writes = 0
        self.before_write: Callable[[], None] = lambda: None
        self._lost: asyncio.Future[None] | None = None

    async def call(self, call: HttpCall) -> HttpAnswer:
        """Executes a call; see `platform.store_transport.Transport`."""
        path, _, query_text = call.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        self.calls.append(path)
        await asyncio.sleep(CALL_S)
        status, tree = await self._execute(path, query, call.body)
        return HttpAnswer(status, orjson.dumps(tree), self.tables.era)

    async def _execute(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        match path:
            case "/-/rows-get":
                tree = self.tables.read(
                    query["table"],
                    start=query["from"],
                    end="",
                    limit=int(query.get("limit", "500")),
                )
                return 200, tree
            case "/-/rows-feed":
                after, wait_ms = int(query["after"]), int(query["waitMs"])
                if not self.tables.knows(after):
                    return 410, {}
                return 200, await self._follow(query["table"], after, wait_ms)
            case "/-/rows-tx":
                if self.refused_writes:
                    self.refused_writes -= 1
                    return 503, {}
                self.before_write()
                tree = self.tables.transact(orjson.loads(body))
                return (412, {}) if tree is None else (200, tree)
        raise AssertionError(path)

    async def _follow(self, table: str, after: int, wait_ms: int) -> Any:
        """Waits for changes; the call is lost if the store is restored."""
        loop = asyncio.get_running_loop()
        self._lost = loop.create_future()
        call = loop.create_task(
            self.tables.follow(table, after=after, wait_s=wait_ms / 1000)
        )
        await asyncio.wait(
            (call, self._lost), return_when=asyncio.FIRST_COMPLETED
        )
        if self._lost.done():
            call.cancel()
            raise PlatformWriteUnknownError("connection lost")
        return call.result()

    def cut(self) -> None:
        """Closes the connection of a call that waits."""
        if self._lost is not None and not self._lost.done():
            self._lost.set_result(None)
