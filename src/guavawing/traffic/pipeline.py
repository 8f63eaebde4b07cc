"""Requests that a client sends ahead of their answers, on one connection.

Answers leave in the order in which their requests came. Requests that may be
repeated are begun while earlier ones of that kind are under way; any other
one is begun only once all before it have been answered and the connection
stays open, because a client sends what lies behind a closed connection again.
"""

import collections
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

import attrs

__all__ = ["Exchange", "Pipeline"]

# Requests of one connection that are under way together. Most clients send
# fewer ahead, and one client must not fill the slots of a target.
MAX_IN_FLIGHT = 8
# Requests of one connection that are read, and their bytes with those of
# answers that wait for an earlier one, until no more are read.
MAX_EXCHANGES = 32
MAX_BYTES = 4 * 1024 * 1024

RequestT = TypeVar("RequestT")


@attrs.define(eq=False)
class Exchange(Generic[RequestT]):
    """A request and what becomes of it.

    Attributes:
        request: The request.
        size: Bytes of the request.
        begun: Whether it has been handed on.
        answer: Bytes of its answer, once known.
        closes: Whether the connection ends with the answer.
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
            overlaps: Tells whether a request may be under way beside others
                of its connection.
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
        """Bytes of requests and answers that are held."""
        return self._bytes

    @property
    def is_full(self) -> bool:
        """Whether no more should be read of the connection for now."""
        exchanges = self._exchanges
        return len(exchanges) >= MAX_EXCHANGES or (
            bool(exchanges) and self._bytes >= MAX_BYTES
        )

    def add(self, request: RequestT, size: int) -> Exchange[RequestT]:
        """Takes a request that was read; `begin` tells when it is handed on.

        Args:
            request: The request.
            size: Its bytes.
        """
        exchange = Exchange(request, size)
        self._exchanges.append(exchange)
        self._bytes += size
        return exchange

    def begin(self, *, ahead: bool) -> Iterator[Exchange[RequestT]]:
        """Yields what is to be handed on now.

        Args:
            ahead: Whether requests behind one under way may be begun.
        """
        while (exchange := self._find_next(ahead=ahead)) is not None:
            exchange.begun = True
            yield exchange

    def has_begun_behind(self, exchange: Exchange[RequestT]) -> bool:
        """Returns whether others were begun that wait behind an exchange.

        They have to be answered on the same connection.
        """
        if self._exchanges and self._exchanges[-1] is exchange:
            return False
        behind = False
        for other in self._exchanges:
            if behind and other.begun:
                return True
            behind |= other is exchange
        return False

    def answer(
        self, exchange: Exchange[RequestT], payload: bytes, *, closes: bool
    ) -> None:
        """Takes an answer, which `pop_answer` gives out in its turn."""
        exchange.answer = payload
        exchange.closes = closes
        self._bytes += len(payload)

    def pop_answer(self) -> Exchange[RequestT] | None:
        """Returns the exchange whose answer is to be sent now, if any."""
        if not self._exchanges or self._exchanges[0].answer is None:
            return None
        exchange = self._exchanges.popleft()
        assert exchange.answer is not None
        self._bytes -= exchange.size + len(exchange.answer)
        return exchange

    def clear(self) -> list[RequestT]:
        """Drops everything as the connection has ended.

        Returns:
            The requests that are under way. The others were not handed on
            and never will be.
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
