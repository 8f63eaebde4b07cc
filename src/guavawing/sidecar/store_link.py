"""HTTP transport to the platform's store with reused connections."""

import asyncio
import socket

from guavawing.errors import PlatformUnavailableError, PlatformWriteUnknownError
from guavawing.model import Address
from guavawing.platform.store_transport import (
    ERA_HEADER,
    HttpAnswer,
    HttpCall,
    parse_era,
)
from guavawing.sidecar.http_client import (
    ClientConnection,
    HttpReply,
    ResponseHandler,
)
from guavawing.sidecar.parse_pacer import ParsePacer

__all__ = ["StoreLink"]

CONNECT_TIMEOUT_S = 1.0
# TCP keepalive of the connections: idle time before the first probe, interval
# of probes in seconds, and number of unanswered probes until a connection
# counts as lost.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Time without further bytes after which an answer that has begun counts as
# lost, and longest time for a whole answer, in seconds: a large one takes
# seconds on a narrow link.
MAX_STALL_S = 1.0
MAX_ANSWER_S = 15.0
# Longest idle time of a connection that is reused, in seconds.
MAX_IDLE_S = 4.0


class StoreLink:
    """Transport that sends one call at a time on each connection."""

    def __init__(self, address: Address, *, source: str) -> None:
        """Creates a transport without connections.

        Args:
            address: Address of the store.
            source: Local IP address of the connections.
        """
        self._source = source
        self._loop = asyncio.get_running_loop()
        self._address = address
        self._idle: list[ClientConnection] = []
        self._pacer = ParsePacer()
        # Time limits of the calls under way, and the latest ones allowed.
        self._limits: dict[ClientConnection, tuple[asyncio.Timeout, float]] = {}

    async def call(self, call: HttpCall) -> HttpAnswer:
        """Sends a call; see `guavawing.platform.store_transport.Transport`."""
        if call.fresh:
            self.close()
        conn = await self._connect()
        sent_at = self._loop.time()
        fut: asyncio.Future[HttpReply] = self._loop.create_future()
        lost = PlatformWriteUnknownError("connection to the store lost")
        handler = ResponseHandler(
            accepts=lambda _: True,
            on_reply=lambda reply: _resolve(fut, reply),
            on_loss=lambda _: _fail(fut, lost),
        )
        conn.send(self._encode(call), handler)
        try:
            async with asyncio.timeout(call.timeout_s) as limit:
                self._limits[conn] = limit, sent_at + MAX_ANSWER_S
                reply = await fut
        except TimeoutError as exc:
            conn.close()
            # Connections without an answer since then may be lost, too.
            self._close_idle(before=sent_at)
            raise PlatformWriteUnknownError(
                f"store did not answer within {call.timeout_s} s"
            ) from exc
        except BaseException:
            conn.close()
            raise
        finally:
            self._limits.pop(conn, None)
        if conn.usable:
            self._idle.append(conn)
        eras = [
            value.decode("latin-1").strip()
            for name, value in reply.headers
            if name.lower() == ERA_HEADER.lower().encode()
        ]
        return HttpAnswer(reply.status, reply.body, parse_era(eras))

    def set_address(self, address: Address) -> None:
        """Sends further calls to another address."""
        self.close()
        self._address = address

    def close(self) -> None:
        """Closes the idle connections."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def _extend(self, conn: ClientConnection) -> None:
        """Moves the time limit of a call whose answer is arriving."""
        limit, latest = self._limits.get(conn, (None, 0.0))
        ends_at = None if limit is None else limit.when()
        if limit is not None and ends_at is not None and not limit.expired():
            extended = min(self._loop.time() + MAX_STALL_S, latest)
            limit.reschedule(max(ends_at, extended))

    def _close_idle(self, *, before: float) -> None:
        """Closes idle connections whose last answer is older than a time."""
        for conn in self._idle:
            if conn.idle_since < before:
                conn.close()
        self._idle = [conn for conn in self._idle if conn.usable]

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
                    lambda: ClientConnection(
                        on_growth=self._extend, pacer=self._pacer
                    ),
                    self._address.host,
                    self._address.port,
                    local_addr=(self._source, 0),
                )
        except (OSError, TimeoutError) as exc:
            raise PlatformUnavailableError(
                f"cannot connect to the store: {exc!r}"
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
