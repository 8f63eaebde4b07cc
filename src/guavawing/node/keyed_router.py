"""Performs the steps of non-idempotent calls at the entry node."""

import asyncio
from typing import Protocol

import attrs

from guavawing.errors import PlatformError
from guavawing.membership import Member, MemberState
from guavawing.node.messages import Answer, CallAttempt
from guavawing.policy.bound_key import BoundKey
from guavawing.policy.keyed_call import (
    Conclude,
    KeyedCall,
    MintKey,
    ReadClaim,
    SendCopy,
    Step,
    WriteClaim,
)
from guavawing.store.claims import Claim, ClaimTable
from guavawing.verdict import MayHaveRun, NotRun, Reason

__all__ = ["KeyedRouter", "OwnerAccess"]


class OwnerAccess(Protocol):
    """Interface of a keyed call to its entry node."""

    def choose_owner(self) -> Member | None:
        """Returns the member for a new key, or None."""

    def exclude_owner(self, member: Member) -> None:
        """Excludes a member from further choices."""

    def find_owner(self, key: BoundKey) -> Member | None:
        """Returns the member that a key is bound to; None if replaced."""

    async def mint_key(self, member: Member) -> BoundKey | None:
        """Returns a new key bound to a member, or None if unreachable."""

    async def send_copy(
        self, member: Member, attempt: CallAttempt, call: KeyedCall
    ) -> Answer | None:
        """Sends a copy and returns the answer; None if it was not sent."""

    def count_repeat(self, reason: Reason) -> None:
        """Counts a repeated copy; the previous one ended with `reason`."""


class KeyedRouter:
    """Makes the attempts of one non-idempotent call."""

    __slots__ = (
        "_access",
        "_answer",
        "_attempt",
        "_call",
        "_caller_key",
        "_claim",
        "_claims",
        "_started",
    )

    def __init__(
        self,
        call: KeyedCall,
        attempt: CallAttempt,
        *,
        caller_key: str,
        access: OwnerAccess,
        claims: ClaimTable,
    ) -> None:
        self._call = call
        self._attempt = attempt
        self._caller_key = caller_key
        self._access = access
        self._claims = claims
        self._claim: Claim | None = None
        self._answer: Answer | None = None
        self._started = False

    @property
    def call(self) -> KeyedCall:
        """State machine of the call."""
        return self._call

    async def attempt(self) -> Answer:
        """Makes one attempt, including all copies of its request."""
        step = self._call.retry() if self._started else self._call.start()
        self._started = True
        while not isinstance(step, Conclude):
            step = await self._carry_out(step)
        answer = self._answer
        if answer is None or answer.verdict != step.verdict:
            answer = Answer(step.verdict)
        return self.add_key(answer)

    def add_key(self, answer: Answer) -> Answer:
        """Returns the answer with the key for a later query, if one applies."""
        key = self._call.key
        if key is None or not isinstance(answer.verdict, MayHaveRun):
            return answer
        return attrs.evolve(answer, key=str(key))

    async def _carry_out(self, step: Step) -> Step:
        match step:
            case ReadClaim():
                return await self._look_up()
            case MintKey():
                return await self._mint()
            case WriteClaim(key=key, released=released):
                return await self._bind(key, released)
            case SendCopy(key=key, backoff_s=backoff_s):
                if backoff_s:
                    await asyncio.sleep(backoff_s)
                return await self._send_copy(key)
        raise AssertionError(f"unexpected step {step!r}")

    async def _look_up(self) -> Step:
        service = self._attempt.policy.service
        try:
            self._claim = await self._claims.find(service, self._caller_key)
        except PlatformError:
            return self._call.on_store_failure()
        claim = self._claim
        return self._call.on_claim_read(None if claim is None else claim.key)

    async def _mint(self) -> Step:
        member = self._access.choose_owner()
        if member is None:
            return self._call.on_no_owner(Reason.NO_TARGET)
        key = await self._access.mint_key(member)
        if key is None:
            self._access.exclude_owner(member)
            return self._call.on_no_owner(Reason.OWNER_UNREACHABLE)
        return self._call.on_key_minted(key)

    async def _bind(self, key: BoundKey, released: BoundKey | None) -> Step:
        claim = None if released is None else self._claim
        # The claim to replace is the one whose key was released.
        assert claim is None or claim.key == released
        try:
            self._claim = await self._claims.bind(
                self._attempt.policy.service,
                self._caller_key,
                key,
                released=claim,
            )
        except PlatformError:
            return self._call.on_store_failure()
        return self._call.on_claim_written(self._claim.key)

    async def _send_copy(self, key: BoundKey) -> Step:
        member = self._access.find_owner(key)
        if member is None:
            return self._call.on_owner_gone(Reason.OWNER_REPLACED)
        if member.service != self._attempt.policy.service:
            # The owner's target is of another service, so it must not run this.
            return Conclude(NotRun(Reason.WRONG_OWNER))
        attempt = attrs.evolve(self._attempt, key=key)
        answer = await self._access.send_copy(member, attempt, self._call)
        if answer is None and member.state in (
            MemberState.DEAD,
            MemberState.LEFT,
        ):
            return self._call.on_owner_gone(Reason.OWNER_UNREACHABLE)
        if answer is None:
            self._access.count_repeat(Reason.OWNER_UNREACHABLE)
            return self._call.on_copy_unsent()
        if answer.verdict == MayHaveRun(Reason.OWNER_LOST):
            self._access.count_repeat(Reason.OWNER_LOST)
            return self._call.on_connection_lost()
        self._answer = answer
        self._access.exclude_owner(member)
        return self._call.on_answer(answer.verdict)
