"""Judgement of a release by what callers see, and the plan of its roll-out.

Two loads are answered. A faulty release fails a part of its requests or takes
several times longer: at once, late, on one route or only under load. A good
release runs beside trouble that has nothing to do with it: slow VMs, a data
centre that is cut off, a called service that fails.

So the new release is compared with the old one over the same time, routes and
data centres, and targets of one release may differ among themselves as much as
those of the old one do. A share is raised only if a release that proves faulty
right then can be withdrawn within the exposure that the terms allow.
"""

import math

import attrs

from guavawing.traffic.rollout_counts import (
    BUCKETS,
    EARLIER_SLOTS,
    CountLedger,
)
from guavawing.traffic.rollout_state import RolloutState

__all__ = [
    "Assessment",
    "Close",
    "Complete",
    "Halt",
    "PlanInput",
    "Raise",
    "Step",
    "Wait",
    "assess",
    "find_next_step",
]

# An answer counts as slow above the duration that this share of the old
# release's answers exceeds, and by at least this many buckets.
SLOW_SHARE = 0.04
SLOW_MARGIN_BUCKETS = 1
# Answers of the old release on a route from which slow answers are judged.
MIN_OLD_ANSWERS = 20
# Weight, in requests, of all data centres in the share of bad answers that is
# expected in one, and of the whole time in that of one slot.
PRIOR_WEIGHT = 4.0
# A release is faulty if its bad answers exceed those expected by this many, by
# this share of its answers, and by this many standard errors of chance and of
# differences among targets.
MIN_EXCESS = 5.0
MIN_EXCESS_SHARE = 0.08
CHANCE_ERRORS = 4.0
TARGET_ERRORS = 2.5
# The same without the worst target: a slow VM is no fault of the release.
MIN_EXCESS_WITHOUT_WORST = 3.0
CHANCE_ERRORS_WITHOUT_WORST = 3.0
# A release with this excess does not get everything: in standard errors, at
# first and when time runs out, then also in answers, as a share of its answers
# and in answers at first.
DOUBT_ERRORS = 2.5
LAST_DOUBT_ERRORS = 3.5
MIN_LAST_EXCESS = 4.0
DOUBT_SHARE = 0.05
MIN_DOUBT = 2.0
# Outcomes on each route before it gets everything, and share of the requests
# from which a route counts for that.
MIN_ROUTE_OUTCOMES = 5
MIN_ROUTE_SHARE = 0.03
# Latest time that is also judged by itself, in slots: a fault that begins late.
RECENT_SLOTS = 4

# Shares of the steps before the exposure left scales them, and shares of the
# duration at which they are due.
SHARES = (0.02, 0.04, 0.08, 0.15)
DUE = (0.0, 0.35, 0.5, 0.6)
CLOSE_DUE = 0.68
MIN_SCALE, MAX_SCALE = 0.2, 3.0
# Rate that is assumed at least, in requests a second.
MIN_PER_S = 1.0
# A share is raised by this factor at least, as each raise is a write.
MIN_RAISE = 1.4
# Shortest duration that allows a judgement, in seconds.
MIN_DURATION_S = 4.0
# Shortest time at one share, in seconds.
MIN_STEP_S = 1.0
# Time from a fault to the end of what it gets: counts, decision, announcement;
# and that for which the exposure is kept when a small share is raised.
REACTION_S = 1.05
KEPT_REACTION_S = 1.3
# Time kept for the last write before the deadline, in seconds.
WRITE_S = 0.8
# Share of the exposure that the plan uses.
EXPOSURE_MARGIN = 0.9
# Share of the old targets' slots that the new ones need before they get all.
MIN_CAPACITY = 0.7


@attrs.frozen
class Assessment:
    """What the counts say of the new release.

    Attributes:
        faulty: Whether it is clearly worse than the old one.
        errors: Standard errors by which it is worse; 0 if it is hardly so.
        route: Route that decided; empty for all together.
        outcomes: Outcomes of the new release that were judged.
        bad: Those that failed or were slow.
        expected: Bad ones that the old release would have had.
        fewest: Outcomes on the route with the fewest, of those that count.
    """

    faulty: bool = False
    errors: float = 0.0
    route: str = ""
    outcomes: int = 0
    bad: int = 0
    expected: float = 0.0
    fewest: int = 0


@attrs.define
class _Sums:
    """Sums over slots and data centres."""

    outcomes: int = 0
    bad: int = 0
    expected: float = 0.0
    variance: float = 0.0

    def add(self, other: "_Sums") -> None:
        self.outcomes += other.outcomes
        self.bad += other.bad
        self.expected += other.expected
        self.variance += other.variance


def assess(ledger: CountLedger) -> Assessment:
    """Compares the new release with the old one.

    Args:
        ledger: Counts of all owners of the service.
    """
    limits = {
        route: _find_slow_limit(counts)
        for route, counts in ledger.old_totals.items()
    }
    slots: dict[str, list[_Slot]] = {}
    for (number, route, data_centre), pair in ledger.pairs.items():
        limit = limits.setdefault(route, BUCKETS)
        slot = _Slot(number, data_centre, *pair.summarize(limit))
        slots.setdefault(route, []).append(slot)
    newest = max((number for number, _, _ in ledger.pairs), default=0)
    for route, found in slots.items():
        _add_overdue(found, ledger, route, limits[route], newest)
    assessments = []
    for first in (EARLIER_SLOTS, newest - RECENT_SLOTS + 1):
        together = _Sums()
        for route, found in slots.items():
            sums = _sum_slots(found, first)
            together.add(sums)
            assessments.append(_judge(ledger, sums, route, [route], limits))
        if len(slots) > 1:
            assessments.append(
                _judge(ledger, together, "", sorted(slots), limits)
            )
    if not assessments:
        return Assessment()
    worst = max(assessments, key=lambda each: (each.faulty, each.errors))
    return attrs.evolve(worst, fewest=_find_fewest(slots))


def _find_fewest(slots: dict[str, list["_Slot"]]) -> int:
    """Returns the outcomes on the least used of the routes that count."""
    total = sum(each.old for found in slots.values() for each in found)
    return min(
        (
            sum(each.new for each in found)
            for found in slots.values()
            if sum(each.old for each in found) >= MIN_ROUTE_SHARE * total
        ),
        default=0,
    )


def _find_slow_limit(old: list[int]) -> int:
    """Returns the first bucket that counts as slow.

    Args:
        old: Counts of the old release on the route.
    """
    answered = sum(old) - old[0]
    if answered < MIN_OLD_ANSWERS:
        return BUCKETS
    above = 0
    for index in range(BUCKETS - 1, -1, -1):
        above += old[1 + index]
        if above > SLOW_SHARE * answered:
            return min(BUCKETS, index + 1 + SLOW_MARGIN_BUCKETS)
    return BUCKETS


@attrs.define
class _Slot:
    """Outcomes and bad ones of a route in one slot and data centre."""

    number: int
    data_centre: str
    old: int
    old_bad: int
    new: int
    new_bad: int


def _add_overdue(
    slots: list[_Slot],
    ledger: CountLedger,
    route: str,
    limit: int,
    newest: int,
) -> None:
    """Adds requests that have run for too long already: they will be bad."""
    overdue = ledger.find_overdue(route, limit)
    for (data_centre, new), count in overdue.items():
        slot = _Slot(newest, data_centre, 0, 0, 0, 0)
        for each in slots:
            if each.number == newest and each.data_centre == data_centre:
                slot = each
                break
        else:
            slots.append(slot)
        if new:
            slot.new += count
            slot.new_bad += count
        else:
            slot.old += count
            slot.old_bad += count


def _sum_slots(slots: list[_Slot], first: int) -> _Sums:
    """Adds up a route from a first slot on."""
    total = sum(each.old for each in slots)
    bad = sum(each.old_bad for each in slots)
    overall = (bad + 0.5) / (total + 1.0)
    by_number: dict[int, tuple[int, int]] = {}
    for each in slots:
        others, others_bad = by_number.get(each.number, (0, 0))
        by_number[each.number] = (others + each.old, others_bad + each.old_bad)
    sums = _Sums()
    for each in slots:
        if each.number < first or not each.new:
            continue
        others, others_bad = by_number[each.number]
        at_that_time = (others_bad + PRIOR_WEIGHT * overall) / (
            others + PRIOR_WEIGHT
        )
        weight = each.old + PRIOR_WEIGHT
        rate = (each.old_bad + PRIOR_WEIGHT * at_that_time) / weight
        sums.outcomes += each.new
        sums.bad += each.new_bad
        sums.expected += each.new * rate
        sums.variance += each.new * rate * (1 - rate) * (1 + each.new / weight)
    return sums


def _judge(
    ledger: CountLedger,
    sums: _Sums,
    route: str,
    routes: list[str],
    limits: dict[str, int],
) -> Assessment:
    excess = sums.bad - sums.expected
    assessment = Assessment(
        route=route,
        outcomes=sums.outcomes,
        bad=sums.bad,
        expected=round(sums.expected, 1),
    )
    if excess < MIN_DOUBT or excess < DOUBT_SHARE * sums.outcomes:
        return assessment
    chance = math.sqrt(sums.variance)
    spread = _find_spread(ledger, routes, limits) * sums.outcomes
    worst = _find_worst_excess(ledger, routes, limits, sums)
    rest = excess - worst
    errors = excess / max(math.hypot(chance, spread), 1e-9)
    faulty = (
        excess >= MIN_EXCESS
        and excess >= MIN_EXCESS_SHARE * sums.outcomes
        and excess > CHANCE_ERRORS * chance + TARGET_ERRORS * spread
        and (
            worst == 0.0
            or (
                rest >= MIN_EXCESS_WITHOUT_WORST
                and rest > CHANCE_ERRORS_WITHOUT_WORST * chance
            )
        )
    )
    return attrs.evolve(
        assessment,
        faulty=faulty,
        errors=round(errors, 1) if rest >= MIN_DOUBT else 0.0,
    )


def _count_by_owner(
    ledger: CountLedger,
    routes: list[str],
    limits: dict[str, int],
    *,
    new: bool,
) -> list[tuple[int, int]]:
    """Returns outcomes and bad ones of each owner of one side."""
    found = []
    for series in ledger.owners.values():
        if ledger.is_new(series) is not new:
            continue
        totals = [
            (series.totals[route], limits[route])
            for route in routes
            if route in series.totals
        ]
        outcomes = sum(sum(counts) for counts, _ in totals)
        if outcomes:
            bad = sum(
                counts[0] + sum(counts[1 + limit :]) for counts, limit in totals
            )
            found.append((outcomes, bad))
    return found


def _find_spread(
    ledger: CountLedger, routes: list[str], limits: dict[str, int]
) -> float:
    """Returns the standard error of the new release's share of bad answers.

    It comes from differences among targets, as those of the old release show
    them, not from chance.
    """
    old = [
        (outcomes, bad / outcomes)
        for outcomes, bad in _count_by_owner(ledger, routes, limits, new=False)
        if outcomes >= 4
    ]
    new = [n for n, _ in _count_by_owner(ledger, routes, limits, new=True)]
    if len(old) < 2 or not new:
        return 0.0
    mean = sum(rate for _, rate in old) / len(old)
    spread = sum((rate - mean) ** 2 for _, rate in old) / (len(old) - 1)
    chance = sum(mean * (1 - mean) / outcomes for outcomes, _ in old) / len(old)
    effective = sum(new) ** 2 / sum(n * n for n in new)
    return math.sqrt(max(0.0, spread - chance) / effective)


def _find_worst_excess(
    ledger: CountLedger,
    routes: list[str],
    limits: dict[str, int],
    sums: _Sums,
) -> float:
    """Returns the excess of the worst target; 0 if there are fewer than 3."""
    new = _count_by_owner(ledger, routes, limits, new=True)
    if len(new) < 3 or not sums.outcomes:
        return 0.0
    expected = sums.expected / sums.outcomes
    total = sum(outcomes for outcomes, _ in new)
    worst = max(bad - expected * outcomes for outcomes, bad in new)
    return max(0.0, worst) * min(1.0, sums.outcomes / total)


@attrs.frozen
class Wait:
    """Nothing changes."""


@attrs.frozen
class Raise:
    """The new release gets a larger share."""

    share: float


@attrs.frozen
class Close:
    """The new release gets everything; the other targets finish."""


@attrs.frozen
class Complete:
    """The new release has taken over."""


@attrs.frozen
class Halt:
    """The new release is withdrawn."""

    reason: str


Step = Wait | Raise | Close | Complete | Halt


@attrs.frozen
class PlanInput:
    """What the next step depends on.

    Attributes:
        state: The state in force.
        assessment: What the counts say.
        elapsed_s: Time since the order, in seconds.
        step_s: Time since the state came into force, in seconds.
        per_s: Requests of the service a second.
        exposed: Requests that the new release has got.
        exposure_share: Share of all requests that a faulty release may get.
        exposure_allowance: Requests that it may get besides.
        new_slots: Slots of the new release's warm targets.
        old_slots: Slots of the other targets.
        old_targets: Number of the other targets that are known.
        old_busy: Those that have not reported that they are done.
        old_silent: Those among them that can't be heard.
    """

    state: RolloutState
    assessment: Assessment
    elapsed_s: float
    step_s: float
    per_s: float
    exposed: float
    exposure_share: float
    exposure_allowance: float
    new_slots: int
    old_slots: int
    old_targets: int
    old_busy: int
    old_silent: int


def find_next_step(plan: PlanInput) -> Step:
    """Returns the next step of a roll-out that runs."""
    duration_s = plan.state.order.duration_s
    left_s = duration_s - plan.elapsed_s
    if plan.assessment.faulty:
        return Halt("faulty")
    if not plan.old_targets and plan.new_slots:
        # Nothing is served by another release.
        return Complete()
    if duration_s < MIN_DURATION_S:
        return Halt("too-short")
    if plan.state.closing:
        return _find_last_step(plan, left_s)
    if left_s <= WRITE_S:
        return Halt("out-of-time")
    if plan.step_s < MIN_STEP_S:
        return Wait()
    progress = plan.elapsed_s / duration_s
    if progress >= CLOSE_DUE and plan.state.share > 0:
        enough = plan.new_slots >= MIN_CAPACITY * plan.old_slots
        if enough and _may_close(plan, left_s):
            return Close()
    due = [
        share
        for share, due_at in zip(SHARES, DUE, strict=True)
        if progress >= due_at
    ]
    share = min(max(due) * _find_scale(plan), _find_largest_share(plan))
    share = math.floor(share * 1000) / 1000
    if share < MIN_RAISE * plan.state.share or not plan.new_slots:
        return Wait()
    if plan.new_slots < share * MIN_CAPACITY * plan.old_slots:
        return Wait()
    return Raise(share)


def _may_close(plan: PlanInput, left_s: float) -> bool:
    """Returns whether the new release may get everything."""
    if not _is_affordable(plan, 1.0, left_s):
        return False
    errors = plan.assessment.errors
    if left_s < (1 - CLOSE_DUE) / 2 * plan.state.order.duration_s:
        return errors < LAST_DOUBT_ERRORS
    return (
        errors < DOUBT_ERRORS and plan.assessment.fewest >= MIN_ROUTE_OUTCOMES
    )


def _find_last_step(plan: PlanInput, left_s: float) -> Step:
    assessment = plan.assessment
    excess = assessment.bad - assessment.expected
    if assessment.errors >= LAST_DOUBT_ERRORS and excess >= MIN_LAST_EXCESS:
        return Halt("doubtful")
    if not plan.old_busy:
        return Complete()
    only_silent = plan.old_busy <= plan.old_silent
    return Complete() if only_silent and left_s <= WRITE_S else Wait()


def _find_scale(plan: PlanInput) -> float:
    """Returns by how much the exposure allows the steps to be larger.

    What the fault of a release with all requests would cost is left out.
    """
    ends = (*DUE[1:], CLOSE_DUE)
    planned = sum(
        share * (end - due)
        for share, due, end in zip(SHARES, DUE, ends, strict=True)
    )
    planned *= plan.per_s * plan.state.order.duration_s
    if not planned:
        return 1.0
    scale = (_find_budget(plan) - plan.per_s * KEPT_REACTION_S) / planned
    return min(MAX_SCALE, max(MIN_SCALE, scale))


def _find_largest_share(plan: PlanInput) -> float:
    """Returns the share that leaves the exposure of the last step."""
    until_s = CLOSE_DUE * plan.state.order.duration_s - plan.elapsed_s
    per_s = max(plan.per_s, MIN_PER_S)
    kept = per_s * KEPT_REACTION_S
    left = _find_budget(plan) - plan.exposed - kept
    return min(1.0, left / (per_s * max(until_s, MIN_STEP_S)))


def _find_budget(plan: PlanInput) -> float:
    """Returns the requests that a faulty release may get."""
    expected = plan.per_s * plan.state.order.duration_s
    allowed = plan.exposure_share * expected + plan.exposure_allowance
    return EXPOSURE_MARGIN * allowed


def _is_affordable(plan: PlanInput, share: float, left_s: float) -> bool:
    """Returns whether a fault at a share would stay within the terms."""
    exposed = plan.exposed + share * plan.per_s * min(REACTION_S, left_s)
    return exposed <= _find_budget(plan)
