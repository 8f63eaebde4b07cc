"""HTTP pipelining: requests sent before earlier ones have been answered.

Answers are sent in the order of their requests. Idempotent requests are begun
while earlier idempotent ones are in flight. Any other request is begun only
when all before it have been answered. A connection is closed behind the last
request that was received whole: its client could not tell whether one behind
that had run.
"""

import collections
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

import attrs

__all__ = ["Exchange", "Pipeline"]

# Maximum number of requests of one connection in flight. Most clients pipeline
# fewer, and a single client must not occupy all slots of a target.
MAX_IN_FLIGHT = 8
# Limits of one connection above which no more is read from it: exchanges that
# have not ended, and the bytes of their requests and of answers held back.
MAX_EXCHANGES = 32
MAX_BYTES = 4 * 1024 * 1024

RequestT = TypeVar("RequestT")


@attrs.define(eq=False)
class Exchange(Generic[RequestT]):
    """A request and its answer.

    Attributes:
        request: The request.
        size: Size of the request, in bytes.
        begun: Whether it has been passed on for execution.
        answer: Bytes of its answer, once available.
        closes: Whether the connection is closed after the answer.
    """

    request: RequestT
    size: int
    begun: bool = False
    answer: bytes | None = None
    closes: bool = False


class Pipeline(Generic[RequestT]):
    """The exchanges of one connection that have not ended, oldest first."""

    __slots__ = ("_bytes", "_exchanges", "_overlaps")

    def __init__(self, overlaps: Callable[[RequestT], bool]) -> None:
        """Creates an empty pipeline.

        Args:
            overlaps: Returns whether a request may be in flight together with
                others of its connection.
        """
        self._overlaps = overlaps
        self._exchanges: collections.deque[Exchange[RequestT]] = (
            collections.deque()
        )
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._exchanges)

    @property
    def size(self) -> int:
        """Bytes of the requests and answers that are held."""
        return self._bytes

    @property
    def is_full(self) -> bool:
        """Whether reading from the connection should pause."""
        exchanges = self._exchanges
        return len(exchanges) >= MAX_EXCHANGES or (
            bool(exchanges) and self._bytes >= MAX_BYTES
        )

    def add(self, request: RequestT, size: int) -> Exchange[RequestT]:
        """Adds a request; `begin` yields it when it may be passed on.

        Args:
            request: The request.
            size: Its size, in bytes.
        """
        exchange = Exchange(request, size)
        self._exchanges.append(exchange)
        self._bytes += size
        return exchange

    def begin(self, *, ahead: bool) -> Iterator[Exchange[RequestT]]:
        """Yields the exchanges to pass on now.

        Args:
            ahead: Whether requests behind one in flight may be begun.
        """
        while (exchange := self._find_next(ahead=ahead)) is not None:
            exchange.begun = True
            yield exchange

    def is_last(self, exchange: Exchange[RequestT]) -> bool:
        """Returns whether no request has been received behind an exchange.

        The answers of those behind must be sent on the same connection.
        """
        return bool(self._exchanges) and self._exchanges[-1] is exchange

    def answer(
        self, exchange: Exchange[RequestT], payload: bytes, *, closes: bool
    ) -> None:
        """Sets the answer, which `pop_answer` returns in order."""
        exchange.answer = payload
        exchange.closes = closes
        self._bytes += len(payload)

    def pop_answer(self) -> Exchange[RequestT] | None:
        """Removes and returns the exchange to answer now, if any."""
        if not self._exchanges or self._exchanges[0].answer is None:
            return None
        exchange = self._exchanges.popleft()
        assert exchange.answer is not None
        self._bytes -= exchange.size + len(exchange.answer)
        return exchange

    def clear(self) -> list[RequestT]:
        """Removes all exchanges after the connection has ended.

        Returns:
            The requests in flight. Those not begun will never be.
        """
        dropped, self._exchanges = self._exchanges, collections.deque()
        self._bytes = 0
        return [
            exchange.request
            for exchange in dropped
            if exchange.begun and exchange.answer is None
        ]

    def _find_next(self, *, ahead: bool) -> Exchange[RequestT] | None:
        if all(exchange.begun for exchange in self._exchanges):
            return None
        begun = 0
        for exchange in self._exchanges:
            if exchange.begun:
                begun += 1
                if exchange.closes or not self._may_overlap(exchange, ahead):
                    return None
            elif not begun:
                return exchange
            else:
                fits = begun < MAX_IN_FLIGHT and self._bytes < MAX_BYTES
                overlaps = fits and self._may_overlap(exchange, ahead)
                return exchange if overlaps else None
        return None

    def _may_overlap(self, exchange: Exchange[RequestT], ahead: bool) -> bool:
        return ahead and self._overlaps(exchange.request)
