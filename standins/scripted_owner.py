"""Owner that sends predefined frames in response to the first call."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence

from guavawing.model import Address
from guavawing.node.frame_stream import FrameStream
from guavawing.node.frames import build_hello
from guavawing.node.mesh_server import KEEPALIVE
from guavawing.proto import calls_pb2 as pb
from standins.frame_peer import FramePeer
from standins.silent_peers import LOAD


@contextlib.asynccontextmanager
async def open_scripted_owner(
    address: Address,
    frames: Sequence[pb.MeshFrame],
    *,
    closes: bool = True,
) -> AsyncIterator[None]:
    """Accepts connections of entry nodes until the context exits.

    Args:
        address: Address to listen on.
        frames: Frames sent after the first call of a connection, without
            checks against the protocol.
        closes: Whether the connection is closed afterwards.
    """
    loop = asyncio.get_running_loop()
    hello = build_hello("owner", 1, LOAD, now=0.0).SerializeToString()
    tasks: set[asyncio.Task[None]] = set()

    async def serve_peer(peer: FramePeer) -> None:
        for _ in range(2):
            peer.send(hello)
            await peer.receive()
        for frame in frames:
            peer.send(frame.SerializeToString())
        if closes:
            peer.close()

    class _Peer(FramePeer):
        def on_open(self, stream: FrameStream) -> None:
            super().on_open(stream)
            tasks.add(loop.create_task(serve_peer(self)))

    listener = await loop.create_server(
        lambda: FrameStream(_Peer(), keepalive=KEEPALIVE),
        address.host,
        address.port,
    )
    try:
        yield
    finally:
        listener.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
