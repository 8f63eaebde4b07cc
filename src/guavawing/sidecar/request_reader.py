"""Incremental parsing of HTTP requests with limits on their size.

The strict mode of httptools rejects requests with ambiguous framing, which
prevents request smuggling.
"""

from collections.abc import Callable
from typing import Protocol

import httptools

from guavawing.errors import RequestUnreadableError
from guavawing.traffic.model import ClientLimits
from guavawing.traffic.parse_turns import (
    PIECE_BYTES,
    ends_turn,
    is_costly,
)

__all__ = ["RequestHandler", "RequestReader"]

BAD_REQUEST = 400
PAYLOAD_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
UNAVAILABLE = 503
CONNECT = b"CONNECT"
# Bytes of chunk framing that are allowed for each byte of a body.
FRAMING_PER_BODY_BYTE = 8

RawHeaders = list[tuple[bytes, bytes]]


class RequestHandler(Protocol):
    """Receives the events of a reader."""

    def on_first_byte(self) -> None:
        """Handles the first byte of a request."""

    def on_expect_continue(self) -> None:
        """Handles the header `Expect: 100-continue`."""

    def expect_body(self, path: bytes, headers: RawHeaders) -> bool:
        """Returns whether there is memory for the body of a request."""

    def add_body(self, size: int) -> bool:
        """Returns whether there is memory for a part of a body."""

    def on_request(
        self, method: bytes, path: bytes, headers: RawHeaders, body: bytes
    ) -> None:
        """Handles a complete request."""


class RequestReader:
    """Parses the bytes of one connection.

    Attributes:
        reading: Whether a request has been received in part.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_handler",
        "_header_bytes",
        "_headers",
        "_limits",
        "_parser",
        "_read_bytes",
        "_status",
        "_upgrade_offered",
        "_url",
        "reading",
    )

    def __init__(
        self, handler: RequestHandler, limits: Callable[[], ClientLimits]
    ) -> None:
        """Creates a reader.

        Args:
            handler: Receives the events of requests.
            limits: Returns the limits of clients in force.
        """
        self._handler = handler
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        # Status of the refusal once a limit is exceeded.
        self._status = 0
        # Whether the parser took the request for the start of another protocol.
        self._upgrade_offered = False
        # Bytes received of the incomplete request.
        self._read_bytes = 0
        self.reading = False
        self._reset()

    @property
    def framing_bytes(self) -> int:
        """Bytes received of the incomplete request besides its body."""
        return self._read_bytes - self._body_bytes if self.reading else 0

    @property
    def costly(self) -> bool:
        """Whether the rest of the request is parsed by turns."""
        return self.reading and is_costly(
            framing_bytes=self.framing_bytes, body_bytes=self._body_bytes
        )

    def ends_turn(self, before_turn: int) -> bool:
        """Returns whether the connection has to wait for its next turn.

        Args:
            before_turn: `framing_bytes` when the turn began.
        """
        return self.reading and ends_turn(
            framing_bytes=self.framing_bytes,
            body_bytes=self._body_bytes,
            before_turn=before_turn,
        )

    def feed(self, piece: memoryview) -> None:
        """Parses received bytes.

        Args:
            piece: At most `PIECE_BYTES` bytes.

        Raises:
            RequestUnreadableError: If the bytes are not a valid request, or
                the request exceeds a limit. The reader is unusable after
                that.
        """
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade as exc:
            self._decline_upgrade()
            self.feed(piece[exc.args[0] :])
            return
        except httptools.HttpParserError as exc:
            raise RequestUnreadableError(
                self._status or BAD_REQUEST, str(exc)
            ) from exc
        if self.reading:
            self._check_framing(len(piece))

    def _decline_upgrade(self) -> None:
        """Parses the head of a request again, without its offer to upgrade.

        The parser skips the body of a request that offers another protocol;
        a server that ignores the offer must read it.

        Raises:
            RequestUnreadableError: If the request asks for a tunnel.
        """
        method = self._parser.get_method()
        if method == CONNECT:
            raise RequestUnreadableError(
                BAD_REQUEST, "got CONNECT, expected a request for a service"
            )
        version = self._parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (method, self._url, version)]
        for name, value in self._headers:
            match name.lower():
                case b"upgrade":
                    continue
                case b"connection":
                    options = [part.strip() for part in value.split(b",")]
                    kept = [o for o in options if o.lower() != b"upgrade"]
                    lines.append(b"%b: %b" % (name, b", ".join(kept)))
                case _:
                    lines.append(b"%b: %b" % (name, value))
        self._upgrade_offered = False
        self._parser = httptools.HttpRequestParser(self)
        self.feed(memoryview(b"\r\n".join([*lines, b"", b""])))

    def _check_framing(self, size: int) -> None:
        """Checks the total size of an incomplete request.

        The parser reports a header only when it is complete, and chunk
        extensions never, so an endless one is not counted elsewhere.

        Raises:
            RequestUnreadableError: If the request exceeds the limit.
        """
        # The piece in which a request begins may contain others, too.
        self._read_bytes += size
        allowed = (
            self._limits().max_header_bytes
            + PIECE_BYTES
            + (1 + FRAMING_PER_BODY_BYTE) * self._body_bytes
        )
        if self._read_bytes > allowed:
            raise RequestUnreadableError(
                HEADERS_TOO_LARGE,
                f"got {self._read_bytes} bytes, expected at most {allowed}",
            )

    # Events of the parser.

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self._reset()
        self._read_bytes = 0
        self.reading = True
        self._handler.on_first_byte()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the path."""
        self._url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Checks memory for the body, and for `Expect: 100-continue`."""
        self._upgrade_offered = self._parser.should_upgrade()
        if self._upgrade_offered:
            return
        if not self._handler.expect_body(self._url, self._headers):
            self._abort(UNAVAILABLE)
        for name, value in self._headers:
            if (name.lower(), value.lower()) == (b"expect", b"100-continue"):
                self._handler.on_expect_continue()

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body, within the limit."""
        self._body_bytes += len(body)
        if self._body_bytes > self._limits().max_body_bytes:
            self._abort(PAYLOAD_TOO_LARGE)
        if not self._handler.add_body(len(body)):
            self._abort(UNAVAILABLE)
        self._body += body

    def on_message_complete(self) -> None:
        """Reports the complete request."""
        if self._upgrade_offered:
            return
        self.reading = False
        body = bytes(self._body)
        self._body.clear()
        self._handler.on_request(
            self._parser.get_method(), self._url, self._headers, body
        )

    def _reset(self) -> None:
        self._url = b""
        self._headers: RawHeaders = []
        # One object, whatever the number of chunks.
        self._body = bytearray()
        self._header_bytes = 0
        self._body_bytes = 0

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits().max_header_bytes:
            self._abort(HEADERS_TOO_LARGE)

    def _abort(self, status: int) -> None:
        self._status = status
        raise ValueError("the request is larger than the limits")
