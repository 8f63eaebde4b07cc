"""Randomised histories of keyed calls, reproducible by seed.

The decisions are those of production: callers submit requests, some of them
several times, through entry nodes that run `KeyedCall`, and owners run
`KeyTable`. Frames are delayed and reordered, answers are lost, owners are
replaced, the platform fails and time passes. In a contested history, owners
also raise their incarnation, and a duplicate process runs under each owner's
name.
"""

import itertools
import random
from collections.abc import Iterable
from typing import TypeVar

import attrs

from guavawing.policy.bound_key import BoundKey
from guavawing.policy.key_table import Begin, Join, KeyTable, Reject, Replay
from guavawing.policy.keyed_call import (
    Conclude,
    KeyedCall,
    KeySource,
    MintKey,
    ReadClaim,
    SendCopy,
    WriteClaim,
)
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, Verdict

__all__ = ["History", "Submission"]

T = TypeVar("T")

REQUESTS = 3
MAX_SENDINGS = 3
MAX_ATTEMPTS = 3
MAX_ENTRIES = 4
# Intervals between two events; the long one makes key epochs expire.
INTERVALS_S = (0.0, 0.0, 0.1, 1.0, 1.0, 1.0, 1.0, 90.0)
ACCEPT_PROBABILITY = 0.7
UNSENT_PROBABILITY = 0.2
NO_OWNER_PROBABILITY = 0.2
STORE_FAILURE_PROBABILITY = 0.1
DEADLINE_PROBABILITY = 0.02
ANSWER_LOSS_PROBABILITY = 0.4
REPLACE_PROBABILITY = 0.1
RAISE_PROBABILITY = 0.3
FIRST_EPOCHS = 2**40

Execution = tuple[int, BoundKey]


@attrs.define(eq=False)
class _Copy:
    """A frame in transit; its sender may have abandoned the attempt."""

    request: int
    key: BoundKey
    answer: Verdict | None = None


@attrs.define(eq=False)
class Submission:
    """One submission of a request to one entry node.

    Attributes:
        request: Number of the request.
        machine: State machine of the entry node.
        step: Next step requested by the machine.
        copy: Copy whose answer is awaited.
        attempts: Attempts made.
        verdict: Final verdict; None while it is open.
        had_executed: Whether the request had been executed by then.
    """

    request: int
    machine: KeyedCall
    step: object
    copy: _Copy | None = None
    attempts: int = 1
    verdict: Verdict | None = None
    had_executed: bool = False


class _Owner:
    """An owner process with its key table and target."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        executions: list[Execution],
        first_epoch: int = 0,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.waiting: dict[BoundKey, list[_Copy]] = {}
        self._executions = executions
        self._table = KeyTable(
            incarnation=incarnation,
            now=0.0,
            first_epoch=first_epoch,
            max_entries=MAX_ENTRIES,
        )
        self._nonces = itertools.count(1)

    def mint(self, now: float) -> BoundKey:
        epoch = self._table.epoch(now=now)
        nonce = str(next(self._nonces))
        return BoundKey(self.name, self.incarnation, epoch, nonce)

    def raise_incarnation(self) -> None:
        self.incarnation += 1
        self._table.raise_incarnation(self.incarnation)

    def handle_copy(self, copy: _Copy, now: float, accepts: bool) -> None:
        """Handles a copy; `accepts` states whether admission grants a slot."""
        key = copy.key
        match self._table.begin(key, b"", now=now):
            case Begin() if accepts:
                self._executions.append((copy.request, key))
                self.waiting[key] = [copy]
            case Begin():
                self._table.release(key)
                copy.answer = NotRun(Reason.QUEUE_FULL, 0.0)
            case Join():
                self.waiting[key].append(copy)
            case Replay(answer=Ran() | MayHaveRun() as answer):
                copy.answer = answer
            case Reject(verdict=verdict):
                copy.answer = verdict

    def finish(self, key: BoundKey, answer: Verdict) -> None:
        self._table.finish(key, answer)
        for copy in self.waiting.pop(key):
            copy.answer = answer


class History:
    """A history of owners, key claims and submissions.

    Attributes:
        executions: Executions at the targets, in order.
        submissions: All submissions, with their verdicts after `run`.
    """

    def __init__(self, seed: int, *, contested: bool = False) -> None:
        self.executions: list[Execution] = []
        self.submissions: list[Submission] = []
        self._rng = random.Random(seed)
        self._now = 0.0
        self._owners = {
            name: _Owner(name, 1, self.executions) for name in ("x", "y")
        }
        # Duplicate processes by owner name.
        self._duplicates = {
            name: _Owner(
                name, 1, self.executions, self._rng.randrange(FIRST_EPOCHS)
            )
            for name in (self._owners if contested else ())
        }
        # Bound keys by request.
        self._claims: dict[int, BoundKey] = {}
        self._copies: list[_Copy] = []

    def run(self, events: int) -> None:
        """Runs `events` random events, then ends open submissions."""
        for request in range(REQUESTS):
            self._send(request)
        choices = (
            *[self._advance] * 3,
            *[self._deliver] * 2,
            *[self._answer] * 3,
            self._lose_answer,
            *[self._finish] * 2,
            self._replace,
            *[self._raise_incarnation for _ in self._duplicates],
        )
        for _ in range(events):
            self._now += self._rng.choice(INTERVALS_S)
            self._rng.choice(choices)()
        for submission in self.submissions:
            if submission.verdict is None:
                self._end(submission)
        # Deliver the copies that are still in transit.
        while self._copies:
            self._deliver()

    def _send(self, request: int) -> None:
        source = self._rng.choice(
            (KeySource.MINTED, KeySource.BOUND, *[KeySource.CLAIMED] * 2)
        )
        key = None
        count = 1
        if source is not KeySource.MINTED:
            count = self._rng.randint(1, MAX_SENDINGS)
        if source is KeySource.BOUND:
            key = self._locate("x").mint(self._now)
        for _ in range(count):
            machine = KeyedCall(source, key)
            self.submissions.append(
                Submission(request, machine, machine.start())
            )

    def _happens(self, probability: float) -> bool:
        return self._rng.random() < probability

    def _pick(self, items: Iterable[T]) -> T | None:
        known = list(items)
        return self._rng.choice(known) if known else None

    def _advance(self) -> None:
        submission = self._pick(
            each
            for each in self.submissions
            if each.verdict is None and each.copy is None
        )
        if submission is None:
            return
        machine = submission.machine
        match submission.step:
            case Conclude(verdict=verdict):
                self._conclude(submission, verdict)
            case _ if self._happens(DEADLINE_PROBABILITY):
                self._end(submission)
            case ReadClaim() | WriteClaim() if self._happens(
                STORE_FAILURE_PROBABILITY
            ):
                if isinstance(submission.step, WriteClaim):
                    # The write may have taken effect despite the failure.
                    self._bind(submission, submission.step)
                submission.step = machine.on_store_failure()
            case ReadClaim():
                claim = self._claims.get(submission.request)
                submission.step = machine.on_claim_read(claim)
            case MintKey():
                self._mint(submission)
            case WriteClaim() as step:
                bound = self._bind(submission, step)
                submission.step = machine.on_claim_written(bound)
            case SendCopy(key=key):
                self._send_copy(submission, key)

    def _conclude(self, submission: Submission, verdict: Verdict) -> None:
        retries = (
            isinstance(verdict, NotRun)
            and verdict.reason is not Reason.KEY_REUSED
            and submission.machine.can_retry
            and submission.attempts < MAX_ATTEMPTS
        )
        if retries:
            submission.attempts += 1
            submission.step = submission.machine.retry()
        else:
            self._end(submission)

    def _mint(self, submission: Submission) -> None:
        owner = self._pick_owner()
        if owner is None or self._happens(NO_OWNER_PROBABILITY):
            reason = Reason.NO_TARGET
            submission.step = submission.machine.on_no_owner(reason)
        else:
            key = owner.mint(self._now)
            submission.step = submission.machine.on_key_minted(key)

    def _bind(self, submission: Submission, step: WriteClaim) -> BoundKey:
        if self._claims.get(submission.request) == step.released:
            self._claims[submission.request] = step.key
        return self._claims[submission.request]

    def _send_copy(self, submission: Submission, key: BoundKey) -> None:
        machine = submission.machine
        is_replaced = self._locate(key.owner).incarnation != key.incarnation
        if is_replaced and self._happens(0.5):
            submission.step = machine.on_owner_gone(Reason.OWNER_REPLACED)
        elif self._happens(UNSENT_PROBABILITY):
            submission.step = machine.on_copy_unsent()
        else:
            machine.on_copy_sent()
            submission.copy = _Copy(submission.request, key)
            self._copies.append(submission.copy)

    def _deliver(self) -> None:
        copy = self._pick(self._copies)
        if copy is not None:
            self._copies.remove(copy)
            accepts = self._happens(ACCEPT_PROBABILITY)
            owner = self._locate(copy.key.owner)
            owner.handle_copy(copy, self._now, accepts)

    def _answer(self) -> None:
        for submission in self.submissions:
            if (
                submission.copy is not None
                and submission.copy.answer is not None
            ):
                verdict = submission.copy.answer
                submission.copy = None
                submission.step = submission.machine.on_answer(verdict)
                return

    def _lose_answer(self) -> None:
        waiting = (each for each in self.submissions if each.copy is not None)
        submission = self._pick(waiting)
        if submission is not None and self._happens(ANSWER_LOSS_PROBABILITY):
            submission.copy = None
            submission.step = submission.machine.on_connection_lost()

    def _finish(self) -> None:
        owner = self._pick_owner()
        key = None if owner is None else self._pick(owner.waiting)
        if owner is not None and key is not None:
            broke = MayHaveRun(Reason.TARGET_BROKE)
            owner.finish(key, broke if self._happens(0.5) else Ran())

    def _replace(self) -> None:
        old = self._pick(self._owners.values())
        if old is not None and self._happens(REPLACE_PROBABILITY):
            self._owners[old.name] = _Owner(
                old.name, old.incarnation + 1, self.executions
            )

    def _raise_incarnation(self) -> None:
        owner = self._pick_owner()
        if owner is not None and self._happens(RAISE_PROBABILITY):
            owner.raise_incarnation()

    def _pick_owner(self) -> _Owner | None:
        owner = self._pick(self._owners.values())
        return None if owner is None else self._locate(owner.name)

    def _locate(self, name: str) -> _Owner:
        """Returns the process that an entry node reaches under a name."""
        if name in self._duplicates and self._happens(0.5):
            return self._duplicates[name]
        return self._owners[name]

    def _end(self, submission: Submission) -> None:
        step = submission.step
        if isinstance(step, Conclude):
            submission.verdict = step.verdict
        else:
            submission.verdict = submission.machine.conclude_at_deadline()
        submission.copy = None
        runs = [number for number, _ in self.executions]
        submission.had_executed = submission.request in runs
