"""Timer of the turns in which connections parse costly bytes."""

import asyncio
from typing import Protocol

from guavawing.traffic.parse_turns import TURN_S, TurnQueue

__all__ = ["ParsePacer"]


class _Parsing(Protocol):
    """A connection that has bytes to parse."""

    def parse_turn(self) -> None:
        """Parses until its turn ends, and waits again if more is left."""


class ParsePacer:
    """Gives one waiting connection a turn in each period."""

    __slots__ = ("_loop", "_queue", "_timer")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._queue: TurnQueue[_Parsing] = TurnQueue()
        self._timer: asyncio.TimerHandle | None = None

    def wait(self, conn: _Parsing) -> None:
        """Calls `parse_turn` of a connection once, at its turn."""
        self._queue.add(conn)
        if self._timer is None:
            self._timer = self._loop.call_later(TURN_S, self._give_turn)

    def drop(self, conn: _Parsing) -> None:
        """Cancels the turn of a closed connection, if it waits for one."""
        self._queue.discard(conn)

    def _give_turn(self) -> None:
        self._timer = None
        conn = self._queue.pop()
        if conn is None:
            return
        if len(self._queue):
            self._timer = self._loop.call_later(TURN_S, self._give_turn)
        conn.parse_turn()
