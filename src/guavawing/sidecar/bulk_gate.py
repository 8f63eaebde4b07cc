"""Large answers of an owner, a few at a time.

All answers of a VM share its link. Were all large ones sent as they come, the
small ones behind them would wait for the sum of what their connections have
under way. So large answers are sent only up to a number of bytes at a time,
and the entry node tells when one has arrived.
"""

import asyncio
import collections
from collections.abc import Callable

import attrs

__all__ = ["LARGE_BYTES", "BulkGate"]

# Answers from this size on are large, in bytes.
LARGE_BYTES = 16 * 1024
# Large answers that may be under way at a time, in bytes: a tenth of a second
# on a link of 10 Mbit/s. One is sent whatever its size.
MAX_UNDER_WAY_BYTES = 128 * 1024
# Time after which an answer that was not confirmed no longer holds up others,
# in seconds: a packet of it was lost, or its entry node is cut off.
UNCONFIRMED_S = 0.25


@attrs.define(eq=False)
class _Answer:
    size: int
    send: Callable[[], bool]
    timer: asyncio.TimerHandle | None = None


class BulkGate:
    """Which large answers are under way."""

    __slots__ = ("_held", "_loop", "_sent", "_under_way", "_waiting")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._waiting: collections.deque[tuple[object, _Answer]] = (
            collections.deque()
        )
        self._sent: dict[object, _Answer] = {}
        self._under_way = 0
        self._held = 0

    @property
    def backlog(self) -> int:
        """Bytes of large answers that wait or are under way."""
        return self._held + self._under_way

    def offer(self, key: object, size: int, send: Callable[[], bool]) -> None:
        """Sends a large answer now or once there is room.

        Args:
            key: What `confirm` names it by.
            size: Its size, in bytes.
            send: Sends it; returns False if nobody takes it any more.
        """
        self._held += size
        self._waiting.append((key, _Answer(size, send)))
        self._send_waiting()

    def confirm(self, key: object) -> None:
        """Takes that an answer has arrived, or never will."""
        answer = self._sent.pop(key, None)
        if answer is None:
            return
        if answer.timer is not None:
            answer.timer.cancel()
        self._under_way -= answer.size
        self._send_waiting()

    def _send_waiting(self) -> None:
        while self._waiting:
            key, answer = self._waiting[0]
            total = self._under_way + answer.size
            if self._sent and total > MAX_UNDER_WAY_BYTES:
                return
            self._waiting.popleft()
            self._held -= answer.size
            if not answer.send():
                continue
            self._sent[key] = answer
            self._under_way += answer.size
            answer.timer = self._loop.call_later(
                UNCONFIRMED_S, self.confirm, key
            )
