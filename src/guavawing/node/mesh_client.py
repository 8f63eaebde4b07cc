"""Client side of a connection between two nodes."""

import asyncio
import contextlib
import itertools
import secrets
from collections.abc import Callable

import aiohttp
import attrs

from guavawing.errors import MessageInvalidError
from guavawing.model import MemberId
from guavawing.node.frame_queue import ByteCount
from guavawing.node.frames import (
    MAX_ANSWER_BYTES,
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
from guavawing.verdict import MayHaveRun, Ran, Reason, Verdict

__all__ = ["MeshConnection"]

CONNECT_TIMEOUT_S = 1.0
# Age at which the owner is asked for its key epoch before a key is made.
MAX_EPOCH_AGE_S = 30.0
# Bytes of answers that may be under way to one entry node.
MAX_EXPECTED_BYTES = 256 * 1024 * 1024

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
        self,
        ws: aiohttp.ClientWebSocketResponse,
        on_load: LoadListener,
        expected: ByteCount,
    ) -> None:
        """Creates the client side of an open WebSocket.

        Args:
            ws: The WebSocket.
            on_load: Is told of the loads that the owner reports.
            expected: Bytes of the answers that are under way to this node,
                on all of its connections.
        """
        self._loop = asyncio.get_running_loop()
        self._ws = ws
        self._on_load = on_load
        self._ids = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._outgoing: asyncio.Queue[pb.MeshFrame] = asyncio.Queue()
        self._tasks: list[asyncio.Task[None]] = []
        self._key_epoch = 0
        self._load_at = 0.0
        # Cleared while the owner is asked for its load.
        self._fresh = asyncio.Event()
        self._fresh.set()
        self._hello = pb.MeshFrame()
        self._expected = expected
        self.owner: MemberId = ""
        self.incarnation = 0
        self.open = True

    async def start(self, member_id: MemberId, incarnation: int) -> None:
        """Exchanges first frames and starts the tasks of the connection."""
        frame = await self._receive_hello()
        self._hello = build_hello(
            member_id,
            incarnation,
            LoadReport(0, 0, 0, draining=False, key_epoch=0),
            now=self._loop.time(),
            echo_us=frame.hello.sent_at_us,
        )
        await self._ws.send_bytes(self._hello.SerializeToString())
        # The owner's second frame says that it takes calls.
        frame = await self._receive_hello()
        self.owner = frame.hello.member_id
        self.incarnation = frame.hello.incarnation
        self._take_load(frame.hello.load)
        self._tasks = [
            self._loop.create_task(self._read()),
            self._loop.create_task(self._write()),
        ]

    async def _receive_hello(self) -> pb.MeshFrame:
        frame = decode_frame(await self._ws.receive_bytes())
        if frame.WhichOneof("kind") != "hello":
            raise MessageInvalidError("the first frame is not a hello")
        return frame

    async def refresh_epoch(self) -> bool:
        """Makes sure that new keys are not bound to an epoch long past.

        Returns:
            Whether the owner has told its epoch a short time ago.
        """
        if self._loop.time() - self._load_at <= MAX_EPOCH_AGE_S:
            return True
        if not self.open:
            return False
        if self._fresh.is_set():
            self._fresh.clear()
            self._outgoing.put_nowait(self._hello)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._fresh.wait()
        self._fresh.set()
        return self._loop.time() - self._load_at <= MAX_EPOCH_AGE_S

    def mint_key(self) -> BoundKey:
        """Returns a new key bound to the owner at the other end."""
        nonce = secrets.token_urlsafe(NONCE_BYTES)
        return BoundKey(self.owner, self.incarnation, self._key_epoch, nonce)

    def submit(self, attempt: CallAttempt) -> Submission:
        """Sends an attempt to the owner; the connection must be open."""
        assert self.open
        fut: asyncio.Future[Answer] = self._loop.create_future()
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
        if self._drop(frame_id) is not None:
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
                self._fresh.set()
            case kind:
                raise MessageInvalidError(f"got an unexpected frame {kind!r}")

    def _take_answer(self, answer: pb.CallAnswer) -> None:
        self._take_load(answer.load)
        pending = self._pending.get(answer.id)
        if pending is None:
            return
        if pending.answer is not None:
            raise MessageInvalidError("an answer came twice")
        if answer.body_length > MAX_ANSWER_BYTES:
            raise MessageInvalidError(
                f"got an answer of {answer.body_length} bytes, expected at"
                f" most {MAX_ANSWER_BYTES}"
            )
        pending.verdict = read_verdict(answer)
        if self._expected.waiting + answer.body_length > MAX_EXPECTED_BYTES:
            # Too much is on its way already: the rest is passed over.
            del self._pending[answer.id]
            self._resolve(pending, _describe_dropped(pending.verdict))
            return
        self._expected.waiting += answer.body_length
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
        # An invalid frame must leave the call to those that are lost.
        headers = decode_headers(answer.headers)
        self._drop(frame_id)
        body = bytes(pending.body)
        self._resolve(
            pending, Answer(pending.verdict, answer.status, headers, body)
        )

    def _drop(self, frame_id: int) -> _Pending | None:
        pending = self._pending.pop(frame_id, None)
        if pending is not None and pending.answer is not None:
            self._expected.waiting -= pending.answer.body_length
        return pending

    def _resolve(self, pending: _Pending, answer: Answer) -> None:
        if not pending.fut.done():
            pending.fut.set_result(answer)

    def _take_load(self, load: pb.Load) -> None:
        self._key_epoch = load.key_epoch
        self._load_at = self._loop.time()
        self._on_load(self.owner, self.incarnation, decode_load(load))

    def _lose_pending(self) -> None:
        self.open = False
        lost = Answer(MayHaveRun(Reason.OWNER_LOST))
        for frame_id in tuple(self._pending):
            pending = self._drop(frame_id)
            assert pending is not None
            self._resolve(pending, lost)


def _describe_dropped(verdict: Verdict) -> Answer:
    if isinstance(verdict, Ran):
        return Answer(Ran(Reason.ANSWER_NOT_KEPT))
    return Answer(verdict)
