"""Client side of an HTTP/1.1 connection, with one request at a time."""

import asyncio
import collections
from collections.abc import Callable
from typing import cast

import attrs
import httptools

from guavawing.sidecar.parse_pacer import ParsePacer
from guavawing.traffic.parse_turns import (
    PIECE_BYTES,
    ends_turn,
    is_costly,
)

__all__ = ["ClientConnection", "HttpReply", "ResponseHandler"]

# Largest accepted body: above the largest row range and object of the
# platform's store, and far above an answer that a link can send in time.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Maximum bytes of headers and trailers that a server may send until its answer
# is complete, in all heads and answers to earlier requests.
MAX_HEADER_BYTES = 64 * 1024
# Memory that a header needs besides its bytes: two objects and their pair.
HEADER_OBJECT_BYTES = 160
# Maximum bytes besides bodies that a server may send until its answer is
# complete: heads, interim answers, chunk framing and answers to earlier
# requests. Small chunks need several times as much framing as body.
MAX_OVERHEAD_BYTES = 64 * 1024
OVERHEAD_PER_BODY_BYTE = 8
MIN_FINAL_STATUS = 200
# Number of refused requests that a connection remembers.
MAX_REFUSED_IDS = 8
_FRAMING = frozenset({b"content-length", b"transfer-encoding"})
_BODILESS = frozenset({204, 304})
_NOTHING = memoryview(b"")


@attrs.frozen
class HttpReply:
    """A complete answer.

    Attributes:
        status: HTTP status.
        headers: Names and values.
        body: Complete body.
        keeps_open: Whether the server keeps the connection open.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keeps_open: bool


@attrs.frozen
class ResponseHandler:
    """Callbacks for the answer to one request.

    Attributes:
        accepts: Returns whether an answer belongs to the request.
        on_reply: Called with the answer.
        on_loss: Called with the error, if any, when no answer can follow.
        bodiless: Whether the answer has no body, whatever its headers declare,
            as for HEAD.
    """

    accepts: Callable[[HttpReply], bool]
    on_reply: Callable[[HttpReply], None]
    on_loss: Callable[[Exception | None], None]
    bodiless: bool = False


class ClientConnection(asyncio.Protocol):
    """A connection to a server.

    Attributes:
        usable: Whether the connection is open and in sync.
        idle_since: Event loop's time of the last answer.
        idle_timeout_s: Keep-alive timeout that the server announced, in
            seconds; None if there was none.
        reused: Whether it has carried a request before the last one.
        refused_ids: Ids of the requests that the server refused last on it.
    """

    __slots__ = (
        "_body",
        "_body_total",
        "_framed",
        "_handler",
        "_header_bytes",
        "_headers",
        "_loop",
        "_on_close",
        "_on_growth",
        "_overhead",
        "_pacer",
        "_parser",
        "_paused",
        "_replies",
        "_sent",
        "_started",
        "_status",
        "_transport",
        "_unparsed",
        "idle_since",
        "idle_timeout_s",
        "refused_ids",
        "reused",
        "usable",
    )

    def __init__(
        self,
        on_close: Callable[["ClientConnection"], None] | None = None,
        *,
        on_growth: Callable[["ClientConnection"], None] | None = None,
        pacer: ParsePacer | None = None,
    ) -> None:
        """Creates a connection that is not open yet.

        Args:
            on_close: Called when the connection is closed.
            on_growth: Called when more of an answer is buffered.
            pacer: Turns for costly bytes, shared with other connections; None
                if there are no others.
        """
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._on_close = on_close
        self._on_growth = on_growth
        self._pacer = pacer or ParsePacer()
        # Bytes received while the connection waits for its turn.
        self._unparsed = _NOTHING
        self._paused = False
        # Bytes parsed since the request was sent: of bodies, others, and those
        # of headers and trailers among them.
        self._body_total = 0
        self._overhead = 0
        self._header_bytes = 0
        self._handler: ResponseHandler | None = None
        self._replies: list[HttpReply] = []
        self._sent = False
        self.reused = False
        self.refused_ids: collections.deque[bytes] = collections.deque(
            maxlen=MAX_REFUSED_IDS
        )
        self.usable = False
        self.idle_since = self._loop.time()
        self.idle_timeout_s: float | None = None
        self._reset()

    @property
    def busy(self) -> bool:
        """Whether an answer is awaited."""
        return self._handler is not None

    @property
    def held_bytes(self) -> int:
        """Memory that the incomplete answer needs, in bytes."""
        headers = len(self._headers) * HEADER_OBJECT_BYTES
        return len(self._body) + len(self._unparsed) + headers

    def send(self, payload: bytes, handler: ResponseHandler) -> None:
        """Sends an encoded request; there must be none outstanding."""
        assert self._transport is not None and not self.busy
        self._handler = handler
        self.reused, self._sent = self._sent, True
        self._body_total = self._overhead = self._header_bytes = 0
        self._transport.write(payload)

    def fail(self) -> None:
        """Closes the connection and reports an awaited answer as lost."""
        self._fail_pending(None)

    def close(self) -> None:
        """Closes the connection without a report on an awaited answer."""
        self.usable = False
        self._handler = None
        self._discard_unparsed()
        if self._transport is not None:
            self._transport.abort()

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Marks the connection usable."""
        self._transport = cast(asyncio.Transport, transport)
        self.usable = True

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and reports complete answers.

        Costly bytes are parsed later, when the turn of the connection comes.
        """
        if not self.busy:
            # Bytes without an outstanding request.
            self.close()
            return
        if self._unparsed:
            # The transport had read them before it was paused.
            self._unparsed = memoryview(bytes(self._unparsed) + data)
            return
        self._unparsed = memoryview(data)
        if is_costly(framing_bytes=self._overhead, body_bytes=self._body_total):
            self._set_paused(True)
            self._report_growth()
        else:
            self.parse_turn()

    def parse_turn(self) -> None:
        """Parses the received bytes until the turn of the connection ends."""
        started_with = self._body_total, len(self._headers)
        before_turn = self._overhead
        while self._unparsed:
            piece = self._unparsed[:PIECE_BYTES]
            # An empty view would keep the received bytes in memory.
            self._unparsed = self._unparsed[PIECE_BYTES:] or _NOTHING
            before = self._body_total
            try:
                self._parser.feed_data(piece)
            except (
                httptools.HttpParserError,
                httptools.HttpParserUpgrade,
            ) as exc:
                self._dispatch_replies()
                self._fail_pending(exc)
                return
            self._overhead += len(piece) - (self._body_total - before)
            if self._exceeds_limits() or ends_turn(
                framing_bytes=self._overhead,
                body_bytes=self._body_total,
                before_turn=before_turn,
            ):
                break
        self._set_paused(bool(self._unparsed))
        # Reported after the counting, since the handler may send the next
        # request.
        self._dispatch_replies()
        if not self.busy:
            return
        if self._exceeds_limits():
            self._fail_pending(None)
        elif (self._body_total, len(self._headers)) != started_with:
            self._report_growth()

    def _report_growth(self) -> None:
        if self._on_growth is not None:
            self._on_growth(self)

    def _set_paused(self, paused: bool) -> None:
        """Waits for a turn and reads no more, or reads on."""
        if paused:
            self._pacer.wait(self)
        if self._transport is None or paused == self._paused:
            return
        self._paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _exceeds_limits(self) -> bool:
        """Returns whether the server sends too much besides bodies."""
        allowed = OVERHEAD_PER_BODY_BYTE * self._body_total
        return (
            self._overhead > MAX_OVERHEAD_BYTES + allowed
            or self._header_bytes > MAX_HEADER_BYTES
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Completes a close-delimited answer, or reports the loss."""
        self.usable = False
        self._transport = None
        is_final = self._started and self._status >= MIN_FINAL_STATUS
        is_whole = is_final and not self._framed and not self._unparsed
        self._discard_unparsed()
        if exc is None and is_whole:
            # A body without a declared length ends with the connection.
            self._finish_reply(keeps_open=False)
            self._dispatch_replies()
        if self.busy:
            self._fail_pending(exc)
        if self._on_close is not None:
            self._on_close(self)

    # Events of the parser.

    def on_message_begin(self) -> None:
        """Starts a new answer."""
        self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; trailers are counted and ignored."""
        self._header_bytes += len(name) + len(value)
        if not self._started:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determines the framing of the body; completes a bodiless answer."""
        self._started = True
        self._status = self._parser.get_status_code()
        self._framed = self._status in _BODILESS or any(
            name.lower() in _FRAMING for name, _ in self._headers
        )
        bodiless = self._handler is not None and self._handler.bodiless
        if bodiless and self._status >= MIN_FINAL_STATUS:
            self._finish_reply(keeps_open=False)

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body, within the limit."""
        self._body_total += len(body)
        if self._body_total > MAX_BODY_BYTES:
            raise ValueError(f"answer body exceeds {MAX_BODY_BYTES} bytes")
        self._body += body

    def on_message_complete(self) -> None:
        """Completes a final answer; interim ones are ignored."""
        if self._started and self._status >= MIN_FINAL_STATUS:
            self._finish_reply(keeps_open=self._parser.should_keep_alive())

    def _finish_reply(self, *, keeps_open: bool) -> None:
        reply = HttpReply(
            self._status, self._headers, bytes(self._body), keeps_open
        )
        self._replies.append(reply)
        self._reset()

    def _dispatch_replies(self) -> None:
        """Reports complete answers, after the parser has returned."""
        replies, self._replies = self._replies, []
        for number, reply in enumerate(replies, 1):
            handler = self._handler
            if handler is None:
                return
            if handler.accepts(reply):
                surplus = (
                    number < len(replies)
                    or self._started
                    or bool(self._unparsed)
                )
                self._deliver(handler, reply, surplus=surplus)
            elif not reply.keeps_open:
                self._fail_pending(None)

    def _deliver(
        self, handler: ResponseHandler, reply: HttpReply, *, surplus: bool
    ) -> None:
        """Reports the answer to the outstanding request.

        Args:
            handler: Handler of the request.
            reply: The answer.
            surplus: Whether bytes follow that belong to no request.
        """
        self._handler = None
        self.idle_since = self._loop.time()
        # The server answered before it has read the whole request.
        unread = self._transport and self._transport.get_write_buffer_size()
        if surplus or unread or not reply.keeps_open or not self._transport:
            self.close()
        handler.on_reply(reply)

    def _fail_pending(self, exc: Exception | None) -> None:
        handler = self._handler
        self.close()
        self._reset()
        if handler is not None:
            handler.on_loss(exc)

    def _discard_unparsed(self) -> None:
        self._unparsed = _NOTHING
        self._pacer.drop(self)

    def _reset(self) -> None:
        self._started = False
        self._framed = True
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        # One object, whatever the number of chunks.
        self._body = bytearray()
