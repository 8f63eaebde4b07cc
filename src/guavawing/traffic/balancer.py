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
# Share by which costs are blurred, so that nodes with equal views don't all
# choose the same owner.
JITTER = 0.15
# Time for which a full owner is left alone after it refused, in seconds.
MAX_BACK_OFF_S = 0.25
# Time for which an owner is left out after failures in a row, in seconds.
FAILED_BACK_OFF_S = 0.5
MAX_FAILED_BACK_OFF_S = 4.0
FAILURES_UNTIL_OUT = 3
# Mean size of requests with their answers up to which they may wait for slots
# of another data centre, in kilobytes: the bytes of larger ones are dearer
# than a refusal here, after which the client can come back.
MAX_QUEUED_FAR_KB = 3.0
# Mean size from which on they leave their data centre only after all owners
# here have refused, in kilobytes: such bytes cost more than a late answer.
MIN_KEPT_KB = 16.0
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
        failures: Failures in a row.
        out_until: Time until which it is left out after failures.
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
    failures: int = 0
    out_until: float = 0.0

    def take_report(self, report: LoadReport, *, now: float) -> None:
        """Takes the load that the owner reported."""
        self.report = report
        self.reported_at = now
        busy = report.running + report.queued
        self.others = float(max(0, busy - self.outstanding))

    def take_refusal(self, retry_after_s: float, *, now: float) -> None:
        """Takes that the owner had no room."""
        self.full_until = now + min(retry_after_s, MAX_BACK_OFF_S)

    def take_failure(self, *, now: float) -> None:
        """Takes that a request failed at the owner or its target."""
        self.failures += 1
        over = self.failures - FAILURES_UNTIL_OUT
        if over >= 0:
            back_off_s = FAILED_BACK_OFF_S * (1 << min(over, 4))
            self.out_until = now + min(back_off_s, MAX_FAILED_BACK_OFF_S)

    def take_success(self) -> None:
        """Takes that a request was served."""
        self.failures = 0

    def takes_work(self) -> bool:
        """Returns whether the target is known to take new requests."""
        report = self.report
        return (
            report is not None
            and report.phase is TargetPhase.READY
            and report.slots > 0
        )

    def is_usable(self, *, now: float) -> bool:
        """Returns whether the owner is in reach and has not failed lately."""
        return self.alive and now >= self.out_until

    def estimate_wait_s(self, *, now: float) -> float:
        """Returns how long a new request would wait for a slot there."""
        report = self.report
        if report is None:
            return 0.0
        fading: float = 0.5 ** ((now - self.reported_at) / REPORT_HALF_LIFE_S)
        busy = self.outstanding + self.others * fading
        over = busy + 1 - report.slots
        wait_s = max(0.0, over) * report.service_s / max(report.slots, 1)
        return max(wait_s, self.full_until - now)


class _Rank(enum.IntEnum):
    """Order in which kinds of owner are chosen."""

    NEAR_IN_TIME = 0
    FAR_IN_TIME = 1
    NEAR = 2
    FAR_FREE = 3
    FAR_QUEUED = 4
    DOUBTFUL = 5


class _Reach(enum.Enum):
    """How requests may use owners of other data centres."""

    # They wait for slots there like the clients there.
    QUEUES = enum.auto()
    # They take slots there that nobody waits for.
    SPARE = enum.auto()
    # They do that only when the owners here have refused.
    LAST_RESORT = enum.auto()

    @classmethod
    def of_size(cls, size_kb: float) -> "_Reach":
        if size_kb <= MAX_QUEUED_FAR_KB:
            return cls.QUEUES
        return cls.SPARE if size_kb < MIN_KEPT_KB else cls.LAST_RESORT


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
        useful_s: float,
        excluded: Container[str],
        now: float,
    ) -> Choice | None:
        """Returns the owner for the next attempt, or None if there is none.

        Args:
            owners: The owners of the service.
            route: Name of the route.
            useful_s: Time within which an answer is of full use.
            excluded: Nodes that have been asked already.
            now: Event loop's time, in seconds.
        """
        working = [owner for owner in owners if owner.takes_work()]
        usable = [owner for owner in working if owner.is_usable(now=now)]
        has_near = any(owner.near for owner in usable)
        size_kb = self._size_kb.get(route, ASSUMED_KB)
        reach = _Reach.of_size(size_kb)
        best: OwnerView | None = None
        best_cost = (_Rank.DOUBTFUL, 0.0)
        for owner in usable or working:
            if owner.node in excluded:
                continue
            cost = self._assess(owner, useful_s, now, reach)
            if has_near and cost[0] >= _Rank.FAR_QUEUED:
                continue
            if best is None or cost < best_cost:
                best, best_cost = owner, cost
        if best is None:
            return None
        spare_only = reach is not _Reach.QUEUES and has_near and not best.near
        return Choice(best, spare_only=spare_only)

    def _assess(
        self,
        owner: OwnerView,
        useful_s: float,
        now: float,
        reach: "_Reach",
    ) -> tuple[_Rank, float]:
        """Returns the rank and, within it, the cost of an owner."""
        report = owner.report
        assert report is not None
        wait_s = owner.estimate_wait_s(now=now)
        # Between owners without a wait, the one with more free slots is the
        # better one: some targets slow down when nearly full.
        busy = (owner.outstanding + owner.others) / max(report.slots, 1)
        cost_s = wait_s + report.service_s * (1 + 0.3 * min(busy, 1.0))
        cost_s *= 1 + JITTER * self._rng.random()
        expected_s = wait_s + USUAL_SERVICE_FACTOR * report.service_s
        if not owner.is_usable(now=now):
            return _Rank.DOUBTFUL, cost_s
        if owner.near:
            in_time = expected_s <= useful_s
            return (_Rank.NEAR_IN_TIME if in_time else _Rank.NEAR), cost_s
        cost_s += REMOTE_ROUND_TRIP_S
        if wait_s > 0 and reach is not _Reach.QUEUES:
            return _Rank.FAR_QUEUED, cost_s
        in_time = (
            reach is not _Reach.LAST_RESORT
            and expected_s + REMOTE_ROUND_TRIP_S <= useful_s
        )
        return (_Rank.FAR_IN_TIME if in_time else _Rank.FAR_FREE), cost_s
