"""Compares transports between two nodes, with 512 bytes each way.

Requests are sent one at a time, and the transports alternate in one run.
"""

import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
from grpclib.client import Channel, UnaryUnaryMethod
from hdrh.histogram import HdrHistogram

from bench.figure import Figure
from bench.peer_process import run_peer
from guavawing.model import Address
from guavawing.proto import calls_pb2 as pb
from standins.frame_peer import open_frame_peer
from standins.ports import HOST, PortBlock

CALLS = 2_000
WARM_UP_CALLS = 200
HIGHEST_US = 10_000_000
REQUEST = pb.CallRequest(id=1, service="feed", path="/", body=b"x" * 512)

Call = Callable[[], Awaitable[object]]


async def run() -> list[Figure]:
    """Measures round trips of HTTP, a WebSocket, plain frames and gRPC."""
    figures = []
    async with _open_peer() as ports, _open_calls(*ports) as calls:
        histograms = {name: HdrHistogram(1, HIGHEST_US, 3) for name in calls}
        for number in range(WARM_UP_CALLS + CALLS):
            for name, call in calls.items():
                start = time.perf_counter()
                await call()
                elapsed_us = (time.perf_counter() - start) * 1e6
                if number >= WARM_UP_CALLS:
                    histograms[name].record_value(int(elapsed_us))
    for name, histogram in histograms.items():
        for percentile in (50, 99):
            value = histogram.get_value_at_percentile(percentile) / 1000
            figures.append(
                Figure(f"transport.{name}_p{percentile}", value, "ms")
            )
    return figures


@contextlib.asynccontextmanager
async def _open_peer() -> AsyncIterator[list[int]]:
    """Runs the peer; yields its ports for HTTP, frames and gRPC."""
    with contextlib.closing(PortBlock()) as block:
        ports = [int(block.allocate().rpartition(":")[2]) for _ in range(3)]
        async with run_peer(
            "bench.transport_peer",
            HOST,
            *map(str, ports),
            listens=f"{HOST}:{ports[-1]}",
        ):
            yield ports


@contextlib.asynccontextmanager
async def _open_calls(
    http: int, frames: int, grpc: int
) -> AsyncIterator[dict[str, Call]]:
    url = f"http://{HOST}:{http}/"
    channel = Channel(HOST, grpc)
    unary = UnaryUnaryMethod(
        channel, "/bench.Echo/Call", pb.CallRequest, pb.CallAnswer
    )
    async with (
        aiohttp.ClientSession() as session,
        session.ws_connect(url, compress=0) as ws,
        open_frame_peer(Address(HOST, frames)) as peer,
    ):

        async def call_http() -> None:
            payload = REQUEST.SerializeToString()
            async with session.post(url, data=payload) as resp:
                pb.CallAnswer.FromString(await resp.read())

        async def call_websocket() -> None:
            await ws.send_bytes(REQUEST.SerializeToString())
            pb.CallAnswer.FromString(await ws.receive_bytes())

        async def call_frames() -> None:
            peer.send(REQUEST.SerializeToString())
            pb.CallAnswer.FromString(await peer.receive())

        async def call_grpc() -> None:
            await unary(REQUEST)

        yield {
            "http": call_http,
            "websocket": call_websocket,
            "frames": call_frames,
            "grpc": call_grpc,
        }
    channel.close()
