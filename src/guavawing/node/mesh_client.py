"""Client side of a mesh connection, from an entry node to an owner."""

import asyncio
import contextlib
import itertools
import secrets
from collections.abc import Callable

import attrs

from guavawing.errors import MessageInvalidError
from guavawing.model import Address, MemberId
from guavawing.node.frame_queue import ByteCount
from guavawing.node.frame_stream import FrameStream, Keepalive
from guavawing.node.frames import (
    MAX_ANSWER_BYTES,
    build_hello,
    build_request,
    decode_frame,
    decode_headers,
    decode_load,
    read_verdict,
)
from guavawing.node.logs import log
from guavawing.node.messages import Answer, CallAttempt
from guavawing.node.submission import Submission
from guavawing.policy.bound_key import NONCE_BYTES, BoundKey
from guavawing.policy.choice import LoadReport
from guavawing.proto import calls_pb2 as pb
from guavawing.verdict import MayHaveRun, Ran, Reason, Verdict

__all__ = ["MeshConnection", "open_mesh_connection"]

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE = Keepalive(tick_s=1.0, probes=True)
# Age of the owner's key epoch above which it is refreshed before a key is
# minted.
MAX_EPOCH_AGE_S = 30.0
# Limit on the bytes of answers in transit to one entry node.
MAX_EXPECTED_BYTES = 256 * 1024 * 1024
MS_PER_S = 1_000

LoadListener = Callable[[MemberId, int, LoadReport], None]


@attrs.define
class _Pending:
    fut: asyncio.Future[Answer]
    call_id: str
    answer: pb.CallAnswer | None = None
    verdict: Verdict | None = None
    body: bytearray = attrs.field(factory=bytearray)


class MeshConnection:
    """A connection to one incarnation of one owner.

    Attributes:
        owner: Id in the owner's hello.
        incarnation: Incarnation in the owner's hello.
        open: Whether the owner accepts calls on it.
    """

    def __init__(
        self,
        member_id: MemberId,
        incarnation: int,
        *,
        on_load: LoadListener,
        expected: ByteCount,
    ) -> None:
        """Creates the client side of a connection.

        Args:
            member_id: Id of this node.
            incarnation: Incarnation of this process.
            on_load: Called with each load report of the owner.
            expected: Bytes of the answers in transit to this node, on all
                of its connections.
        """
        self._loop = asyncio.get_running_loop()
        self._member_id = member_id
        self._own_incarnation = incarnation
        self._on_load = on_load
        self._stream: FrameStream | None = None
        self._ids = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._key_epoch = 0
        self._load_received_at = 0.0
        # Cleared while a request for the owner's hello is pending.
        self._epoch_refreshed = asyncio.Event()
        self._epoch_refreshed.set()
        self._hello = b""
        self._opened: asyncio.Future[None] = self._loop.create_future()
        self._expected = expected
        self.owner: MemberId = ""
        self.incarnation = 0
        self.open = False

    async def wait_open(self) -> None:
        """Waits until the owner accepts calls.

        Raises:
            ConnectionError: If the connection is closed before that.
        """
        await self._opened

    def on_open(self, stream: FrameStream) -> None:
        """Stores the stream of the connection."""
        self._stream = stream

    def on_frame(self, payload: bytes) -> None:
        """Handles a frame of the owner."""
        frame = decode_frame(payload)
        kind = frame.WhichOneof("kind")
        if kind != "hello" and not self.open:
            raise MessageInvalidError("the first frame is not a hello")
        match kind:
            case "answer":
                self._handle_answer(frame.answer)
            case "body":
                self._handle_body(frame.body)
            case "hello":
                self._handle_hello(frame.hello)
            case _:
                raise MessageInvalidError(f"got an unexpected frame {kind!r}")

    def on_writable(self) -> None:
        """Does nothing, as the caller server limits the calls in flight."""

    def on_close(self) -> None:
        """Resolves all pending attempts: they may have run."""
        self._fail_pending()
        if not self._opened.done():
            self._opened.set_exception(ConnectionError("closed"))

    async def refresh_epoch(self) -> bool:
        """Refreshes the owner's key epoch if it is too old for new keys.

        Returns:
            Whether the epoch was received within `MAX_EPOCH_AGE_S`.
        """
        if self._loop.time() - self._load_received_at <= MAX_EPOCH_AGE_S:
            return True
        if not self.open:
            return False
        if self._epoch_refreshed.is_set():
            self._epoch_refreshed.clear()
            self._write(self._hello)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._epoch_refreshed.wait()
        self._epoch_refreshed.set()
        return self._loop.time() - self._load_received_at <= MAX_EPOCH_AGE_S

    def mint_key(self) -> BoundKey:
        """Returns a new key bound to the connected owner."""
        nonce = secrets.token_urlsafe(NONCE_BYTES)
        return BoundKey(self.owner, self.incarnation, self._key_epoch, nonce)

    def submit(self, attempt: CallAttempt) -> Submission:
        """Sends an attempt to the owner; the connection must be open."""
        assert self.open
        fut: asyncio.Future[Answer] = self._loop.create_future()
        frame_id = next(self._ids)
        self._pending[frame_id] = _Pending(fut, attempt.call_id)
        frame = build_request(attempt, frame_id, now=self._loop.time())
        self._write(frame.SerializeToString())
        return Submission(fut, lambda: self._cancel(frame_id))

    def close(self) -> None:
        """Closes the connection; pending attempts may have run."""
        self._fail_pending()
        self._opened.cancel()
        if self._stream is not None:
            self._stream.close()

    def _cancel(self, frame_id: int) -> None:
        pending = self._drop(frame_id)
        if pending is not None:
            if pending.answer is not None:
                self._log_incomplete(pending, pending.answer.body_length)
            cancel = pb.CallCancel(id=frame_id)
            self._write(pb.MeshFrame(cancel=cancel).SerializeToString())

    def _log_incomplete(self, pending: _Pending, length: int) -> None:
        assert self._stream is not None
        silent_s = self._loop.time() - self._stream.last_received_at
        log(
            "info",
            "answer-incomplete",
            call_id=pending.call_id,
            owner=self.owner,
            received=len(pending.body),
            length=length,
            silent_ms=round(silent_s * MS_PER_S, 1),
        )

    def _write(self, payload: bytes) -> None:
        assert self._stream is not None
        self._stream.write(payload)

    def _handle_hello(self, hello: pb.Hello) -> None:
        if not self._hello:
            frame = build_hello(
                self._member_id,
                self._own_incarnation,
                LoadReport(0, 0, 0, draining=False, key_epoch=0),
                now=self._loop.time(),
                echo_us=hello.sent_at_us,
            )
            self._hello = frame.SerializeToString()
            self._write(self._hello)
            return
        if not self.open and not self._opened.done():
            # The owner accepts calls from its second hello on.
            self.owner = hello.member_id
            self.incarnation = hello.incarnation
            self.open = True
            self._opened.set_result(None)
        self._record_load(hello.load)
        self._epoch_refreshed.set()

    def _handle_answer(self, answer: pb.CallAnswer) -> None:
        self._record_load(answer.load)
        pending = self._pending.get(answer.id)
        if pending is None:
            return
        if pending.answer is not None:
            raise MessageInvalidError("got a second answer frame for a call")
        if answer.body_length > MAX_ANSWER_BYTES:
            raise MessageInvalidError(
                f"got an answer of {answer.body_length} bytes, expected at"
                f" most {MAX_ANSWER_BYTES}"
            )
        pending.verdict = read_verdict(answer)
        if self._expected.waiting + answer.body_length > MAX_EXPECTED_BYTES:
            # Only the verdict is kept; later body frames are ignored.
            del self._pending[answer.id]
            self._resolve(pending, _build_bodyless_answer(pending.verdict))
            return
        self._expected.waiting += answer.body_length
        pending.answer = answer
        pending.body += answer.body
        self._finish_if_complete(answer.id, pending)

    def _handle_body(self, body: pb.CallBody) -> None:
        pending = self._pending.get(body.id)
        if pending is None:
            return
        if pending.answer is None:
            raise MessageInvalidError(
                "got a body frame before its answer frame"
            )
        pending.body += body.chunk
        self._finish_if_complete(body.id, pending)

    def _finish_if_complete(self, frame_id: int, pending: _Pending) -> None:
        answer = pending.answer
        assert answer is not None and pending.verdict is not None
        if len(pending.body) < answer.body_length:
            return
        if len(pending.body) > answer.body_length:
            raise MessageInvalidError(
                "the answer exceeds its declared body length"
            )
        # Decoded before the call is removed: on an invalid frame the connection
        # closes, and the call must still be pending to be reported as lost.
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

    def _record_load(self, load: pb.Load) -> None:
        self._key_epoch = load.key_epoch
        self._load_received_at = self._loop.time()
        self._on_load(self.owner, self.incarnation, decode_load(load))

    def _fail_pending(self) -> None:
        self.open = False
        lost = Answer(MayHaveRun(Reason.OWNER_LOST))
        for frame_id in tuple(self._pending):
            pending = self._drop(frame_id)
            assert pending is not None
            self._resolve(pending, lost)


async def open_mesh_connection(
    address: Address, conn: MeshConnection, *, source: str = ""
) -> None:
    """Connects to an owner and waits until it accepts calls.

    Args:
        address: Where the owner listens.
        conn: The connection to open.
        source: IP address to connect from; empty for any.

    Raises:
        OSError: If the owner can't be reached or closes the connection.
    """
    loop = asyncio.get_running_loop()
    try:
        await loop.create_connection(
            lambda: FrameStream(conn, keepalive=KEEPALIVE),
            address.host,
            address.port,
            local_addr=(source, 0) if source else None,
        )
        await conn.wait_open()
    except BaseException:
        conn.close()
        raise


def _build_bodyless_answer(verdict: Verdict) -> Answer:
    if isinstance(verdict, Ran):
        return Answer(Ran(Reason.ANSWER_NOT_KEPT))
    return Answer(verdict)
