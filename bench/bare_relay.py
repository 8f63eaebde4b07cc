"""Two relay processes without any decisions: the baseline of the mesh.

They do the minimum for a call over two nodes with the same libraries: read a
request, forward it over a WebSocket, send it to the target and return the
answer. Cost beyond theirs is the cost of the mesh itself.
"""

import asyncio
import itertools
import sys
from collections.abc import Awaitable, Callable

import aiohttp
import uvloop
from aiohttp import web

from guavawing.proto import calls_pb2 as pb

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def serve(handler: Handler, host: str, port: int) -> None:
    """Serves requests until the process is ended."""
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    await asyncio.Event().wait()


async def run_owner(host: str, port: int, target: str) -> None:
    """Forwards requests from WebSockets to a target."""
    tasks: set[asyncio.Task[None]] = set()
    async with aiohttp.ClientSession(auto_decompress=False) as session:

        async def execute(
            ws: web.WebSocketResponse, request: pb.CallRequest
        ) -> None:
            texts = list(request.headers)
            headers = dict(zip(texts[::2], texts[1::2], strict=True))
            url = f"http://{target}{request.path}"
            async with session.get(url, headers=headers) as resp:
                answer = pb.CallAnswer(
                    id=request.id,
                    status=resp.status,
                    body=await resp.read(),
                )
            await ws.send_bytes(answer.SerializeToString())

        async def handle(req: web.BaseRequest) -> web.StreamResponse:
            ws = web.WebSocketResponse(compress=False)
            await ws.prepare(req)
            async for msg in ws:
                request = pb.CallRequest.FromString(msg.data)
                task = asyncio.create_task(execute(ws, request))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            return ws

        await serve(handle, host, port)


async def run_entry(host: str, port: int, owner: str) -> None:
    """Forwards requests of callers to the owner."""
    loop = asyncio.get_running_loop()
    pending: dict[int, asyncio.Future[pb.CallAnswer]] = {}
    ids = itertools.count(1)
    async with (
        aiohttp.ClientSession() as session,
        session.ws_connect(f"http://{owner}/", compress=0) as ws,
    ):

        async def read_answers() -> None:
            async for msg in ws:
                answer = pb.CallAnswer.FromString(msg.data)
                pending.pop(answer.id).set_result(answer)

        async def handle(req: web.BaseRequest) -> web.StreamResponse:
            frame_id = next(ids)
            pending[frame_id] = loop.create_future()
            pairs = req.headers.items()
            texts = [text for pair in pairs for text in pair]
            request = pb.CallRequest(
                id=frame_id, path=req.path_qs, headers=texts
            )
            await ws.send_bytes(request.SerializeToString())
            answer = await pending[frame_id]
            return web.Response(status=answer.status, body=answer.body)

        reader = loop.create_task(read_answers())
        await serve(handle, host, port)
        reader.cancel()


if __name__ == "__main__":
    role, own_host, own_port, peer = sys.argv[1:]
    run = {"owner": run_owner, "entry": run_entry}[role]
    uvloop.run(run(own_host, int(own_port), peer))
