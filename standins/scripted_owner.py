"""An owner that answers the first call with given frames."""

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
    """Serves connections of entry nodes.

    Args:
        address: Where to listen.
        frames: What to send after the first call of a connection. No rule
            of the protocol is checked.
        closes: Whether it closes the connection then.
    """
    loop = asyncio.get_running_loop()
    hello = build_hello("owner", 1, LOAD, now=0.0).SerializeToString()
    tasks: set[asyncio.Task[None]] = set()

    async def answer(peer: FramePeer) -> None:
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
            tasks.add(loop.create_task(answer(self)))

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
