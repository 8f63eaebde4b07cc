"""A request of a client, of a target or of the platform."""

from collections.abc import Callable
from typing import Protocol

import attrs

from guavawing.traffic.pipeline import Exchange

__all__ = ["AnswerSink", "HttpRequest"]


class AnswerSink(Protocol):
    """The connection that a request came on."""

    def keeps_open(self, request: "HttpRequest", *, refused: bool) -> bool:
        """Returns whether the connection outlives an answer."""

    def respond(
        self, request: "HttpRequest", payload: bytes, *, closes: bool
    ) -> None:
        """Answers a request, once all before it have been answered."""


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
        on_disconnect: Is called once if the client goes away before the answer.
        exchange: Its place among the requests of the connection.
    """

    conn: AnswerSink
    method: bytes
    path: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived_at: float
    on_disconnect: Callable[[], None] | None = None
    exchange: "Exchange[HttpRequest] | None" = None

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
