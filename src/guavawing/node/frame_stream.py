"""Frames on a TCP connection between two nodes.

Each frame has its length in front, as four bytes, the highest first. An empty
frame is a sign of life: the end that opened the connection sends one when it
has heard nothing for a while, and the other end answers with one.
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
# Ticks in a row without a byte from the peer after which it is held lost. A
# process that was paused finds one tick late, not many, and so reads what
# has arrived meanwhile before it judges.
MAX_SILENT_TICKS = 3
SIGN_OF_LIFE = b""


@attrs.frozen
class Keepalive:
    """How an end of a connection finds out that the other is gone.

    Attributes:
        tick_s: Time from one look at the connection to the next, in seconds.
        probes: Whether this end sends keepalive probes; the other echoes them.
    """

    tick_s: float
    probes: bool


class FrameHandler(Protocol):
    """What takes the events of a stream."""

    def on_open(self, stream: "FrameStream") -> None:
        """Takes the stream once it is connected."""

    def on_frame(self, payload: bytes) -> None:
        """Takes a frame.

        Raises:
            MessageInvalidError: If the connection has to be closed.
        """

    def on_writable(self) -> None:
        """Is told that frames may be written again after a pause."""

    def on_close(self) -> None:
        """Is told that the connection is closed, once."""


def pack_frame(payload: bytes) -> bytes:
    """Returns the bytes of a frame with its length in front."""
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameStream(asyncio.Protocol):
    """One end of a connection.

    Attributes:
        closed: Whether it is closed or being closed.
        last_received_at: Event loop's time of the last bytes of the peer.
        paused: Whether so much waits for the network that no more frames
            should be written.
    """

    __slots__ = (
        "_handler",
        "_held",
        "_keepalive",
        "_loop",
        "_needed",
        "_part",
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
        # The first bytes of a frame whose rest is yet to come, and the
        # number of bytes of them from which on there is more to read.
        self._part = bytearray()
        self._needed = 0
        # Frames that wait for the end of one that is written in pieces.
        self._held: list[bytes] = []
        self._unfinished = False
        self.closed = False
        self.last_received_at = self._loop.time()
        self.paused = False

    def send_keepalive(self) -> None:
        """Asks the peer for a sign of life before the next tick."""
        self.write(SIGN_OF_LIFE)

    def write(self, payload: bytes) -> None:
        """Sends a frame; does nothing once the connection is closed."""
        if self.closed or self._transport is None:
            return
        if self._unfinished:
            self._held.append(payload)
            return
        self._transport.write(pack_frame(payload))

    def write_piece(self, piece: bytes, last: bool) -> None:
        """Sends a piece of a packed frame; other frames wait for its end.

        Args:
            piece: The next bytes of `pack_frame`.
            last: Whether the frame ends with them.
        """
        if self.closed or self._transport is None:
            return
        self._unfinished = not last
        self._transport.write(piece)
        if last and self._held:
            held, self._held = self._held, []
            for payload in held:
                self.write(payload)

    def close(self) -> None:
        """Closes the connection after what was written has been sent."""
        self.closed = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._start_timer()
        self._handler.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the peer."""
        self._silent_ticks = 0
        self.last_received_at = self._loop.time()
        if self._part:
            self._part += data
            if len(self._part) < self._needed:
                return
            data = bytes(self._part)
        try:
            self._take_frames(data)
        except MessageInvalidError:
            # The connection of a peer that sends garbage is closed.
            self.abort()

    def pause_writing(self) -> None:
        """Notes that much waits for the network."""
        self.paused = True

    def resume_writing(self) -> None:
        """Notes that little waits for the network."""
        self.paused = False
        self._handler.on_writable()

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes the end of the connection."""
        self.closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._handler.on_close()

    def _take_frames(self, data: bytes) -> None:
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
            self._take_frame(data[body:start])
            needed = LENGTH_BYTES
        self._part = bytearray(data[start:])
        self._needed = needed

    def _take_frame(self, payload: bytes) -> None:
        if payload != SIGN_OF_LIFE:
            self._handler.on_frame(payload)
        elif not self._keepalive.probes and not self.paused:
            self.write(SIGN_OF_LIFE)

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
            self.write(SIGN_OF_LIFE)
        self._start_timer()
