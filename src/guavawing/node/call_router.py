"""Routing and retries of one call at its entry node."""

import asyncio
from typing import TYPE_CHECKING

import attrs

from guavawing.membership import Member
from guavawing.model import MemberId
from guavawing.node.call import Call
from guavawing.node.keyed_router import KeyedRouter
from guavawing.node.messages import Answer, CallAttempt
from guavawing.node.submission import Submission
from guavawing.policy.bound_key import BoundKey
from guavawing.policy.keyed_call import KeyedCall
from guavawing.policy.retry import GiveUp, Retry, decide_retry
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, Verdict

if TYPE_CHECKING:
    from guavawing.node.entry import Entry

__all__ = ["CallRouter"]

RETRY_AFTER_NO_TARGET_S = 1.0


class CallRouter:
    """Makes the attempts of one call."""

    def __init__(self, entry: "Entry", call: Call) -> None:
        self._entry = entry
        self._call = call
        self._policy = call.attempt.policy
        self._excluded: set[MemberId] = set()
        # Verdict of the last attempt that may have run, if any.
        self._unknown_outcome: MayHaveRun | None = None
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
        """Returns the answer for a call whose deadline has passed."""
        if self._keyed is not None:
            verdict = self._keyed.call.conclude_at_deadline()
            return self._keyed.add_key(Answer(verdict))
        if self._in_flight or self._unknown_outcome is not None:
            return Answer(MayHaveRun(Reason.DEADLINE_PASSED))
        return Answer(NotRun(Reason.DEADLINE_PASSED))

    async def route(self) -> Answer:
        """Makes attempts until one is final or retries are exhausted."""
        settings = self._policy.settings
        budget = self._entry.budget(self._policy.service)
        budget.earn(settings.retry_ratio)
        attempts = redirects = 0
        answer = Answer(NotRun(Reason.NO_TARGET, RETRY_AFTER_NO_TARGET_S))
        while True:
            attempts += 1
            answer = _prefer_refusal(answer, await self._attempt_once())
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
        """Excludes a member from further attempts of this call."""
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
        call.on_copy_sent()
        return await self._wait(member, submission)

    def count_repeat(self, reason: Reason) -> None:
        """Counts a further attempt or copy."""
        self._entry.metrics.retries.inc({"reason": str(reason)})

    def _can_retry(self) -> bool:
        return self._keyed is None or self._keyed.call.can_retry

    def _conclude(self, answer: Answer, budget_spent: bool) -> Answer:
        """Returns the answer with a verdict that covers every attempt."""
        verdict = answer.verdict
        if isinstance(verdict, NotRun) and self._unknown_outcome is not None:
            return Answer(
                attrs.evolve(self._unknown_outcome, budget_spent=True)
            )
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
            self._unknown_outcome = answer.verdict
        return answer

    async def _wait(self, member: Member, submission: Submission) -> Answer:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._entry.start(member)
        verdict: Verdict | None = None
        try:
            answer = await submission.fut
            verdict = answer.verdict
            return answer
        except asyncio.CancelledError:
            submission.cancel()
            if loop.time() >= self._call.attempt.deadline:
                verdict = MayHaveRun(Reason.TARGET_TIMEOUT)
            raise
        finally:
            elapsed_s = loop.time() - started_at
            self._entry.finish(member, verdict=verdict, elapsed_s=elapsed_s)


def _prefer_refusal(previous: Answer, answer: Answer) -> Answer:
    """Returns the previous refusal if no owner remains for another attempt.

    Its reason is more specific than the lack of a target.
    """
    verdict = previous.verdict
    none_left = answer.verdict.reason is Reason.NO_TARGET
    if none_left and isinstance(verdict, NotRun):
        return Answer(attrs.evolve(verdict, budget_spent=True))
    return answer
