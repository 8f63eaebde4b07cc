"""Server side of mesh connections, from entry nodes to this owner."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterator

from guavawing.config import PolicyTable
from guavawing.errors import MessageInvalidError
from guavawing.model import Address
from guavawing.node.frame_queue import ByteCount, FrameQueue
from guavawing.node.frame_stream import FrameStream, Keepalive
from guavawing.node.frames import (
    CHUNK_BYTES,
    US_PER_S,
    build_answer_frames,
    build_hello,
    decode_frame,
    decode_headers,
    read_key,
)
from guavawing.node.messages import Answer, CallAttempt
from guavawing.node.metrics import Metrics
from guavawing.node.owner import Owner
from guavawing.node.submission import Submission
from guavawing.policy.transit import TransitMeter
from guavawing.proto import calls_pb2 as pb
from guavawing.verdict import NotRun, Ran, Reason

__all__ = ["MeshServer", "open_mesh_server"]

KEEPALIVE = Keepalive(tick_s=5.0, probes=False)
CLOSE_TIMEOUT_S = 1.0
# Time from the accept of a connection to the end of its handshake.
FIRST_FRAME_TIMEOUT_S = 10.0
MAX_CONNECTIONS = 1_024
HANDSHAKE_TIMEOUT_S = 0.5
# Limit on the calls of one entry node that are queued or run here.
MAX_IN_FLIGHT = 1_024
# Bytes of queued answers of one entry node above which its calls are refused.
MAX_WAITING_BYTES = 128 * 1024 * 1024
# Bytes of queued answers of all entry nodes above which calls are refused.
MAX_TOTAL_BYTES = 192 * 1024 * 1024
# Bytes of queued answers of all entry nodes above which bodies are dropped.
MAX_HELD_BYTES = 256 * 1024 * 1024
RETRY_AFTER_OVERLOAD_S = 1.0

PolicySource = Callable[[], PolicyTable | None]


class MeshServer:
    """Serves attempts of entry nodes; answers are sent as they complete."""

    def __init__(
        self,
        *,
        owner: Owner,
        policies: PolicySource,
        member_id: str,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._owner = owner
        self._max_connections = max_connections
        self._policies = policies
        self._member_id = member_id
        self._connections: set[_Connection] = set()
        self._closed = asyncio.Event()
        self._closed.set()
        # Bytes of queued answers on all connections.
        self.total = ByteCount()

    def announce_load(self) -> None:
        """Sends the current load to every connected entry node at once.

        An entry node with an idle connection would otherwise receive the
        start of a drain only by gossip. It would never receive its end, as
        it sends no calls here and so gets no load reports.
        """
        for conn in self._connections:
            conn.send_hello()

    async def wait_flushed(self) -> None:
        """Waits until all queued answers have been written."""
        for conn in tuple(self._connections):
            await conn.wait_flushed()

    def make_stream(self, metrics: Metrics) -> FrameStream:
        """Returns the stream of a new connection."""
        return FrameStream(_Connection(self, metrics), keepalive=KEEPALIVE)

    def add(self, conn: "_Connection") -> bool:
        """Adds a connection; returns whether it is within the limit."""
        self._connections.add(conn)
        self._closed.clear()
        return len(self._connections) <= self._max_connections

    def discard(self, conn: "_Connection") -> None:
        """Removes a connection."""
        self._connections.discard(conn)
        if not self._connections:
            self._closed.set()

    async def close(self) -> None:
        """Closes all connections after their write buffers have been sent.

        Aborts those that are still open after `CLOSE_TIMEOUT_S`.
        """
        for conn in tuple(self._connections):
            conn.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._closed.wait()
        for conn in tuple(self._connections):
            conn.abort()

    def hello(self) -> pb.MeshFrame:
        """Returns a hello with the present load."""
        return build_hello(
            self._member_id,
            self._owner.incarnation,
            self._owner.load(),
            now=self._loop.time(),
        )

    def submit(
        self, request: pb.CallRequest, delay_s: float, *, overloaded: bool
    ) -> Submission:
        """Submits a request to the owner.

        Args:
            request: The request frame.
            delay_s: Estimated transit time of the frame, in seconds.
            overloaded: Whether a limit on calls or queued answers is reached.
        """
        key = read_key(request)
        if overloaded:
            verdict = NotRun(Reason.OVERLOADED_PEER, RETRY_AFTER_OVERLOAD_S)
            return self._owner.refuse(key, request.fingerprint, verdict)
        table = self._policies()
        policy = None if table is None else table.get(request.route)
        if policy is None:
            # The route is of a version that this node has not applied yet.
            verdict = NotRun(Reason.UNKNOWN_ROUTE, 0.0)
            return self._owner.refuse(key, request.fingerprint, verdict)
        if key is None and not policy.idempotent:
            # The route is idempotent in the entry node's version.
            verdict = NotRun(Reason.KEY_MISSING, 0.0)
            return self._owner.refuse(None, request.fingerprint, verdict)
        time_left_s = request.time_left_us / US_PER_S - delay_s
        attempt = CallAttempt(
            call_id=request.call_id,
            policy=policy,
            method=request.method,
            path=request.path,
            headers=decode_headers(request.headers),
            body=request.body,
            deadline=self._loop.time() + time_left_s,
            depth=request.depth,
            key=key,
            fingerprint=request.fingerprint,
        )
        return self._owner.submit(attempt)

    def encode_answer(self, answer: Answer, frame_id: int) -> Iterator[bytes]:
        """Returns an iterator of the encoded frames of an answer."""
        frames = build_answer_frames(answer, frame_id, self._owner.load())
        return (frame.SerializeToString() for frame in frames)


class _Connection:
    """Connection of one entry node, with its queue of outgoing frames."""

    def __init__(self, server: MeshServer, metrics: Metrics) -> None:
        self._server = server
        self._metrics = metrics
        self._stream: FrameStream | None = None
        self._loop = asyncio.get_running_loop()
        self._outgoing = FrameQueue(server.total)
        self._submissions: dict[int, Submission] = {}
        self._transit = TransitMeter()
        self._handshake_done = False
        self._hello_sent_at_us = 0

    def on_open(self, stream: FrameStream) -> None:
        """Starts the handshake, or closes the stream above the limit."""
        self._stream = stream
        if not self._server.add(self):
            self._refuse("too-many")
            return
        self._loop.call_later(FIRST_FRAME_TIMEOUT_S, self._close_if_silent)
        hello = self._server.hello()
        self._hello_sent_at_us = hello.hello.sent_at_us
        self._put(hello.SerializeToString())

    def on_frame(self, payload: bytes) -> None:
        """Handles a frame of the entry node."""
        self._handle_frame(decode_frame(payload))

    def on_writable(self) -> None:
        """Resumes writing queued frames."""
        self._write()

    def on_close(self) -> None:
        """Cancels the calls of the entry node."""
        self._server.discard(self)
        for submission in tuple(self._submissions.values()):
            submission.cancel()
        # Answers of these calls are discarded from now on.
        self._submissions.clear()
        self._outgoing.clear()

    def send_hello(self) -> None:
        # A second hello completes the handshake for the entry node, so none
        # is sent before the entry node has answered the first one.
        if self._handshake_done:
            self._put(self._server.hello().SerializeToString())

    async def wait_flushed(self) -> None:
        await self._outgoing.wait_flushed()

    def close(self) -> None:
        if self._stream is not None:
            self._stream.close()

    def abort(self) -> None:
        if self._stream is not None:
            self._stream.abort()

    def _close_if_silent(self) -> None:
        if (
            not self._handshake_done
            and self._stream
            and not self._stream.closed
        ):
            self._refuse("silent")

    def _refuse(self, reason: str) -> None:
        labels = {"listener": "mesh", "reason": reason}
        self._metrics.refused_connections.inc(labels)
        self.abort()

    def _put(self, payload: bytes) -> None:
        self._outgoing.put(payload)
        self._write()

    def _write(self) -> None:
        """Writes queued frames until the queue is empty or writing pauses."""
        stream = self._stream
        assert stream is not None
        while not stream.paused and not stream.closed:
            payload = self._outgoing.pop_frame()
            if payload is None:
                return
            stream.write(payload)

    def _handle_frame(self, frame: pb.MeshFrame) -> None:
        match frame.WhichOneof("kind"):
            case "hello":
                self._handle_hello(frame.hello)
            case "request" if self._handshake_done:
                self._handle_request(frame.request)
            case "cancel":
                self._handle_cancel(frame.cancel.id)
            case kind:
                raise MessageInvalidError(f"got an unexpected frame {kind!r}")

    def _handle_hello(self, hello: pb.Hello) -> None:
        if self._handshake_done:
            self.send_hello()
            return
        now = self._loop.time()
        hello_sent_at = self._hello_sent_at_us / US_PER_S
        if now - hello_sent_at > HANDSHAKE_TIMEOUT_S:
            # One of the processes was suspended, so that the age of the frames
            # received since is unknown.
            raise MessageInvalidError("the handshake took too long")
        if hello.echo_us != self._hello_sent_at_us:
            raise MessageInvalidError("the hello does not echo the one sent")
        self._transit.set_bound(
            sent_at=hello.sent_at_us / US_PER_S,
            not_before=hello_sent_at,
            now=now,
        )
        self._handshake_done = True
        # The entry node sends calls only after this second hello.
        self.send_hello()

    def _handle_request(self, request: pb.CallRequest) -> None:
        delay_s = self._transit.measure_delay(
            sent_at=request.sent_at_us / US_PER_S, now=self._loop.time()
        )
        frame_id = request.id
        overloaded = (
            len(self._submissions) >= MAX_IN_FLIGHT
            or self._outgoing.waiting_bytes > MAX_WAITING_BYTES
            or self._server.total.waiting > MAX_TOTAL_BYTES
        )
        submission = self._server.submit(
            request, delay_s, overloaded=overloaded
        )
        self._submissions[frame_id] = submission
        submission.fut.add_done_callback(
            lambda done: self._send_answer(frame_id, done.result())
        )

    def _send_answer(self, frame_id: int, answer: Answer) -> None:
        if self._submissions.pop(frame_id, None) is None:
            # The call was cancelled.
            return
        size = len(answer.body)
        if self._server.total.waiting + size > MAX_HELD_BYTES:
            answer = _drop_body(answer)
            size = 0
        frames = self._server.encode_answer(answer, frame_id)
        if size <= CHUNK_BYTES:
            self._put(next(frames))
        else:
            self._outgoing.put_stream(frame_id, frames, size)
            self._write()

    def _handle_cancel(self, frame_id: int) -> None:
        self._outgoing.drop_stream(frame_id)
        submission = self._submissions.pop(frame_id, None)
        if submission is not None:
            submission.cancel()


def _drop_body(answer: Answer) -> Answer:
    if isinstance(answer.verdict, Ran):
        return Answer(Ran(Reason.ANSWER_NOT_KEPT))
    return Answer(answer.verdict)


@contextlib.asynccontextmanager
async def open_mesh_server(
    server: MeshServer, address: Address, metrics: Metrics
) -> AsyncIterator[MeshServer]:
    """Serves entry nodes until closed."""
    listener = await asyncio.get_running_loop().create_server(
        lambda: server.make_stream(metrics), address.host, address.port
    )
    try:
        yield server
    finally:
        listener.close()
        await server.close()
