"""Client side of the connections between nodes: one for each owner."""

import asyncio
import contextlib
import itertools
import secrets
from collections.abc import AsyncIterator, Callable

import aiohttp
import attrs

from guavawing.errors import MessageInvalidError
from guavawing.membership import Member
from guavawing.model import MemberId
from guavawing.node.frames import (
    MAX_FRAME_BYTES,
    build_hello,
    build_request,
    decode_frame,
    decode_headers,
    decode_load,
    read_verdict,
)
from guavawing.node.messages import Answer, CallAttempt
from guavawing.node.submission import Submission
from guavawing.policy.bound_key import NONCE_BYTES, BoundKey
from guavawing.policy.choice import LoadReport
from guavawing.proto import calls_pb2 as pb
from guavawing.verdict import MayHaveRun, NotRun, Reason, Verdict

__all__ = ["MeshConnection", "MeshPool", "open_mesh_pool"]

CONNECT_TIMEOUT_S = 1.0
PING_PERIOD_S = 2.0

LoadListener = Callable[[MemberId, int, LoadReport], None]


@attrs.define
class _Pending:
    fut: asyncio.Future[Answer]
    answer: pb.CallAnswer | None = None
    verdict: Verdict | None = None
    body: bytearray = attrs.field(factory=bytearray)


class MeshConnection:
    """A connection to one incarnation of one owner.

    Attributes:
        owner: Id that the owner gave in its first frame.
        incarnation: Incarnation that the owner gave.
    """

    def __init__(
        self, ws: aiohttp.ClientWebSocketResponse, on_load: LoadListener
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._ws = ws
        self._on_load = on_load
        self._ids = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._outgoing: asyncio.Queue[pb.MeshFrame] = asyncio.Queue()
        self._tasks: list[asyncio.Task[None]] = []
        self._key_epoch = 0
        self.owner: MemberId = ""
        self.incarnation = 0
        self.open = True

    async def start(self, member_id: MemberId, incarnation: int) -> None:
        """Exchanges first frames and starts the tasks of the connection."""
        no_load = LoadReport(0, 0, 0, draining=False, key_epoch=0)
        hello = build_hello(
            member_id, incarnation, no_load, now=self._loop.time()
        )
        await self._ws.send_bytes(hello.SerializeToString())
        frame = decode_frame(await self._ws.receive_bytes())
        if frame.WhichOneof("kind") != "hello":
            raise MessageInvalidError("the first frame is not a hello")
        self.owner = frame.hello.member_id
        self.incarnation = frame.hello.incarnation
        self._take_load(frame.hello.load)
        self._tasks = [
            self._loop.create_task(self._read()),
            self._loop.create_task(self._write()),
        ]

    def mint_key(self) -> BoundKey:
        """Returns a new key bound to the owner at the other end."""
        nonce = secrets.token_urlsafe(NONCE_BYTES)
        return BoundKey(self.owner, self.incarnation, self._key_epoch, nonce)

    def submit(self, attempt: CallAttempt) -> Submission:
        """Sends an attempt to the owner."""
        fut: asyncio.Future[Answer] = self._loop.create_future()
        if not self.open:
            fut.set_result(Answer(NotRun(Reason.OWNER_UNREACHABLE, 0.0)))
            return Submission(fut)
        frame_id = next(self._ids)
        self._pending[frame_id] = _Pending(fut)
        frame = build_request(attempt, frame_id, now=self._loop.time())
        self._outgoing.put_nowait(frame)
        return Submission(fut, lambda: self._cancel(frame_id))

    async def close(self) -> None:
        """Closes the connection; what is pending may have run."""
        for task in self._tasks:
            task.cancel()
        self._lose_pending()
        await self._ws.close()

    def _cancel(self, frame_id: int) -> None:
        if self._pending.pop(frame_id, None) is not None:
            cancel = pb.CallCancel(id=frame_id)
            self._outgoing.put_nowait(pb.MeshFrame(cancel=cancel))

    async def _read(self) -> None:
        try:
            async for msg in self._ws:
                if msg.type is not aiohttp.WSMsgType.BINARY:
                    break
                self._take(decode_frame(msg.data))
        except MessageInvalidError:
            # An owner that sends garbage is treated as lost.
            pass
        finally:
            self._lose_pending()
            await self._ws.close()

    async def _write(self) -> None:
        while True:
            frame = await self._outgoing.get()
            try:
                await self._ws.send_bytes(frame.SerializeToString())
            except (ConnectionError, RuntimeError):
                self._lose_pending()
                return

    def _take(self, frame: pb.MeshFrame) -> None:
        match frame.WhichOneof("kind"):
            case "answer":
                self._take_answer(frame.answer)
            case "body":
                self._take_body(frame.body)
            case "hello":
                self._take_load(frame.hello.load)
            case kind:
                raise MessageInvalidError(f"got an unexpected frame {kind!r}")

    def _take_answer(self, answer: pb.CallAnswer) -> None:
        self._take_load(answer.load)
        pending = self._pending.get(answer.id)
        if pending is None:
            return
        pending.verdict = read_verdict(answer)
        pending.answer = answer
        pending.body += answer.body
        self._finish_if_whole(answer.id, pending)

    def _take_body(self, body: pb.CallBody) -> None:
        pending = self._pending.get(body.id)
        if pending is None:
            return
        if pending.answer is None:
            raise MessageInvalidError("a chunk came before its answer")
        pending.body += body.chunk
        self._finish_if_whole(body.id, pending)

    def _finish_if_whole(self, frame_id: int, pending: _Pending) -> None:
        answer = pending.answer
        assert answer is not None and pending.verdict is not None
        if len(pending.body) < answer.body_length:
            return
        if len(pending.body) > answer.body_length:
            raise MessageInvalidError("an answer is longer than it said")
        del self._pending[frame_id]
        if not pending.fut.done():
            pending.fut.set_result(
                Answer(
                    pending.verdict,
                    answer.status,
                    decode_headers(answer.headers),
                    bytes(pending.body),
                )
            )

    def _take_load(self, load: pb.Load) -> None:
        self._key_epoch = load.key_epoch
        self._on_load(self.owner, self.incarnation, decode_load(load))

    def _lose_pending(self) -> None:
        self.open = False
        lost = Answer(MayHaveRun(Reason.OWNER_LOST))
        for pending in self._pending.values():
            if not pending.fut.done():
                pending.fut.set_result(lost)
        self._pending.clear()


class MeshPool:
    """Connections to owners, opened when first needed."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        *,
        member_id: MemberId,
        incarnation: int,
        on_load: LoadListener,
    ) -> None:
        self._session = session
        self._member_id = member_id
        self._incarnation = incarnation
        self._on_load = on_load
        self._connections: dict[MemberId, MeshConnection] = {}
        self._locks: dict[MemberId, asyncio.Lock] = {}

    async def connect(self, member: Member) -> MeshConnection | None:
        """Returns an open connection to a member, or None if it has none."""
        conn = self._find(member)
        if conn is not None:
            return conn
        lock = self._locks.setdefault(member.id, asyncio.Lock())
        async with lock:
            return self._find(member) or await self._open(member)

    async def close(self) -> None:
        """Closes every connection."""
        for conn in self._connections.values():
            await conn.close()

    def _find(self, member: Member) -> MeshConnection | None:
        conn = self._connections.get(member.id)
        if conn is None or not conn.open:
            return None
        if conn.incarnation < member.incarnation:
            return None
        return conn

    async def _open(self, member: Member) -> MeshConnection | None:
        old = self._connections.pop(member.id, None)
        if old is not None:
            await old.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                ws = await self._session.ws_connect(
                    f"http://{member.mesh}/",
                    heartbeat=PING_PERIOD_S,
                    max_msg_size=MAX_FRAME_BYTES,
                    compress=0,
                )
                conn = MeshConnection(ws, self._on_load)
                await conn.start(self._member_id, self._incarnation)
        except (
            aiohttp.ClientError,
            MessageInvalidError,
            OSError,
            TimeoutError,
            TypeError,
        ):
            return None
        self._connections[member.id] = conn
        return conn


@contextlib.asynccontextmanager
async def open_mesh_pool(
    *,
    member_id: MemberId,
    incarnation: int,
    source: str,
    on_load: LoadListener,
) -> AsyncIterator[MeshPool]:
    """Opens an empty pool and closes its connections after use.

    Args:
        member_id: Id of this node.
        incarnation: Incarnation of this process.
        source: IP address of this node, from which it connects.
        on_load: Is told of the loads that owners report.
    """
    connector = aiohttp.TCPConnector(limit=0, local_addr=(source, 0))
    async with aiohttp.ClientSession(connector=connector) as session:
        pool = MeshPool(
            session,
            member_id=member_id,
            incarnation=incarnation,
            on_load=on_load,
        )
        try:
            yield pool
        finally:
            await pool.close()
