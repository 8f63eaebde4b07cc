"""Server of the mesh: attempts of entry nodes at the target on this VM."""

import asyncio
import collections
import math
import secrets
from collections.abc import Callable

import attrs

from guavawing.errors import MessageInvalidError
from guavawing.node.frame_stream import FrameStream, Keepalive, pack_frame
from guavawing.sidecar.body_receiver import BodyReceiver
from guavawing.sidecar.link_pacer import LARGE_BYTES
from guavawing.sidecar.mesh_codec import (
    decode_frame,
    encode_answer,
    encode_body_grant,
    encode_config,
    encode_hello,
)
from guavawing.sidecar.mesh_messages import (
    BodyPiece,
    CancelFrame,
    ConfigRequest,
    OutcomeQuery,
    RequestFrame,
)
from guavawing.sidecar.owner import Owner
from guavawing.traffic.model import Attempt, Outcome
from guavawing.traffic.uploads import BodyRoom
from guavawing.verdict import MayHaveRun, NotRun, Reason

__all__ = ["MeshServer"]

KEEPALIVE = Keepalive(tick_s=1.5, probes=False)
# Limit of connections: several from each node of a large fleet.
MAX_CONNECTIONS = 1_500
# Retention time and number of outcomes for entry nodes that lost their
# connection: an entry node queries an outcome within about a second.
RETENTION_S = 5.0
MAX_RETAINED = 2_000
PROCESS_BITS = 62
# Largest answer body that is retained.
MAX_RETAINED_BYTES = 64 * 1024


@attrs.define(eq=False)
class _Job:
    """An attempt of another node, from its arrival to the end of retention.

    Attributes:
        request_id: Id of the request.
        conn: Connection on which the outcome is awaited, if any.
        frame_id: Id of the request on that connection.
        attempt_id: Id of the attempt at the owner.
        outcome: The outcome; None until it is known.
    """

    request_id: bytes
    conn: "_Connection | None"
    frame_id: int
    attempt_id: int = 0
    outcome: Outcome | None = None


class MeshServer:
    """Listener for entry nodes.

    Attributes:
        process: Random number of this process, sent in each hello.
        bodies: Large bodies that arrive.
    """

    def __init__(
        self,
        owner: Owner,
        *,
        make_update: Callable[[int], tuple[int, bytes] | None],
        room: BodyRoom | None = None,
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            owner: Executes the attempts.
            make_update: Returns the update from a version to the one in
                force: the base of a delta, or 0 for a complete document, and
                the payload; None if there is none.
            room: Memory for large bodies, shared with the entry role.
        """
        self.loop = asyncio.get_running_loop()
        self.owner = owner
        self.make_update = make_update
        self.bodies = BodyReceiver(owner, room or BodyRoom())
        self.process = secrets.randbits(PROCESS_BITS)
        self.connections: set[_Connection] = set()
        self._jobs: dict[bytes, _Job] = {}
        self._retained: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        # Time until which an attempt without a record may have run, as its
        # outcome may be among those that were dropped before their time.
        self._complete_from = -math.inf
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Opens the listener."""
        self._server = await self.loop.create_server(
            self._make_stream, host, port, backlog=1024, reuse_address=True
        )

    @property
    def sending(self) -> bool:
        """Whether a part of an answer to an entry node is not sent yet."""
        return any(conn.sending for conn in self.connections)

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for conn in tuple(self.connections):
            conn.abort()

    def _make_stream(self) -> FrameStream:
        return FrameStream(_Connection(self), keepalive=KEEPALIVE)

    def submit(self, conn: "_Connection", frame: RequestFrame) -> _Job:
        """Submits an attempt to the owner and records its outcome."""
        frame_id, attempt = frame.id, frame.attempt
        job = _Job(attempt.request_id, conn, frame_id)
        if attempt.request_id in self._jobs:
            # A duplicate, or an attempt that was cancelled by a query that
            # arrived before it: it is not executed.
            job.outcome = Outcome(NotRun(Reason.CANCELLED, 0.0))
            conn.answer(job)
            return job
        self._jobs[attempt.request_id] = job
        job.attempt_id = self.owner.submit(
            attempt,
            lambda outcome: self._record_outcome(attempt, job, outcome),
            local=False,
            entry=conn.entry,
            neighbour=frame.neighbour,
        )
        return job

    def cancel(self, job: _Job) -> None:
        """Cancels an attempt."""
        job.conn = None
        self.owner.cancel(job.attempt_id)
        if job.outcome is None:
            job.outcome = Outcome(MayHaveRun(Reason.CANCELLED))
            self._retain(job.request_id)

    def handle_outcome_query(
        self, conn: "_Connection", frame_id: int, query: OutcomeQuery
    ) -> _Job:
        """Sends the outcome of an attempt, now or when it is known.

        An attempt that has not arrived is cancelled in advance: if it arrives
        later, it is not executed, so that the answer "not run" stays valid.
        Outcomes of an earlier process are not known, nor are those that were
        dropped because there were too many.
        """
        request_id = query.request_id
        job = self._jobs.get(request_id)
        if query.process != self.process:
            job = _Job(request_id, None, 0)
            job.outcome = Outcome(MayHaveRun(Reason.OWNER_REPLACED))
        elif job is None and self.loop.time() <= self._complete_from:
            job = _Job(request_id, None, 0)
            job.outcome = Outcome(MayHaveRun(Reason.ANSWER_NOT_KEPT))
        elif job is None:
            job = _Job(request_id, None, 0)
            job.outcome = Outcome(NotRun(Reason.OWNER_UNREACHABLE, 0.0))
            self._jobs[request_id] = job
            self._retain(request_id)
        job.conn, job.frame_id = conn, frame_id
        if job.outcome is not None:
            conn.answer(job)
        return job

    def _record_outcome(
        self, attempt: Attempt, job: _Job, outcome: Outcome
    ) -> None:
        job.outcome = outcome
        if len(outcome.body) > MAX_RETAINED_BYTES:
            job.outcome = Outcome(MayHaveRun(Reason.ANSWER_NOT_KEPT))
        if job.conn is not None:
            job.conn.answer(job, outcome)
        self._retain(attempt.request_id)

    def _retain(self, request_id: bytes) -> None:
        now = self.loop.time()
        self._retained.append((now, request_id))
        while self._retained and (
            len(self._retained) > MAX_RETAINED
            or now - self._retained[0][0] > RETENTION_S
        ):
            ended_at, oldest = self._retained.popleft()
            job = self._jobs.pop(oldest, None)
            # Without its record a refused attempt still counts as not run.
            if (
                job is not None
                and job.outcome is not None
                and not isinstance(job.outcome.verdict, NotRun)
            ):
                self._complete_from = ended_at + RETENTION_S


class _Connection:
    """A connection from an entry node.

    Attributes:
        entry: Address of the entry node.
    """

    def __init__(self, server: MeshServer) -> None:
        self._server = server
        self._stream: FrameStream | None = None
        self.entry = ""
        self._jobs: dict[int, _Job] = {}

    @property
    def sending(self) -> bool:
        """Whether a part of a frame is not sent yet."""
        return self._stream is not None and self._stream.sending

    def answer(self, job: _Job, outcome: Outcome | None = None) -> None:
        """Sends an outcome to the entry node."""
        outcome = job.outcome if outcome is None else outcome
        assert outcome is not None
        self._jobs.pop(job.frame_id, None)
        job.conn = None
        stream = self._stream
        if stream is None:
            return
        owner = self._server.owner
        payload = encode_answer(
            job.frame_id,
            outcome,
            owner.load(),
            departure=owner.departure,
            offered=owner.offer_slot(self.entry, outcome.verdict),
        )
        if len(payload) < LARGE_BYTES:
            stream.write(payload)
            return
        owner.pacer.offer(
            self,
            pack_frame(payload),
            stream.write_piece,
            number=job.frame_id,
        )

    def send_grant(self, frame_id: int, until: int) -> None:
        """Permits the entry node to send a body up to a position."""
        if self._stream is not None:
            self._stream.write(encode_body_grant(frame_id, until))

    def abort(self) -> None:
        """Closes the connection and discards buffered data."""
        if self._stream is not None:
            self._stream.abort()

    def on_open(self, stream: FrameStream) -> None:
        """Registers the connection and sends the hello."""
        if len(self._server.connections) >= MAX_CONNECTIONS:
            stream.abort()
            return
        self._stream = stream
        self.entry = stream.peer_host
        self._server.connections.add(self)
        stream.write(encode_hello(self._server.process))

    def on_frame(self, payload: bytes) -> None:
        """Handles a frame of the entry node."""
        match decode_frame(payload, now=self._server.loop.time()):
            case RequestFrame(id=frame_id, known=known) as request:
                self._server.owner.apply_peer_record(known)
                if request.body_bytes:
                    self._begin_body(request)
                else:
                    self._submit(request)
            case BodyPiece(id=frame_id, piece=piece):
                whole = self._server.bodies.receive(self, frame_id, piece)
                if whole is not None:
                    self._submit(RequestFrame(frame_id, whole))
            case CancelFrame(id=frame_id):
                if self._server.bodies.drop(self, frame_id):
                    return
                job_or_none = self._jobs.pop(frame_id, None)
                if job_or_none is not None:
                    self._server.cancel(job_or_none)
                else:
                    self._server.owner.pacer.cancel(self, frame_id)
            case OutcomeQuery(id=frame_id) as query:
                job = self._server.handle_outcome_query(self, frame_id, query)
                if job.conn is not None:
                    self._jobs[frame_id] = job
            case ConfigRequest(version=version):
                self._send_config(version)
            case other:
                raise MessageInvalidError(
                    f"got {type(other).__name__}, expected a request"
                )

    def on_writable(self) -> None:
        """Does nothing: answers are written without flow control."""

    def on_close(self) -> None:
        """Detaches running attempts, whose outcomes may be queried later."""
        self._server.connections.discard(self)
        self._server.owner.pacer.drop(self)
        self._stream = None
        self._server.bodies.drop_all(self)
        for job in self._jobs.values():
            # Another connection may have queried its outcome before.
            if job.conn is self:
                job.conn = None
        self._jobs.clear()

    def _submit(self, frame: RequestFrame) -> None:
        job = self._server.submit(self, frame)
        if job.conn is not None:
            self._jobs[frame.id] = job

    def _begin_body(self, request: RequestFrame) -> None:
        refusal = self._server.bodies.begin(
            self, request.id, request.attempt, request.body_bytes
        )
        if refusal is not None:
            request_id = request.attempt.request_id
            self.answer(_Job(request_id, self, request.id), Outcome(refusal))

    def _send_config(self, version: int) -> None:
        config = self._server.make_update(version)
        if config is not None and self._stream is not None:
            self._stream.write(encode_config(*config))
