"""One end of a connection between nodes that keeps no rule of the protocol."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from guavawing.model import Address
from guavawing.node.frame_stream import FrameStream, Keepalive


class FramePeer:
    """Sends any bytes as frames and keeps those that arrive."""

    def __init__(self) -> None:
        self._stream: FrameStream | None = None
        self._frames: asyncio.Queue[bytes | None] = asyncio.Queue()

    def on_open(self, stream: FrameStream) -> None:
        """Takes the stream of the connection."""
        self._stream = stream

    def on_frame(self, payload: bytes) -> None:
        """Keeps a frame."""
        self._frames.put_nowait(payload)

    def on_writable(self) -> None:
        """Does nothing."""

    def on_close(self) -> None:
        """Notes the end of the connection."""
        self._frames.put_nowait(None)

    def send(self, payload: bytes) -> None:
        """Sends a frame."""
        assert self._stream is not None
        self._stream.write(payload)

    async def receive(self) -> bytes:
        """Returns the next frame.

        Raises:
            ConnectionError: If the connection is closed.
        """
        payload = await self._frames.get()
        if payload is None:
            raise ConnectionError("closed by the other end")
        return payload

    async def receive_all(self) -> list[bytes]:
        """Returns the frames until the connection is closed."""
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
        address: Where the owner listens.
        probes: Whether the peer sends keepalive probes.
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
