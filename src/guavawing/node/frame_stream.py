"""Frames on a TCP connection between two nodes.

Each frame is preceded by its length, as four bytes in big-endian order. An
empty frame is a keepalive probe: the end that opened the connection sends one
after a period without data, and the other end echoes it.
"""

import asyncio
from typing import Protocol, cast

import attrs

from guavawing.errors import MessageInvalidError

__all__ = [
    "MAX_FRAME_BYTES",
    "FrameHandler",
    "FrameStream",
    "Keepalive",
    "pack_frame",
]

MAX_FRAME_BYTES = 65 * 1024 * 1024
LENGTH_BYTES = 4
# Consecutive ticks without data from the peer after which the connection is
# closed. Ticks are counted instead of elapsed time, as a process that resumes
# after a suspension runs only one late tick and then reads the data received
# meanwhile.
MAX_SILENT_TICKS = 3
KEEPALIVE_FRAME = b""


@attrs.frozen
class Keepalive:
    """How one end of a connection detects the loss of the other.

    Attributes:
        tick_s: Time between two checks for received data, in seconds.
        probes: Whether this end sends keepalive probes; the other echoes them.
    """

    tick_s: float
    probes: bool


class FrameHandler(Protocol):
    """Handler of the events of a stream."""

    def on_open(self, stream: "FrameStream") -> None:
        """Called with the stream once it is connected."""

    def on_frame(self, payload: bytes) -> None:
        """Called with each frame received, except keepalive probes.

        Raises:
            MessageInvalidError: If the frame is invalid; the stream is aborted.
        """

    def on_writable(self) -> None:
        """Called when frames may be written again after a pause."""

    def on_close(self) -> None:
        """Called once when the connection is closed."""


def pack_frame(payload: bytes) -> bytes:
    """Returns a frame with its length prefix."""
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameStream(asyncio.Protocol):
    """One end of a connection.

    Attributes:
        closed: Whether it is closed or being closed.
        last_received_at: Event loop's time at which the last data was
            received, in seconds.
        paused: Whether the write buffer is above its high-water mark, so
            that no more frames should be written.
    """

    __slots__ = (
        "_buffer",
        "_deferred",
        "_handler",
        "_keepalive",
        "_loop",
        "_needed",
        "_reported_close",
        "_silent_ticks",
        "_timer",
        "_transport",
        "_unfinished",
        "closed",
        "last_received_at",
        "paused",
    )

    def __init__(self, handler: FrameHandler, *, keepalive: Keepalive) -> None:
        self._handler = handler
        self._keepalive = keepalive
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._silent_ticks = 0
        # An incomplete frame, and the size of the buffer at which it can be
        # parsed further.
        self._buffer = bytearray()
        self._needed = 0
        # Frames written while another one is being written in pieces.
        self._deferred: list[bytes] = []
        self._unfinished = False
        self._reported_close = False
        self.closed = False
        self.last_received_at = self._loop.time()
        self.paused = False

    @property
    def peer_host(self) -> str:
        """IP address of the other end; empty if it is not known."""
        if self._transport is None:
            return ""
        address = self._transport.get_extra_info("peername")
        return address[0] if address else ""

    @property
    def sending(self) -> bool:
        """Whether a part of a frame is not sent yet."""
        return self._transport is not None and (
            self._unfinished or self._transport.get_write_buffer_size() > 0
        )

    def send_keepalive(self) -> None:
        """Sends a keepalive probe without waiting for the next tick."""
        self.write(KEEPALIVE_FRAME)

    def write(self, payload: bytes) -> None:
        """Sends a frame; does nothing if the connection is not open."""
        if self.closed or self._transport is None:
            return
        if self._unfinished:
            self._deferred.append(payload)
            return
        self._transport.write(pack_frame(payload))

    def write_piece(self, piece: bytes, last: bool) -> None:
        """Sends a piece of a packed frame; defers other frames until its end.

        Args:
            piece: The next bytes of `pack_frame`.
            last: Whether this is the last piece of the frame.
        """
        if self.closed or self._transport is None:
            return
        self._unfinished = not last
        self._transport.write(piece)
        if last and self._deferred:
            deferred, self._deferred = self._deferred, []
            for payload in deferred:
                self.write(payload)

    def close(self) -> None:
        """Closes the connection after the write buffer has been sent."""
        self.closed = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once and discards the write buffer."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def abandon(self) -> None:
        """Ends a connection whose opening was given up.

        The event loop may close its transport without reporting the loss.
        """
        if self._transport is not None:
            self.abort()
            self.connection_lost(None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the keepalive timer and notifies the handler."""
        self._transport = cast(asyncio.Transport, transport)
        self._start_timer()
        self._handler.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Passes the complete frames received to the handler."""
        self._silent_ticks = 0
        self.last_received_at = self._loop.time()
        if self._buffer:
            self._buffer += data
            if len(self._buffer) < self._needed:
                return
            data = bytes(self._buffer)
        try:
            self._read_frames(data)
        except MessageInvalidError:
            # Frame boundaries can't be recovered after malformed data.
            self.abort()

    def pause_writing(self) -> None:
        """Called when the write buffer exceeds its high-water mark."""
        self.paused = True

    def resume_writing(self) -> None:
        """Called when the write buffer falls below its low-water mark."""
        self.paused = False
        self._handler.on_writable()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the keepalive timer and notifies the handler once."""
        self.closed = True
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        if not self._reported_close:
            self._reported_close = True
            self._handler.on_close()

    def _read_frames(self, data: bytes) -> None:
        start = 0
        needed = LENGTH_BYTES
        while len(data) - start >= LENGTH_BYTES and not self.closed:
            body = start + LENGTH_BYTES
            length = int.from_bytes(data[start:body], "big")
            if length > MAX_FRAME_BYTES:
                raise MessageInvalidError(
                    f"got a frame of {length} bytes, expected at most"
                    f" {MAX_FRAME_BYTES}"
                )
            needed = LENGTH_BYTES + length
            if len(data) - start < needed:
                break
            start += needed
            self._handle_frame(data[body:start])
            needed = LENGTH_BYTES
        self._buffer = bytearray(data[start:])
        self._needed = needed

    def _handle_frame(self, payload: bytes) -> None:
        if payload != KEEPALIVE_FRAME:
            self._handler.on_frame(payload)
        elif not self._keepalive.probes and not self.paused:
            self.write(KEEPALIVE_FRAME)

    def _start_timer(self) -> None:
        tick_s = self._keepalive.tick_s
        self._timer = self._loop.call_later(tick_s, self._tick)

    def _tick(self) -> None:
        self._silent_ticks += 1
        if self._silent_ticks >= MAX_SILENT_TICKS:
            self.abort()
            return
        if (
            self._keepalive.probes
            and self._silent_ticks == MAX_SILENT_TICKS - 1
        ):
            self.write(KEEPALIVE_FRAME)
        self._start_timer()
