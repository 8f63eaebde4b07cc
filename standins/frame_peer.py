"""Mesh connection endpoint that does not enforce the protocol."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from guavawing.model import Address
from guavawing.node.frame_stream import FrameStream, Keepalive


class FramePeer:
    """Sends arbitrary bytes as frames and queues received frames."""

    def __init__(self) -> None:
        self._stream: FrameStream | None = None
        self._frames: asyncio.Queue[bytes | None] = asyncio.Queue()

    def on_open(self, stream: FrameStream) -> None:
        """Stores the stream of the established connection."""
        self._stream = stream

    def on_frame(self, payload: bytes) -> None:
        """Queues a received frame."""
        self._frames.put_nowait(payload)

    def on_writable(self) -> None:
        """Ignores the event; `send` does not apply backpressure."""

    def on_close(self) -> None:
        """Queues the end-of-connection marker."""
        self._frames.put_nowait(None)

    def send(self, payload: bytes) -> None:
        """Sends a frame."""
        assert self._stream is not None
        self._stream.write(payload)

    async def receive(self) -> bytes:
        """Returns the next received frame.

        Raises:
            ConnectionError: If the connection was closed.
        """
        payload = await self._frames.get()
        if payload is None:
            raise ConnectionError("connection closed by peer")
        return payload

    async def receive_all(self) -> list[bytes]:
        """Returns all frames received until the connection closes."""
        frames = []
        with contextlib.suppress(ConnectionError):
            while True:
                frames.append(await self.receive())
        return frames

    def close(self) -> None:
        """Closes the connection."""
        if self._stream is not None:
            self._stream.close()


@contextlib.asynccontextmanager
async def open_frame_peer(
    address: Address, *, probes: bool = True
) -> AsyncIterator[FramePeer]:
    """Opens a connection to an owner.

    Args:
        address: Mesh address of the owner.
        probes: Whether this endpoint sends keepalive probes.
    """
    peer = FramePeer()
    keepalive = Keepalive(tick_s=1.0, probes=probes)
    await asyncio.get_running_loop().create_connection(
        lambda: FrameStream(peer, keepalive=keepalive),
        address.host,
        address.port,
    )
    try:
        yield peer
    finally:
        peer.close()
