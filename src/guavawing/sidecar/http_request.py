"""HTTP request received from a client, a target or the platform."""

from collections.abc import Callable
from typing import Protocol

import attrs

from guavawing.traffic.pipeline import Exchange

__all__ = ["AnswerSink", "HttpRequest"]


class AnswerSink(Protocol):
    """Connection on which a request was received."""

    def keeps_open(self, request: "HttpRequest", *, refused: bool) -> bool:
        """Returns whether the connection stays open after the answer."""

    def respond(
        self, request: "HttpRequest", payload: bytes, *, closes: bool
    ) -> None:
        """Sends the answer once all earlier requests are answered."""


@attrs.define(eq=False)
class HttpRequest:
    """One completely received request.

    Attributes:
        conn: Connection on which it was received.
        method: HTTP method.
        path: Path and query, unmodified.
        headers: Names and values, unmodified.
        body: Complete body.
        arrived_at: Event loop's time at which the last byte was received.
        on_disconnect: Called at most once, if the client disconnects before
            the answer is sent.
        exchange: Entry in the pipeline of its connection.
        began_at: Event loop's time at which the first byte was received.
    """

    conn: AnswerSink
    method: bytes
    path: bytes
    # They may contain the key of a client account.
    headers: list[tuple[bytes, bytes]] = attrs.field(repr=False)
    body: bytes
    arrived_at: float
    on_disconnect: Callable[[], None] | None = None
    exchange: "Exchange[HttpRequest] | None" = None
    began_at: float = attrs.field(
        default=attrs.Factory(lambda self: self.arrived_at, takes_self=True)
    )

    @property
    def size(self) -> int:
        """Approximate memory use in bytes."""
        head = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.path) + head + len(self.body)

    def keeps_open(self, *, refused: bool = False) -> bool:
        """Returns whether the connection stays open after the answer.

        Args:
            refused: Whether the answer is a refusal. Clients retry on a new
                connection, so this one would stay idle.
        """
        return self.conn.keeps_open(self, refused=refused)

    def respond(self, payload: bytes, *, closes: bool = False) -> None:
        """Sends the answer.

        Args:
            payload: Encoded answer, head and body.
            closes: Whether the answer contains `Connection: close`.
        """
        self.conn.respond(self, payload, closes=closes)
