"""Server side of an HTTP/1.1 connection."""

import asyncio
import weakref
from collections.abc import Callable
from typing import cast

import attrs

from guavawing.errors import RequestUnreadableError
from guavawing.platform.headers import build_refusal, parse_request_head
from guavawing.sidecar.held_body import HeldBody
from guavawing.sidecar.http_request import HttpRequest
from guavawing.sidecar.link_pacer import LARGE_BYTES, LinkPacer
from guavawing.sidecar.parse_pacer import ParsePacer
from guavawing.sidecar.request_reader import RawHeaders, RequestReader
from guavawing.traffic.model import ClientLimits
from guavawing.traffic.parse_turns import PIECE_BYTES
from guavawing.traffic.pipeline import Pipeline
from guavawing.traffic.uploads import ROOM_RETRY_AFTER_S

__all__ = ["ServerConnection", "ServerState"]

REQUEST_TIMEOUT = 408
UNAVAILABLE = 503
# Time beyond a timeout after which a connection is closed, in seconds, so that
# the close does not race with a client that observes the timeout.
LIMIT_MARGIN_S = 1.0
# Time for which a stopping process waits for the first request of a new
# connection, in seconds: several round trips inside a data centre.
FIRST_REQUEST_S = 0.25
# Time for which the rest of a refused body is read and discarded, in seconds: a
# close with unread bytes would reset the connection, and the client would not
# receive the refusal.
DISCARD_S = 1.0
# Total size of buffered requests and answers of a server from which reading is
# paused on connections with a request in progress: a sixth of the memory of the
# smallest VMs.
MAX_HELD_BYTES = 32 * 1024 * 1024
# Number of connections above which those of refused clients are closed after
# the answer; above four times this number, all are. It is a fraction of the
# descriptors of a process.
MANY_CONNECTIONS = 400
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@attrs.define(eq=False)
class ServerState:
    """State shared by the connections of one server.

    Attributes:
        handler: Called with each complete request.
        overlaps: Returns whether a request may run concurrently with others
            of its connection.
        max_connections: Further connections are closed on accept.
        pacer: Paces large answers; None sends them unpaced.
        limits: Limits of clients, from the configuration in force.
        hold_body: Returns the memory for the body of a request, given its path
            and headers; None if its route has no large bodies.
        stopping: Whether connections are closed after the next answer because
            the process stops.
        last_request_at: Event loop's time at which the last request was
            received.
        held_bytes: Size of the buffered requests and answers.
        connections: The open connections.
        flushing: Connections that are closed once their last answer is sent.
        parse_pacer: Turns of the connections that send costly bytes.
    """

    handler: Callable[[HttpRequest], None]
    overlaps: Callable[[HttpRequest], bool]
    max_connections: int
    pacer: LinkPacer | None
    last_request_at: float
    limits: ClientLimits = attrs.field(factory=ClientLimits)
    hold_body: Callable[[bytes, RawHeaders], HeldBody | None] = lambda *_: None
    stopping: bool = False
    held_bytes: int = 0
    connections: "set[ServerConnection]" = attrs.field(factory=set)
    flushing: "set[ServerConnection]" = attrs.field(factory=set)
    parse_pacer: ParsePacer = attrs.field(factory=ParsePacer)

    def admits(self) -> bool:
        """Returns whether the newest connection is within the limit."""
        return len(self.connections) <= self.max_connections


class ServerConnection(asyncio.Protocol):
    """One client connection; answers are sent in the order of requests."""

    __slots__ = (
        "_began_at",
        "_body",
        "_body_request_id",
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
        "_waits_turn",
    )

    def __init__(self, server: ServerState) -> None:
        """Creates a connection that is not open yet.

        Args:
            server: State shared with the other connections of the server.
        """
        self._loop = asyncio.get_running_loop()
        self._server = server
        self._reader = RequestReader(self, lambda: server.limits)
        self._transport: asyncio.Transport | None = None
        self._pipeline: Pipeline[HttpRequest] = Pipeline(server.overlaps)
        self._held_bytes = 0
        self._refused = False
        # Whether a large answer is being sent by the pacer.
        self._sending = False
        self._is_new = True
        # Bytes received while the pipeline was full, or before the turn of
        # this connection.
        self._unparsed = b""
        self._waits_turn = False
        self._paused = False
        self._parsing = False
        self._dispatching = False
        self._continue_due = False
        self._waiting_since = 0.0
        self._began_at = 0.0
        # Large body that is being received.
        self._body: HeldBody | None = None
        self._body_request_id = b""

    @property
    def busy(self) -> bool:
        """Whether any request has not been answered completely."""
        return bool(self._pipeline) or self._sending

    @property
    def sending(self) -> bool:
        """Whether a part of an answer is not sent, or not written yet."""
        transport = self._transport
        unsent = transport is not None and transport.get_write_buffer_size() > 0
        return self._sending or unsent

    @property
    def reading(self) -> bool:
        """Whether a request has been received in part."""
        return self._reader.reading

    @property
    def open(self) -> bool:
        """Whether answers can still be sent."""
        return self._transport is not None

    def awaits_request(self) -> bool:
        """Returns whether the connection is new and without a request."""
        age_s = self._loop.time() - self._waiting_since
        return self._is_new and age_s < FIRST_REQUEST_S

    def respond(
        self, request: HttpRequest, payload: bytes, *, closes: bool
    ) -> None:
        """Sends the answer once all earlier requests are answered."""
        exchange = request.exchange
        if self._transport is None or exchange is None:
            return
        self._pipeline.answer(exchange, payload, closes=closes)
        self._send_answers()
        self._advance()

    def keeps_open(self, request: HttpRequest, *, refused: bool) -> bool:
        """Returns whether the connection stays open after the answer."""
        server = self._server
        limit = MANY_CONNECTIONS if refused else 4 * MANY_CONNECTIONS
        may_stay = not self._refused and len(server.connections) <= limit
        if may_stay and not server.stopping:
            return True
        exchange = request.exchange
        return exchange is not None and not self._pipeline.is_last(exchange)

    def close(self) -> None:
        """Closes the connection after the buffered data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection and discards buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def check_limits(self, now: float) -> None:
        """Closes the connection if a request or idle timeout has expired."""
        if self.busy:
            return
        limits = self._server.limits
        in_header = self.reading and self._body is None
        limit_s = (
            limits.header_timeout_s if in_header else limits.idle_timeout_s
        )
        if now - self._waiting_since <= limit_s + LIMIT_MARGIN_S:
            return
        if self.reading:
            self._refuse(REQUEST_TIMEOUT)
        else:
            self.close()

    def _send_answers(self) -> None:
        """Writes the answers that are next in the order of requests."""
        while self._transport is not None and not self._sending:
            exchange = self._pipeline.pop_answer()
            if exchange is None:
                return
            assert exchange.answer is not None
            # Without the reference, the request is freed at once.
            exchange.request.exchange = None
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
        """Updates the connection after an answer was written completely."""
        transport = self._transport
        assert transport is not None
        self._waiting_since = self._loop.time()
        if not closes:
            return
        # The transport may hold most of the answer.
        self._server.flushing.add(self)
        discards = self._refused and self._body is not None
        self._end()
        if discards:
            transport.write_eof()
            self._loop.call_later(DISCARD_S, transport.close)
        else:
            transport.close()

    def _end(self) -> None:
        """Ends the connection and discards requests behind the last answer.

        Requests that were not dispatched never are; clients send them again
        on another connection.
        """
        self._transport = None
        self._server.connections.discard(self)
        self._unparsed = b""
        self._server.parse_pacer.drop(self)
        if self._body is not None:
            self._body.release()
            self._body = None
        dropped = self._pipeline.clear()
        self._update_held_bytes()
        for request in dropped:
            request.exchange = None
            on_disconnect, request.on_disconnect = request.on_disconnect, None
            if on_disconnect is not None:
                on_disconnect()

    def _advance(self) -> None:
        """Dispatches requests that may start, and reads more if possible."""
        if self._dispatching:
            # The handler answered synchronously; the outer call continues.
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
            # Whether the request has run is not known, so any answer could be
            # false; the connection is closed without one.
            context = {
                "message": "unhandled exception in request handler",
                "exception": exc,
            }
            self._loop.call_exception_handler(context)
            self.abort()

    def _resume_reading(self) -> None:
        """Parses postponed bytes and resumes reading from the socket."""
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
        """Returns whether reading pauses until the next answer or turn."""
        if self._waits_turn:
            return True
        above_limit = self._server.held_bytes >= MAX_HELD_BYTES
        return self._pipeline.is_full or (above_limit and bool(self._pipeline))

    def _update_held_bytes(self) -> None:
        held = self._pipeline.size
        self._server.held_bytes += held - self._held_bytes
        self._held_bytes = held

    def _parse(self, data: bytes) -> None:
        """Parses bytes until the pipeline is full or they are costly."""
        self._parsing = True
        view = memoryview(data)
        before_turn = self._reader.framing_bytes
        try:
            while view and not self._refused and self._transport is not None:
                if self._is_full():
                    self._unparsed = bytes(view)
                    if not self._paused:
                        self._paused = True
                        self._transport.pause_reading()
                    return
                self._reader.feed(view[:PIECE_BYTES])
                view = view[PIECE_BYTES:]
                # Without more bytes the next ones wait, however few these were.
                if self._reader.ends_turn(before_turn) or (
                    not view and self._reader.costly
                ):
                    self._waits_turn = True
                    self._server.parse_pacer.wait(self)
        except RequestUnreadableError as exc:
            self._refuse(exc.status)
        finally:
            self._parsing = False

    def parse_turn(self) -> None:
        """Parses costly bytes until the turn of this connection ends."""
        self._waits_turn = False
        self._resume_reading()

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection, or closes it above the limit."""
        self._transport = cast(asyncio.Transport, transport)
        self._waiting_since = self._loop.time()
        self._server.connections.add(self)
        if not self._server.admits():
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, or postpones them while reading pauses."""
        if self._refused or self._transport is None:
            return
        if self._paused or self._unparsed:
            self._unparsed += data
        else:
            self._parse(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Discards the answers and requests of the connection."""
        if self._sending and self._server.pacer is not None:
            self._server.pacer.drop(self)
        self._sending = False
        self._server.flushing.discard(self)
        self._end()

    # Events of the reader.

    def on_first_byte(self) -> None:
        """Starts the timeout of a request that is being received."""
        self._is_new = False
        self._began_at = self._loop.time()
        if not self.busy:
            self._waiting_since = self._loop.time()

    def on_expect_continue(self) -> None:
        """Sends `100 Continue` once all earlier requests are answered."""
        self._continue_due = True
        self._send_continue()

    def expect_body(self, path: bytes, headers: RawHeaders) -> bool:
        """Reserves memory for the declared size of a large body."""
        self._body = self._server.hold_body(path, headers)
        if self._body is None:
            return True
        self._body_request_id = parse_request_head(headers).request_id
        sizes = [v for k, v in headers if k.lower() == b"content-length"]
        size = int(sizes[0]) if sizes else 0
        if size > self._server.limits.max_body_bytes:
            # The reader refuses it for good, whether there is memory or not.
            return True
        return self._body.expect(size)

    def add_body(self, size: int) -> bool:
        """Counts a part of a large body."""
        if self._body is None:
            return True
        if not self.busy:
            self._waiting_since = self._loop.time()
        return self._body.add(size)

    def on_request(
        self,
        method: bytes,
        path: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Adds a complete request to the pipeline."""
        self._continue_due = False
        if self._transport is None:
            # An earlier answer has closed the connection.
            return
        now = self._loop.time()
        request = HttpRequest(
            self, method, path, headers, body, now, began_at=self._began_at
        )
        held, self._body = self._body, None
        if held is not None:
            # The body stays in memory as long as its request.
            weakref.finalize(request, held.release).atexit = False
        self._server.last_request_at = now
        request.exchange = self._pipeline.add(request, request.size)
        self._advance()

    def _send_continue(self) -> None:
        """Sends a due `100 Continue` if no earlier request is unanswered."""
        if self._continue_due and not self.busy and self._transport is not None:
            self._continue_due = False
            self._transport.write(CONTINUE)

    def _refuse(self, status: int) -> None:
        """Refuses an unreadable request in order, and closes."""
        self._refused = True
        if self._transport is None:
            return
        request_id = b"" if self._body is None else self._body_request_id
        retry_after_s = ROOM_RETRY_AFTER_S if status == UNAVAILABLE else None
        payload = build_refusal(
            status, request_id, retry_after_s=retry_after_s, closes=True
        )
        request = HttpRequest(self, b"", b"", [], b"", 0.0)
        exchange = request.exchange = self._pipeline.add(request, 0)
        exchange.begun = True
        self.respond(request, payload, closes=True)
