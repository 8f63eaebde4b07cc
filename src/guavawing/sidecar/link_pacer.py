"""Pacing of large answers to the bandwidth of the VM's link.

All traffic of a VM shares its link in FIFO order. A large answer written at
once delays every small one behind it by its transmission time. Large
answers are therefore written in pieces at the rate of the link, and small ones
are sent between two pieces. One large answer is sent at a time, shortest
first, which minimises the mean wait. An answer that has started is not
preempted, since the peer would see its connection as silent.
"""

import asyncio
from collections.abc import Callable, Hashable

import attrs

__all__ = ["LARGE_BYTES", "LinkPacer"]

# Smallest size of an answer that is paced, in bytes.
LARGE_BYTES = 16 * 1024
# Share of the bandwidth that large answers may use; the rest is for small
# answers, requests and retransmissions.
LINK_SHARE = 0.9
# Smallest piece in bytes: several packets, to limit the number of wake-ups.
MIN_PIECE_BYTES = 16 * 1024
# Transmission time of a piece on fast links, in seconds.
PIECE_S = 0.005
# Largest delay of a timer that is compensated, in seconds.
MAX_CATCH_UP_S = 0.02

PieceWriter = Callable[[bytes, bool], None]


@attrs.define(eq=False)
class _Answer:
    """A large answer that has not been sent completely.

    Attributes:
        channel: Connection on which it is sent.
        number: Number of the answer on that connection.
        rest: Bytes that have not been sent.
        write: Called with each piece and whether it is the last one.
        order: Bytes that determine its place; the lowest is sent first.
    """

    channel: Hashable
    number: int
    rest: memoryview
    write: PieceWriter
    order: int


class LinkPacer:
    """Queue of large answers, of which one is being sent.

    Attributes:
        piece_bytes: Largest piece that is written at once.
    """

    __slots__ = (
        "_bytes_per_s",
        "_current",
        "_free_at",
        "_loop",
        "_pending_sources",
        "_timer",
        "_waiting",
        "piece_bytes",
    )

    def __init__(self, link_bytes_per_s: float) -> None:
        """Creates a pacer with an empty queue.

        Args:
            link_bytes_per_s: Bandwidth of the link in bytes per second.
        """
        self._loop = asyncio.get_running_loop()
        self._bytes_per_s = LINK_SHARE * link_bytes_per_s
        self.piece_bytes = max(
            MIN_PIECE_BYTES, int(self._bytes_per_s * PIECE_S)
        )
        self._pending_sources: list[Callable[[], int]] = []
        self._free_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._current: _Answer | None = None
        self._waiting: list[_Answer] = []

    @property
    def busy(self) -> bool:
        """Whether a large answer is queued or partly sent."""
        return self._current is not None

    def wait_s(self) -> float:
        """Returns the longest wait of another large answer, in seconds."""
        size = sum(len(answer.rest) for answer in self._waiting)
        if self._current is not None:
            size += len(self._current.rest)
        ahead_s = max(0.0, self._free_at - self._loop.time())
        size += sum(count() for count in self._pending_sources)
        return ahead_s + size / self._bytes_per_s

    @property
    def bytes_per_s(self) -> float:
        """Bandwidth that large answers and bodies may use."""
        return self._bytes_per_s

    def count_pending(self, count: Callable[[], int]) -> None:
        """Includes bytes that are not offered yet in the wait for the link.

        Args:
            count: Returns the number of these bytes.
        """
        self._pending_sources.append(count)

    def offer(
        self,
        channel: Hashable,
        payload: bytes,
        write: PieceWriter,
        *,
        number: int = 0,
        order: int | None = None,
    ) -> None:
        """Queues a large answer, and sends it at once if the link is free.

        Args:
            channel: Connection on which it is sent; answers of one connection
                keep their order.
            payload: Encoded answer.
            write: Called with each piece and whether it is the last one.
            number: Number of the answer on its connection, for `cancel`.
            order: Bytes that determine its place in the queue; its size by
                default. A part of a larger whole gives the rest of the whole.
        """
        rest = memoryview(payload)
        order = len(rest) if order is None else order
        self._waiting.append(_Answer(channel, number, rest, write, order))
        if self._current is None:
            self._current = self._pick()
            self._send()

    def cancel(self, channel: Hashable, number: int) -> None:
        """Removes a cancelled answer from the queue if it has not started."""
        self._waiting = [
            answer
            for answer in self._waiting
            if (answer.channel, answer.number) != (channel, number)
        ]

    def drop(self, channel: Hashable) -> None:
        """Discards the answers of a closed connection."""
        self._waiting = [
            answer for answer in self._waiting if answer.channel != channel
        ]
        if self._current is not None and self._current.channel == channel:
            self._current = self._pick()

    def _send(self) -> None:
        """Writes pieces until the link is saturated."""
        self._timer = None
        while self._current is not None and self._timer is None:
            now = self._loop.time()
            if now < self._free_at:
                self._timer = self._loop.call_at(self._free_at, self._send)
                return
            answer = self._current
            piece = bytes(answer.rest[: self.piece_bytes])
            answer.rest = answer.rest[self.piece_bytes :]
            started_at = max(self._free_at, now - MAX_CATCH_UP_S)
            self._free_at = started_at + len(piece) / self._bytes_per_s
            last = not answer.rest
            if last:
                self._current = self._pick()
            answer.write(piece, last)

    def _pick(self) -> _Answer | None:
        """Removes and returns the shortest answer at the head of a channel."""
        firsts: dict[Hashable, _Answer] = {}
        for answer in self._waiting:
            firsts.setdefault(answer.channel, answer)
        if not firsts:
            return None
        shortest = min(firsts.values(), key=lambda answer: answer.order)
        self._waiting.remove(shortest)
        return shortest
