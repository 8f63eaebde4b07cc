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

from guavawing.traffic.owner_view import OwnerView

__all__ = ["Balancer", "Choice"]

# Round-trip time assumed for other data centres while none was observed, in
# seconds.
ASSUMED_ROUND_TRIP_S = 0.009
# Wait for a slot up to which an owner counts as free, in seconds: an owner
# queues a request that cannot be answered in time for the same time.
FREE_WAIT_S = 0.03
# Number of owners that are compared for one request.
COMPARED_OWNERS = 2
# Share of requests sent to a random eligible owner, so that estimates are
# refreshed, also for an owner that was slow for its last request.
EXPLORED_SHARE = 0.03
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
        send_s: float = 0.0,
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
            send_s: Time in which this node's link sends a large body, in
                seconds; 0 for other requests.
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
        size_kb = self._size_kb.get(route, ASSUMED_KB)
        large = send_s > 0 or size_kb >= MIN_LARGE_KB
        round_trip_s = _find_round_trip_s(working)
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
                    send_s=send_s,
                    round_trip_s=round_trip_s,
                )
                if rank is _Rank.LIMITED:
                    continue
                if pressure is None or rank is not _Rank.FAR_EXCLUDED:
                    ranked.setdefault(rank, []).append((cost_s, owner))
        if not ranked:
            return None
        best = self._pick(ranked[min(ranked)], now)
        queues = best.near or _may_queue(best, pressure)
        return Choice(best, spare_only=not queues)

    def choose_named(
        self,
        owners: Collection[OwnerView],
        node: str,
        *,
        excluded: Container[str],
        now: float,
    ) -> Choice | None:
        """Returns the owner that another one has named, or None.

        Args:
            owners: The owners of the service.
            node: Node of the named owner.
            excluded: Nodes that the request has been sent to already.
            now: Event loop's time, in seconds.
        """
        for owner in owners:
            if (
                owner.node == node
                and node not in excluded
                and owner.is_usable(now=now)
                and owner.accepts_requests()
            ):
                return Choice(owner, spare_only=not owner.near)
        return None

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

    def _pick(
        self, costs: list[tuple[float, OwnerView]], now: float
    ) -> OwnerView:
        """Returns one of the owners of the same rank.

        All entry nodes have nearly the same, slightly outdated reports. If all
        chose the cheapest owner, they would overload one owner after the
        other, so each node compares `COMPARED_OWNERS` random owners. An owner
        that has offered this node a slot has offered it to no other node.
        """
        compared = costs
        if len(costs) > COMPARED_OWNERS:
            compared = self._rng.sample(costs, COMPARED_OWNERS)
        if self._rng.random() < EXPLORED_SHARE:
            return self._rng.choice(compared)[1]
        offered = [pair for pair in costs if pair[1].offers.has(now=now)]
        return min(offered or compared, key=lambda pair: pair[0])[1]

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
        send_s: float = 0.0,
        round_trip_s: float,
    ) -> tuple[_Rank, float]:
        """Returns the rank and, within it, the cost of an owner."""
        report = owner.report
        assert report is not None
        wait_s = owner.estimate_wait_s(now=now)
        # Among owners without a wait, the one with the larger share of free
        # slots is preferred: some targets slow down when nearly full.
        busy = (owner.outstanding + owner.others) / max(report.slots, 1)
        transit_s = owner.expect_transit_s(bulk=bulk, now=now)
        if send_s and not owner.local:
            transit_s += send_s + report.link_wait_s
        if not owner.near:
            known_s = owner.round_trip_s
            transit_s = max(
                transit_s, round_trip_s if known_s is None else known_s
            )
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
        if wait_s > 0 and not _may_queue(owner, pressure):
            return _Rank.FAR_EXCLUDED, cost_s
        if large and pressure is not None and pressure < MIN_LARGE_PRESSURE:
            return _Rank.FAR_EXCLUDED, cost_s
        in_time = not large and expected_s <= useful_s
        return (_Rank.FAR_IN_TIME if in_time else _Rank.FAR_FREE), cost_s


def _find_mean_s(owners: Collection[OwnerView], kind: int) -> float | None:
    """Returns the mean reported time of a kind; None if not reported."""
    reported = [
        owner.report.kind_s[kind]
        for owner in owners
        if owner.report is not None and kind in owner.report.kind_s
    ]
    return sum(reported) / len(reported) if reported else None


def _find_round_trip_s(owners: Collection[OwnerView]) -> float:
    """Returns the mean observed round-trip time to other data centres."""
    observed = [
        owner.round_trip_s
        for owner in owners
        if not owner.near and owner.round_trip_s is not None
    ]
    return sum(observed) / len(observed) if observed else ASSUMED_ROUND_TRIP_S


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
