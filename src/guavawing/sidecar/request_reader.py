"""Cuts the requests of a client out of the bytes of its connection.

The parser is a library's; its strict mode refuses requests whose framing is
ambiguous, so that no request can be hidden in another one.
"""

from collections.abc import Callable
from typing import Protocol

import httptools

from guavawing.errors import RequestUnreadableError
from guavawing.traffic.model import ClientLimits

__all__ = ["PARSED_BYTES", "RequestHandler", "RequestReader"]

BAD_REQUEST = 400
PAYLOAD_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
# Bytes that are parsed at once, so that a client that sends many requests
# ahead is read no further than its connection has room for.
PARSED_BYTES = 16 * 1024
# Bytes of framing that a chunked body may take for each byte of it.
FRAMING_PER_BODY_BYTE = 8

RawHeaders = list[tuple[bytes, bytes]]


class RequestHandler(Protocol):
    """What is told of the requests."""

    def on_first_byte(self) -> None:
        """Takes that a request has begun to come."""

    def on_expect_continue(self) -> None:
        """Takes that the client waits for leave to send a body."""

    def on_request(
        self, method: bytes, path: bytes, headers: RawHeaders, body: bytes
    ) -> None:
        """Takes a whole request."""


class RequestReader:
    """Parses the bytes of one connection.

    Attributes:
        reading: Whether a request has begun to come and is not whole.
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
        "_url",
        "reading",
    )

    def __init__(
        self, handler: RequestHandler, limits: Callable[[], ClientLimits]
    ) -> None:
        """Creates a reader that has read nothing.

        Args:
            taker: Is told of the requests.
            limits: Returns the bounds on what clients may send.
        """
        self._handler = handler
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        # Status of the refusal while the parser is stopped.
        self._status = 0
        # Bytes read of the request that is not whole.
        self._read_bytes = 0
        self.reading = False
        self._reset()

    def feed(self, piece: memoryview) -> None:
        """Parses bytes.

        Args:
            piece: At most `PARSED_BYTES`.

        Raises:
            RequestUnreadableError: If they are no request, or a larger one
                than the limits allow. Nothing can be read after that.
        """
        try:
            self._parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            raise RequestUnreadableError(
                self._status or BAD_REQUEST, str(exc)
            ) from exc
        if self.reading:
            self._check_framing(len(piece))

    def _check_framing(self, size: int) -> None:
        """Refuses a request whose head or framing does not end.

        The parser hands over headers only when they are whole, and chunk
        extensions never.
        """
        # The piece in which a request begins may hold others, too.
        self._read_bytes += size
        allowed = (
            self._limits().max_header_bytes
            + PARSED_BYTES
            + (1 + FRAMING_PER_BODY_BYTE) * self._body_bytes
        )
        if self._read_bytes > allowed:
            raise RequestUnreadableError(
                HEADERS_TOO_LARGE,
                f"got {self._read_bytes} bytes, expected at most {allowed}",
            )

    # Events of the parser.

    def on_message_begin(self) -> None:
        """Takes the first byte of a request."""
        self._reset()
        self._read_bytes = 0
        self.reading = True
        self._handler.on_first_byte()

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
        for name, value in self._headers:
            if (name.lower(), value.lower()) == (b"expect", b"100-continue"):
                self._handler.on_expect_continue()

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._limits().max_body_bytes:
            self._abort(PAYLOAD_TOO_LARGE)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Takes the end of a request."""
        self.reading = False
        self._handler.on_request(
            self._parser.get_method(),
            self._url,
            self._headers,
            b"".join(self._body),
        )

    def _reset(self) -> None:
        self._url = b""
        self._headers: RawHeaders = []
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits().max_header_bytes:
            self._abort(HEADERS_TOO_LARGE)

    def _abort(self, status: int) -> None:
        self._status = status
        raise ValueError("the request is larger than the limits")
