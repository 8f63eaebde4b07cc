"""HTTP/1.1 server for callers, targets and the platform.

The parser is a library's; its strict mode refuses requests whose framing is
ambiguous, so that no request can be hidden in another one.
"""

import asyncio
from collections.abc import Callable
from typing import cast

import attrs
import httptools

from guavawing.node.listener import Listener
from guavawing.platform.headers import build_refusal
from guavawing.sidecar.link_pacer import LARGE_BYTES, LinkPacer
from guavawing.traffic.model import ClientLimits
from guavawing.traffic.pipeline import Exchange, Pipeline

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
# Bytes that are parsed at once, so that a client that sends many requests
# ahead is read no further than its connection has room for.
PARSED_BYTES = 16 * 1024
# Bytes of framing that a chunked body may take for each byte of it.
FRAMING_PER_BODY_BYTE = 8
# Bytes of all requests and answers of a server that are held, from which on
# connections with a request under way are read no further: a sixth of the
# memory of the smallest VMs.
MAX_HELD_BYTES = 32 * 1024 * 1024
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
        arrived_at: Event loop's time at which its last byte came.
        on_gone: Is called once if the client goes away before the answer.
    """

    conn: "ServerConnection"
    method: bytes
    path: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived_at: float
    on_gone: Callable[[], None] | None = None
    _exchange: "Exchange[HttpRequest] | None" = None

    @property
    def size(self) -> int:
        """Bytes that the request takes in memory, roughly."""
        head = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.path) + head + len(self.body)

    def keeps_open(self, *, refused: bool = False) -> bool:
        """Returns whether the connection outlives the answer.

        Args:
            refused: Whether the answer is a refusal. Clients return on a new
                connection, so this one would only be idle.
        """
        return self.conn.keeps_open(self, refused=refused)

    def respond(self, payload: bytes, *, closes: bool = False) -> None:
        """Answers the request.

        Args:
            payload: Bytes of the whole answer.
            closes: Whether the answer says that the connection is closed.
        """
        self.conn.respond(self, payload, closes=closes)


Handler = Callable[[HttpRequest], None]


class HttpServer:
    """One listener and its connections.

    Attributes:
        limits: Bounds on clients, from the newest configuration.
        held_bytes: Bytes of requests and answers that are held.
        leaving: Whether clients are told to go elsewhere.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        max_connections: int,
        pacer: LinkPacer | None = None,
        overlaps: Callable[[HttpRequest], bool] = lambda _: False,
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            handler: Takes whole requests.
            max_connections: Connections beyond that are closed.
            pacer: Paces large answers; None if there are none.
            overlaps: Tells whether a request may be under way beside others
                of its connection.
        """
        self._loop = asyncio.get_running_loop()
        self._max_connections = max_connections
        self.pacer = pacer
        self._listener = Listener(lambda: ServerConnection(self))
        self._sweeper: asyncio.TimerHandle | None = None
        self.handler = handler
        self.overlaps = overlaps
        self.held_bytes = 0
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
        "_continue_due",
        "_feeding",
        "_handing_on",
        "_header_bytes",
        "_headers",
        "_held_bytes",
        "_is_new",
        "_parser",
        "_paused",
        "_pipeline",
        "_read_bytes",
        "_refused",
        "_sending",
        "_server",
        "_since",
        "_transport",
        "_unread",
        "_url",
        "reading",
    )

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pipeline: Pipeline[HttpRequest] = Pipeline(server.overlaps)
        self._held_bytes = 0
        self._refused = 0
        # Whether a large answer is being sent in pieces.
        self._sending = False
        self._is_new = True
        # Bytes that came while there was no room for more requests.
        self._unread = b""
        self._paused = False
        self._feeding = False
        self._handing_on = False
        self._continue_due = False
        # Bytes read of the request that is not whole.
        self._read_bytes = 0
        self.reading = False
        self._since = 0.0
        self._reset()

    @property
    def busy(self) -> bool:
        """Whether a request waits for its answer, or a part of it."""
        return bool(self._pipeline) or self._sending

    @property
    def open(self) -> bool:
        """Whether the client can still be answered."""
        return self._transport is not None

    def is_awaited(self) -> bool:
        """Returns whether the client has just come and sent nothing yet."""
        age_s = self._server._loop.time() - self._since
        return self._is_new and age_s < FIRST_REQUEST_S

    def respond(
        self, request: HttpRequest, payload: bytes, *, closes: bool
    ) -> None:
        """Answers a request, once all before it have been answered."""
        exchange = request._exchange
        if self._transport is None or exchange is None:
            return
        self._pipeline.answer(exchange, payload, closes=closes)
        self._send_answers()
        self._go_on()

    def keeps_open(self, request: HttpRequest, *, refused: bool) -> bool:
        """Returns whether the connection outlives an answer."""
        server = self._server
        most = MANY_CONNECTIONS if refused else 4 * MANY_CONNECTIONS
        may_stay = not self._refused and len(server.connections) <= most
        if may_stay and not server.leaving:
            return True
        exchange = request._exchange
        return exchange is not None and self._pipeline.has_begun_behind(
            exchange
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

    def _send_answers(self) -> None:
        """Writes the answers whose turn it is."""
        while self._transport is not None and not self._sending:
            exchange = self._pipeline.pop_answer()
            if exchange is None:
                return
            assert exchange.answer is not None
            self._write(self._transport, exchange.answer, exchange.closes)

    def _write(
        self, transport: asyncio.Transport, payload: bytes, closes: bool
    ) -> None:
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
                self._send_answers()
                self._go_on()

        self._sending = True
        pacer.offer(self, payload, write)

    def _take_sent(self, *, closes: bool) -> None:
        """Takes that an answer was written to its end."""
        transport = self._transport
        assert transport is not None
        self._since = self._server._loop.time()
        if closes:
            self._end()
            transport.close()

    def _end(self) -> None:
        """Forgets the connection; what is behind the last answer is dropped.

        Requests that were not handed on never are, and a client sends them
        again on another connection.
        """
        self._transport = None
        self._server.connections.discard(self)
        self._unread = b""
        dropped = self._pipeline.clear()
        self._note_held()
        for request in dropped:
            if request.on_gone is not None:
                request.on_gone()

    def _go_on(self) -> None:
        """Hands on what may be begun, and reads on if there is room."""
        if self._handing_on:
            # An answer that came at once: the loop below goes on.
            return
        self._handing_on = True
        try:
            for exchange in self._pipeline.begin(
                ahead=not self._server.leaving
            ):
                self._server.handler(exchange.request)
        finally:
            self._handing_on = False
        self._note_held()
        if not self._feeding:
            self._read_on()

    def _read_on(self) -> None:
        """Parses what was put off, and reads the connection again."""
        if self._unread and not self._is_full():
            data, self._unread = self._unread, b""
            self._feed(data)
        if self._transport is None:
            return
        if self._continue_due and not self.busy:
            self._continue_due = False
            self._transport.write(CONTINUE)
        if self._paused and not self._is_full():
            self._paused = False
            self._transport.resume_reading()

    def _is_full(self) -> bool:
        """Whether no more is read until an answer has been given."""
        crowded = self._server.held_bytes >= MAX_HELD_BYTES
        return self._pipeline.is_full or (crowded and bool(self._pipeline))

    def _note_held(self) -> None:
        held = self._pipeline.size
        self._server.held_bytes += held - self._held_bytes
        self._held_bytes = held

    def _feed(self, data: bytes) -> None:
        """Parses bytes as far as there is room for requests."""
        self._feeding = True
        view = memoryview(data)
        try:
            while view and not self._refused and self._transport is not None:
                if self._is_full():
                    self._unread = bytes(view)
                    if not self._paused:
                        self._paused = True
                        self._transport.pause_reading()
                    return
                piece, view = view[:PARSED_BYTES], view[PARSED_BYTES:]
                self._parser.feed_data(piece)
                self._bound_framing(len(piece))
        except httptools.HttpParserUpgrade:
            self._refuse(BAD_REQUEST)
        except httptools.HttpParserError:
            self._refuse(self._refused or BAD_REQUEST)
        finally:
            self._feeding = False

    def _bound_framing(self, size: int) -> None:
        """Refuses a request whose head or framing does not end.

        The parser hands over headers only when they are whole, and chunk
        extensions never.
        """
        if not self.reading:
            return
        # The piece in which a request begins may hold others, too.
        self._read_bytes += size
        allowed = (
            self._server.limits.max_header_bytes
            + PARSED_BYTES
            + (1 + FRAMING_PER_BODY_BYTE) * self._body_bytes
        )
        if self._read_bytes > allowed:
            self._refuse(HEADERS_TOO_LARGE)

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
        if self._refused or self._transport is None:
            return
        if self._paused or self._unread:
            self._unread += data
        else:
            self._feed(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes the end of the connection."""
        if self._sending and self._server.pacer is not None:
            self._server.pacer.drop(self)
        self._sending = False
        self._end()

    # Events of the parser.

    def on_message_begin(self) -> None:
        """Takes the first byte of a request."""
        self._reset()
        self._read_bytes = 0
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
        if self._transport is None:
            return
        for name, value in self._headers:
            if (name.lower(), value.lower()) == (b"expect", b"100-continue"):
                self._continue_due = True
        if self._continue_due and not self.busy:
            self._continue_due = False
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
        self._continue_due = False
        if self._transport is None:
            # Behind an answer that has closed the connection.
            return
        now = self._server._loop.time()
        request = HttpRequest(
            self,
            self._parser.get_method(),
            self._url,
            self._headers,
            b"".join(self._body),
            now,
        )
        self._server.last_request_at = now
        request._exchange = self._pipeline.add(request, request.size)
        self._go_on()

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
        """Answers a request that can't be read, in its turn, and closes."""
        self._refused = status
        if self._transport is None:
            return
        payload = build_refusal(status, b"", closes=True)
        request = HttpRequest(self, b"", b"", [], b"", 0.0)
        exchange = request._exchange = self._pipeline.add(request, 0)
        exchange.begun = True
        self.respond(request, payload, closes=True)
