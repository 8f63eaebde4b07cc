"""Order in which connections with costly bytes are parsed.

Answers the load of broken peers that send tiny chunks, headers or trailers
without end on many connections of a node. Such bytes cost the parser far more
than the same number of bytes in a body, and the event loop serves nobody else
meanwhile. A message is parsed as it arrives while its framing is in proportion
to its body; beyond that its connection waits for its turn. One connection gets
a turn per period, which ends by the framing parsed in it, so the share of the
processor depends neither on their number nor on the size of chunks. A valid
message of tiny chunks is delayed, not refused.
"""

from typing import Generic, TypeVar

__all__ = ["PIECE_BYTES", "TURN_S", "TurnQueue", "ends_turn", "is_costly"]

# Framing that a message of any size may have, in bytes.
FREE_FRAMING_BYTES = 16 * 1024
# Bytes of a body that allow for one more byte of framing: chunks of 450 bytes
# are never costly.
BODY_BYTES_PER_FRAMING_BYTE = 64
# Framing after which a turn ends, in bytes: some 600 chunks or headers, which
# take the slowest VMs less than 1 ms.
TURN_FRAMING_BYTES = 3 * 1024
# Largest piece that is parsed before the framing is counted, in bytes.
PIECE_BYTES = 4 * 1024
# Period in which one connection gets a turn, in seconds.
TURN_S = 0.002

_T = TypeVar("_T")


def is_costly(*, framing_bytes: int, body_bytes: int) -> bool:
    """Returns whether the rest of a message is parsed by turns.

    Args:
        framing_bytes: Bytes parsed of the message besides its body.
        body_bytes: Bytes parsed of its body.
    """
    allowed = FREE_FRAMING_BYTES + body_bytes // BODY_BYTES_PER_FRAMING_BYTE
    return framing_bytes > allowed


def ends_turn(*, framing_bytes: int, body_bytes: int, before_turn: int) -> bool:
    """Returns whether a connection has to wait for its next turn.

    Args:
        framing_bytes: Bytes parsed of the message besides its body.
        body_bytes: Bytes parsed of its body.
        before_turn: `framing_bytes` when the turn began.
    """
    costly = is_costly(framing_bytes=framing_bytes, body_bytes=body_bytes)
    return costly and framing_bytes - before_turn >= TURN_FRAMING_BYTES


class TurnQueue(Generic[_T]):
    """Waiting connections; each one gets a turn before any gets a second."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        # A dict, as it keeps the order and removes from any position.
        self._waiting: dict[_T, None] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, conn: _T) -> None:
        """Appends a connection, unless it is waiting."""
        self._waiting.setdefault(conn)

    def discard(self, conn: _T) -> None:
        """Removes a connection that needs no turn any more, if it waits."""
        self._waiting.pop(conn, None)

    def pop(self) -> _T | None:
        """Removes and returns the connection whose turn it is, if any."""
        conn = next(iter(self._waiting), None)
        if conn is not None:
            del self._waiting[conn]
        return conn
