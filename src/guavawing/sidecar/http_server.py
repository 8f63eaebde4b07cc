"""HTTP/1.1 server for callers, targets and the platform.

The parser is a library's; its strict mode refuses requests whose framing is
ambiguous, so that no request can be hidden in another one.
"""

import asyncio
import collections
from collections.abc import Callable
from typing import cast

import attrs
import httptools

from guavawing.node.listener import Listener
from guavawing.platform.headers import build_refusal
from guavawing.sidecar.link_pacer import LARGE_BYTES, LinkPacer
from guavawing.traffic.model import ClientLimits

__all__ = ["HttpRequest", "HttpServer", "ServerConnection"]

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
PAYLOAD_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
# Period in which idle connections and slow requests are looked for.
SWEEP_PERIOD_S = 0.5
# Time beyond a limit after which a connection is closed, in seconds: a
# client that keeps to the limit never meets the close.
LIMIT_MARGIN_S = 1.0
# Time that a new connection is given for its first request, in seconds, when
# the process ends: some round trips inside a data centre.
FIRST_REQUEST_S = 0.25
# Requests that a client may send ahead of their answers.
MAX_PIPELINED = 32
# Connections from which on refused clients are told to close theirs, and four
# times as many from which on all are: a part of the descriptors of a process.
MANY_CONNECTIONS = 400
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@attrs.define(eq=False)
class HttpRequest:
    """One request, whole.

    Attributes:
        conn: Connection that it came on.
        method: HTTP method.
        path: Path with its query, as it was sent.
        headers: Names and values, as they were sent.
        body: Whole body.
        on_gone: Is called once if the client goes away before the answer.
    """

    conn: "ServerConnection"
    method: bytes
    path: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    on_gone: Callable[[], None] | None = None


Handler = Callable[[HttpRequest], None]


class HttpServer:
    """One listener and its connections.

    Attributes:
        limits: Bounds on clients, from the newest configuration.
        leaving: Whether clients are told to go elsewhere.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        max_connections: int,
        pacer: LinkPacer | None = None,
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            handler: Takes whole requests.
            max_connections: Connections beyond that are closed.
            pacer: Paces large answers; None if there are none.
        """
        self._loop = asyncio.get_running_loop()
        self._max_connections = max_connections
        self.pacer = pacer
        self._listener = Listener(lambda: ServerConnection(self))
        self._sweeper: asyncio.TimerHandle | None = None
        self.handler = handler
        self.connections: set[ServerConnection] = set()
        self.limits = ClientLimits()
        self.leaving = False
        self.last_request_at = self._loop.time()

    @property
    def busy(self) -> bool:
        """Whether a request is not answered."""
        return any(conn.busy for conn in self.connections)

    @property
    def awaits_first(self) -> bool:
        """Whether a new connection's first request may be on its way."""
        return self._listener.taking or any(
            conn.is_awaited() for conn in self.connections
        )

    async def listen(self, host: str, port: int) -> None:
        """Opens the listener."""
        await self._listener.open(host, port)
        self._sweep()

    def admits(self) -> bool:
        """Returns whether one more connection may be opened."""
        return len(self.connections) <= self._max_connections

    def close_listener(self) -> None:
        """Takes no more connections."""
        self._listener.close()

    def close(self) -> None:
        """Closes everything at once."""
        self.close_listener()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for conn in tuple(self.connections):
            conn.abort()

    def close_idle(self) -> None:
        """Closes the connections on which no request is under way."""
        for conn in tuple(self.connections):
            if not (conn.busy or conn.reading or conn.is_awaited()):
                conn.close()

    def _sweep(self) -> None:
        now = self._loop.time()
        for conn in tuple(self.connections):
            conn.check_limits(now)
        self._sweeper = self._loop.call_later(SWEEP_PERIOD_S, self._sweep)


class ServerConnection(asyncio.Protocol):
    """One client connection; answers go out in the order of the requests."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_current",
        "_header_bytes",
        "_headers",
        "_is_new",
        "_parser",
        "_pending",
        "_refused",
        "_sending",
        "_server",
        "_since",
        "_transport",
        "_url",
        "reading",
    )

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: collections.deque[HttpRequest] = collections.deque()
        self._current: HttpRequest | None = None
        self._refused = 0
        # Whether a large answer is being sent in pieces.
        self._sending = False
        self._is_new = True
        self.reading = False
        self._since = 0.0
        self._reset()

    @property
    def busy(self) -> bool:
        """Whether a request waits for its answer, or a part of it."""
        return self._current is not None or self._sending

    @property
    def open(self) -> bool:
        """Whether the client can still be answered."""
        return self._transport is not None

    def is_awaited(self) -> bool:
        """Returns whether the client has just come and sent nothing yet."""
        age_s = self._server._loop.time() - self._since
        return self._is_new and age_s < FIRST_REQUEST_S

    def respond(self, payload: bytes, *, closes: bool = False) -> None:
        """Answers the current request.

        Args:
            payload: Bytes of the whole answer.
            closes: Whether the answer says that the connection is closed.
        """
        transport = self._transport
        self._current = None
        if transport is None:
            return
        pacer = self._server.pacer
        if pacer is None or len(payload) < LARGE_BYTES:
            transport.write(payload)
            self._take_sent(closes=closes)
            return

        def write(piece: bytes, last: bool) -> None:
            transport.write(piece)
            if last:
                self._sending = False
                self._take_sent(closes=closes)

        self._sending = True
        pacer.offer(self, payload, write)

    def _take_sent(self, *, closes: bool) -> None:
        """Goes on after an answer that was written to its end."""
        transport = self._transport
        assert transport is not None
        self._since = self._server._loop.time()
        if closes:
            self._transport = None
            self._server.connections.discard(self)
            transport.close()
        elif self._pending:
            self._dispatch(self._pending.popleft())

    def keeps_open(self, *, refused: bool = False) -> bool:
        """Returns whether the connection outlives the current answer.

        Args:
            refused: Whether the answer is a refusal. Clients return on a new
                connection, so this one would only be idle.
        """
        server = self._server
        most = MANY_CONNECTIONS if refused else 4 * MANY_CONNECTIONS
        return (
            not server.leaving
            and not self._refused
            and len(server.connections) <= most
        )

    def close(self) -> None:
        """Closes the connection after what was written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def check_limits(self, now: float) -> None:
        """Closes the connection if the client is too slow or idle."""
        if self.busy:
            return
        limits = self._server.limits
        limit_s = (
            limits.header_timeout_s if self.reading else limits.idle_timeout_s
        )
        if now - self._since <= limit_s + LIMIT_MARGIN_S:
            return
        if self.reading:
            self._refuse(REQUEST_TIMEOUT)
        else:
            self.close()

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._since = self._server._loop.time()
        self._server.connections.add(self)
        if not self._server.admits():
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the client."""
        if self._refused:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(BAD_REQUEST)
        except httptools.HttpParserError:
            self._refuse(self._refused or BAD_REQUEST)

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes the end of the connection."""
        self._transport = None
        self._server.connections.discard(self)
        current, self._current = self._current, None
        self._pending.clear()
        if self._sending and self._server.pacer is not None:
            self._server.pacer.drop(self)
        if current is not None and current.on_gone is not None:
            current.on_gone()

    # Events of the parser.

    def on_message_begin(self) -> None:
        """Takes the first byte of a request."""
        self._reset()
        self._is_new = False
        self.reading = True
        if not self.busy:
            self._since = self._server._loop.time()

    def on_url(self, url: bytes) -> None:
        """Takes the path, which may come in parts."""
        self._url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Takes the end of the headers."""
        if self.busy or self._transport is None:
            return
        for name, value in self._headers:
            if (name.lower(), value.lower()) == (b"expect", b"100-continue"):
                self._transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._stop_parsing(PAYLOAD_TOO_LARGE)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Takes the end of a request."""
        self.reading = False
        request = HttpRequest(
            self,
            self._parser.get_method(),
            self._url,
            self._headers,
            b"".join(self._body),
        )
        self._server.last_request_at = self._server._loop.time()
        if not self.busy:
            self._dispatch(request)
        elif len(self._pending) < MAX_PIPELINED:
            self._pending.append(request)
        else:
            self.abort()

    def _dispatch(self, request: HttpRequest) -> None:
        self._current = request
        self._server.handler(request)

    def _reset(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.max_header_bytes:
            self._stop_parsing(HEADERS_TOO_LARGE)

    def _stop_parsing(self, status: int) -> None:
        self._refused = status
        raise ValueError("the request is larger than the limits")

    def _refuse(self, status: int) -> None:
        """Answers a request that can't be read, and closes."""
        self._refused = status
        if not self.busy and self._transport is not None:
            payload = build_refusal(status, b"", closes=True)
            self.respond(payload, closes=True)
        else:
            self.close()
