"""Memory for the body of a client's request while it is received."""

from collections.abc import Callable

from guavawing.traffic.uploads import BodyRoom

__all__ = ["HeldBody"]


class HeldBody:
    """A large body that is being received, counted in the node's memory."""

    __slots__ = ("_on_refused", "_room", "_size", "arrived")

    def __init__(
        self, room: BodyRoom, on_refused: Callable[[int], None]
    ) -> None:
        """Creates a body without memory.

        Args:
            room: Memory for the large bodies of the node.
            on_refused: Called with the size for which there is no memory.
        """
        self._on_refused = on_refused
        self._room = room
        self._size = 0
        self.arrived = 0

    def expect(self, size: int) -> bool:
        """Reserves memory up to a size; returns False if there is none."""
        more = size - self._size
        if more > 0 and not self._room.reserve(more):
            self._on_refused(size)
            return False
        self._size = max(self._size, size)
        return True

    def add(self, size: int) -> bool:
        """Counts a part; returns False if there is no memory for it."""
        self.arrived += size
        return self.expect(self.arrived)

    def release(self) -> None:
        """Releases the memory; later calls have no effect."""
        self._room.release(self._size)
        self._size = 0
