"""Connection pool to the target on this VM."""

import asyncio
import socket
from collections.abc import Callable

import attrs

from guavawing.model import Address
from guavawing.platform.headers import (
    NOT_RUN_STATUSES,
    AnswerHead,
    answers_request,
    build_target_request,
    parse_answer_head,
)
from guavawing.sidecar.http_client import (
    ClientConnection,
    HttpReply,
    ResponseHandler,
)
from guavawing.sidecar.parse_pacer import ParsePacer
from guavawing.traffic.model import Attempt, Outcome, TargetNotice
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, Verdict

__all__ = ["Execution", "TargetPool"]

CONNECT_TIMEOUT_S = 1.0
# Keep-alive timeout assumed for a target that does not announce one, in
# seconds.
ASSUMED_IDLE_TIMEOUT_S = 5.0
# A connection is not reused this close to the end of its keep-alive timeout:
# the target may close it while the request is in transit.
IDLE_MARGIN_S = 1.0
# Longest idle time of a connection that is reused for a non-idempotent request,
# in seconds: if the target has dropped the connection silently, whether the
# request ran can't be determined.
AT_MOST_ONCE_IDLE_S = 1.5
# Time after the deadline for which the answer of the target is awaited.
ANSWER_MARGIN_S = 0.25
CONNECT_RETRY_AFTER_S = 0.5
# Limit of memory for the incomplete answers of all connections, in bytes: a
# sixth of that of the smallest VMs. Above it the largest partial answer is
# aborted, which is the endless one if there is one.
MAX_READ_BYTES = 32 * 1024 * 1024
# Retry-After in seconds if the target rejected the request for overload without
# one of its own.
SHED_RETRY_AFTER_S = 0.2
OK_STATUSES = range(200, 300)
MISDIRECTED = 421
HEAD = b"HEAD"


@attrs.define(eq=False)
class Execution:
    """An attempt in progress at the target.

    Attributes:
        attempt: The attempt.
        on_end: Called exactly once with the outcome.
        on_notice: Called with what the target states about itself in its
            answer, and the time at which the request was sent.
        conn: Connection on which it was sent; None before that.
        sent_at: Event loop's time at which it was sent, in seconds.
        timer: Timeout of the answer.
        ended: Whether the outcome is known.
    """

    attempt: Attempt
    on_end: Callable[["Execution", Outcome], None]
    on_notice: Callable[[TargetNotice, float], None]
    conn: ClientConnection | None = None
    sent_at: float = 0.0
    timer: asyncio.TimerHandle | None = None
    ended: bool = False

    def end(self, outcome: Outcome) -> None:
        """Reports the outcome; later calls have no effect."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.on_end(self, outcome)

    def abandon(self) -> None:
        """Closes the connection, on which most targets cancel the request."""
        if self.conn is not None:
            self.conn.close()
        self.end(Outcome(MayHaveRun(Reason.CANCELLED)))


class TargetPool:
    """Sends each attempt to the target exactly once."""

    def __init__(self, address: Address) -> None:
        self._loop = asyncio.get_running_loop()
        self._address = address
        self._idle: list[ClientConnection] = []
        self._conns: set[ClientConnection] = set()
        self._pacer = ParsePacer()
        self._tasks: set[asyncio.Task[None]] = set()

    def execute(
        self,
        attempt: Attempt,
        *,
        target_id: str,
        on_end: Callable[[Execution, Outcome], None],
        on_notice: Callable[[TargetNotice, float], None],
    ) -> Execution:
        """Sends an attempt to the target.

        Args:
            attempt: The attempt.
            target_id: Id of the target that must execute it.
            on_end: Called exactly once with the outcome.
            on_notice: Called before `on_end` if that target has answered, with
                what it states about itself and the event loop's time at which
                the attempt was sent, in seconds.
        """
        execution = Execution(attempt, on_end, on_notice)
        conn = self._pop_idle(attempt)
        if conn is not None:
            self._send(execution, conn, target_id)
        else:
            task = self._loop.create_task(self._open(execution, target_id))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return execution

    def close_idle(self) -> None:
        """Closes the idle connections."""
        idle, self._idle = self._idle, []
        for conn in idle:
            conn.close()

    def _pop_idle(self, attempt: Attempt) -> ClientConnection | None:
        """Removes and returns the most recently used connection, if usable.

        It is not one on which the target has refused the same request: the
        refusal may come again.
        """
        now = self._loop.time()
        while self._idle:
            conn = self._idle[-1]
            allowed_s = conn.idle_timeout_s or ASSUMED_IDLE_TIMEOUT_S
            limit_s = max(allowed_s - IDLE_MARGIN_S, allowed_s / 2)
            idle_s = now - conn.idle_since
            if conn.usable and idle_s <= limit_s:
                if not attempt.idempotent and idle_s > AT_MOST_ONCE_IDLE_S:
                    return None
                if attempt.request_id in conn.refused_ids:
                    return None
                return self._idle.pop()
            # All others have been idle for longer.
            self.close_idle()
        return None

    async def _open(self, execution: Execution, target_id: str) -> None:
        host, port = self._address.host, self._address.port
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, conn = await self._loop.create_connection(
                    lambda: ClientConnection(
                        self._drop,
                        on_growth=self._limit_buffered_bytes,
                        pacer=self._pacer,
                    ),
                    host,
                    port,
                )
        except (OSError, TimeoutError) as exc:
            refused = isinstance(exc, ConnectionRefusedError)
            reason = (
                Reason.TARGET_UNREACHABLE
                if refused
                else Reason.TARGET_CONNECT_FAILED
            )
            execution.end(Outcome(NotRun(reason, CONNECT_RETRY_AFTER_S)))
            return
        self._conns.add(conn)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if execution.ended:
            self._idle.append(conn)
        else:
            self._send(execution, conn, target_id)

    def _send(
        self, execution: Execution, conn: ClientConnection, target_id: str
    ) -> None:
        attempt = execution.attempt
        left_s = attempt.deadline - self._loop.time()
        if left_s <= 0:
            self._idle.append(conn)
            execution.end(Outcome(NotRun(Reason.DEADLINE_PASSED)))
            return
        execution.conn = conn
        execution.sent_at = self._loop.time()
        execution.timer = self._loop.call_later(
            left_s + ANSWER_MARGIN_S, self._time_out, execution
        )
        payload = build_target_request(
            attempt.method,
            attempt.path,
            attempt.head,
            attempt.body,
            deadline_s=left_s,
            target_id=target_id,
            origin=attempt.origin,
            account=attempt.account,
        )
        handler = ResponseHandler(
            accepts=lambda reply: answers_request(
                reply.headers, attempt.request_id, reused=conn.reused
            ),
            on_reply=lambda reply: self._handle_reply(execution, reply),
            on_loss=lambda _: execution.end(
                Outcome(MayHaveRun(Reason.TARGET_BROKE))
            ),
            bodiless=attempt.method == HEAD,
        )
        conn.send(payload, handler)

    def _handle_reply(self, execution: Execution, reply: HttpReply) -> None:
        conn = execution.conn
        assert conn is not None
        head = parse_answer_head(reply.status, reply.headers)
        if head.idle_timeout_s is not None:
            conn.idle_timeout_s = head.idle_timeout_s
        if conn.usable and not head.closes:
            self._idle.append(conn)
        elif conn.usable:
            conn.close()
        outcome = _classify_reply(reply, head)
        if isinstance(outcome.verdict, NotRun):
            outcome = self._check_refusal(execution, conn, outcome)
        if not execution.ended and _is_from_target(outcome.verdict):
            execution.on_notice(head.notice, execution.sent_at)
        execution.end(outcome)

    def _check_refusal(
        self, execution: Execution, conn: ClientConnection, outcome: Outcome
    ) -> Outcome:
        """Returns the outcome that a refusal proves for the request at hand.

        A target may send a refusal again. One of a request without an id can't
        be told from that of an earlier request on the same connection.
        """
        request_id = execution.attempt.request_id
        if not request_id and conn.reused:
            # Its own answer may still come.
            self._drop(conn)
            conn.close()
            return Outcome(MayHaveRun(Reason.TARGET_BROKE))
        conn.refused_ids.append(request_id)
        return outcome

    def _time_out(self, execution: Execution) -> None:
        if execution.conn is not None:
            execution.conn.close()
        execution.end(Outcome(MayHaveRun(Reason.TARGET_TIMEOUT)))

    def _limit_buffered_bytes(self, _: ClientConnection) -> None:
        """Fails the largest partial answer if the total exceeds the limit."""
        if sum(each.held_bytes for each in self._conns) > MAX_READ_BYTES:
            max(self._conns, key=lambda each: each.held_bytes).fail()

    def _drop(self, conn: ClientConnection) -> None:
        self._conns.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)


def _is_from_target(verdict: Verdict) -> bool:
    """Returns whether an answer is one of the target that was asked."""
    match verdict:
        case Ran() | NotRun(reason=Reason.TARGET_SHED):
            return True
    return False


def _classify_reply(reply: HttpReply, head: AnswerHead) -> Outcome:
    """Returns the outcome that an answer of the target represents."""
    if reply.status == MISDIRECTED:
        return Outcome(NotRun(Reason.TARGET_REPLACED, 0.0))
    if head.not_executed:
        retry_after_s = head.retry_after_s or SHED_RETRY_AFTER_S
        return Outcome(NotRun(Reason.TARGET_SHED, retry_after_s))
    if reply.status in NOT_RUN_STATUSES:
        # Without the header for requests that were not executed, the status
        # alone does not prove that the request has not run.
        return Outcome(MayHaveRun(Reason.TARGET_BROKE))
    if reply.status in OK_STATUSES and not head.signed:
        return Outcome(MayHaveRun(Reason.TARGET_BROKE))
    return Outcome(Ran(), reply.status, head.forwarded, reply.body)
