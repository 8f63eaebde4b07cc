"""Choice of the node whose target gets a request.

An owner is the node beside a target. The cost of an owner is the expected time
until the answer: the wait for a slot, the execution and the transit, as
estimated at this node.

Traffic between data centres costs more than local traffic, and a request that
uses a slot in another data centre displaces a request of the clients there.
A request therefore leaves its data centre only if no owner in it can answer in
time, and then gets only a slot that no queued request needs. Requests wait in
queues of other data centres only if the local one has no owner, or if its
owners refuse a clearly larger share of requests.
"""

import enum
from collections.abc import Collection, Container
from random import Random

import attrs

from guavawing.traffic.model import LoadReport, TargetPhase
from guavawing.traffic.rate_limiter import find_admitted_rate

__all__ = ["Balancer", "Choice", "OwnerView"]

# Round-trip time to another data centre, in seconds.
REMOTE_ROUND_TRIP_S = 0.009
# Half-life of the reported number of other nodes' requests, in seconds.
REPORT_HALF_LIFE_S = 0.4
# Weight of the newest transit time in the moving mean, and half-life of that
# mean without a new value, in seconds: queues on links build up and drain
# quickly with large answers.
TRANSIT_WEIGHT = 0.3
TRANSIT_HALF_LIFE_S = 1.0
# Service time assumed for a target that has executed nothing yet, in seconds:
# short, so that it is chosen.
UNKNOWN_SERVICE_S = 0.02
# Wait for a slot up to which an owner counts as free, in seconds: an owner
# queues a request that cannot be answered in time for the same time.
FREE_WAIT_S = 0.03
# Number of owners that are compared for one request.
COMPARED_OWNERS = 2
# Share of requests sent to a random eligible owner, so that estimates are
# refreshed, also for an owner that was slow for its last request.
EXPLORED_SHARE = 0.03
# Maximum time for which an owner counts as full after a refusal, in seconds.
MAX_BACKOFF_S = 0.25
# First and maximum time of an ejection after consecutive failures, in seconds.
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
FAILURES_UNTIL_EJECTION = 3
# Minimum difference between the shares of requests refused by local owners and
# by a remote one for requests to wait in the queue of the latter.
MIN_PRESSURE_GAP = 0.05
# Requests of a route whose mean size with answer is at least this many
# kilobytes leave their data centre only if owners in it refuse at least the
# given share: that traffic costs more than a later retry by the client.
MIN_LARGE_KB = 16.0
MIN_LARGE_PRESSURE = 0.25
ASSUMED_KB = 4.0
SIZE_WEIGHT = 0.05
# Factor of the mean service time within which an execution is expected to end.
EXPECTED_SERVICE_FACTOR = 1.5


@attrs.define
class OwnerView:
    """State of one owner as an entry node observes it.

    Attributes:
        node: Name of the owner's node.
        local: Whether the owner is this node.
        near: Whether the owner is in this node's data centre.
        alive: Whether recent liveness evidence exists.
        report: Its last load report, if any.
        reported_at: Event loop's time of that report, in seconds.
        outstanding: Requests of this node without an answer yet.
        sent_since_report: Requests of this node that were sent after the last
            report.
        others: Requests of other nodes at it, as of the last report.
        full_until: Time until which it counts as full after a refusal.
        transit_s: Moving mean of the transit time there and back, in seconds,
            for small answers and for bulk ones.
        transit_at: Times at which these means were last updated.
        failures: Consecutive failures.
        ejected_until: End of its last ejection after failures.
    """

    node: str
    local: bool
    near: bool
    alive: bool = True
    report: LoadReport | None = None
    reported_at: float = 0.0
    outstanding: int = 0
    sent_since_report: int = 0
    others: float = 0.0
    full_until: float = 0.0
    transit_s: list[float] = attrs.field(factory=lambda: [0.0, 0.0])
    transit_at: list[float] = attrs.field(factory=lambda: [0.0, 0.0])
    failures: int = 0
    ejected_until: float = 0.0

    def apply_report(self, report: LoadReport, *, now: float) -> None:
        """Applies a load report of the owner."""
        self.report = report
        self.reported_at = now
        self.sent_since_report = 0
        busy = report.running + report.queued
        self.others = float(max(0, busy - self.outstanding))

    def record_sent(self) -> None:
        """Records that a request is sent to the owner."""
        self.outstanding += 1
        self.sent_since_report += 1

    def observe_transit(
        self, transit_s: float, *, bulk: bool, now: float
    ) -> None:
        """Updates the transit time with that of a request and its answer."""
        known_s = self.expect_transit_s(bulk=bulk, now=now)
        self.transit_s[bulk] = known_s + TRANSIT_WEIGHT * (transit_s - known_s)
        self.transit_at[bulk] = now

    def expect_transit_s(self, *, bulk: bool, now: float) -> float:
        """Returns the expected transit time, in seconds.

        The observed mean decays while nothing is sent. For bulk answers, the
        owner's reported wait for its link is the lower bound.
        """
        age_s = now - self.transit_at[bulk]
        decay: float = 0.5 ** (age_s / TRANSIT_HALF_LIFE_S)
        seen_s = self.transit_s[bulk] * decay
        if not bulk or self.local or self.report is None:
            return seen_s
        return max(seen_s, self.report.link_wait_s)

    def record_refusal(self, retry_after_s: float, *, now: float) -> None:
        """Records a refusal by a full owner."""
        self.full_until = now + min(retry_after_s, MAX_BACKOFF_S)

    def record_failure(self, *, now: float) -> None:
        """Records a failure at the owner or its target; may eject it."""
        self.failures += 1
        over = self.failures - FAILURES_UNTIL_EJECTION
        if over >= 0:
            backoff_s = FIRST_EJECTION_S * (1 << min(over, 4))
            self.ejected_until = now + min(backoff_s, MAX_EJECTION_S)

    def record_success(self) -> None:
        """Records that a request was served."""
        self.failures = 0

    def service_s(self) -> float:
        """Returns the mean time that a request holds a slot, in seconds."""
        report = self.report
        if report is None or not report.service_s:
            return UNKNOWN_SERVICE_S
        return report.service_s

    def execution_s(self, kind: int, mean_s: float | None) -> float:
        """Returns the mean slot time of a kind of request, in seconds.

        Args:
            kind: Kind of the request.
            mean_s: Mean of that time over the owners that report it, in
                seconds; None if none does.
        """
        report = self.report
        if report is None or not report.service_s:
            return UNKNOWN_SERVICE_S
        known_s = report.kind_s.get(kind)
        if known_s is not None:
            return known_s
        return report.service_s if mean_s is None else mean_s

    def pressure(self) -> float:
        """Returns the share of requests that the owner refuses for load."""
        return 0.0 if self.report is None else self.report.refused_share

    def accepts_requests(self) -> bool:
        """Returns whether the target is reported to accept new requests."""
        report = self.report
        return (
            report is not None
            and report.phase is TargetPhase.READY
            and report.slots > 0
        )

    def is_usable(self, *, now: float) -> bool:
        """Returns whether the owner is alive and not ejected."""
        return self.alive and now >= self.ejected_until

    @property
    def limit_per_s(self) -> float | None:
        """Reported rate limit of the target; None without a limit."""
        limit = None if self.report is None else self.report.limit
        return None if limit is None else limit.per_s

    def estimate_limit_wait_s(self, *, now: float) -> float:
        """Estimates when the target's rate limit allows a new request.

        Returns:
            The time until then in seconds; 0 without a limit.
        """
        report, per_s = self.report, self.limit_per_s
        if report is None or per_s is None:
            return 0.0
        sent_s = self.sent_since_report / find_admitted_rate(per_s)
        age_s = now - self.reported_at
        return max(0.0, report.limit_wait_s + sent_s - age_s)

    def estimate_wait_s(self, *, now: float) -> float:
        """Estimates the wait of a new request at the owner, in seconds."""
        report = self.report
        if report is None:
            return 0.0
        decay: float = 0.5 ** ((now - self.reported_at) / REPORT_HALF_LIFE_S)
        busy = self.outstanding + self.others * decay
        over = busy + 1 - report.slots
        wait_s = max(0.0, over) * self.service_s() / max(report.slots, 1)
        limit_wait_s = self.estimate_limit_wait_s(now=now)
        return max(wait_s, self.full_until - now, limit_wait_s)


class _Rank(enum.IntEnum):
    """Preference classes of owners, the best first."""

    NEAR_IN_TIME = 0
    # A free slot at a slow target: the mean execution ends in time, so more
    # than half of the answers do.
    NEAR_LIKELY = 1
    FAR_IN_TIME = 2
    # An owner refuses a request that cannot be answered in time unless a slot
    # is free.
    NEAR_FREE = 3
    NEAR_BUSY = 4
    FAR_FREE = 5
    # Chosen only if there are no near owners.
    FAR_EXCLUDED = 6
    EJECTED = 7
    # Never chosen: the rate limit of the target allows the request too late, so
    # that the owner would refuse it.
    LIMITED = 8


@attrs.frozen
class Choice:
    """The owner for an attempt.

    Attributes:
        owner: The owner.
        spare_only: Whether the request may use only a slot that no queued
            request needs.
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
        """Updates a route's mean size with a request and its answer.

        Args:
            route: Name of the route.
            size: Size of the request and its answer, in bytes.
        """
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
            useful_s: Time within which an answer is fully useful, in seconds.
            excluded: Nodes that the request has been sent to already.
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
        mean_s = _find_mean_s(working, kind)
        large = self._size_kb.get(route, ASSUMED_KB) >= MIN_LARGE_KB
        ranked: dict[_Rank, list[tuple[float, OwnerView]]] = {}
        candidates = [
            owner for owner in usable or working if owner.node not in excluded
        ]
        for near in (True, False):
            if ranked and min(ranked) <= _Rank.NEAR_LIKELY:
                # No owner in another data centre ranks higher.
                break
            for owner in candidates:
                if owner.near is not near:
                    continue
                rank, cost_s = self._assess(
                    owner,
                    useful_s,
                    now,
                    service_s=owner.execution_s(kind, mean_s),
                    pressure=pressure,
                    large=large,
                    bulk=bulk,
                )
                if rank is _Rank.LIMITED:
                    continue
                if pressure is None or rank is not _Rank.FAR_EXCLUDED:
                    ranked.setdefault(rank, []).append((cost_s, owner))
        if not ranked:
            return None
        best = self._pick(ranked[min(ranked)])
        queues = best.near or _may_queue(best, pressure)
        return Choice(best, spare_only=not queues)

    def find_limit_wait_s(
        self, owners: Collection[OwnerView], *, now: float
    ) -> float | None:
        """Returns the time until a rate limit allows a request, in seconds.

        It is the shortest one of the owners that accept requests; None if none
        of them has a target with a limit.
        """
        return min(
            (
                owner.estimate_limit_wait_s(now=now)
                for owner in owners
                if owner.alive
                and owner.accepts_requests()
                and owner.limit_per_s is not None
            ),
            default=None,
        )

    def _pick(self, costs: list[tuple[float, OwnerView]]) -> OwnerView:
        """Returns one of the owners of the same rank.

        All entry nodes have nearly the same, slightly outdated reports. If all
        chose the cheapest owner, they would overload one owner after the
        other, so each node compares `COMPARED_OWNERS` random owners.
        """
        if len(costs) > COMPARED_OWNERS:
            costs = self._rng.sample(costs, COMPARED_OWNERS)
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
        # Among owners without a wait, the one with the larger share of free
        # slots is preferred: some targets slow down when nearly full.
        busy = (owner.outstanding + owner.others) / max(report.slots, 1)
        transit_s = owner.expect_transit_s(bulk=bulk, now=now)
        cost_s = wait_s + service_s * (1 + 0.3 * min(busy, 1.0)) + transit_s
        expected_s = wait_s + EXPECTED_SERVICE_FACTOR * service_s + transit_s
        spare_s = useful_s - EXPECTED_SERVICE_FACTOR * service_s
        limit_wait_s = owner.estimate_limit_wait_s(now=now)
        if limit_wait_s > max(spare_s, FREE_WAIT_S):
            return _Rank.LIMITED, cost_s
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


def _find_mean_s(owners: Collection[OwnerView], kind: int) -> float | None:
    """Returns the mean reported time of a kind; None if not reported."""
    reported = [
        owner.report.kind_s[kind]
        for owner in owners
        if owner.report is not None and kind in owner.report.kind_s
    ]
    return sum(reported) / len(reported) if reported else None


def _may_queue(owner: OwnerView, pressure: float | None) -> bool:
    """Returns whether requests may queue at an owner in another data centre.

    Args:
        owner: The owner.
        pressure: Mean share of requests that the local data centre's owners
            refuse; None if there are no such owners.
    """
    if pressure is None:
        return True
    return owner.pressure() + MIN_PRESSURE_GAP < pressure
