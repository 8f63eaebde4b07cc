"""Compares target choice with random and round-robin selection.

The simulated data centre has eight good targets, one that runs at a fifth of
their speed, and one that joins cold during the run and warms up.
"""

import itertools
import random
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from bench.event_model import (
    Model,
    ModelCall,
    ModelEntry,
    ModelTarget,
    SingleChooser,
    Stream,
    find_quantile,
    make_exponential,
    select_served,
)
from bench.figure import Figure
from guavawing.model import CallClass
from guavawing.policy.admission import Admission
from guavawing.policy.choice import Candidate, Chooser

SEED = 4
GOOD_TARGETS = 8
ENTRIES = 8
SLOTS = 10
QUEUE_LIMIT = 40
WORK_S = 0.05
SLOW_FACTOR = 5.0
COLD_FACTOR = 10.0
COLD_AT_S = 4.0
WARM_UP_S = 4.0
DURATION_S = 14.0
DEADLINE_S = 1.0
# The good targets, the slow one, and the cold one after its warm-up.
CAPACITY = SLOTS / WORK_S * (GOOD_TARGETS + 1 / SLOW_FACTOR + 1)
LOADS = (0.7, 1.0, 1.5)

BIG_TARGETS = 64
BIG_ENTRIES = 24


class RandomChooser(SingleChooser):
    """Baseline: a random target that has not refused the call."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, candidates: list[Candidate], *, excluded: set[str], now: float
    ) -> Candidate | None:
        """Returns a random target."""
        usable = [each for each in candidates if each.id not in excluded]
        return self._rng.choice(usable) if usable else None


class RoundRobinChooser(SingleChooser):
    """Baseline: the targets in rotation."""

    def __init__(self, rng: random.Random) -> None:
        self._turn = itertools.count(rng.randrange(1000))

    def choose(
        self, candidates: list[Candidate], *, excluded: set[str], now: float
    ) -> Candidate | None:
        """Returns the next target in rotation."""
        usable = [each for each in candidates if each.id not in excluded]
        return usable[next(self._turn) % len(usable)] if usable else None


MakeChooser = Callable[[random.Random, str], Any]

CHOOSERS: dict[str, MakeChooser] = {
    "mesh": lambda rng, entry_id: Chooser(rng, entry_id=entry_id),
    "random": lambda rng, _: RandomChooser(rng),
    "round-robin": lambda rng, _: RoundRobinChooser(rng),
}


def make_target(name: str, work: Any, **options: Any) -> ModelTarget:
    """Returns a target with the slots of this benchmark."""
    admission = Admission(slots=SLOTS, queue_limit=QUEUE_LIMIT)
    return ModelTarget(name, admission, work, **options)


def make_candidate(target: ModelTarget, *, local: bool = True) -> Candidate:
    """Returns the candidate under which entry nodes list a target."""
    return Candidate(target.id, 1, local=local, slots=SLOTS)


def work_cold(now: float, rng: random.Random) -> float:
    """Returns a service time, which falls as the target warms up."""
    cold = max(0.0, 1 - (now - COLD_AT_S) / WARM_UP_S)
    mean_s = WORK_S * (1 + (COLD_FACTOR - 1) * cold)
    return rng.expovariate(1 / mean_s)


@attrs.frozen
class Trial:
    """A run of the model.

    Attributes:
        model: The model after the run.
        targets: The simulated targets.
        offered: Calls offered per second.
    """

    model: Model
    targets: Sequence[ModelTarget]
    offered: float

    def served(self) -> list[ModelCall]:
        """Returns the calls that were served in time."""
        return select_served(self.model.calls)

    def served_share(self) -> float:
        """Returns the share of the offered calls that were served in time."""
        return len(self.served()) / len(self.model.calls)

    def p99_ms(self) -> float:
        """Returns the 99th percentile latency of served calls, in ms."""
        return 1000 * find_quantile([c.elapsed_s for c in self.served()], 0.99)


def run_trial(
    make_chooser: MakeChooser,
    load: float,
    *,
    slow_underreports_load: bool = False,
    with_broken: bool = False,
    duration_s: float = DURATION_S,
    seed: int = SEED,
) -> Trial:
    """Runs good, slow and cold targets at a share of their capacity."""
    good = make_exponential(WORK_S)
    slow = make_exponential(WORK_S * SLOW_FACTOR)
    targets = [make_target(f"good-{n}", good) for n in range(GOOD_TARGETS)]
    targets.append(
        make_target("slow", slow, underreports_load=slow_underreports_load)
    )
    if with_broken:
        targets.append(make_target("broken", good, broken=True))
    cold = make_target("cold", work_cold)
    rng = random.Random(seed)
    entries = [
        ModelEntry(
            make_chooser(random.Random(rng.random()), f"entry-{number}"),
            [make_candidate(target) for target in targets],
        )
        for number in range(ENTRIES)
    ]
    model = Model([*targets, cold], entries, seed=seed)

    def announce_cold() -> None:
        for entry in entries:
            entry.candidates.append(make_candidate(cold))

    model.at(COLD_AT_S, announce_cold)
    rate = load * CAPACITY
    stream = Stream(CallClass.NORMAL, rate, DEADLINE_S)
    model.run([stream], duration_s)
    return Trial(model, [*targets, cold], rate)


def run_big(subset_size: int, load: float, duration_s: float = 4.0) -> Trial:
    """Runs a large service whose entry nodes use subsets of its targets."""
    good = make_exponential(WORK_S)
    targets = [make_target(f"t-{n}", good) for n in range(BIG_TARGETS)]
    rng = random.Random(SEED)
    entries = [
        ModelEntry(
            Chooser(
                random.Random(rng.random()),
                entry_id=f"entry-{number}",
                subset_size=subset_size,
            ),
            [make_candidate(target) for target in targets],
        )
        for number in range(BIG_ENTRIES)
    ]
    model = Model(targets, entries, seed=SEED)
    rate = load * BIG_TARGETS * SLOTS / WORK_S
    model.run([Stream(CallClass.NORMAL, rate, DEADLINE_S)], duration_s)
    return Trial(model, targets, rate)


def make_figures(name: str, trial: Trial) -> list[Figure]:
    """Returns goodput and p99 of a trial."""
    return [
        Figure(f"{name}_served", trial.served_share(), "of-offered"),
        Figure(f"{name}_p99", trial.p99_ms(), "ms"),
    ]


async def run() -> list[Figure]:
    """Returns the figures of every chooser and load, and of subsets."""
    figures = []
    for load in LOADS:
        for name, make_chooser in CHOOSERS.items():
            trial = run_trial(make_chooser, load)
            figures += make_figures(f"choice_{name}_load-{load:g}", trial)
    underreported = run_trial(
        CHOOSERS["mesh"], 0.7, slow_underreports_load=True
    )
    figures += make_figures(
        "choice_mesh_load-0.7_slow-target-lies", underreported
    )
    for name, make_chooser in CHOOSERS.items():
        trial = run_trial(make_chooser, 0.7, with_broken=True)
        figures += make_figures(f"choice_{name}_load-0.7_one-broken", trial)
    for size in (4, 8, 16, 32, BIG_TARGETS):
        figures += make_figures(f"subset_{size}-of-64", run_big(size, 0.8))
    return figures
