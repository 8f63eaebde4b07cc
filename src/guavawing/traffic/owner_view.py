"""State of one owner as an entry node observes it."""

import attrs

from guavawing.traffic.model import LoadReport, TargetPhase
from guavawing.traffic.rate_limiter import find_admitted_rate
from guavawing.traffic.slot_offers import HeldOffers

__all__ = ["OwnerView"]

# Half-life of the reported number of other nodes' requests, in seconds.
REPORT_HALF_LIFE_S = 0.4
# Weight of the newest transit time in the moving mean, and half-life of that
# mean without a new value, in seconds: queues on links build up and drain
# quickly with large answers.
TRANSIT_WEIGHT = 0.3
TRANSIT_HALF_LIFE_S = 1.0
# Weight of the newest transit time that is above the shortest recent one.
ROUND_TRIP_WEIGHT = 0.02
# Service time assumed for a target that has executed nothing yet, in seconds:
# short, so that it is chosen.
UNKNOWN_SERVICE_S = 0.02
# Maximum time for which an owner counts as full after a refusal, in seconds.
MAX_BACKOFF_S = 0.25
# First and maximum time of an ejection after consecutive failures, in seconds.
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
FAILURES_UNTIL_EJECTION = 3


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
        round_trip_s: Shortest recent transit time of small answers, in
            seconds; None if none was observed.
        failures: Consecutive failures.
        ejected_until: End of its last ejection after failures.
        offers: Its offers of free slots to this node.
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
    round_trip_s: float | None = None
    failures: int = 0
    ejected_until: float = 0.0
    offers: HeldOffers = attrs.field(factory=HeldOffers)

    def apply_report(self, report: LoadReport, *, now: float) -> None:
        """Applies a load report of the owner."""
        self.report = report
        self.reported_at = now
        self.sent_since_report = 0
        busy = report.running + report.queued
        self.others = float(max(0, busy - self.outstanding))

    def apply_own_report(
        self, report: LoadReport, *, free: bool, now: float
    ) -> None:
        """Applies the load of the owner on this VM, which is never outdated.

        Args:
            report: Its load.
            free: Whether it has a free slot that it has not offered.
            now: Event loop's time, in seconds.
        """
        self.apply_report(report, now=now)
        self.offers.clear()
        if free:
            self.offers.add(now=now)

    def record_sent(self, *, now: float) -> None:
        """Records that a request is sent to the owner."""
        self.offers.use(now=now)
        self.outstanding += 1
        self.sent_since_report += 1

    def observe_transit(
        self, transit_s: float, *, bulk: bool, now: float
    ) -> None:
        """Updates the transit time with that of a request and its answer."""
        known_s = self.expect_transit_s(bulk=bulk, now=now)
        self.transit_s[bulk] = known_s + TRANSIT_WEIGHT * (transit_s - known_s)
        self.transit_at[bulk] = now
        if not bulk:
            shortest_s = self.round_trip_s
            if shortest_s is None:
                shortest_s = transit_s
            rise_s = ROUND_TRIP_WEIGHT * (transit_s - shortest_s)
            self.round_trip_s = min(transit_s, shortest_s + rise_s)

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
        self.offers.clear()
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

    def count_free(self, *, now: float) -> int:
        """Returns the free slots after what was sent since the report.

        There are none while the target's rate limit allows no request.
        """
        report = self.report
        if report is None or self.estimate_limit_wait_s(now=now) > 0:
            return 0
        busy = report.running + report.queued + self.sent_since_report
        return report.slots - busy

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
