"""Peer process of `bench.measure_transports`, serving four transports."""

import asyncio
import sys

import grpclib.const
import grpclib.server
import uvloop
from aiohttp import web

from guavawing.node.frame_stream import FrameStream
from guavawing.node.mesh_server import KEEPALIVE
from guavawing.proto import calls_pb2 as pb

ANSWER = pb.CallAnswer(status=200, body=b"x" * 512)


class EchoService:
    """A gRPC service with one unary method."""

    async def call(self, stream: grpclib.server.Stream) -> None:
        """Answers a request."""
        request = await stream.recv_message()
        await stream.send_message(pb.CallAnswer(id=request.id, body=b"x" * 512))

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Returns the methods by path."""
        return {
            "/bench.Echo/Call": grpclib.const.Handler(
                self.call,
                grpclib.const.Cardinality.UNARY_UNARY,
                pb.CallRequest,
                pb.CallAnswer,
            )
        }


async def answer_http(req: web.BaseRequest) -> web.StreamResponse:
    """Answers over HTTP, or over a WebSocket when asked to upgrade."""
    if "Upgrade" not in req.headers:
        await req.read()
        return web.Response(body=ANSWER.SerializeToString())
    ws = web.WebSocketResponse(compress=False)
    await ws.prepare(req)
    async for msg in ws:
        request = pb.CallRequest.FromString(msg.data)
        answer = pb.CallAnswer(id=request.id, body=b"x" * 512)
        await ws.send_bytes(answer.SerializeToString())
    return ws


class EchoHandler:
    """Answers each frame of a stream."""

    def on_open(self, stream: FrameStream) -> None:
        """Keeps the stream for answers."""
        self._stream = stream

    def on_frame(self, payload: bytes) -> None:
        """Answers a request."""
        request = pb.CallRequest.FromString(payload)
        answer = pb.CallAnswer(id=request.id, body=b"x" * 512)
        self._stream.write(answer.SerializeToString())

    def on_writable(self) -> None:
        """Ignores the event."""

    def on_close(self) -> None:
        """Ignores the event."""


async def serve(
    host: str, http_port: int, stream_port: int, grpc_port: int
) -> None:
    """Serves all transports until the process is ended."""
    loop = asyncio.get_running_loop()
    await loop.create_server(
        lambda: FrameStream(EchoHandler(), keepalive=KEEPALIVE),
        host,
        stream_port,
    )
    runner = web.ServerRunner(web.Server(answer_http, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, host, http_port).start()
    server = grpclib.server.Server([EchoService()])
    await server.start(host, grpc_port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1], *map(int, sys.argv[2:])))
