"""An owner that answers the first call with given frames."""

import contextlib
from collections.abc import AsyncIterator, Sequence

from aiohttp import web

from guavawing.model import Address
from guavawing.node.frames import build_hello
from guavawing.proto import calls_pb2 as pb
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
    hello = build_hello("owner", 1, LOAD, now=0.0)

    async def answer(req: web.BaseRequest) -> web.WebSocketResponse:
        ws = web.WebSocketResponse()
        await ws.prepare(req)
        await ws.send_bytes(hello.SerializeToString())
        await ws.receive()
        await ws.send_bytes(hello.SerializeToString())
        await ws.receive()
        for frame in frames:
            await ws.send_bytes(frame.SerializeToString())
        if not closes:
            async for _ in ws:
                pass
        await ws.close()
        return ws

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    try:
        await web.TCPSite(runner, address.host, address.port).start()
        yield
    finally:
        await runner.cleanup()
