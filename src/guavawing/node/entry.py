"""The caller side: chooses an owner, keeps the deadline, decides retries."""

import asyncio
import hashlib
from collections.abc import Sequence

import attrs

from guavawing.errors import InvalidArgumentError, PlatformError
from guavawing.membership import Member, MemberState, MemberTable
from guavawing.model import MemberId
from guavawing.node.claims import Claim, Claims
from guavawing.node.mesh_client import MeshConnection, MeshPool
from guavawing.node.messages import Answer, CallAttempt
from guavawing.node.metrics import Metrics
from guavawing.node.owner import Owner
from guavawing.node.submission import Submission
from guavawing.policy.bound_key import (
    BoundKey,
    is_bound_key,
    parse_bound_key,
)
from guavawing.policy.choice import Candidate, Chooser, LoadReport
from guavawing.policy.retry import Retry, RetryBudget, decide_retry
from guavawing.verdict import MayHaveRun, NotRun, Reason, Verdict

__all__ = ["Call", "Entry", "compute_fingerprint"]

RETRY_AFTER_NO_TARGET_S = 1.0
RETRY_AFTER_PLATFORM_S = 1.0


@attrs.frozen
class Call:
    """A caller's request, checked.

    Attributes:
        attempt: The attempt to make, without a bound key.
        caller_key: Key that the caller sent; empty for none.
    """

    attempt: CallAttempt
    caller_key: str


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
                return await router.route()
        except TimeoutError:
            return Answer(router.verdict_at_deadline())

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
            self._list_candidates(members),
            excluded=excluded,
            spill=spill,
            now=self._loop.time(),
        )
        return None if chosen is None else self._table.get(chosen.id)

    def find_owner(self, key: BoundKey) -> Member | None:
        """Returns the live member that a key is bound to, or None."""
        member = self._table.get(key.owner)
        if member is None or member.incarnation != key.incarnation:
            return None
        if member.state in (MemberState.DEAD, MemberState.LEFT):
            return None
        return member

    async def mint_key(self, member: Member) -> BoundKey | None:
        """Returns a new key bound to a member, or None if unreachable."""
        if member.id == self._me.id:
            return self._owner.mint_key()
        conn = await self._pool.connect(member)
        return None if conn is None else conn.mint_key()

    async def submit(
        self, member: Member, attempt: CallAttempt
    ) -> Submission | None:
        """Sends an attempt to a member; None if it was not sent."""
        if member.id == self._me.id:
            return self._owner.submit(attempt)
        conn: MeshConnection | None = await self._pool.connect(member)
        return None if conn is None else conn.submit(attempt)

    def start(self, member: Member) -> None:
        """Counts an attempt as outstanding at a member."""
        self._chooser.start(self._make_candidate(member))

    def finish(
        self,
        member: Member,
        *,
        verdict: Verdict | None = None,
        elapsed_s: float | None = None,
    ) -> None:
        """Ends an outstanding attempt at a member.

        Args:
            member: The member that had it.
            verdict: How it ended; None if the caller left.
            elapsed_s: Time from its start, in seconds.
        """
        candidate = self._make_candidate(member)
        now = self._loop.time()
        self._chooser.finish(
            candidate,
            now=now,
            verdict=verdict,
            elapsed_s=elapsed_s,
            list_peers=lambda: self._list_candidates(
                self._table.serving(member.service)
            ),
        )
        if member.id == self._me.id:
            self._chooser.report(candidate, self._owner.load(), now=now)

    def forget_departed(self) -> None:
        """Drops the loads of members that are gone."""
        known = {(member.id, member.incarnation) for member in self._table}
        self._chooser.forget(known)

    def take_load(
        self, member_id: MemberId, incarnation: int, load: LoadReport
    ) -> None:
        """Takes the load that an owner reported with an answer."""
        candidate = Candidate(member_id, incarnation, local=False, slots=0)
        self._chooser.report(candidate, load, now=self._loop.time())

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
        self._attempts = 0
        # The end of the last attempt that may have run, if any.
        self._uncertain: MayHaveRun | None = None
        # The last refusal by an owner, and whether no other owner is left.
        self._refused: NotRun | None = None
        self._exhausted = False
        self._in_flight = False

    def verdict_at_deadline(self) -> NotRun | MayHaveRun:
        """Returns what is known when the deadline passes."""
        if self._in_flight or self._uncertain is not None:
            return MayHaveRun(Reason.DEADLINE_PASSED)
        return NotRun(Reason.DEADLINE_PASSED)

    async def route(self) -> Answer:
        """Makes attempts until one decides the call."""
        settings = self._policy.settings
        budget = self._entry.budget(self._policy.service)
        budget.earn(settings.retry_ratio)
        while True:
            self._attempts += 1
            try:
                answer = await self._attempt_once()
            except PlatformError:
                verdict = NotRun(
                    Reason.KEY_STORE_UNAVAILABLE, RETRY_AFTER_PLATFORM_S
                )
                return self._conclude(Answer(verdict))
            if self._exhausted:
                return self._conclude(answer)
            decision = decide_retry(
                answer.verdict,
                idempotent=self._policy.idempotent,
                attempts=self._attempts,
                max_attempts=settings.max_attempts,
                budget=budget,
            )
            if not isinstance(decision, Retry):
                return self._conclude(answer)
            reason = str(answer.verdict.reason)
            self._entry.metrics.retries.inc({"reason": reason})

    def _conclude(self, answer: Answer) -> Answer:
        """Returns the answer with a verdict that covers every attempt."""
        match answer.verdict:
            case NotRun() if self._uncertain is not None:
                return Answer(self._uncertain)
        return answer

    async def _attempt_once(self) -> Answer:
        if self._policy.idempotent:
            member = self._choose()
            if member is None:
                return self._answer_no_target()
            return await self._send(member, self._call.attempt)
        if not self._call.caller_key:
            return await self._attempt_minted()
        if is_bound_key(self._call.caller_key):
            return await self._attempt_bound()
        return await self._attempt_claimed()

    async def _attempt_minted(self) -> Answer:
        member = self._choose()
        if member is None:
            return self._answer_no_target()
        key = await self._entry.mint_key(member)
        if key is None:
            return self._exclude(member)
        attempt = attrs.evolve(self._call.attempt, key=key)
        return await self._send(member, attempt)

    async def _attempt_bound(self) -> Answer:
        try:
            key = parse_bound_key(self._call.caller_key)
        except InvalidArgumentError:
            return Answer(NotRun(Reason.MALFORMED_HEADER))
        return await self._send_keyed(key)

    async def _attempt_claimed(self) -> Answer:
        service = self._policy.service
        caller_key = self._call.caller_key
        found = await self._entry.claims.find(service, caller_key)
        claim = found or await self._bind(None)
        if isinstance(claim, Answer):
            return claim
        answer = await self._send_keyed(claim.key)
        match answer.verdict:
            case NotRun(reason=Reason.KEY_RELEASED):
                # The owner will never execute this key: bind it elsewhere.
                rebound = await self._bind(claim)
                if isinstance(rebound, Answer):
                    return rebound
                return await self._send_keyed(rebound.key)
        return answer

    async def _bind(self, released: Claim | None) -> Claim | Answer:
        member = self._choose()
        if member is None:
            return self._answer_no_target()
        key = await self._entry.mint_key(member)
        if key is None:
            return self._exclude(member)
        return await self._entry.claims.bind(
            self._policy.service,
            self._call.caller_key,
            key,
            released=released,
        )

    async def _send_keyed(self, key: BoundKey) -> Answer:
        member = self._entry.find_owner(key)
        if member is None:
            self._uncertain = MayHaveRun(Reason.OWNER_REPLACED)
            return Answer(self._uncertain)
        attempt = attrs.evolve(self._call.attempt, key=key)
        return await self._send(member, attempt)

    async def _send(self, member: Member, attempt: CallAttempt) -> Answer:
        submission = await self._entry.submit(member, attempt)
        if submission is None:
            return self._exclude(member)
        self._entry.start(member)
        self._in_flight = True
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            answer = await asyncio.shield(submission.fut)
        except asyncio.CancelledError:
            submission.cancel()
            now = loop.time()
            late = now >= attempt.deadline
            verdict = MayHaveRun(Reason.TARGET_TIMEOUT) if late else None
            self._entry.finish(
                member, verdict=verdict, elapsed_s=now - started_at
            )
            raise
        self._entry.finish(
            member,
            verdict=answer.verdict,
            elapsed_s=loop.time() - started_at,
        )
        self._in_flight = False
        self._excluded.add(member.id)
        match answer.verdict:
            case MayHaveRun():
                self._uncertain = answer.verdict
            case NotRun():
                self._refused = answer.verdict
        return answer

    def _choose(self) -> Member | None:
        return self._entry.choose(
            self._policy.service,
            self._excluded,
            spill=self._policy.settings.spill,
        )

    def _exclude(self, member: Member) -> Answer:
        self._excluded.add(member.id)
        return Answer(NotRun(Reason.OWNER_UNREACHABLE, 0.0))

    def _answer_no_target(self) -> Answer:
        """Returns why there is no owner left to try.

        If owners refused the call, the last one's reason and time to come
        back are truer than that there is no other owner.
        """
        self._exhausted = True
        no_target = NotRun(Reason.NO_TARGET, RETRY_AFTER_NO_TARGET_S)
        return Answer(self._refused or no_target)


def compute_fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Returns a digest that tells two requests under one key apart."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
