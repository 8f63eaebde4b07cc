"""Choice of the node whose target gets a request.

An owner is a node seen as the way to its target. What it costs to send a
request there is the time until the answer: the wait for a slot and the
execution, as far as they are known here.

Bytes between data centres cost more than local ones, and a request that takes
a slot elsewhere displaces one of the clients there. So work leaves its data
centre only if no owner here can answer in time, and then only for slots that
nobody there waits for. Only where a data centre has no owner at all does it
take part in the queues of the others.
"""

import enum
from collections.abc import Collection, Container
from random import Random

import attrs

from guavawing.traffic.model import LoadReport, TargetPhase

__all__ = ["Balancer", "Choice", "OwnerView"]

# Time on the way to another data centre and back, in seconds.
REMOTE_ROUND_TRIP_S = 0.009
# Time in which what a report says of other nodes' requests halves in weight.
REPORT_HALF_LIFE_S = 0.4
# Weight of the newest time on the way, and the time in which one that is not
# seen again halves, in seconds: queues on links come and go with large answers.
TRANSIT_WEIGHT = 0.3
TRANSIT_HALF_LIFE_S = 1.0
# Time that is assumed of a target that has executed nothing yet, in seconds:
# short, so that it is tried.
UNKNOWN_SERVICE_S = 0.02
# Wait for a slot up to which an owner counts as free, in seconds: owners let a
# request that can't be in time wait for as long.
FREE_WAIT_S = 0.03
# Owners that are compared for one request.
COMPARED = 2
# Share of requests that go to any fit owner, so that something is known of
# each, also of one that was slow when it was last asked.
EXPLORED_SHARE = 0.03
# Time for which a full owner is left alone after it refused, in seconds.
MAX_BACK_OFF_S = 0.25
# Time for which an owner is left out after failures in a row, in seconds.
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
FAILURES_UNTIL_EJECTION = 3
# Share of refused requests by which owners here must be worse off for requests
# to wait for slots elsewhere.
MIN_PRESSURE_GAP = 0.05
# Mean size of requests with their answers, in kilobytes, from which on they
# leave their data centre only where owners here refuse at least this share of
# all: such bytes cost more than a client's return a little later.
MIN_KEPT_KB = 16.0
MIN_LARGE_PRESSURE = 0.25
ASSUMED_KB = 4.0
SIZE_WEIGHT = 0.05
# An execution is expected to take at most this many times the mean.
USUAL_SERVICE_FACTOR = 1.5


@attrs.define
class OwnerView:
    """What an entry node knows of one owner.

    Attributes:
        node: Name of the owner's node.
        local: Whether it is this node itself.
        near: Whether it is in the same data centre.
        alive: Whether it has been heard of lately.
        report: Its last load report, if any.
        reported_at: When that came.
        outstanding: Requests of this node that it has not answered.
        others: Requests of other nodes that it had at the last report.
        full_until: Time until which it is known to be full.
        transit_s: Lately seen time of a request on the way there and back,
            for small answers and for bulk ones.
        failures: Failures in a row.
        ejected_until: Time until which it is left out after failures.
    """

    node: str
    local: bool
    near: bool
    alive: bool = True
    report: LoadReport | None = None
    reported_at: float = 0.0
    outstanding: int = 0
    others: float = 0.0
    full_until: float = 0.0
    transit_s: list[float] = attrs.field(factory=lambda: [0.0, 0.0])
    transit_at: list[float] = attrs.field(factory=lambda: [0.0, 0.0])
    failures: int = 0
    ejected_until: float = 0.0

    def apply_report(self, report: LoadReport, *, now: float) -> None:
        """Takes the load that the owner reported."""
        self.report = report
        self.reported_at = now
        busy = report.running + report.queued
        self.others = float(max(0, busy - self.outstanding))

    def observe_transit(
        self, transit_s: float, *, bulk: bool, now: float
    ) -> None:
        """Takes the time that a request spent on the way there and back."""
        known_s = self.expect_transit_s(bulk=bulk, now=now)
        self.transit_s[bulk] = known_s + TRANSIT_WEIGHT * (transit_s - known_s)
        self.transit_at[bulk] = now

    def expect_transit_s(self, *, bulk: bool, now: float) -> float:
        """Returns the time on the way.

        What was seen fades if nothing is sent; the owner itself tells of
        large answers that its link has yet to send.
        """
        age_s = now - self.transit_at[bulk]
        fading: float = 0.5 ** (age_s / TRANSIT_HALF_LIFE_S)
        seen_s = self.transit_s[bulk] * fading
        if not bulk or self.local or self.report is None:
            return seen_s
        return max(seen_s, self.report.link_wait_s)

    def record_refusal(self, retry_after_s: float, *, now: float) -> None:
        """Takes that the owner had no room."""
        self.full_until = now + min(retry_after_s, MAX_BACK_OFF_S)

    def record_failure(self, *, now: float) -> None:
        """Takes that a request failed at the owner or its target."""
        self.failures += 1
        over = self.failures - FAILURES_UNTIL_EJECTION
        if over >= 0:
            back_off_s = FIRST_EJECTION_S * (1 << min(over, 4))
            self.ejected_until = now + min(back_off_s, MAX_EJECTION_S)

    def record_success(self) -> None:
        """Takes that a request was served."""
        self.failures = 0

    def service_s(self) -> float:
        """Returns the mean time that a request holds a slot there."""
        report = self.report
        if report is None or not report.service_s:
            return UNKNOWN_SERVICE_S
        return report.service_s

    def execution_s(self, kind: int, usual_s: float | None) -> float:
        """Returns the mean time that a request of a kind holds a slot there.

        Args:
            kind: Kind of the request.
            usual_s: That time at other owners, if any has told.
        """
        report = self.report
        if report is None or not report.service_s:
            return UNKNOWN_SERVICE_S
        known_s = report.kind_s.get(kind)
        if known_s is not None:
            return known_s
        return report.service_s if usual_s is None else usual_s

    def pressure(self) -> float:
        """Returns the share of requests that the owner refuses."""
        return 0.0 if self.report is None else self.report.refused_share

    def accepts_requests(self) -> bool:
        """Returns whether the target is known to take new requests."""
        report = self.report
        return (
            report is not None
            and report.phase is TargetPhase.READY
            and report.slots > 0
        )

    def is_usable(self, *, now: float) -> bool:
        """Returns whether the owner is in reach and has not failed lately."""
        return self.alive and now >= self.ejected_until

    def estimate_wait_s(self, *, now: float) -> float:
        """Returns how long a new request would wait for a slot there."""
        report = self.report
        if report is None:
            return 0.0
        fading: float = 0.5 ** ((now - self.reported_at) / REPORT_HALF_LIFE_S)
        busy = self.outstanding + self.others * fading
        over = busy + 1 - report.slots
        wait_s = max(0.0, over) * self.service_s() / max(report.slots, 1)
        return max(wait_s, self.full_until - now)


class _Rank(enum.IntEnum):
    """Order in which kinds of owner are chosen."""

    NEAR_IN_TIME = 0
    # A free slot of a slow target: more than half of all are in time there.
    NEAR_LIKELY = 1
    FAR_IN_TIME = 2
    # Owners refuse what can't be in time unless a slot is free.
    NEAR_FREE = 3
    NEAR_BUSY = 4
    FAR_FREE = 5
    # Not chosen where there are near owners.
    FAR_EXCLUDED = 6
    EJECTED = 7


@attrs.frozen
class Choice:
    """The owner for an attempt.

    Attributes:
        owner: The owner.
        spare_only: Whether it may use only a slot that nobody waits for.
    """

    owner: OwnerView
    spare_only: bool


class Balancer:
    """Chooses owners for the requests of one entry node."""

    __slots__ = ("_rng", "_size_kb")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._size_kb: dict[str, float] = {}

    def observe_size(self, route: str, size: int) -> None:
        """Takes the bytes of a request with its answer."""
        size_kb = size / 1024
        mean_kb = self._size_kb.get(route, size_kb)
        self._size_kb[route] = mean_kb + SIZE_WEIGHT * (size_kb - mean_kb)

    def choose(
        self,
        owners: Collection[OwnerView],
        *,
        route: str,
        kind: int,
        bulk: bool,
        useful_s: float,
        excluded: Container[str],
        now: float,
    ) -> Choice | None:
        """Returns the owner for the next attempt, or None if there is none.

        Args:
            owners: The owners of the service.
            route: Name of the route.
            kind: Kind of the request.
            bulk: Whether the answer is large.
            useful_s: Time within which an answer is of full use.
            excluded: Nodes that have been asked already.
            now: Event loop's time, in seconds.
        """
        working = [
            owner
            for owner in owners
            if owner.alive and owner.accepts_requests()
        ]
        usable = [owner for owner in working if owner.is_usable(now=now)]
        refused = [owner.pressure() for owner in usable if owner.near]
        pressure = sum(refused) / len(refused) if refused else None
        usual_s = _find_usual_s(working, kind)
        large = self._size_kb.get(route, ASSUMED_KB) >= MIN_KEPT_KB
        ranked: dict[_Rank, list[tuple[float, OwnerView]]] = {}
        candidates = [
            owner for owner in usable or working if owner.node not in excluded
        ]
        for near in (True, False):
            if ranked and min(ranked) <= _Rank.NEAR_LIKELY:
                # No owner elsewhere comes before these.
                break
            for owner in candidates:
                if owner.near is not near:
                    continue
                rank, cost_s = self._assess(
                    owner,
                    useful_s,
                    now,
                    service_s=owner.execution_s(kind, usual_s),
                    pressure=pressure,
                    large=large,
                    bulk=bulk,
                )
                if pressure is None or rank is not _Rank.FAR_EXCLUDED:
                    ranked.setdefault(rank, []).append((cost_s, owner))
        if not ranked:
            return None
        best = self._pick(ranked[min(ranked)])
        queues = best.near or _may_queue(best, pressure)
        return Choice(best, spare_only=not queues)

    def _pick(self, costs: list[tuple[float, OwnerView]]) -> OwnerView:
        """Returns one of the owners that are equally fit.

        Every entry node sees much the same old reports. If all took the
        cheapest owner, they would flood one after the other, so each compares
        a few at random.
        """
        if len(costs) > COMPARED:
            costs = self._rng.sample(costs, COMPARED)
        if self._rng.random() < EXPLORED_SHARE:
            return self._rng.choice(costs)[1]
        return min(costs, key=lambda pair: pair[0])[1]

    def _assess(
        self,
        owner: OwnerView,
        useful_s: float,
        now: float,
        *,
        service_s: float,
        pressure: float | None,
        large: bool,
        bulk: bool,
    ) -> tuple[_Rank, float]:
        """Returns the rank and, within it, the cost of an owner."""
        report = owner.report
        assert report is not None
        wait_s = owner.estimate_wait_s(now=now)
        # Between owners without a wait, the one with more free slots is the
        # better one: some targets slow down when nearly full.
        busy = (owner.outstanding + owner.others) / max(report.slots, 1)
        transit_s = owner.expect_transit_s(bulk=bulk, now=now)
        cost_s = wait_s + service_s * (1 + 0.3 * min(busy, 1.0)) + transit_s
        expected_s = wait_s + USUAL_SERVICE_FACTOR * service_s + transit_s
        if not owner.is_usable(now=now):
            return _Rank.EJECTED, cost_s
        if owner.near:
            if expected_s <= useful_s:
                return _Rank.NEAR_IN_TIME, cost_s
            if wait_s > FREE_WAIT_S:
                return _Rank.NEAR_BUSY, cost_s
            likely = wait_s + service_s + transit_s <= useful_s
            return (_Rank.NEAR_LIKELY if likely else _Rank.NEAR_FREE), cost_s
        cost_s += REMOTE_ROUND_TRIP_S
        if wait_s > 0 and not _may_queue(owner, pressure):
            return _Rank.FAR_EXCLUDED, cost_s
        if large and pressure is not None and pressure < MIN_LARGE_PRESSURE:
            return _Rank.FAR_EXCLUDED, cost_s
        in_time = not large and expected_s + REMOTE_ROUND_TRIP_S <= useful_s
        return (_Rank.FAR_IN_TIME if in_time else _Rank.FAR_FREE), cost_s


def _find_usual_s(owners: Collection[OwnerView], kind: int) -> float | None:
    """Returns the mean of what owners tell of a kind; None if none does."""
    told = [
        owner.report.kind_s[kind]
        for owner in owners
        if owner.report is not None and kind in owner.report.kind_s
    ]
    return sum(told) / len(told) if told else None


def _may_queue(owner: OwnerView, pressure: float | None) -> bool:
    """Returns whether work may wait for an owner of another data centre.

    Args:
        owner: The owner.
        pressure: Share of requests that owners here refuse; None if there
            are none.
    """
    if pressure is None:
        return True
    return owner.pressure() + MIN_PRESSURE_GAP < pressure
