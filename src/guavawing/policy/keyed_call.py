"""State machine of one non-idempotent call at its entry node.

It processes one event at a time and returns the next step. A call is executed
only under a bound key, which comes from one of three sources:

- minted: the caller sent no key, so this node creates one for this call only;
- bound: the caller sent a bound key that it was given earlier;
- claimed: the caller sent a key of its own, which a claim in the platform's
  table binds to an owner.

If the answer to a copy of the request is lost, another copy is sent under the
same key to the same owner, which executes the key once and repeats the answer.
As this never causes a second execution, it costs no retry budget; the number
of copies is bounded by `MAX_TRIES`.

The verdict without an answer of the owner depends on who else can have sent
the key. A minted key is used by this call only: if no copy was sent, the call
has not run. A bound or claimed key may have been sent by another entry node:
the call may have run.
"""

import enum

import attrs

from guavawing.policy.bound_key import BoundKey
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, Verdict

__all__ = [
    "Conclude",
    "KeySource",
    "KeyedCall",
    "MintKey",
    "ReadClaim",
    "SendCopy",
    "Step",
    "WriteClaim",
]

MAX_TRIES = 6
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_REBINDS = 3
RETRY_AFTER_S = 1.0


class KeySource(enum.Enum):
    """Source of the bound key of a call."""

    MINTED = enum.auto()
    BOUND = enum.auto()
    CLAIMED = enum.auto()


@attrs.frozen
class ReadClaim:
    """Read the claim of the caller's key."""


@attrs.frozen
class MintKey:
    """Choose an owner and create a key that is bound to it."""


@attrs.frozen
class WriteClaim:
    """Write the claim of the caller's key.

    Attributes:
        key: Bound key to write.
        released: Released key that the claim to be replaced must contain;
            None if no claim may exist.
    """

    key: BoundKey
    released: BoundKey | None = None


@attrs.frozen
class SendCopy:
    """Send a copy of the request to the owner of a key.

    Attributes:
        key: The key.
        backoff_s: Time to wait before sending, in seconds.
    """

    key: BoundKey
    backoff_s: float = 0.0


@attrs.frozen
class Conclude:
    """The attempt has ended with a verdict."""

    verdict: Verdict


Step = ReadClaim | MintKey | WriteClaim | SendCopy | Conclude


class KeyedCall:
    """State of one non-idempotent call."""

    __slots__ = (
        "_awaits_answer",
        "_copies",
        "_key",
        "_rebinds",
        "_released",
        "_shared",
        "_source",
        "_tries",
        "_unanswered",
    )

    def __init__(self, source: KeySource, key: BoundKey | None = None) -> None:
        self._source = source
        self._key = key
        # Whether another entry node may have sent the key.
        self._shared = source is KeySource.BOUND
        # Whether the owner has refused the key permanently.
        self._released = False
        self._awaits_answer = False
        self._copies = 0
        self._unanswered = 0
        self._tries = 0
        self._rebinds = 0

    @property
    def key(self) -> BoundKey | None:
        """The key in use, if any."""
        return self._key

    @property
    def can_retry(self) -> bool:
        """Whether the call can continue under another key."""
        return self._source is not KeySource.BOUND

    def start(self) -> Step:
        """Returns the first step of the first attempt."""
        match self._source:
            case KeySource.MINTED:
                return MintKey()
            case KeySource.CLAIMED:
                return ReadClaim()
            case KeySource.BOUND:
                return self._send_copy()

    def retry(self) -> Step:
        """Returns the first step of a further attempt."""
        assert self.can_retry
        if self._source is KeySource.CLAIMED and not self._released:
            return ReadClaim()
        return MintKey()

    def on_claim_read(self, key: BoundKey | None) -> Step:
        """Handles the key of the claim that was read; None if there is none."""
        if key is None:
            return MintKey()
        if self._released and key == self._key:
            # The call has not been bound elsewhere, and no other owner exists.
            return Conclude(NotRun(Reason.NO_TARGET, RETRY_AFTER_S))
        return self._use_key(key)

    def on_key_minted(self, key: BoundKey) -> Step:
        """Handles a newly created key."""
        if self._source is KeySource.CLAIMED:
            return WriteClaim(key, self._key if self._released else None)
        return self._use_key(key)

    def on_no_owner(self, reason: Reason) -> Step:
        """Handles that no owner for a new key was found or reachable."""
        if self._source is KeySource.CLAIMED and self._released:
            # Another entry node may have bound the call elsewhere meanwhile.
            return ReadClaim()
        retry_after_s = RETRY_AFTER_S if reason is Reason.NO_TARGET else 0.0
        return Conclude(NotRun(reason, retry_after_s))

    def on_claim_written(self, key: BoundKey) -> Step:
        """Handles the key of the claim that exists after a write.

        The claim may have been written by another entry node.
        """
        return self._use_key(key)

    def on_store_failure(self) -> Step:
        """Handles a failure to read or write the claim."""
        reason = Reason.KEY_STORE_UNAVAILABLE
        if self._released and self._shared:
            return Conclude(MayHaveRun(reason))
        return Conclude(NotRun(reason, RETRY_AFTER_S))

    def on_copy_sent(self) -> None:
        """Records that a copy was sent."""
        self._awaits_answer = True
        self._copies += 1

    def on_copy_unsent(self) -> Step:
        """Handles an unreachable owner, to which no copy was sent."""
        return self._try_again(Reason.OWNER_UNREACHABLE)

    def on_connection_lost(self) -> Step:
        """Handles the loss of the connection before the answer to a copy."""
        self._awaits_answer = False
        self._unanswered += 1
        return self._try_again(Reason.OWNER_LOST)

    def on_owner_gone(self, reason: Reason) -> Step:
        """Handles an owner that will not answer further copies."""
        return Conclude(self._make_final_verdict(reason))

    def on_answer(self, verdict: Verdict) -> Step:
        """Handles the owner's answer to a copy."""
        self._awaits_answer = False
        match verdict:
            case Ran() | NotRun(reason=Reason.KEY_REUSED):
                # A key in use by another request must not be bound again.
                return Conclude(verdict)
            case NotRun():
                return self._on_final_refusal(verdict)
            case MayHaveRun(reason=Reason.KEY_EXPIRED) if self._is_only_copy():
                return Conclude(NotRun(Reason.KEY_EXPIRED, 0.0))
        return Conclude(verdict)

    def conclude_at_deadline(self) -> NotRun | MayHaveRun:
        """Returns the verdict when the deadline passes."""
        if self._awaits_answer:
            return MayHaveRun(Reason.DEADLINE_PASSED)
        return self._make_final_verdict(Reason.DEADLINE_PASSED)

    def _on_final_refusal(self, verdict: NotRun) -> Step:
        # The owner has recorded that it will never execute the key, so the
        # refusal applies to every copy, including those still in transit.
        self._released = True
        self._unanswered = 0
        is_claimed = self._source is KeySource.CLAIMED
        if is_claimed and verdict.reason is Reason.KEY_RELEASED:
            self._rebinds += 1
            if self._rebinds <= MAX_REBINDS:
                return MintKey()
        return Conclude(verdict)

    def _use_key(self, key: BoundKey) -> Step:
        self._key = key
        # Other entry nodes can read a claim as soon as it is written.
        self._shared = self._source is not KeySource.MINTED
        self._released = False
        self._copies = 0
        self._unanswered = 0
        self._tries = 0
        return self._send_copy()

    def _send_copy(self, backoff_s: float = 0.0) -> SendCopy:
        assert self._key is not None
        return SendCopy(self._key, backoff_s)

    def _try_again(self, reason: Reason) -> Step:
        self._tries += 1
        certain = not self._shared and not self._unanswered
        if certain or self._tries >= MAX_TRIES:
            return Conclude(self._make_final_verdict(reason))
        backoff_s = FIRST_BACKOFF_S * 2 ** (self._tries - 1)
        return self._send_copy(min(backoff_s, MAX_BACKOFF_S))

    def _make_final_verdict(self, reason: Reason) -> NotRun | MayHaveRun:
        if self._unanswered or self._shared:
            return MayHaveRun(reason)
        retry_after_s = None if reason is Reason.DEADLINE_PASSED else 0.0
        return NotRun(reason, retry_after_s)

    def _is_only_copy(self) -> bool:
        is_minted = self._source is KeySource.MINTED
        return is_minted and self._copies == 1
