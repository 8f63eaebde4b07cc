"""Queue of outgoing frames of one connection.

Single frames are sent first, in order of arrival. An answer of several frames
is a *stream*. Streams are sent round-robin, one frame at a time, so that large
answers do not delay small ones. Frames of streams are encoded when they are
sent, so that a queued answer is in memory only once.
"""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Iterator

import attrs

__all__ = ["ByteCount", "FrameQueue"]


@attrs.define
class ByteCount:
    """Bytes queued on all connections of a node.

    Attributes:
        waiting: Number of bytes.
    """

    waiting: int = 0


@attrs.frozen
class _Stream:
    frames: Iterator[bytes]
    size: int


class FrameQueue:
    """Frames to be written to one connection."""

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
        """Bytes of the queued frames and answers."""
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
            size: Bytes that the answer occupies until it is sent.
        """
        self._streams[frame_id] = _Stream(frames, size)
        self._count(size)
        self._flushed.clear()

    def drop_stream(self, frame_id: int) -> None:
        """Discards the remaining frames of a cancelled answer."""
        stream = self._streams.pop(frame_id, None)
        if stream is not None:
            self._count(-stream.size)

    def clear(self) -> None:
        """Discards all frames, after the connection has been closed."""
        self._single.clear()
        self._streams.clear()
        self._count(-self._bytes)
        self._flushed.set()

    def pop_frame(self) -> bytes | None:
        """Removes and returns the next frame to write; None if empty."""
        payload = self._pop_single() or self._pop_stream_frame()
        if payload is None:
            # The previous frame has been written before this call.
            self._flushed.set()
        return payload

    async def wait_flushed(self) -> None:
        """Waits until every frame has been written."""
        await self._flushed.wait()

    def _pop_single(self) -> bytes | None:
        if not self._single:
            return None
        payload = self._single.popleft()
        self._count(-len(payload))
        return payload

    def _pop_stream_frame(self) -> bytes | None:
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
