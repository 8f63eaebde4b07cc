"""Large answers of a node, paced by the link of its VM.

All that a VM sends shares its link, in the order in which it was written. A
large answer that is written at once holds up every small one behind it, for
the time that the link takes for the whole of it. So large answers go out in
pieces, no faster than the link takes them, and small ones pass between two
pieces. One large answer is sent at a time, the shortest first: this makes the
mean wait the shortest, and an answer that has begun is not interrupted, as its
connection would seem silent.
"""

import asyncio
from collections.abc import Callable, Hashable

import attrs

__all__ = ["LARGE_BYTES", "LinkPacer"]

# Answers from this size on are large, in bytes.
LARGE_BYTES = 16 * 1024
# Share of the link that large answers may take; the rest is for small ones,
# requests, and what is sent again after a loss.
LINK_SHARE = 0.9
# Smallest piece, in bytes: some packets, so that few wake-ups are needed.
MIN_PIECE_BYTES = 16 * 1024
# Time that the link takes for a piece where that is more, in seconds.
PIECE_S = 0.005
# Time by which a late timer is made up for, in seconds.
MAX_CATCH_UP_S = 0.02

PieceWriter = Callable[[bytes, bool], None]


@attrs.define(eq=False)
class _Answer:
    """A large answer that is not sent yet, as a whole.

    Attributes:
        channel: Connection that it goes out on.
        number: Its number on the connection.
        rest: Bytes that are still to be sent.
        write: Takes a piece and whether it is the last one.
    """

    channel: Hashable
    number: int
    rest: memoryview
    write: PieceWriter


class LinkPacer:
    """Large answers that wait for the link, and the one that is being sent."""

    __slots__ = (
        "_bytes_per_s",
        "_current",
        "_free_at",
        "_loop",
        "_piece_bytes",
        "_timer",
        "_waiting",
    )

    def __init__(self, link_bytes_per_s: float) -> None:
        """Creates a pacer that nothing waits at.

        Args:
            link_bytes_per_s: What the link takes, in bytes a second.
        """
        self._loop = asyncio.get_running_loop()
        self._bytes_per_s = LINK_SHARE * link_bytes_per_s
        self._piece_bytes = max(
            MIN_PIECE_BYTES, int(self._bytes_per_s * PIECE_S)
        )
        self._free_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._current: _Answer | None = None
        self._waiting: list[_Answer] = []

    @property
    def busy(self) -> bool:
        """Whether a large answer is still to be sent, or a part of one."""
        return self._current is not None

    def wait_s(self) -> float:
        """Returns how long one more large answer would wait at most."""
        size = sum(len(answer.rest) for answer in self._waiting)
        if self._current is not None:
            size += len(self._current.rest)
        ahead_s = max(0.0, self._free_at - self._loop.time())
        return ahead_s + size / self._bytes_per_s

    def offer(
        self,
        channel: Hashable,
        payload: bytes,
        write: PieceWriter,
        *,
        number: int = 0,
    ) -> None:
        """Sends a large answer, now or once the link has had time for others.

        Args:
            channel: Connection that it goes out on; answers of one connection
                keep their order.
            payload: Its bytes.
            write: Takes a piece and whether it is the last one.
            number: Number of the answer on its connection, for `cancel`.
        """
        rest = memoryview(payload)
        self._waiting.append(_Answer(channel, number, rest, write))
        if self._current is None:
            self._current = self._pick()
            self._send()

    def cancel(self, channel: Hashable, number: int) -> None:
        """Forgets an answer that nobody waits for, unless it has begun."""
        self._waiting = [
            answer
            for answer in self._waiting
            if (answer.channel, answer.number) != (channel, number)
        ]

    def drop(self, channel: Hashable) -> None:
        """Forgets the answers of a connection that is closed."""
        self._waiting = [
            answer for answer in self._waiting if answer.channel != channel
        ]
        if self._current is not None and self._current.channel == channel:
            self._current = self._pick()

    def _send(self) -> None:
        """Sends pieces until the link is full."""
        self._timer = None
        while self._current is not None and self._timer is None:
            now = self._loop.time()
            if now < self._free_at:
                self._timer = self._loop.call_at(self._free_at, self._send)
                return
            answer = self._current
            piece = bytes(answer.rest[: self._piece_bytes])
            answer.rest = answer.rest[self._piece_bytes :]
            started_at = max(self._free_at, now - MAX_CATCH_UP_S)
            self._free_at = started_at + len(piece) / self._bytes_per_s
            last = not answer.rest
            if last:
                self._current = self._pick()
            answer.write(piece, last)

    def _pick(self) -> _Answer | None:
        """Takes the shortest answer that is the first of its connection."""
        firsts: dict[Hashable, _Answer] = {}
        for answer in self._waiting:
            firsts.setdefault(answer.channel, answer)
        if not firsts:
            return None
        shortest = min(firsts.values(), key=lambda answer: len(answer.rest))
        self._waiting.remove(shortest)
        return shortest
