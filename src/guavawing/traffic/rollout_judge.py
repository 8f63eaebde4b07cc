"""Judgement of a release by what callers see.

Two loads are answered. A faulty release fails a part of its requests or takes
several times longer: at once, late, on one route or only under load. A good
release runs beside trouble that has nothing to do with it: slow VMs, a data
centre that is cut off, a called service that fails.

So the new release is compared with the old one over the same time, routes and
data centres, and targets of one release may differ among themselves as much as
those of the old one do.
"""

import math

import attrs

from guavawing.traffic.durations import BUCKETS
from guavawing.traffic.rollout_counts import (
    EARLIER_SLOTS,
    CountLedger,
)

__all__ = ["Assessment", "assess"]

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
# A release may be worse from this excess on, as a share of its answers and in
# answers.
DOUBT_SHARE = 0.05
MIN_DOUBT = 2.0
# Share of the requests from which a route is asked for outcomes of its own.
MIN_ROUTE_SHARE = 0.03
# Latest time that is also judged by itself, in slots: a fault that begins late.
RECENT_SLOTS = 4


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
    for (route, data_centre, new), count in ledger.find_overdue(limits).items():
        found = slots.setdefault(route, [])
        _add_overdue(found, newest, data_centre, count, new=new)
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
    slots: list[_Slot], newest: int, data_centre: str, count: int, *, new: bool
) -> None:
    """Adds requests that have run for too long already: they will be bad."""
    slot = next(
        (
            each
            for each in slots
            if each.number == newest and each.data_centre == data_centre
        ),
        None,
    )
    if slot is None:
        slot = _Slot(newest, data_centre, 0, 0, 0, 0)
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
