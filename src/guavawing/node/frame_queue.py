"""Outgoing frames of one connection, small ones not held back by large ones.

An answer of one frame is sent in turn. An answer of several frames is a
*stream*: streams take turns, one frame each, and after every frame of a
stream come the single frames that have arrived meanwhile. Frames of streams
are built when they are sent, so a waiting answer is held once.
"""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Iterator

import attrs

__all__ = ["ByteCount", "FrameQueue"]


@attrs.define
class ByteCount:
    """Bytes that wait on all connections of a node.

    Attributes:
        waiting: The bytes.
    """

    waiting: int = 0


@attrs.frozen
class _Stream:
    frames: Iterator[bytes]
    size: int


class FrameQueue:
    """Frames that wait to be written to one connection."""

    __slots__ = (
        "_bytes",
        "_flushed",
        "_single",
        "_streams",
        "_total",
    )

    def __init__(self, total: ByteCount) -> None:
        self._total = total
        self._single: deque[bytes] = deque()
        self._streams: OrderedDict[int, _Stream] = OrderedDict()
        self._bytes = 0
        self._flushed = asyncio.Event()
        self._flushed.set()

    @property
    def waiting_bytes(self) -> int:
        """Bytes of the frames and answers that wait."""
        return self._bytes

    def put(self, payload: bytes) -> None:
        """Adds a single frame."""
        self._single.append(payload)
        self._count(len(payload))
        self._flushed.clear()

    def put_stream(
        self, frame_id: int, frames: Iterator[bytes], size: int
    ) -> None:
        """Adds the frames of an answer.

        Args:
            frame_id: Id of the call.
            frames: Encoded frames in order.
            size: Bytes that the answer holds until it is sent.
        """
        self._streams[frame_id] = _Stream(frames, size)
        self._count(size)
        self._flushed.clear()

    def drop_stream(self, frame_id: int) -> None:
        """Forgets the rest of an answer that nobody waits for."""
        stream = self._streams.pop(frame_id, None)
        if stream is not None:
            self._count(-stream.size)

    def clear(self) -> None:
        """Forgets every frame; nobody waits for them any more."""
        self._single.clear()
        self._streams.clear()
        self._count(-self._bytes)
        self._flushed.set()

    def pop_frame(self) -> bytes | None:
        """Returns the next frame to write, or None."""
        payload = self._take_single() or self._take_of_stream()
        if payload is None:
            # Whoever asks for the next frame has written the one before.
            self._flushed.set()
        return payload

    async def wait_flushed(self) -> None:
        """Waits until every frame has been written."""
        await self._flushed.wait()

    def _take_single(self) -> bytes | None:
        if not self._single:
            return None
        payload = self._single.popleft()
        self._count(-len(payload))
        return payload

    def _take_of_stream(self) -> bytes | None:
        while self._streams:
            frame_id, stream = self._streams.popitem(last=False)
            payload = next(stream.frames, None)
            if payload is not None:
                self._streams[frame_id] = stream
                return payload
            self._count(-stream.size)
        return None

    def _count(self, size: int) -> None:
        self._bytes += size
        self._total.waiting += size
