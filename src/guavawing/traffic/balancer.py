"""Choice of the node whose target gets a request.

An owner is a node seen as the way to its target. What it costs to send a
request there is the time until the answer: the way, the wait for a slot and
the execution, as far as they are known here. Bytes between data centres cost
more than local ones, so an owner elsewhere must be better by a margin that
grows with the size of the answers.
"""

from collections.abc import Callable, Iterable
from random import Random

import attrs

from guavawing.traffic.model import LoadReport, TargetPhase

__all__ = ["Balancer", "OwnerView"]

# Time on the way to another data centre and back, in seconds, until measured.
REMOTE_ROUND_TRIP_S = 0.009
# Wait that one kilobyte between data centres is worth, in seconds.
REMOTE_S_PER_KB = 0.0015
# Wait for which no size of answers keeps work in its data centre, in seconds.
MAX_REMOTE_MARGIN_S = 0.25
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
# Weight of the newest size in the mean size of answers of a route.
SIZE_WEIGHT = 0.1
ASSUMED_ANSWER_KB = 4.0
ASSUMED_BULK_KB = 64.0


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

    def estimate_wait_s(self, *, now: float) -> float:
        """Returns how long a new request would wait for a slot there."""
        report = self.report
        if report is None:
            return 0.0
        fading: float = 0.5 ** ((now - self.reported_at) / REPORT_HALF_LIFE_S)
        busy = self.outstanding + self.others * fading
        over = busy + 1 - report.slots
        return max(0.0, over) * report.service_s / max(report.slots, 1)


class Balancer:
    """Chooses owners for the requests of one entry node."""

    __slots__ = ("_answer_kb", "_rng")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._answer_kb: dict[str, float] = {}

    def observe_size(self, route: str, size: int) -> None:
        """Takes the size of an answer and its request, in bytes."""
        size_kb = size / 1024
        mean = self._answer_kb.get(route, size_kb)
        self._answer_kb[route] = mean + SIZE_WEIGHT * (size_kb - mean)

    def choose(
        self,
        owners: Iterable[OwnerView],
        *,
        route: str,
        bulk: bool,
        excluded: Callable[[str], bool],
        now: float,
    ) -> OwnerView | None:
        """Returns the owner for the next attempt, or None if there is none.

        Owners that are out, full or unheard of are chosen only if there is
        no other.
        """
        margin_s = self._remote_margin_s(route, bulk)
        best: OwnerView | None = None
        best_cost = (2, 0.0)
        for owner in owners:
            if excluded(owner.node) or not owner.takes_work():
                continue
            usable = owner.alive and now >= owner.out_until
            rank = 0 if usable else 1
            cost = (rank, self._cost_s(owner, margin_s, now))
            if best is None or cost < best_cost:
                best, best_cost = owner, cost
        return best

    def _cost_s(self, owner: OwnerView, margin_s: float, now: float) -> float:
        report = owner.report
        assert report is not None
        wait_s = owner.estimate_wait_s(now=now)
        if now < owner.full_until:
            wait_s = max(wait_s, owner.full_until - now)
        # Between owners without a wait, the one with more free slots is the
        # better one: some targets slow down when nearly full.
        busy = (owner.outstanding + owner.others) / max(report.slots, 1)
        cost_s = wait_s + report.service_s * (1 + 0.3 * min(busy, 1.0))
        cost_s *= 1 + JITTER * self._rng.random()
        return cost_s if owner.near else cost_s + margin_s

    def _remote_margin_s(self, route: str, bulk: bool) -> float:
        assumed_kb = ASSUMED_BULK_KB if bulk else ASSUMED_ANSWER_KB
        size_kb = self._answer_kb.get(route, assumed_kb)
        margin_s = min(size_kb * REMOTE_S_PER_KB, MAX_REMOTE_MARGIN_S)
        return REMOTE_ROUND_TRIP_S + margin_s
