"""Writing frames to one connection, at once whenever nothing waits.

A frame that is handed to a task costs a turn of the event loop before it is
written, at both ends of a call. The coroutine that sends a message writes it
in its first step and then waits only if the peer reads too slowly. That first
step is run in place, and only a peer that reads too slowly gets the task.
"""

from collections.abc import Callable, Coroutine, Iterator
from typing import Any, Protocol

from guavawing.node.frame_queue import ByteCount, FrameQueue

__all__ = ["FrameWriter"]


class MessageSocket(Protocol):
    """A WebSocket, of either end."""

    def send_bytes(self, data: bytes) -> Coroutine[Any, Any, None]:
        """Writes a message, then waits while the peer reads too slowly."""


class FrameWriter:
    """The outgoing side of one connection."""

    __slots__ = ("_held", "_on_lost", "_queue", "_ws")

    def __init__(
        self,
        ws: MessageSocket,
        total: ByteCount,
        *,
        on_lost: Callable[[], None],
    ) -> None:
        """Creates the writer of an open connection.

        Args:
            ws: The connection.
            total: Bytes that wait on all connections of the node.
            on_lost: Is told when the connection turns out to be lost.
        """
        self._ws = ws
        self._queue = FrameQueue(total)
        self._on_lost = on_lost
        # Whether the peer read too slowly when last written to.
        self._held = False

    @property
    def waiting_bytes(self) -> int:
        """Bytes of the frames and answers that wait."""
        return self._queue.waiting_bytes

    def send(self, payload: bytes) -> None:
        """Writes a single frame, or lets it wait for its turn."""
        if self._held or not self._queue.flushed:
            self._queue.put(payload)
            return
        try:
            self._held = not _run_first_step(self._ws.send_bytes(payload))
        except (ConnectionError, RuntimeError):
            self._on_lost()

    def send_stream(
        self, frame_id: int, frames: Iterator[bytes], size: int
    ) -> None:
        """Writes the frames of an answer in turn with all that waits.

        Args:
            frame_id: Id of the call.
            frames: Encoded frames in order.
            size: Bytes that the answer holds until it is sent.
        """
        self._queue.put_stream(frame_id, frames, size)

    def drop_stream(self, frame_id: int) -> None:
        """Forgets the rest of an answer that nobody waits for."""
        self._queue.drop_stream(frame_id)

    def clear(self) -> None:
        """Forgets every frame; nobody waits for them any more."""
        self._queue.clear()

    async def wait_flushed(self) -> None:
        """Waits until every frame has been written."""
        await self._queue.wait_flushed()

    async def run(self) -> None:
        """Writes the frames that wait until the connection is lost."""
        while True:
            payload = await self._queue.get()
            try:
                await self._ws.send_bytes(payload)
            except (ConnectionError, RuntimeError):
                self._on_lost()
                return
            self._held = False


def _run_first_step(coroutine: Coroutine[Any, Any, None]) -> bool:
    """Runs a coroutine up to its first wait; returns whether it ended."""
    try:
        coroutine.send(None)
    except StopIteration:
        return True
    coroutine.close()
    return False
