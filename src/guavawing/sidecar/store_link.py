"""The one connection-keeping caller of the platform's store."""

import asyncio
import socket

from guavawing.errors import PlatformUnavailableError, PlatformWriteUnknownError
from guavawing.model import Address
from guavawing.platform.store_client import HttpCall
from guavawing.sidecar.http_client import (
    ClientConnection,
    HttpReply,
    ResponseHandler,
)

__all__ = ["StoreLink"]

CONNECT_TIMEOUT_S = 1.0
# A connection that went silent is found by the system's probes: the first one
# after this idle time, then at this interval, this many until it is lost.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A kept connection is not used after this idle time, in seconds.
MAX_IDLE_S = 4.0


class StoreLink:
    """Makes calls to the store, each on a connection of its own at a time."""

    def __init__(self, address: Address, *, source: str) -> None:
        """Creates a caller without connections.

        Args:
            address: Where the store listens.
            source: IP address to connect from.
        """
        self._source = source
        self._loop = asyncio.get_running_loop()
        self._address = address
        self._idle: list[ClientConnection] = []

    async def call(self, call: HttpCall) -> tuple[int, bytes]:
        """Makes a call; see `guavawing.platform.store_client.Transport`."""
        conn = await self._connect()
        fut: asyncio.Future[HttpReply] = self._loop.create_future()
        lost = PlatformWriteUnknownError("the connection to the store broke")
        handler = ResponseHandler(
            accepts=lambda _: True,
            on_reply=lambda reply: _resolve(fut, reply),
            on_loss=lambda _: _fail(fut, lost),
        )
        conn.send(self._encode(call), handler)
        try:
            async with asyncio.timeout(call.timeout_s):
                reply = await fut
        except TimeoutError as exc:
            conn.close()
            raise PlatformWriteUnknownError(
                f"no answer of the store in {call.timeout_s} s"
            ) from exc
        except BaseException:
            conn.close()
            raise
        if conn.usable:
            self._idle.append(conn)
        return reply.status, reply.body

    def set_address(self, address: Address) -> None:
        """Makes the next calls to another address."""
        self.close()
        self._address = address

    def close(self) -> None:
        """Closes the connections that are not in use."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    async def _connect(self) -> ClientConnection:
        now = self._loop.time()
        while self._idle:
            conn = self._idle.pop()
            if conn.usable and now - conn.idle_since < MAX_IDLE_S:
                return conn
            conn.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, conn = await self._loop.create_connection(
                    ClientConnection,
                    self._address.host,
                    self._address.port,
                    local_addr=(self._source, 0),
                )
        except (OSError, TimeoutError) as exc:
            raise PlatformUnavailableError(
                f"no connection to the store: {exc!r}"
            ) from exc
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            tcp = socket.IPPROTO_TCP
            sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
            sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
            sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        return conn

    def _encode(self, call: HttpCall) -> bytes:
        head = (
            f"{call.method} {call.path} HTTP/1.1\r\nHost: {self._address}\r\n"
        )
        if call.body:
            head += "Content-Type: application/json\r\n"
        if call.body or call.method != "GET":
            head += f"Content-Length: {len(call.body)}\r\n"
        return head.encode() + b"\r\n" + call.body


def _resolve(fut: "asyncio.Future[HttpReply]", reply: HttpReply) -> None:
    if not fut.done():
        fut.set_result(reply)


def _fail(fut: "asyncio.Future[HttpReply]", exc: Exception) -> None:
    if not fut.done():
        fut.set_exception(exc)
