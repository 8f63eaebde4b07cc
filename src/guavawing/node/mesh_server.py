"""Server side of the connections between nodes: calls for this owner."""

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
    MICROSECONDS,
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
# Time from the connection to its first frame.
FIRST_FRAME_TIMEOUT_S = 10.0
MAX_CONNECTIONS = 1_024
HANDSHAKE_TIMEOUT_S = 0.5
# Calls that one entry node may have at this owner.
MAX_IN_FLIGHT = 1_024
# Bytes of waiting answers above which an entry node gets no more calls.
MAX_WAITING_BYTES = 128 * 1024 * 1024
# The same for all entry nodes together.
MAX_TOTAL_BYTES = 192 * 1024 * 1024
# Bytes of waiting answers of the node above which answers lose their bodies.
MAX_HELD_BYTES = 256 * 1024 * 1024
RETRY_AFTER_OVERLOAD_S = 1.0

PolicySource = Callable[[], PolicyTable | None]


class MeshServer:
    """Takes attempts from entry nodes and answers them out of order."""

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
        # Bytes of answers that wait on all connections.
        self.total = ByteCount()

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

    def make_stream(self, metrics: Metrics) -> FrameStream:
        """Returns the stream of a new connection."""
        return FrameStream(_Connection(self, metrics), keepalive=KEEPALIVE)

    def add(self, conn: "_Connection") -> bool:
        """Takes a connection; returns whether there was room for it."""
        self._connections.add(conn)
        self._closed.clear()
        return len(self._connections) <= self._max_connections

    def discard(self, conn: "_Connection") -> None:
        """Forgets a connection."""
        self._connections.discard(conn)
        if not self._connections:
            self._closed.set()

    async def close(self) -> None:
        """Closes every connection after what was written has been sent."""
        for conn in tuple(self._connections):
            conn.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._closed.wait()
        for conn in tuple(self._connections):
            conn.abort()

    def hello(self) -> pb.MeshFrame:
        """Returns the first frame of a connection, or a later one."""
        return build_hello(
            self._member_id,
            self._owner.incarnation,
            self._owner.load(),
            now=self._loop.time(),
        )

    def submit(
        self, request: pb.CallRequest, delay_s: float, *, overloaded: bool
    ) -> Submission:
        """Hands a request to the owner side.

        Args:
            request: The request frame.
            delay_s: Time that the frame waited on its way, in seconds.
            overloaded: Whether the connection holds too much already.
        """
        key = read_key(request)
        if overloaded:
            verdict = NotRun(Reason.OVERLOADED_PEER, RETRY_AFTER_OVERLOAD_S)
            return self._owner.refuse(key, request.fingerprint, verdict)
        table = self._policies()
        policy = None if table is None else table.get(request.route)
        if policy is None:
            # This node has not applied the version of the entry node yet.
            verdict = NotRun(Reason.UNKNOWN_ROUTE, 0.0)
            return self._owner.refuse(key, request.fingerprint, verdict)
        if key is None and not policy.idempotent:
            # The entry node's version holds the request for idempotent.
            verdict = NotRun(Reason.KEY_MISSING, 0.0)
            return self._owner.refuse(None, request.fingerprint, verdict)
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
            key=key,
            fingerprint=request.fingerprint,
        )
        return self._owner.submit(attempt)

    def encode_answer(self, answer: Answer, frame_id: int) -> Iterator[bytes]:
        """Yields the encoded frames of an answer."""
        frames = build_answer_frames(answer, frame_id, self._owner.load())
        return (frame.SerializeToString() for frame in frames)


class _Connection:
    """One entry node's connection: owns its socket and outgoing queue."""

    def __init__(self, server: MeshServer, metrics: Metrics) -> None:
        self._server = server
        self._metrics = metrics
        self._stream: FrameStream | None = None
        self._loop = asyncio.get_running_loop()
        self._outgoing = FrameQueue(server.total)
        self._submissions: dict[int, Submission] = {}
        self._transit = TransitMeter()
        self._greeted = False
        self._hello_sent_at_us = 0

    def on_open(self, stream: FrameStream) -> None:
        """Takes the stream, or closes it when there are too many."""
        self._stream = stream
        if not self._server.add(self):
            self._refuse("too-many")
            return
        self._loop.call_later(FIRST_FRAME_TIMEOUT_S, self._close_if_silent)
        hello = self._server.hello()
        self._hello_sent_at_us = hello.hello.sent_at_us
        self._put(hello.SerializeToString())

    def on_frame(self, payload: bytes) -> None:
        """Takes a frame of the entry node."""
        self._take(decode_frame(payload))

    def on_writable(self) -> None:
        """Writes what waits."""
        self._write()

    def on_close(self) -> None:
        """Withdraws the calls of the entry node."""
        self._server.discard(self)
        for submission in tuple(self._submissions.values()):
            submission.cancel()
        # Answers that come from now on have nowhere to go.
        self._submissions.clear()
        self._outgoing.clear()

    def send_hello(self) -> None:
        # Before the entry node has answered the first frame, a further one
        # would be taken for leave to send calls.
        if self._greeted:
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
        if not self._greeted and self._stream and not self._stream.closed:
            self._refuse("silent")

    def _refuse(self, reason: str) -> None:
        labels = {"listener": "mesh", "reason": reason}
        self._metrics.refused_connections.inc(labels)
        self.abort()

    def _put(self, payload: bytes) -> None:
        self._outgoing.put(payload)
        self._write()

    def _write(self) -> None:
        """Writes frames until none is left or the network takes no more."""
        stream = self._stream
        assert stream is not None
        while not stream.paused and not stream.closed:
            payload = self._outgoing.pop_frame()
            if payload is None:
                return
            stream.write(payload)

    def _take(self, frame: pb.MeshFrame) -> None:
        match frame.WhichOneof("kind"):
            case "hello":
                self._take_hello(frame.hello)
            case "request" if self._greeted:
                self._take_request(frame.request)
            case "cancel":
                self._take_cancel(frame.cancel.id)
            case kind:
                raise MessageInvalidError(f"got an unexpected frame {kind!r}")

    def _take_hello(self, hello: pb.Hello) -> None:
        if self._greeted:
            self.send_hello()
            return
        now = self._loop.time()
        hello_sent_at = self._hello_sent_at_us / MICROSECONDS
        if now - hello_sent_at > HANDSHAKE_TIMEOUT_S:
            # This process or the other was paused: what has arrived since
            # can't be told from what is fresh.
            raise MessageInvalidError("the first frame came too late")
        if hello.echo_us != self._hello_sent_at_us:
            raise MessageInvalidError("the first frame answers no other")
        self._transit.set_bound(
            sent_at=hello.sent_at_us / MICROSECONDS,
            not_before=hello_sent_at,
            now=now,
        )
        self._greeted = True
        # The entry node sends calls only after this second frame.
        self.send_hello()

    def _take_request(self, request: pb.CallRequest) -> None:
        delay_s = self._transit.measure_delay(
            sent_at=request.sent_at_us / MICROSECONDS, now=self._loop.time()
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
            # It was cancelled.
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

    def _take_cancel(self, frame_id: int) -> None:
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
    """Listens for entry nodes until closed."""
    listener = await asyncio.get_running_loop().create_server(
        lambda: server.make_stream(metrics), address.host, address.port
    )
    try:
        yield server
    finally:
        listener.close()
        await server.close()
