"""Connections to owners on other VMs."""

import asyncio
import itertools
from collections.abc import Callable

import attrs

from guavawing.errors import MessageInvalidError
from guavawing.node.frame_stream import FrameStream, Keepalive
from guavawing.sidecar.mesh_codec import (
    decode_frame,
    encode_cancel,
    encode_config_request,
    encode_outcome_query,
    encode_request,
)
from guavawing.sidecar.mesh_messages import (
    AnswerFrame,
    ConfigFrame,
    Hello,
)
from guavawing.traffic.model import Attempt, LoadReport, Outcome
from guavawing.verdict import MayHaveRun, NotRun, Reason

__all__ = ["MeshClient", "RemoteAttempt"]

CONNECT_TIMEOUT_S = 0.6
KEEPALIVE = Keepalive(tick_s=0.4, asks=True)
# Connections to one owner for small answers, and for large ones: a lost packet
# or a large answer holds up only what shares its connection.
SMALL_CONNECTIONS = 2
BULK_CONNECTIONS = 1
OWNER_RETRY_AFTER_S = 0.3
# Period of the check for owners that have gone silent, in seconds.
CHECK_PERIOD_S = 0.1
# Silence after which an owner that has something to answer is asked for a sign
# of life, and after which it is doubted, in seconds. The second is above the
# time in which a lost packet is sent again.
PROBE_AFTER_S = 0.12
SUSPECT_AFTER_S = 0.4
# Silence after which what may be repeated is sent elsewhere, in seconds. It is
# longer, as an owner behind a full link is slow to give a sign of life, and its
# answer may be under way.
RELEASE_AFTER_S = 0.7
# A check that is later than this proves that this process was late itself.
LATE_CHECK_S = 0.1

OutcomeListener = Callable[[Outcome], None]
LoadListener = Callable[[str, LoadReport], None]


@attrs.define(eq=False)
class RemoteAttempt:
    """An attempt under way at another node.

    Attributes:
        attempt: The attempt.
        on_outcome: Takes the outcome, once; None if nobody waits.
        lane: Connection that it was sent on, if any.
        frame_id: Its number on that connection.
        process: Number of the owner's process that it was sent to; 0 if it
            was not sent or the owner has not said.
        asked: Whether the owner has been asked what became of it.
    """

    attempt: Attempt
    on_outcome: OutcomeListener | None
    conn: "_OwnerConnection | None" = None
    frame_id: int = 0
    process: int = 0
    queried: bool = False

    def end(self, outcome: Outcome) -> None:
        """Hands over the outcome; does nothing the second time."""
        on_outcome, self.on_outcome = self.on_outcome, None
        if on_outcome is not None:
            on_outcome(outcome)


class MeshClient:
    """Connections to all owners, opened when they are needed.

    Attributes:
        leaving: Whether this process is about to end: then what runs is
            waited for, also at owners that are silent.
    """

    def __init__(
        self,
        *,
        source: str,
        on_load: LoadListener,
        on_alive: Callable[[str], None],
        on_suspicion: Callable[[str], None],
        on_config: Callable[[ConfigFrame], None],
    ) -> None:
        """Creates a client without connections.

        Args:
            source: IP address to connect from.
            on_load: Takes the load that came with an answer.
            on_alive: Takes the host of a node that has answered.
            on_doubt: Takes the host of a node that gives no sign of life, or
                takes no connection.
            on_config: Takes a configuration that was asked for.
        """
        self.loop = asyncio.get_running_loop()
        self.source = source
        self.on_load = on_load
        self.on_alive = on_alive
        self.on_suspicion = on_suspicion
        self.on_config = on_config
        self.stopping = False
        self._conns: dict[tuple[str, int, bool], list[_OwnerConnection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._checked_at = self.loop.time()
        self._check_timer = self.loop.call_later(CHECK_PERIOD_S, self._check)

    def submit(
        self,
        host: str,
        port: int,
        attempt: Attempt,
        on_outcome: OutcomeListener,
    ) -> RemoteAttempt:
        """Sends an attempt to the owner at an address."""
        remote = RemoteAttempt(attempt, on_outcome)
        self._pick_connection(host, port, bulk=attempt.bulk).add(remote)
        return remote

    def cancel(self, remote: RemoteAttempt) -> None:
        """Tells the owner that nobody waits for an attempt."""
        remote.on_outcome = None
        if remote.conn is not None:
            remote.conn.cancel(remote)

    def request_config(self, host: str, port: int, version: int) -> None:
        """Asks a node for a configuration newer than `version`."""
        conn = self._pick_connection(host, port, bulk=True)
        conn.send(encode_config_request(version))

    def close(self) -> None:
        """Closes all connections."""
        self._check_timer.cancel()
        for conns in self._conns.values():
            for conn in conns:
                conn.close()

    def disconnect(self, host: str) -> None:
        """Closes the connections to a node that was found lost."""
        for key, conns in self._conns.items():
            if key[0] == host:
                for conn in conns:
                    conn.close()

    def track(self, task: "asyncio.Task[None]") -> None:
        """Keeps a task until it has ended."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _check(self) -> None:
        """Looks for owners that have gone silent."""
        now = self.loop.time()
        late = now - self._checked_at > CHECK_PERIOD_S + LATE_CHECK_S
        self._checked_at = now
        for conns in self._conns.values():
            for conn in conns:
                conn.check(now, late=late)
        self._check_timer = self.loop.call_later(CHECK_PERIOD_S, self._check)

    def _pick_connection(
        self, host: str, port: int, *, bulk: bool
    ) -> "_OwnerConnection":
        key = (host, port, bulk)
        conns = self._conns.get(key)
        if conns is None:
            count = BULK_CONNECTIONS if bulk else SMALL_CONNECTIONS
            conns = self._conns[key] = [
                _OwnerConnection(self, host, port) for _ in range(count)
            ]
        return min(conns, key=lambda conn: conn.outstanding)


class _OwnerConnection:
    """One connection to an owner; it is opened anew after it broke."""

    def __init__(self, client: MeshClient, host: str, port: int) -> None:
        self._client = client
        self._host, self._port = host, port
        self._ids = itertools.count(1)
        self._stream: FrameStream | None = None
        self._connecting = False
        self._process = 0
        # Time from which on an answer or a sign of life is awaited.
        self._awaited_since = 0.0
        self._probed = False
        self._suspected = False
        self._waiting: list[RemoteAttempt] = []
        self._unsent: list[bytes] = []
        self._pending: dict[int, RemoteAttempt] = {}

    @property
    def outstanding(self) -> int:
        return len(self._pending) + len(self._waiting)

    def add(self, remote: RemoteAttempt) -> None:
        remote.conn = self
        if self._stream is not None and not self._stream.closed:
            self._write(remote)
            return
        self._waiting.append(remote)
        self._connect()

    def send(self, payload: bytes) -> None:
        if self._stream is not None and not self._stream.closed:
            self._stream.write(payload)
        else:
            self._unsent.append(payload)
            self._connect()

    def cancel(self, remote: RemoteAttempt) -> None:
        if remote in self._waiting:
            self._waiting.remove(remote)
            return
        known = self._pending.pop(remote.frame_id, None) is not None
        if known and self._stream is not None:
            self._stream.write(encode_cancel(remote.frame_id))

    def close(self) -> None:
        if self._stream is not None:
            self._stream.abort()

    def check(self, now: float, *, late: bool) -> None:
        """Doubts the owner if it has been silent for long.

        What may be repeated is given back, so that it can be sent elsewhere.
        For the rest the owner's answer is waited for.
        """
        stream = self._stream
        if stream is None or not (self._pending or self._suspected):
            return
        if late or stream.heard_at >= self._awaited_since:
            if self._suspected and not late:
                self._suspected = False
                self._client.on_alive(self._host)
            self._awaited_since, self._probed = now, False
            return
        silent_s = now - self._awaited_since
        if not self._probed and silent_s > PROBE_AFTER_S:
            self._probed = True
            stream.ask_sign_of_life()
        if silent_s > SUSPECT_AFTER_S and not self._suspected:
            self._suspected = True
            self._client.on_suspicion(self._host)
        if silent_s > RELEASE_AFTER_S and not self._client.stopping:
            self._release_idempotent()

    def _release_idempotent(self) -> None:
        for remote in tuple(self._pending.values()):
            if remote.attempt.idempotent:
                self.cancel(remote)
                remote.end(Outcome(MayHaveRun(Reason.OWNER_LOST)))

    # Events of the stream.

    def take_open(self, stream: FrameStream) -> None:
        self._stream = stream
        self._process = 0

    def take_frame(self, payload: bytes) -> None:
        match decode_frame(payload, now=self._client.loop.time()):
            case AnswerFrame(id=frame_id, outcome=outcome, load=load):
                self._client.on_load(self._host, load)
                remote = self._pending.pop(frame_id, None)
                if remote is not None:
                    remote.end(outcome)
            case Hello(process=process):
                self._process = process
                for remote in self._pending.values():
                    remote.process = remote.process or process
            case ConfigFrame() as config:
                self._client.on_config(config)
            case other:
                raise MessageInvalidError(
                    f"got {type(other).__name__}, expected an answer"
                )
        self._client.on_alive(self._host)

    def take_room(self) -> None:
        """Needs nothing: requests are small against what is buffered."""

    def take_end(self) -> None:
        self._stream = None
        self._suspected = False
        lost, self._pending = self._pending, {}
        unknown = [
            remote for remote in lost.values() if remote.on_outcome is not None
        ]
        if unknown:
            # Whether they ran is asked on a new connection.
            self._client.track(
                self._client.loop.create_task(self._query_outcomes(unknown))
            )

    async def _query_outcomes(self, remotes: list[RemoteAttempt]) -> None:
        """Asks the owner's process what became of attempts, once each."""
        for remote in remotes:
            if remote.queried or not remote.process:
                remote.end(Outcome(MayHaveRun(Reason.OWNER_LOST)))
        queried = [t for t in remotes if t.on_outcome is not None]
        if not queried:
            return
        await self._open()
        stream = self._stream
        if stream is None or stream.closed:
            for remote in queried:
                remote.end(Outcome(MayHaveRun(Reason.OWNER_LOST)))
            return
        for remote in queried:
            if remote.on_outcome is None:
                continue
            remote.queried = True
            remote.frame_id = next(self._ids)
            self._pending[remote.frame_id] = remote
            stream.write(
                encode_outcome_query(
                    remote.frame_id,
                    remote.attempt.request_id,
                    remote.process,
                )
            )

    def _write(self, remote: RemoteAttempt) -> None:
        assert self._stream is not None
        remote.frame_id = next(self._ids)
        remote.process = self._process
        self._pending[remote.frame_id] = remote
        now = self._client.loop.time()
        self._stream.write(
            encode_request(remote.frame_id, remote.attempt, now=now)
        )

    def _connect(self) -> None:
        if not self._connecting:
            self._client.track(self._client.loop.create_task(self._open()))

    async def _open(self) -> None:
        """Opens the connection, and sends what waits for it."""
        if self._stream is not None and not self._stream.closed:
            return
        self._connecting = True
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._client.loop.create_connection(
                    lambda: FrameStream(self, keepalive=KEEPALIVE),
                    self._host,
                    self._port,
                    local_addr=(self._client.source, 0),
                )
        except (OSError, TimeoutError):
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
