"""An event-driven model of callers and targets around the real machines.

Callers send calls to entry nodes; each entry node chooses with its chooser,
each target admits with its `Admission`. Time is simulated, every random
number comes from one seed, so a run gives the same figures anywhere. It
models service times and a fixed delay between nodes and nothing else.
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
    """Calls of one class, with random gaps.

    Attributes:
        call_class: Their class.
        rate: Calls a second.
        deadline_s: Time that each caller waits, in seconds.
    """

    call_class: CallClass
    rate: float
    deadline_s: float


@attrs.define(eq=False)
class ModelCall:
    """A call and how it ended."""

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
        """Time from arrival to answer."""
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
        id: Its name.
        admission: The machine under test.
        work: Service time of a call that starts at a time.
        ends_at_deadline: Whether it ends its work at the call's deadline.
        delay_s: Time between an entry node and it, one way.
        lies: Whether its load reports say that it is idle.
        broken: Whether it breaks every call at once.
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
        """Returns what an answer says of the load."""
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
    """Runs streams of calls against targets."""

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
        """Offers the streams for a time and lets every call end."""
        for stream in streams:
            self._plan_arrival(stream, duration_s)
        for target in self._targets.values():
            self._plan_expiry(target, duration_s)
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def at(self, time: float, event: Callable[[], None]) -> None:
        """Plans an event."""
        heapq.heappush(self._events, (time, next(self._sequence), event))

    def _plan_arrival(self, stream: Stream, duration_s: float) -> None:
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
            self._attempt(call)
            self._plan_arrival(stream, duration_s)

        self.at(time, arrive)

    def _plan_expiry(self, target: ModelTarget, duration_s: float) -> None:
        def expire() -> None:
            self._carry_out(target, target.admission.expire(now=self.now))
            busy = target.admission.running or target.admission.queued
            if busy or self.now < duration_s:
                self._plan_expiry(target, duration_s)

        self.at(self.now + EXPIRY_PERIOD_S, expire)

    def _attempt(self, call: ModelCall) -> None:
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
            self._carry_out(target, actions)

        self.at(self.now + target.delay_s, offer)

    def _carry_out(self, target: ModelTarget, actions: Sequence[Any]) -> None:
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
            self._carry_out(target, actions)

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
            self._decide(call, chosen, verdict)

        self.at(self.now + target.delay_s, receive)

    def _decide(
        self, call: ModelCall, chosen: Candidate, verdict: Verdict
    ) -> None:
        again = (
            isinstance(verdict, NotRun)
            and verdict.retry_after_s is not None
            and call.attempts < MAX_ATTEMPTS
            and self.now < call.deadline
            and call.entry.budget.spend()
        )
        if not again:
            self._end(call, verdict)
            return
        call.refused_by.add(chosen.id)
        self._attempt(call)

    def _end(self, call: ModelCall, verdict: Verdict) -> None:
        assert call.verdict is None
        call.verdict = verdict
        call.ended_at = self.now


def make_exponential(mean_s: float) -> WorkTime:
    """Returns exponential service times."""
    return lambda _, rng: rng.expovariate(1 / mean_s)


def select_served(
    calls: Sequence[ModelCall], call_class: CallClass | None = None
) -> list[ModelCall]:
    """Returns the calls that were served before their deadline."""
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
    """Chooser of a model with one target."""

    def choose(
        self, candidates: list[Candidate], *, excluded: set[str], now: float
    ) -> Candidate | None:
        """Returns the one target until it has refused."""
        return None if excluded else candidates[0]

    def start(self, candidate: Candidate) -> None:
        """Takes the start of an attempt."""

    def finish(self, candidate: Candidate, **outcome: Any) -> None:
        """Takes the end of an attempt."""

    def report(
        self, candidate: Candidate, load: LoadReport, *, now: float
    ) -> None:
        """Takes a load report."""


def run_single(
    admission: Admission,
    streams: Sequence[Stream],
    *,
    work: WorkTime,
    duration_s: float,
    seed: int,
    ends_at_deadline: bool = False,
) -> tuple[Model, ModelTarget]:
    """Runs streams against one target; returns the model and the target."""
    target = ModelTarget(
        "one", admission, work, ends_at_deadline=ends_at_deadline
    )
    candidate = Candidate("one", 1, local=True, slots=admission.slots)
    entry = ModelEntry(SingleChooser(), [candidate])
    model = Model([target], [entry], seed=seed)
    model.run(streams, duration_s)
    return model, target
