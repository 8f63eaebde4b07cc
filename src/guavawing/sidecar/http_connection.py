"""One connection of a client to this node's HTTP/1.1 server."""

import asyncio
from collections.abc import Callable
from typing import cast

import attrs

from guavawing.errors import RequestUnreadableError
from guavawing.platform.headers import build_refusal
from guavawing.sidecar.http_request import HttpRequest
from guavawing.sidecar.link_pacer import LARGE_BYTES, LinkPacer
from guavawing.sidecar.request_reader import PARSED_BYTES, RequestReader
from guavawing.traffic.model import ClientLimits
from guavawing.traffic.pipeline import Pipeline

__all__ = ["ServerConnection", "ServerState"]

REQUEST_TIMEOUT = 408
# Time beyond a limit after which a connection is closed, in seconds: a
# client that keeps to the limit never meets the close.
LIMIT_MARGIN_S = 1.0
# Time that a new connection is given for its first request, in seconds, when
# the process ends: some round trips inside a data centre.
FIRST_REQUEST_S = 0.25
# Bytes of all requests and answers of a server that are held, from which on
# connections with a request under way are read no further: a sixth of the
# memory of the smallest VMs.
MAX_HELD_BYTES = 32 * 1024 * 1024
# Connections from which on refused clients are told to close theirs, and four
# times as many from which on all are: a part of the descriptors of a process.
MANY_CONNECTIONS = 400
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@attrs.define(eq=False)
class ServerState:
    """What the connections of one server share.

    Attributes:
        handler: Takes whole requests.
        overlaps: Tells whether a request may be under way beside others of
            its connection.
        max_connections: Connections beyond that are closed.
        pacer: Paces large answers; None if there are none.
        limits: Bounds on clients, from the newest configuration.
        leaving: Whether clients are told to go elsewhere.
        last_request_at: Event loop's time at which the last request came.
        held_bytes: Bytes of requests and answers that are held.
        connections: The open connections.
    """

    handler: Callable[[HttpRequest], None]
    overlaps: Callable[[HttpRequest], bool]
    max_connections: int
    pacer: LinkPacer | None
    last_request_at: float
    limits: ClientLimits = attrs.field(factory=ClientLimits)
    stopping: bool = False
    held_bytes: int = 0
    connections: "set[ServerConnection]" = attrs.field(factory=set)

    def admits(self) -> bool:
        """Returns whether one more connection may be opened."""
        return len(self.connections) <= self.max_connections


class ServerConnection(asyncio.Protocol):
    """One client connection; answers go out in the order of the requests."""

    __slots__ = (
        "_continue_due",
        "_dispatching",
        "_held_bytes",
        "_is_new",
        "_loop",
        "_parsing",
        "_paused",
        "_pipeline",
        "_reader",
        "_refused",
        "_sending",
        "_server",
        "_transport",
        "_unparsed",
        "_waiting_since",
    )

    def __init__(self, server: ServerState) -> None:
        """Creates a connection that is not open yet.

        Args:
            server: What it shares with others of its server.
        """
        self._loop = asyncio.get_running_loop()
        self._server = server
        self._reader = RequestReader(self, lambda: server.limits)
        self._transport: asyncio.Transport | None = None
        self._pipeline: Pipeline[HttpRequest] = Pipeline(server.overlaps)
        self._held_bytes = 0
        self._refused = False
        # Whether a large answer is being sent in pieces.
        self._sending = False
        self._is_new = True
        # Bytes that came while there was no room for more requests.
        self._unparsed = b""
        self._paused = False
        self._parsing = False
        self._dispatching = False
        self._continue_due = False
        self._waiting_since = 0.0

    @property
    def busy(self) -> bool:
        """Whether a request waits for its answer, or a part of it."""
        return bool(self._pipeline) or self._sending

    @property
    def reading(self) -> bool:
        """Whether a request has begun to come and is not whole."""
        return self._reader.reading

    @property
    def open(self) -> bool:
        """Whether the client can still be answered."""
        return self._transport is not None

    def awaits_first_request(self) -> bool:
        """Returns whether the client has just come and sent nothing yet."""
        age_s = self._loop.time() - self._waiting_since
        return self._is_new and age_s < FIRST_REQUEST_S

    def respond(
        self, request: HttpRequest, payload: bytes, *, closes: bool
    ) -> None:
        """Answers a request, once all before it have been answered."""
        exchange = request.exchange
        if self._transport is None or exchange is None:
            return
        self._pipeline.answer(exchange, payload, closes=closes)
        self._send_answers()
        self._advance()

    def keeps_open(self, request: HttpRequest, *, refused: bool) -> bool:
        """Returns whether the connection outlives an answer."""
        server = self._server
        most = MANY_CONNECTIONS if refused else 4 * MANY_CONNECTIONS
        may_stay = not self._refused and len(server.connections) <= most
        if may_stay and not server.stopping:
            return True
        exchange = request.exchange
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
        if now - self._waiting_since <= limit_s + LIMIT_MARGIN_S:
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
            self._finish_answer(closes=closes)
            return

        def write(piece: bytes, last: bool) -> None:
            transport.write(piece)
            if last:
                self._sending = False
                self._finish_answer(closes=closes)
                self._send_answers()
                self._advance()

        self._sending = True
        pacer.offer(self, payload, write)

    def _finish_answer(self, *, closes: bool) -> None:
        """Takes that an answer was written to its end."""
        transport = self._transport
        assert transport is not None
        self._waiting_since = self._loop.time()
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
        self._unparsed = b""
        dropped = self._pipeline.clear()
        self._update_held_bytes()
        for request in dropped:
            if request.on_disconnect is not None:
                request.on_disconnect()

    def _advance(self) -> None:
        """Hands on what may be begun, and reads on if there is room."""
        if self._dispatching:
            # An answer that came at once: the loop below goes on.
            return
        self._dispatching = True
        try:
            for exchange in self._pipeline.begin(
                ahead=not self._server.stopping
            ):
                self._dispatch(exchange.request)
        finally:
            self._dispatching = False
        self._update_held_bytes()
        if not self._parsing:
            self._resume_reading()

    def _dispatch(self, request: HttpRequest) -> None:
        try:
            self._server.handler(request)
        except Exception as exc:
            # Whether the request has run is not known, so that only the end
            # of the connection is true.
            context = {"message": "a request failed", "exception": exc}
            self._loop.call_exception_handler(context)
            self.abort()

    def _resume_reading(self) -> None:
        """Parses what was put off, and reads the connection again."""
        if self._unparsed and not self._is_full():
            data, self._unparsed = self._unparsed, b""
            self._parse(data)
        self._send_continue()
        if self._transport is None:
            return
        if self._paused and not self._is_full():
            self._paused = False
            self._transport.resume_reading()

    def _is_full(self) -> bool:
        """Whether no more is read until an answer has been given."""
        crowded = self._server.held_bytes >= MAX_HELD_BYTES
        return self._pipeline.is_full or (crowded and bool(self._pipeline))

    def _update_held_bytes(self) -> None:
        held = self._pipeline.size
        self._server.held_bytes += held - self._held_bytes
        self._held_bytes = held

    def _parse(self, data: bytes) -> None:
        """Parses bytes as far as there is room for requests."""
        self._parsing = True
        view = memoryview(data)
        try:
            while view and not self._refused and self._transport is not None:
                if self._is_full():
                    self._unparsed = bytes(view)
                    if not self._paused:
                        self._paused = True
                        self._transport.pause_reading()
                    return
                self._reader.feed(view[:PARSED_BYTES])
                view = view[PARSED_BYTES:]
        except RequestUnreadableError as exc:
            self._refuse(exc.status)
        finally:
            self._parsing = False

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._waiting_since = self._loop.time()
        self._server.connections.add(self)
        if not self._server.admits():
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the client."""
        if self._refused or self._transport is None:
            return
        if self._paused or self._unparsed:
            self._unparsed += data
        else:
            self._parse(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes the end of the connection."""
        if self._sending and self._server.pacer is not None:
            self._server.pacer.drop(self)
        self._sending = False
        self._end()

    # Events of the reader.

    def on_first_byte(self) -> None:
        """Takes that a request has begun to come."""
        self._is_new = False
        if not self.busy:
            self._waiting_since = self._loop.time()

    def on_expect_continue(self) -> None:
        """Takes that the client waits for leave to send a body."""
        self._continue_due = True
        self._send_continue()

    def on_request(
        self,
        method: bytes,
        path: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Takes a whole request."""
        self._continue_due = False
        if self._transport is None:
            # Behind an answer that has closed the connection.
            return
        now = self._loop.time()
        request = HttpRequest(self, method, path, headers, body, now)
        self._server.last_request_at = now
        request.exchange = self._pipeline.add(request, request.size)
        self._advance()

    def _send_continue(self) -> None:
        """Tells the client to send its body, once nothing is in front of it."""
        if self._continue_due and not self.busy and self._transport is not None:
            self._continue_due = False
            self._transport.write(CONTINUE)

    def _refuse(self, status: int) -> None:
        """Answers a request that can't be read, in its turn, and closes."""
        self._refused = True
        if self._transport is None:
            return
        payload = build_refusal(status, b"", closes=True)
        request = HttpRequest(self, b"", b"", [], b"", 0.0)
        exchange = request.exchange = self._pipeline.add(request, 0)
        exchange.begun = True
        self.respond(request, payload, closes=True)
