"""Owner role of a node: executes all calls at the target."""

import asyncio
import contextlib
import itertools
import secrets
from collections.abc import AsyncIterator, Callable, Sequence

import attrs

from guavawing.node.logs import is_logged, log
from guavawing.node.messages import Answer, CallAttempt
from guavawing.node.metrics import Metrics
from guavawing.node.submission import Submission
from guavawing.node.target_client import Execution, TargetClient
from guavawing.policy.admission import (
    Abandon,
    Action,
    Admission,
    QueuedCall,
    Refuse,
    Start,
)
from guavawing.policy.bound_key import NONCE_BYTES, BoundKey
from guavawing.policy.choice import LoadReport
from guavawing.policy.key_table import Begin, Join, KeyTable, Reject, Replay
from guavawing.policy.spent_calls import SpentCalls
from guavawing.verdict import (
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
    verdict_name,
)

__all__ = ["Owner", "open_owner"]

EXPIRY_PERIOD_S = 0.05
# Each process starts its key epochs at a random number of this many bits, so
# that keys of two processes differ even if these use the same incarnation.
EPOCH_BITS = 40
# Time for which a slot stays occupied after its connection was lost without an
# answer. A target needs at most this time to detect the loss and end its work.
BROKEN_CONNECTION_GRACE_S = 1.0


@attrs.define(eq=False)
class _Call:
    """A call that is queued or running.

    Attributes:
        attempt: The attempt to execute.
        fut: Resolves to the answer for the first caller.
        end: Resolves to the outcome at the target; differs from `fut` if the
            caller is answered before the target has ended the call.
        waiters: Number of waiting callers, including those that joined with
            the same key.
        wanted: Whether any caller waits.
    """

    attempt: CallAttempt
    fut: asyncio.Future[Answer]
    end: asyncio.Future[Answer]
    waiters: int = 1

    @property
    def wanted(self) -> bool:
        return self.waiters > 0


class Owner:
    """Admits calls to the target and suppresses duplicates.

    Attributes:
        spent_calls: Calls of this target for which a downstream service has
            exhausted its retries.
    """

    def __init__(
        self,
        *,
        member_id: str,
        incarnation: int,
        target: TargetClient,
        metrics: Metrics,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._member_id = member_id
        self._target = target
        self._metrics = metrics
        self._admission = Admission(slots=0, queue_limit=0)
        self._keys = KeyTable(
            incarnation=incarnation,
            now=self._loop.time(),
            first_epoch=secrets.randbits(EPOCH_BITS),
        )
        self.spent_calls = SpentCalls()
        self._ids = itertools.count(1)
        self._calls: dict[int, _Call] = {}
        self._running_keys: dict[BoundKey, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    def load(self) -> LoadReport:
        """Returns the load to report with answers."""
        return LoadReport(
            slots=self._admission.slots,
            running=self._admission.running,
            queued=self._admission.queued,
            draining=self._admission.draining,
            key_epoch=self._keys.epoch(now=self._loop.time()),
        )

    @property
    def incarnation(self) -> int:
        """The incarnation that new keys carry."""
        return self._keys.incarnation

    def raise_incarnation(self, incarnation: int) -> None:
        """Raises the incarnation of this process; its keys stay valid."""
        self._keys.raise_incarnation(incarnation)

    @property
    def abandoned(self) -> int:
        """Number of calls that occupy a slot without a waiting caller."""
        return self._admission.abandoned

    def set_limits(self, *, slots: int, queue_limit: int) -> None:
        """Applies the limits of a new configuration version."""
        self._carry_out(
            self._admission.set_limits(
                slots=slots, queue_limit=queue_limit, now=self._loop.time()
            )
        )

    def start_draining(self) -> None:
        """Refuses new calls from now on; queued and running ones continue."""
        self._admission.start_draining()

    def stop_draining(self) -> None:
        """Accepts new calls again."""
        self._admission.stop_draining()

    async def wait_idle(self) -> None:
        """Waits until no call is queued or occupies a slot."""
        await self._idle.wait()

    def mint_key(self) -> BoundKey:
        """Returns a new key bound to this owner."""
        return BoundKey(
            self._member_id,
            self._keys.incarnation,
            self._keys.epoch(now=self._loop.time()),
            secrets.token_urlsafe(NONCE_BYTES),
        )

    def submit(self, attempt: CallAttempt) -> Submission:
        """Submits an attempt; the submission resolves to its answer."""
        if is_logged("debug"):
            log("debug", "attempt", call_id=attempt.call_id)
        if attempt.key is None:
            return self._offer(attempt)
        if attempt.key.owner != self._member_id:
            # Copies of the request may be in transit to its actual owner.
            return self._refuse(MayHaveRun(Reason.WRONG_OWNER))
        decision = self._keys.begin(
            attempt.key, attempt.fingerprint, now=self._loop.time()
        )
        match decision:
            case Begin():
                return self._offer(attempt)
            case Join():
                return self._join(self._running_keys[attempt.key])
            case Replay(answer=Answer() as answer):
                return self._resolve(answer)
            case Reject(verdict=verdict):
                return self._refuse(verdict)
        raise AssertionError(f"unexpected decision {decision!r}")

    def refuse(
        self, key: BoundKey | None, fingerprint: bytes, verdict: NotRun
    ) -> Submission:
        """Refuses a request, unless its key is in the table already.

        For a known key, the submission resolves to its outcome instead.
        """
        if key is None:
            return self._refuse(verdict)
        if key.owner != self._member_id:
            return self._refuse(MayHaveRun(Reason.WRONG_OWNER))
        decision = self._keys.begin(key, fingerprint, now=self._loop.time())
        match decision:
            case Begin():
                self._keys.release(key)
                return self._refuse(verdict)
            case Join():
                return self._join(self._running_keys[key])
            case Replay(answer=Answer() as answer):
                return self._resolve(answer)
            case Reject(verdict=known):
                return self._refuse(known)
        raise AssertionError(f"unexpected decision {decision!r}")

    def abort(self) -> None:
        """Cancels running calls; this closes their connections."""
        for task in self._tasks:
            task.cancel()

    def expire(self) -> None:
        """Answers all calls whose deadline has passed."""
        if self._calls:
            now = self._loop.time()
            self._carry_out(self._admission.expire(now=now))

    def _offer(self, attempt: CallAttempt) -> Submission:
        call_id = next(self._ids)
        fut: asyncio.Future[Answer] = self._loop.create_future()
        end: asyncio.Future[Answer] = self._loop.create_future()
        self._calls[call_id] = _Call(attempt, fut, end)
        if attempt.key is not None:
            self._running_keys[attempt.key] = call_id
        self._idle.clear()
        call = QueuedCall(
            call_id, attempt.policy.settings.call_class, attempt.deadline
        )
        self._carry_out(self._admission.offer(call, now=self._loop.time()))
        return Submission(fut, self._make_cancel(call_id))

    def _make_cancel(self, call_id: int) -> Callable[[], None]:
        """Returns an idempotent function that cancels one caller's wait."""
        cancelled = False

        def cancel_once() -> None:
            nonlocal cancelled
            if not cancelled:
                cancelled = True
                self._cancel_waiter(call_id)

        return cancel_once

    def _cancel_waiter(self, call_id: int) -> None:
        """Removes one waiting caller; cancels the call after the last one."""
        call = self._calls.get(call_id)
        if call is None:
            return
        call.waiters -= 1
        if not call.wanted:
            self._carry_out(self._admission.cancel(call_id))

    def _join(self, call_id: int) -> Submission:
        fut: asyncio.Future[Answer] = self._loop.create_future()
        call = self._calls[call_id]
        call.waiters += 1

        def copy_answer(done: asyncio.Future[Answer]) -> None:
            if not fut.done():
                fut.set_result(done.result())

        call.end.add_done_callback(copy_answer)
        return Submission(fut, self._make_cancel(call_id))

    def _refuse(self, verdict: Verdict) -> Submission:
        self._metrics.owner_refusals.inc({"reason": str(verdict.reason)})
        return self._resolve(Answer(verdict))

    def _resolve(self, answer: Answer) -> Submission:
        fut: asyncio.Future[Answer] = self._loop.create_future()
        fut.set_result(answer)
        return Submission(fut)

    def _carry_out(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Start(call_id=call_id):
                    task = self._loop.create_task(self._run(call_id))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                case Refuse(call_id=call_id, verdict=verdict):
                    reason = str(verdict.reason)
                    self._metrics.owner_refusals.inc({"reason": reason})
                    self._complete(call_id, Answer(verdict))
                    self._remove(call_id)
                case Abandon(call_id=call_id, verdict=verdict):
                    _resolve_once(self._calls[call_id].fut, Answer(verdict))

    async def _run(self, call_id: int) -> None:
        call = self._calls[call_id]
        now = self._loop.time()
        if call.attempt.deadline <= now:
            execution = _not_run(Reason.DEADLINE_PASSED)
        elif not call.wanted:
            execution = _not_run(Reason.CANCELLED)
        else:
            execution = await self._target.execute(call.attempt, now=now)
        self._complete(call_id, execution.answer)
        if not execution.ended:
            await asyncio.sleep(BROKEN_CONNECTION_GRACE_S)
        now = self._loop.time()
        actions = self._admission.finish(call_id, now=now)
        self._remove(call_id)
        self._carry_out(actions)

    def _complete(self, call_id: int, answer: Answer) -> None:
        """Answers all callers of a call and records its outcome."""
        call = self._calls[call_id]
        verdict = answer.verdict
        if is_logged("debug"):
            log(
                "debug",
                "attempt-ended",
                call_id=call.attempt.call_id,
                verdict=verdict_name(verdict),
                reason=str(verdict.reason),
                bytes=len(answer.body),
            )
        is_spent = call.attempt.call_id in self.spent_calls
        if is_spent and isinstance(verdict, MayHaveRun):
            answer = Answer(attrs.evolve(verdict, budget_spent=True))
        key = call.attempt.key
        if key is not None:
            del self._running_keys[key]
            if isinstance(answer.verdict, NotRun):
                self._keys.release(key)
            else:
                self._keys.finish(key, answer, size=len(answer.body))
        _resolve_once(call.fut, answer)
        call.end.set_result(answer)

    def _remove(self, call_id: int) -> None:
        del self._calls[call_id]
        if not self._calls:
            self._idle.set()


def _not_run(reason: Reason) -> Execution:
    return Execution(Answer(NotRun(reason)), ended=True)


def _resolve_once(fut: asyncio.Future[Answer], answer: Answer) -> None:
    if not fut.done():
        fut.set_result(answer)


@contextlib.asynccontextmanager
async def open_owner(
    *,
    member_id: str,
    incarnation: int,
    target: TargetClient,
    metrics: Metrics,
) -> AsyncIterator[Owner]:
    """Opens an owner and expires its calls until closed."""
    owner = Owner(
        member_id=member_id,
        incarnation=incarnation,
        target=target,
        metrics=metrics,
    )

    async def sweep() -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            owner.expire()

    task = asyncio.get_running_loop().create_task(sweep())
    try:
        yield owner
    finally:
        task.cancel()
        owner.abort()
