"""Discrete-event simulation of callers, entry nodes and targets.

Callers send calls to entry nodes; each entry node selects a target with its
chooser, and each target admits calls with its `Admission`. Both are the
production state machines. Time is simulated and every random number comes from
one seed, so that a run is reproducible on any machine. Only service times and
a fixed delay between nodes are modelled.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from guavawing.model import CallClass
from guavawing.policy.admission import Abandon, Admission, Refuse, Start
from guavawing.policy.choice import Candidate, LoadReport
from guavawing.policy.class_queue import QueuedCall
from guavawing.policy.retry import RetryBudget
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, Verdict

DELAY_S = 0.0002
EXPIRY_PERIOD_S = 0.05
MAX_ATTEMPTS = 3
RETRY_RATIO = 0.1

WorkTime = Callable[[float, random.Random], float]


@attrs.frozen
class Stream:
    """A Poisson stream of calls of one class.

    Attributes:
        call_class: Class of the calls.
        rate: Mean calls per second.
        deadline_s: Time that each caller waits, in seconds.
    """

    call_class: CallClass
    rate: float
    deadline_s: float


@attrs.define(eq=False)
class ModelCall:
    """A call and its outcome."""

    id: int
    call_class: CallClass
    arrived_at: float
    deadline: float
    entry: "ModelEntry"
    attempts: int = 0
    refused_by: set[str] = attrs.field(factory=set)
    verdict: Verdict | None = None
    ended_at: float = 0.0

    @property
    def elapsed_s(self) -> float:
        """Time from arrival to answer, in seconds."""
        return self.ended_at - self.arrived_at


@attrs.define(eq=False)
class ModelEntry:
    """An entry node."""

    chooser: Any
    candidates: list[Candidate]
    budget: RetryBudget = attrs.field(factory=RetryBudget)


@attrs.define(eq=False)
class ModelTarget:
    """A target and the node beside it.

    Attributes:
        id: Name of the target.
        admission: The admission state machine under test.
        work: Returns the service time, in seconds, of a call that starts at a
            given time.
        ends_at_deadline: Whether the target stops work at the call's deadline.
        delay_s: One-way delay from an entry node, in seconds.
        underreports_load: Whether its load reports always show it idle.
        broken: Whether every call fails at once with `TARGET_BROKE`.
    """

    id: str
    admission: Admission
    work: WorkTime
    ends_at_deadline: bool = False
    delay_s: float = DELAY_S
    underreports_load: bool = False
    broken: bool = False
    running: int = 0
    max_running: int = 0
    work_done_s: float = 0.0

    def report_load(self) -> LoadReport:
        """Returns the load report that an answer carries."""
        admission = self.admission
        busy = (
            (0, 0)
            if self.underreports_load
            else (admission.running, admission.queued)
        )
        return LoadReport(
            admission.slots, *busy, draining=admission.draining, key_epoch=0
        )


class Model:
    """Simulates streams of calls against targets."""

    def __init__(
        self,
        targets: Sequence[ModelTarget],
        entries: Sequence[ModelEntry],
        *,
        seed: int,
    ) -> None:
        self.now = 0.0
        self.calls: list[ModelCall] = []
        self._rng = random.Random(seed)
        self._targets = {target.id: target for target in targets}
        self._entries = entries
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._attempt_ids = itertools.count()
        self._attempts: dict[int, tuple[ModelCall, Candidate, float]] = {}

    def run(self, streams: Sequence[Stream], duration_s: float) -> None:
        """Offers the streams for `duration_s`; runs until every call ends."""
        for stream in streams:
            self._schedule_arrival(stream, duration_s)
        for target in self._targets.values():
            self._schedule_expiry(target, duration_s)
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def at(self, time: float, event: Callable[[], None]) -> None:
        """Schedules an event."""
        heapq.heappush(self._events, (time, next(self._sequence), event))

    def _schedule_arrival(self, stream: Stream, duration_s: float) -> None:
        time = self.now + self._rng.expovariate(stream.rate)
        if time > duration_s:
            return

        def arrive() -> None:
            call = ModelCall(
                len(self.calls),
                stream.call_class,
                self.now,
                self.now + stream.deadline_s,
                self._rng.choice(self._entries),
            )
            self.calls.append(call)
            call.entry.budget.earn(RETRY_RATIO)
            self._start_attempt(call)
            self._schedule_arrival(stream, duration_s)

        self.at(time, arrive)

    def _schedule_expiry(self, target: ModelTarget, duration_s: float) -> None:
        def expire() -> None:
            self._perform(target, target.admission.expire(now=self.now))
            busy = target.admission.running or target.admission.queued
            if busy or self.now < duration_s:
                self._schedule_expiry(target, duration_s)

        self.at(self.now + EXPIRY_PERIOD_S, expire)

    def _start_attempt(self, call: ModelCall) -> None:
        entry = call.entry
        chosen = entry.chooser.choose(
            entry.candidates, excluded=call.refused_by, now=self.now
        )
        if chosen is None:
            self._end(call, NotRun(Reason.NO_TARGET, 1.0))
            return
        call.attempts += 1
        entry.chooser.start(chosen)
        attempt_id = next(self._attempt_ids)
        self._attempts[attempt_id] = (call, chosen, self.now)
        target = self._targets[chosen.id]
        queued = QueuedCall(attempt_id, call.call_class, call.deadline)

        def offer() -> None:
            if target.broken:
                verdict = MayHaveRun(Reason.TARGET_BROKE)
                self._answer(target, attempt_id, verdict)
                return
            actions = target.admission.offer(queued, now=self.now)
            self._perform(target, actions)

        self.at(self.now + target.delay_s, offer)

    def _perform(self, target: ModelTarget, actions: Sequence[Any]) -> None:
        for action in actions:
            match action:
                case Start(call_id=attempt_id):
                    self._start(target, attempt_id)
                case Refuse(call_id=attempt_id, verdict=verdict):
                    self._answer(target, attempt_id, verdict)
                case Abandon(call_id=attempt_id, verdict=verdict):
                    self._answer(target, attempt_id, verdict)

    def _start(self, target: ModelTarget, attempt_id: int) -> None:
        call, _, _ = self._attempts[attempt_id]
        target.running += 1
        target.max_running = max(target.max_running, target.running)
        work_s = target.work(self.now, self._rng)
        in_time = self.now + work_s <= call.deadline
        if target.ends_at_deadline and not in_time:
            work_s = call.deadline - self.now
        target.work_done_s += work_s

        def finish() -> None:
            target.running -= 1
            verdict = Ran() if in_time else MayHaveRun(Reason.TARGET_TIMEOUT)
            if attempt_id in self._attempts:
                self._answer(target, attempt_id, verdict)
            actions = target.admission.finish(attempt_id, now=self.now)
            self._perform(target, actions)

        self.at(self.now + work_s, finish)

    def _answer(
        self, target: ModelTarget, attempt_id: int, verdict: Verdict
    ) -> None:
        call, chosen, started_at = self._attempts.pop(attempt_id)
        load = target.report_load()

        def receive() -> None:
            chooser = call.entry.chooser
            chooser.report(chosen, load, now=self.now)
            chooser.finish(
                chosen,
                now=self.now,
                verdict=verdict,
                elapsed_s=self.now - started_at,
                list_peers=lambda: call.entry.candidates,
            )
            self._retry_or_end(call, chosen, verdict)

        self.at(self.now + target.delay_s, receive)

    def _retry_or_end(
        self, call: ModelCall, chosen: Candidate, verdict: Verdict
    ) -> None:
        retries = (
            isinstance(verdict, NotRun)
            and verdict.retry_after_s is not None
            and call.attempts < MAX_ATTEMPTS
            and self.now < call.deadline
            and call.entry.budget.spend()
        )
        if not retries:
            self._end(call, verdict)
            return
        call.refused_by.add(chosen.id)
        self._start_attempt(call)

    def _end(self, call: ModelCall, verdict: Verdict) -> None:
        assert call.verdict is None
        call.verdict = verdict
        call.ended_at = self.now


def make_exponential(mean_s: float) -> WorkTime:
    """Returns a source of exponentially distributed service times."""
    return lambda _, rng: rng.expovariate(1 / mean_s)


def select_served(
    calls: Sequence[ModelCall], call_class: CallClass | None = None
) -> list[ModelCall]:
    """Returns the calls that were served by their deadline."""
    return [
        call
        for call in calls
        if isinstance(call.verdict, Ran)
        and call.ended_at <= call.deadline + DELAY_S
        and call_class in (None, call.call_class)
    ]


def find_quantile(values: Sequence[float], share: float) -> float:
    """Returns the smallest value that `share` of the values don't exceed."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


class SingleChooser:
    """Chooser for a single target; also the base of baseline choosers."""

    def choose(
        self, candidates: list[Candidate], *, excluded: set[str], now: float
    ) -> Candidate | None:
        """Returns the only target unless it has refused the call."""
        return None if excluded else candidates[0]

    def start(self, candidate: Candidate) -> None:
        """Ignores the start of an attempt."""

    def finish(self, candidate: Candidate, **outcome: Any) -> None:
        """Ignores the outcome of an attempt."""

    def report(
        self, candidate: Candidate, load: LoadReport, *, now: float
    ) -> None:
        """Ignores a load report."""


def run_single(
    admission: Admission,
    streams: Sequence[Stream],
    *,
    work: WorkTime,
    duration_s: float,
    seed: int,
    ends_at_deadline: bool = False,
) -> tuple[Model, ModelTarget]:
    """Simulates streams against one target; returns model and target."""
    target = ModelTarget(
        "one", admission, work, ends_at_deadline=ends_at_deadline
    )
    candidate = Candidate("one", 1, local=True, slots=admission.slots)
    entry = ModelEntry(SingleChooser(), [candidate])
    model = Model([target], [entry], seed=seed)
    model.run(streams, duration_s)
    return model, target
