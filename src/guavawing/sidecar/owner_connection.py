"""One connection of the mesh to an owner, and the attempts on it."""

import asyncio
import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from guavawing.errors import MessageInvalidError
from guavawing.node.frame_stream import FrameStream, Keepalive
from guavawing.sidecar.body_sender import BodySender, has_large_body
from guavawing.sidecar.mesh_codec import (
    decode_frame,
    encode_cancel,
    encode_outcome_query,
    encode_request,
    encode_upload,
)
from guavawing.sidecar.mesh_messages import (
    AnswerFrame,
    BodyGrant,
    ConfigFrame,
    Hello,
)
from guavawing.sidecar.mesh_server import RETENTION_S
from guavawing.traffic.model import (
    Attempt,
    Outcome,
)
from guavawing.traffic.neighbours import NeighbourLoad
from guavawing.verdict import MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from guavawing.sidecar.mesh_client import MeshClient

__all__ = ["OutcomeListener", "OwnerConnection", "RemoteAttempt"]

CONNECT_TIMEOUT_S = 0.6
KEEPALIVE = Keepalive(tick_s=0.4, probes=True)
OWNER_RETRY_AFTER_S = 0.3
# Silence after which an owner with outstanding attempts is sent a keepalive
# probe, and after which it is suspected, in seconds. The second exceeds the
# time of a TCP retransmission.
PROBE_AFTER_S = 0.12
SUSPECT_AFTER_S = 0.4
# Silence after which idempotent attempts are released for a retry elsewhere, in
# seconds. It is longer than the time to a suspicion because an owner behind a
# saturated link responds late, and its answer may be in transit.
RELEASE_AFTER_S = 0.7
# Time after the loss of a connection for which the outcomes of attempts that
# must not run twice are queried, and interval of the queries, in seconds. A
# saturated link delays a new connection as it delayed the lost one.
QUERY_FOR_S = 2.0
QUERY_PERIOD_S = 0.2
# Interval of the check whether a connection being opened is open, in seconds.
CONNECTING_PERIOD_S = 0.02

OutcomeListener = Callable[[Outcome], None]


@attrs.define(eq=False)
class RemoteAttempt:
    """An attempt that was submitted to another node.

    Attributes:
        attempt: The attempt.
        on_outcome: Called once with the outcome; None after that or after a
            cancellation.
        conn: Connection to which it is assigned, if any.
        frame_id: Id of the request on that connection.
        process: Process number of the owner to which it was sent; 0 if it was
            not sent or the owner's hello has not been received.
        sent_at: Event loop's time at which it was sent, in seconds.
        neighbour: What its owner is told of another owner; None if it must not
            be passed on.
        lost_at: Event loop's time at which its connection was first lost, in
            seconds; None if it was not. Its outcome is queried since.
    """

    attempt: Attempt
    on_outcome: OutcomeListener | None
    conn: "OwnerConnection | None" = None
    frame_id: int = 0
    process: int = 0
    sent_at: float = 0.0
    neighbour: NeighbourLoad | None = None
    lost_at: float | None = None

    def end(self, outcome: Outcome) -> None:
        """Reports the outcome; later calls have no effect."""
        on_outcome, self.on_outcome = self.on_outcome, None
        if on_outcome is not None:
            on_outcome(outcome)


class OwnerConnection:
    """One connection to an owner, reopened on demand after a loss."""

    def __init__(self, client: "MeshClient", host: str, port: int) -> None:
        self._client = client
        self._host, self._port = host, port
        self._ids = itertools.count(1)
        self._stream: FrameStream | None = None
        self._connecting = False
        self._process = 0
        self._grants_bodies = False
        # Time since which a frame of the owner has been awaited.
        self._awaited_since = 0.0
        self._probed = False
        self._suspected = False
        self._waiting: list[RemoteAttempt] = []
        self._unsent: list[bytes] = []
        self._pending: dict[int, RemoteAttempt] = {}
        self._senders: dict[int, BodySender] = {}
        # Attempts with large bodies until the owner's hello is received.
        self._held: list[RemoteAttempt] = []

    @property
    def outstanding(self) -> int:
        """Attempts on it that have not ended."""
        return len(self._pending) + len(self._waiting) + len(self._held)

    def add(self, remote: RemoteAttempt) -> None:
        """Sends an attempt, once the connection is open."""
        remote.conn = self
        if self._stream is not None and not self._stream.closed:
            self._write(remote)
            return
        self._waiting.append(remote)
        self._connect()

    def send(self, payload: bytes) -> None:
        """Sends a frame that gets no answer of its own."""
        if self._stream is not None and not self._stream.closed:
            self._stream.write(payload)
        else:
            self._unsent.append(payload)
            self._connect()

    def cancel(self, remote: RemoteAttempt) -> bool:
        """Cancels an attempt; returns whether it certainly never runs."""
        for unsent in (self._waiting, self._held):
            if remote in unsent:
                unsent.remove(remote)
                return True
        is_partial = self._stop_body(remote.frame_id)
        known = self._pending.pop(remote.frame_id, None) is not None
        if known and self._stream is not None:
            self._stream.write(encode_cancel(remote.frame_id))
        return is_partial

    def close(self) -> None:
        """Closes the connection; attempts on it are queried on another."""
        if self._stream is not None:
            self._stream.abort()

    def check(self, now: float, *, late: bool) -> None:
        """Probes, then suspects a silent owner.

        Idempotent attempts, and those of which the owner has only a part of
        the body, are released for a retry at another owner; for all others the
        answer of this owner is awaited.
        """
        stream = self._stream
        waits = self._pending or self._held or self._suspected
        if stream is None or not waits:
            return
        if late or stream.last_received_at >= self._awaited_since:
            if self._suspected and not late:
                self._suspected = False
                self._client.on_alive(self._host)
            self._awaited_since, self._probed = now, False
            return
        silent_s = now - self._awaited_since
        if not self._probed and silent_s > PROBE_AFTER_S:
            self._probed = True
            stream.send_keepalive()
        if silent_s > SUSPECT_AFTER_S and not self._suspected:
            self._suspected = True
            self._client.on_suspicion(self._host)
        if silent_s > RELEASE_AFTER_S and not self._client.stopping:
            self._release()

    def _release(self) -> None:
        """Releases attempts that have not run or may run twice."""
        for remote in (*self._held, *self._pending.values()):
            if self.cancel_unsent(remote):
                remote.end(Outcome(NotRun(Reason.OWNER_UNREACHABLE, 0.0)))
            elif remote.attempt.idempotent:
                self.cancel(remote)
                remote.end(Outcome(MayHaveRun(Reason.OWNER_LOST)))

    def cancel_unsent(self, remote: RemoteAttempt) -> bool:
        """Cancels an attempt that the owner does not have completely.

        Returns:
            Whether it was cancelled.
        """
        sender = self._senders.get(remote.frame_id)
        is_unsent = remote in self._held or (
            sender is not None and not sender.is_sent
        )
        return is_unsent and self.cancel(remote)

    def _stop_body(self, frame_id: int) -> bool:
        """Ends the sending of a body; returns whether it was incomplete."""
        sender = self._senders.pop(frame_id, None)
        if sender is None:
            return False
        sender.stop()
        return not sender.is_sent

    # Events of the stream.

    def on_open(self, stream: FrameStream) -> None:
        """Records the stream of an opened connection."""
        self._stream = stream
        self._process = 0
        self._grants_bodies = False

    def on_frame(self, payload: bytes) -> None:
        """Handles a frame of the owner."""
        match decode_frame(payload, now=self._client.loop.time()):
            case AnswerFrame() as answer:
                self._client.on_load(
                    self._host, answer.load, answer.departure, answer.offered
                )
                self._stop_body(answer.id)
                remote = self._pending.pop(answer.id, None)
                if remote is not None:
                    remote.end(self._check_retained(remote, answer.outcome))
            case BodyGrant(id=frame_id, until=until):
                sender = self._senders.get(frame_id)
                if sender is not None:
                    sender.grant(until)
            case Hello(process=process) as hello:
                self._process = process
                self._grants_bodies = hello.grants_bodies
                held, self._held = self._held, []
                for remote in held:
                    self._write(remote)
                for remote in self._pending.values():
                    remote.process = remote.process or process
            case ConfigFrame() as config:
                self._client.on_config(config)
            case other:
                raise MessageInvalidError(
                    f"got {type(other).__name__}, expected an answer"
                )
        self._client.on_alive(self._host)

    def on_writable(self) -> None:
        """Does nothing: requests are small compared with the write buffer."""

    def on_close(self) -> None:
        """Ends attempts that have not run, and queries the others."""
        self._stream = None
        self._suspected = False
        held, self._held = self._held, []
        unsent = [
            remote
            for remote in self._pending.values()
            if self._stop_body(remote.frame_id)
        ]
        lost, self._pending = self._pending, {}
        self._senders.clear()
        # The owner executes no part of a body, so that they have not run.
        for remote in (*held, *unsent):
            remote.end(Outcome(NotRun(Reason.OWNER_UNREACHABLE, 0.0)))
        unresolved = [
            remote for remote in lost.values() if remote.on_outcome is not None
        ]
        for remote in unresolved:
            if remote.lost_at is None:
                remote.lost_at = self._client.loop.time()
        if unresolved:
            # Their outcomes are queried on a new connection.
            self._client.track(
                self._client.loop.create_task(self._query_outcomes(unresolved))
            )

    async def _query_outcomes(self, remotes: list[RemoteAttempt]) -> None:
        """Queries the outcomes of lost attempts on a new connection.

        Attempts whose process is not known end as lost, and so do those that
        may be repeated if the owner can't be connected to.
        """
        for remote in remotes:
            if not remote.process:
                remote.end(Outcome(MayHaveRun(Reason.OWNER_LOST)))
        while remotes := [each for each in remotes if each.on_outcome]:
            while self._connecting:
                await asyncio.sleep(CONNECTING_PERIOD_S)
            await self._open()
            stream = self._stream
            if stream is not None and not stream.closed:
                self._send_queries(remotes, stream)
                return
            now = self._client.loop.time()
            for remote in remotes:
                if not _may_query_again(remote, now):
                    remote.end(Outcome(MayHaveRun(Reason.OWNER_LOST)))
            await asyncio.sleep(QUERY_PERIOD_S)

    def _send_queries(
        self, remotes: list[RemoteAttempt], stream: FrameStream
    ) -> None:
        for remote in remotes:
            if remote.on_outcome is None:
                continue
            remote.frame_id = next(self._ids)
            self._pending[remote.frame_id] = remote
            stream.write(
                encode_outcome_query(
                    remote.frame_id,
                    remote.attempt.request_id,
                    remote.process,
                )
            )

    def _check_retained(
        self, remote: RemoteAttempt, outcome: Outcome
    ) -> Outcome:
        """Checks that the answer to a query rests on what the owner retains.

        An owner that has no record of an attempt answers that it has not run.
        That is true for as long as it would have retained the outcome.
        """
        age_s = self._client.loop.time() - remote.sent_at
        if (
            remote.lost_at is not None
            and isinstance(outcome.verdict, NotRun)
            and age_s >= RETENTION_S
        ):
            return Outcome(MayHaveRun(Reason.OWNER_LOST))
        return outcome

    def _write(self, remote: RemoteAttempt) -> None:
        stream, pacer = self._stream, self._client.pacer
        assert stream is not None
        is_large = pacer is not None and has_large_body(remote.attempt)
        if is_large and not self._process:
            # The owner's hello states whether it grants bodies.
            self._held.append(remote)
            return
        remote.frame_id = next(self._ids)
        remote.process = self._process
        self._pending[remote.frame_id] = remote
        now = remote.sent_at = self._client.loop.time()
        known = self._client.find_record(self._host)
        in_pieces = is_large and self._grants_bodies
        if in_pieces:
            payload = encode_upload(
                remote.frame_id, remote.attempt, now=now, known=known
            )
        else:
            payload = encode_request(
                remote.frame_id,
                remote.attempt,
                now=now,
                known=known,
                neighbour=remote.neighbour,
            )
        stream.write(payload)
        if in_pieces:
            assert pacer is not None
            sender = self._senders[remote.frame_id] = BodySender(
                remote.frame_id,
                remote.attempt.body,
                stream=stream,
                pacer=pacer,
                on_stop=self._client.senders.discard,
            )
            self._client.senders.add(sender)

    def _connect(self) -> None:
        if not self._connecting:
            self._client.track(self._client.loop.create_task(self._open()))

    async def _open(self) -> None:
        """Opens the connection and sends the queued frames."""
        if self._stream is not None and not self._stream.closed:
            return
        self._connecting = True
        stream = FrameStream(self, keepalive=KEEPALIVE)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._client.loop.create_connection(
                    lambda: stream,
                    self._host,
                    self._port,
                    local_addr=(self._client.source, 0),
                )
        except (OSError, TimeoutError):
            stream.abandon()
            self._client.on_suspicion(self._host)
            verdict = NotRun(Reason.OWNER_UNREACHABLE, OWNER_RETRY_AFTER_S)
            self._unsent.clear()
            waiting, self._waiting = self._waiting, []
            for remote in waiting:
                remote.end(Outcome(verdict))
            return
        finally:
            self._connecting = False
        unsent, self._unsent = self._unsent, []
        for payload in unsent:
            self.send(payload)
        waiting, self._waiting = self._waiting, []
        for remote in waiting:
            if remote.on_outcome is not None:
                self.add(remote)


def _may_query_again(remote: RemoteAttempt, now: float) -> bool:
    """Returns whether the outcome of a lost attempt is still awaited."""
    assert remote.lost_at is not None
    ends_at = min(remote.lost_at + QUERY_FOR_S, remote.attempt.deadline)
    return not remote.attempt.idempotent and now + QUERY_PERIOD_S < ends_at
