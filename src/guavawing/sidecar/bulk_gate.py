"""Large answers of an owner, paced by its link.

All answers of a VM share its link. Were all large ones sent as they come, the
small ones behind them would wait for the sum of what their connections have
under way. So the next large answer is sent when the link has had the time for
the one before.
"""

import asyncio
import collections
from collections.abc import Callable

__all__ = ["LARGE_BYTES", "BulkGate"]

# Answers from this size on are large, in bytes.
LARGE_BYTES = 16 * 1024
# Share of the link that large answers may take; the rest is for small ones,
# requests, and what is sent again after a loss.
LINK_SHARE = 0.8


class BulkGate:
    """Which large answers wait for the link."""

    __slots__ = ("_bytes_per_s", "_free_at", "_loop", "_timer", "_waiting")

    def __init__(self, link_bytes_per_s: float) -> None:
        """Creates a gate that nothing waits at.

        Args:
            link_bytes_per_s: What the link takes, in bytes a second.
        """
        self._loop = asyncio.get_running_loop()
        self._bytes_per_s = LINK_SHARE * link_bytes_per_s
        self._free_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._waiting: collections.deque[tuple[int, Callable[[], None]]] = (
            collections.deque()
        )

    @property
    def waiting(self) -> int:
        """Large answers that are still to be sent."""
        return len(self._waiting)

    def wait_s(self) -> float:
        """Returns how long one more large answer would wait."""
        ahead_s = max(0.0, self._free_at - self._loop.time())
        size = sum(size for size, _ in self._waiting)
        return ahead_s + size / self._bytes_per_s

    def offer(self, size: int, send: Callable[[], None]) -> None:
        """Sends a large answer now or once the link has had time for others.

        Args:
            size: Its size, in bytes.
            send: Sends it.
        """
        self._waiting.append((size, send))
        if self._timer is None:
            self._send_next()

    def _send_next(self) -> None:
        self._timer = None
        while self._waiting:
            now = self._loop.time()
            if now < self._free_at:
                self._timer = self._loop.call_at(self._free_at, self._send_next)
                return
            size, send = self._waiting.popleft()
            self._free_at = now + size / self._bytes_per_s
            send()
