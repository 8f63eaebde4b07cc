"""The caller side: chooses an owner, keeps the deadline, decides retries."""

import asyncio
import hashlib
from collections.abc import Sequence

import attrs

from guavawing.membership import Member, MemberTable
from guavawing.model import MemberId
from guavawing.node.claims import Claims
from guavawing.node.keyed_router import KeyedRouter
from guavawing.node.mesh_pool import MeshPool
from guavawing.node.messages import Answer, CallAttempt
from guavawing.node.metrics import Metrics
from guavawing.node.owner import Owner
from guavawing.node.submission import Submission
from guavawing.policy.bound_key import BoundKey
from guavawing.policy.choice import Candidate, Chooser, LoadReport
from guavawing.policy.keyed_call import KeyedCall, KeySource
from guavawing.policy.retry import (
    GiveUp,
    Retry,
    RetryBudget,
    decide_retry,
)
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason

__all__ = ["Call", "Entry", "compute_fingerprint"]

RETRY_AFTER_NO_TARGET_S = 1.0
KEYS_PER_OWNER = 32


@attrs.frozen
class Call:
    """A caller's request, checked.

    Attributes:
        attempt: The attempt to make, without a bound key.
        caller_key: Key of the caller's own choice; empty for none.
        bound_key: Bound key that the caller sent; None for none.
    """

    attempt: CallAttempt
    caller_key: str = ""
    bound_key: BoundKey | None = None

    def start_keyed(self) -> KeyedCall:
        """Returns the decisions of a non-idempotent call."""
        if self.bound_key is not None:
            return KeyedCall(KeySource.BOUND, self.bound_key)
        if self.caller_key:
            return KeyedCall(KeySource.CLAIMED)
        return KeyedCall(KeySource.MINTED)


class Entry:
    """Routes calls to owners, this node's own one included."""

    def __init__(
        self,
        *,
        me: Member,
        table: MemberTable,
        owner: Owner,
        pool: MeshPool,
        chooser: Chooser,
        claims: Claims,
        metrics: Metrics,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._me = me
        self._table = table
        self._owner = owner
        self._pool = pool
        self._chooser = chooser
        self._claims = claims
        self._metrics = metrics
        self._budgets: dict[str, RetryBudget] = {}

    async def call(self, call: Call) -> Answer:
        """Returns the final answer of a call, at its deadline at latest."""
        router = _CallRouter(self, call)
        try:
            async with asyncio.timeout_at(call.attempt.deadline):
                answer = await router.route()
        except TimeoutError:
            answer = router.answer_at_deadline()
        if getattr(answer.verdict, "budget_spent", False):
            self._owner.spent_calls.add(call.attempt.call_id)
        return answer

    def budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget()
        return budget

    def choose(
        self, service: str, excluded: set[MemberId], *, spill: bool
    ) -> Member | None:
        """Returns the member for the next attempt, or None."""
        members = self._table.serving(service)
        chosen = self._chooser.choose(
            self._list_candidates(members), excluded=excluded, spill=spill
        )
        return None if chosen is None else self._table.get(chosen.id)

    def find_owner(self, key: BoundKey) -> Member | None:
        """Returns the member that a key is bound to; None if replaced.

        A member that is thought dead is still asked: the view may be wrong,
        and only the owner knows what has become of the key.
        """
        member = self._table.get(key.owner)
        if member is None or member.incarnation > key.incarnation:
            return None
        return member

    async def mint_key(self, member: Member) -> BoundKey | None:
        """Returns a new key bound to a member, or None if unreachable."""
        if member.id == self._me.id:
            return self._owner.mint_key()
        conn = await self._pool.connect(member)
        if conn is None or not await conn.refresh_epoch():
            return None
        return conn.mint_key()

    async def mint_keys(self, service: str, count: int) -> list[BoundKey]:
        """Returns up to `count` new keys, spread over the owners."""
        keys: list[BoundKey] = []
        excluded: set[MemberId] = set()
        unreachable: set[MemberId] = set()
        # Owners elsewhere may be cut off: they are asked for keys only if
        # there is none here.
        spill = self.choose(service, excluded, spill=False) is None
        while len(keys) < count:
            member = self.choose(service, excluded | unreachable, spill=spill)
            if member is None and not excluded:
                break
            if member is None:
                # Every owner has had its share; another round begins.
                excluded.clear()
                continue
            excluded.add(member.id)
            for _ in range(min(count - len(keys), KEYS_PER_OWNER)):
                key = await self.mint_key(member)
                if key is None:
                    unreachable.add(member.id)
                    break
                keys.append(key)
        return keys

    async def submit(
        self, member: Member, attempt: CallAttempt
    ) -> Submission | None:
        """Sends an attempt to a member; None if it was not sent."""
        if member.id == self._me.id:
            return self._owner.submit(attempt)
        conn = await self._pool.connect(member)
        if conn is None or not conn.open:
            return None
        return conn.submit(attempt)

    def start(self, member: Member) -> None:
        """Counts an attempt as outstanding at a member."""
        self._chooser.start(self._make_candidate(member))

    def finish(self, member: Member) -> None:
        """Ends an outstanding attempt at a member."""
        candidate = self._make_candidate(member)
        self._chooser.finish(candidate)
        if member.id == self._me.id:
            self._chooser.report(candidate, self._owner.load())

    def take_load(
        self, member_id: MemberId, incarnation: int, load: LoadReport
    ) -> None:
        """Takes the load that an owner reported with an answer."""
        candidate = Candidate(member_id, incarnation, local=False, slots=0)
        self._chooser.report(candidate, load)

    @property
    def claims(self) -> Claims:
        """Bindings of callers' keys."""
        return self._claims

    @property
    def metrics(self) -> Metrics:
        """Counters of this node."""
        return self._metrics

    def _list_candidates(self, members: Sequence[Member]) -> list[Candidate]:
        return [self._make_candidate(member) for member in members]

    def _make_candidate(self, member: Member) -> Candidate:
        return Candidate(
            member.id,
            member.incarnation,
            local=member.data_centre == self._me.data_centre,
            slots=member.slots,
        )


class _CallRouter:
    """The attempts of one call."""

    def __init__(self, entry: Entry, call: Call) -> None:
        self._entry = entry
        self._call = call
        self._policy = call.attempt.policy
        self._excluded: set[MemberId] = set()
        # The end of the last attempt that may have run, if any.
        self._uncertain: MayHaveRun | None = None
        self._in_flight = False
        self._keyed: KeyedRouter | None = None
        if not self._policy.idempotent:
            self._keyed = KeyedRouter(
                call.start_keyed(),
                call.attempt,
                caller_key=call.caller_key,
                access=self,
                claims=entry.claims,
            )

    def answer_at_deadline(self) -> Answer:
        """Returns what is known when the deadline passes."""
        if self._keyed is not None:
            verdict = self._keyed.call.conclude_at_deadline()
            return self._keyed.add_key(Answer(verdict))
        if self._in_flight or self._uncertain is not None:
            return Answer(MayHaveRun(Reason.DEADLINE_PASSED))
        return Answer(NotRun(Reason.DEADLINE_PASSED))

    async def route(self) -> Answer:
        """Makes attempts until one decides the call."""
        settings = self._policy.settings
        budget = self._entry.budget(self._policy.service)
        budget.earn(settings.retry_ratio)
        attempts = redirects = 0
        answer = Answer(NotRun(Reason.NO_TARGET, RETRY_AFTER_NO_TARGET_S))
        while True:
            attempts += 1
            answer = _prefer(answer, await self._attempt_once())
            decision = decide_retry(
                answer.verdict,
                idempotent=self._policy.idempotent,
                attempts=attempts,
                max_attempts=settings.max_attempts,
                budget=budget,
                redirects=redirects,
            )
            match decision:
                case GiveUp(budget_spent=budget_spent):
                    return self._conclude(answer, budget_spent)
                case Retry() if not self._can_retry():
                    return self._conclude(answer, budget_spent=True)
                case Retry(redirect=True):
                    attempts -= 1
                    redirects += 1
            self.count_repeat(answer.verdict.reason)

    def choose_owner(self) -> Member | None:
        """Returns the member for the next attempt, or None."""
        return self._entry.choose(
            self._policy.service,
            self._excluded,
            spill=self._policy.settings.spill,
        )

    def exclude_owner(self, member: Member) -> None:
        """Keeps a member from being chosen again for this call."""
        self._excluded.add(member.id)

    def find_owner(self, key: BoundKey) -> Member | None:
        """Returns the member that a key is bound to; None if replaced."""
        return self._entry.find_owner(key)

    async def mint_key(self, member: Member) -> BoundKey | None:
        """Returns a new key bound to a member, or None if unreachable."""
        return await self._entry.mint_key(member)

    async def send_copy(
        self, member: Member, attempt: CallAttempt, call: KeyedCall
    ) -> Answer | None:
        """Sends a copy and returns the answer; None if it was not sent."""
        submission = await self._entry.submit(member, attempt)
        if submission is None:
            return None
        call.take_sent()
        return await self._wait(member, submission)

    def count_repeat(self, reason: Reason) -> None:
        """Counts a further attempt or copy."""
        self._entry.metrics.retries.inc({"reason": str(reason)})

    def _can_retry(self) -> bool:
        return self._keyed is None or self._keyed.call.can_retry

    def _conclude(self, answer: Answer, budget_spent: bool) -> Answer:
        """Returns the answer with a verdict that covers every attempt."""
        verdict = answer.verdict
        if isinstance(verdict, NotRun) and self._uncertain is not None:
            return Answer(attrs.evolve(self._uncertain, budget_spent=True))
        if isinstance(verdict, Ran) or verdict.budget_spent == budget_spent:
            return answer
        verdict = attrs.evolve(verdict, budget_spent=budget_spent)
        return attrs.evolve(answer, verdict=verdict)

    async def _attempt_once(self) -> Answer:
        if self._keyed is not None:
            return await self._keyed.attempt()
        member = self.choose_owner()
        if member is None:
            return Answer(NotRun(Reason.NO_TARGET, RETRY_AFTER_NO_TARGET_S))
        submission = await self._entry.submit(member, self._call.attempt)
        self.exclude_owner(member)
        if submission is None:
            return Answer(NotRun(Reason.OWNER_UNREACHABLE, 0.0))
        self._in_flight = True
        answer = await self._wait(member, submission)
        self._in_flight = False
        if isinstance(answer.verdict, MayHaveRun):
            self._uncertain = answer.verdict
        return answer

    async def _wait(self, member: Member, submission: Submission) -> Answer:
        self._entry.start(member)
        try:
            return await asyncio.shield(submission.fut)
        except asyncio.CancelledError:
            submission.cancel()
            raise
        finally:
            self._entry.finish(member)


def _prefer(before: Answer, answer: Answer) -> Answer:
    """Returns the refusal that says more if no other owner was left."""
    verdict = before.verdict
    none_left = answer.verdict.reason is Reason.NO_TARGET
    if none_left and isinstance(verdict, NotRun):
        return Answer(attrs.evolve(verdict, budget_spent=True))
    return answer


def compute_fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Returns a digest that tells two requests under one key apart."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
