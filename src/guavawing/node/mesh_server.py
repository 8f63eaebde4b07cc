"""Server side of the connections between nodes: calls for this owner."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import aiohttp
from aiohttp import web

from guavawing.config import PolicyTable
from guavawing.errors import MessageInvalidError
from guavawing.model import Address
from guavawing.node.frames import (
    MAX_FRAME_BYTES,
    MICROSECONDS,
    build_answer_frames,
    build_hello,
    decode_frame,
    decode_headers,
    read_key,
)
from guavawing.node.http_server import BoundedServer, open_http_server
from guavawing.node.messages import Answer, CallAttempt
from guavawing.node.metrics import Metrics
from guavawing.node.owner import Owner
from guavawing.node.submission import Submission
from guavawing.policy.transit import TransitMeter
from guavawing.proto import calls_pb2 as pb
from guavawing.verdict import NotRun, Reason

__all__ = ["MeshServer", "open_mesh_server"]

PING_PERIOD_S = 10.0
CLOSE_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 1_024

PolicySource = Callable[[], PolicyTable | None]


class MeshServer:
    """Takes attempts from entry nodes and answers them out of order."""

    def __init__(
        self,
        *,
        owner: Owner,
        policies: PolicySource,
        member_id: str,
        incarnation: int,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._owner = owner
        self._policies = policies
        self._member_id = member_id
        self._incarnation = incarnation
        self._connections: set[_Connection] = set()

    def announce_load(self) -> None:
        """Tells every connected entry node of the load here at once.

        An entry node with an idle connection would otherwise hear of a drain
        only by gossip, and of its end, as it sends nothing here, never.
        """
        for conn in self._connections:
            conn.send_hello()

    async def wait_flushed(self) -> None:
        """Waits until every answer has been handed to the network."""
        for conn in tuple(self._connections):
            await conn.wait_flushed()

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Serves one connection until the entry node closes it."""
        ws = web.WebSocketResponse(
            heartbeat=PING_PERIOD_S,
            max_msg_size=MAX_FRAME_BYTES,
            compress=False,
            timeout=CLOSE_TIMEOUT_S,
        )
        await ws.prepare(req)
        conn = _Connection(self, ws)
        self._connections.add(conn)
        try:
            await conn.serve()
        finally:
            self._connections.discard(conn)
        return ws

    def hello(self) -> pb.MeshFrame:
        """Returns the first frame of a connection, or a later one."""
        return build_hello(
            self._member_id,
            self._incarnation,
            self._owner.load(),
            now=self._loop.time(),
        )

    def submit(self, request: pb.CallRequest, delay_s: float) -> Submission:
        """Hands a request to the owner side.

        Args:
            request: The request frame.
            delay_s: Time that the frame waited on its way, in seconds.
        """
        table = self._policies()
        policy = None if table is None else table.get(request.route)
        if policy is None:
            # This node has not applied the version of the entry node yet.
            fut: asyncio.Future[Answer] = self._loop.create_future()
            fut.set_result(Answer(NotRun(Reason.UNKNOWN_ROUTE, 0.0)))
            return Submission(fut)
        time_left_s = request.time_left_us / MICROSECONDS - delay_s
        attempt = CallAttempt(
            call_id=request.call_id,
            policy=policy,
            method=request.method,
            path=request.path,
            headers=decode_headers(request.headers),
            body=request.body,
            deadline=self._loop.time() + time_left_s,
            depth=request.depth,
            key=read_key(request),
            fingerprint=request.fingerprint,
        )
        return self._owner.submit(attempt)

    def encode_answer(self, answer: Answer, frame_id: int) -> list[bytes]:
        """Returns the encoded frames of an answer."""
        frames = build_answer_frames(answer, frame_id, self._owner.load())
        return [frame.SerializeToString() for frame in frames]


class _Connection:
    """One entry node's connection: owns its socket and outgoing queue."""

    def __init__(self, server: MeshServer, ws: web.WebSocketResponse) -> None:
        self._server = server
        self._ws = ws
        self._loop = asyncio.get_running_loop()
        self._outgoing: asyncio.Queue[bytes] = asyncio.Queue()
        self._submissions: dict[int, Submission] = {}
        self._transit = TransitMeter()

    def send_hello(self) -> None:
        self._outgoing.put_nowait(self._server.hello().SerializeToString())

    async def wait_flushed(self) -> None:
        await self._outgoing.join()

    async def serve(self) -> None:
        writer = self._loop.create_task(self._write())
        self.send_hello()
        try:
            async for msg in self._ws:
                if msg.type is not aiohttp.WSMsgType.BINARY:
                    break
                self._take(decode_frame(msg.data))
        except MessageInvalidError:
            # The connection of a peer that sends garbage is closed.
            pass
        finally:
            writer.cancel()
            for submission in tuple(self._submissions.values()):
                submission.cancel()

    def _take(self, frame: pb.MeshFrame) -> None:
        match frame.WhichOneof("kind"):
            case "hello":
                self._measure_delay(frame.hello.sent_at_us)
            case "request":
                self._take_request(frame.request)
            case "cancel":
                submission = self._submissions.get(frame.cancel.id)
                if submission is not None:
                    submission.cancel()
            case kind:
                raise MessageInvalidError(f"got an unexpected frame {kind!r}")

    def _take_request(self, request: pb.CallRequest) -> None:
        frame_id = request.id
        delay_s = self._measure_delay(request.sent_at_us)
        submission = self._server.submit(request, delay_s)
        self._submissions[frame_id] = submission

        def send_answer(done: asyncio.Future[Answer]) -> None:
            self._submissions.pop(frame_id, None)
            for payload in self._server.encode_answer(done.result(), frame_id):
                self._outgoing.put_nowait(payload)

        submission.fut.add_done_callback(send_answer)

    def _measure_delay(self, sent_at_us: int) -> float:
        return self._transit.measure_delay(
            sent_at=sent_at_us / MICROSECONDS, now=self._loop.time()
        )

    async def _write(self) -> None:
        while True:
            payload = await self._outgoing.get()
            try:
                await self._ws.send_bytes(payload)
            except (ConnectionError, RuntimeError):
                return
            finally:
                self._outgoing.task_done()


@contextlib.asynccontextmanager
async def open_mesh_server(
    server: MeshServer, address: Address, metrics: Metrics
) -> AsyncIterator[MeshServer]:
    """Listens for entry nodes until closed."""
    http = BoundedServer(
        server.handle,
        name="mesh",
        max_connections=MAX_CONNECTIONS,
        metrics=metrics,
    )
    async with open_http_server(http, address):
        yield server
