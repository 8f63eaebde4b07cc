"""Outcomes of requests by route, as owners count them for the decider.

Counts are cumulative and belong to one series, so that a lost datagram loses
nothing and a restarted process starts another series.
"""

from collections.abc import Mapping

import attrs

from guavawing.traffic.durations import BUCKETS, find_bucket

__all__ = [
    "CountLedger",
    "OutcomeCounter",
    "OwnerCounts",
    "Series",
    "find_counts_period_s",
    "find_route",
]

# Maximum number of routes that are counted apart.
MAX_ROUTES = 24
OTHER_ROUTES = ""
# Counts a second that a decider gets of a large service, and the longest
# interval of those of one owner, in seconds.
MAX_COUNTS_PER_S = 1000
MAX_COUNTS_PERIOD_S = 3.0
# Slots of time kept apart by the ledger; older ones are added up.
MAX_SLOTS = 16
EARLIER_SLOTS = -1

Counts = list[int]


def find_counts_period_s(owners: int) -> float:
    """Returns the shortest interval of the counts of one owner, in seconds.

    Args:
        owners: Number of owners of the service.
    """
    return min(MAX_COUNTS_PERIOD_S, owners / MAX_COUNTS_PER_S)


def find_route(path: bytes) -> str:
    """Returns the name under which requests for a path are counted."""
    segments = path.split(b"/", 2)
    return segments[1].decode("latin-1") if len(segments) > 1 else OTHER_ROUTES


@attrs.frozen
class OwnerCounts:
    """Counts of one owner.

    Attributes:
        service: Service of its target.
        order_number: Number of the order for which it counts.
        release: Release of its target.
        series: Number of the series; it changes with the process and with the
            release.
        busy: Requests that its target executes or that wait for it.
        closed: Whether it refuses requests because of the roll-out.
        slots: Slots of its target; 0 unless it accepts requests.
        cold: Whether its target has just started.
        routes: Failures, then answers by bucket of duration, of each route.
        running: Buckets of the times for which requests run already, of each
            route.
    """

    service: str
    order_number: int
    release: str
    series: int
    busy: int
    closed: bool
    slots: int
    cold: bool
    routes: Mapping[str, tuple[int, ...]]
    running: Mapping[str, tuple[int, ...]] = attrs.field(factory=dict)


class OutcomeCounter:
    """Counts the outcomes at one target."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: dict[str, Counts] = {}

    def observe(self, path: bytes, *, failed: bool, seconds: float) -> None:
        """Counts an outcome.

        Args:
            path: Path of the request.
            failed: Whether the target failed it.
            seconds: Time from sending it to the outcome.
        """
        name = find_route(path)
        if name not in self._routes and len(self._routes) >= MAX_ROUTES:
            name = OTHER_ROUTES
        counts = self._routes.setdefault(name, [0] * (BUCKETS + 1))
        counts[0 if failed else 1 + find_bucket(seconds)] += 1

    def snapshot(self) -> dict[str, tuple[int, ...]]:
        """Returns the counts so far."""
        return {name: tuple(counts) for name, counts in self._routes.items()}


@attrs.define
class Series:
    """Last counts of one owner, and what the ledger adds up for it."""

    counts: OwnerCounts
    data_centre: str
    heard_at: float
    totals: dict[str, Counts] = attrs.field(factory=dict)


@attrs.define
class _Pair:
    """Counts of both sides in one slot of time, route and data centre."""

    old: Counts = attrs.field(factory=lambda: [0] * (BUCKETS + 1))
    new: Counts = attrs.field(factory=lambda: [0] * (BUCKETS + 1))
    # Limit and result of the last summary; None after a change.
    summary: tuple[int, tuple[int, int, int, int]] | None = None

    def summarize(self, limit: int) -> tuple[int, int, int, int]:
        """Returns outcomes and bad ones of the old and of the new release.

        Args:
            limit: First bucket that counts as slow.
        """
        if self.summary is None or self.summary[0] != limit:
            old, new = self.old, self.new
            found = (
                sum(old),
                old[0] + sum(old[1 + limit :]),
                sum(new),
                new[0] + sum(new[1 + limit :]),
            )
            self.summary = (limit, found)
        return self.summary[1]


class CountLedger:
    """Counts of all owners of a service, by route, data centre and time.

    Attributes:
        owners: Last counts of each owner by host.
        pairs: Counts by slot of time, route and data centre.
        old_totals: Counts of the old release by route.
    """

    def __init__(self, *, release: str, slot_s: float = 1.0) -> None:
        """Creates an empty ledger.

        Args:
            release: The new release.
            slot_s: Length of the slots of time, in seconds.
        """
        self._release = release
        self._slot_s = slot_s
        self._newest = EARLIER_SLOTS
        self.owners: dict[str, Series] = {}
        self.pairs: dict[tuple[int, str, str], _Pair] = {}
        self.old_totals: dict[str, Counts] = {}

    def apply(
        self, host: str, data_centre: str, counts: OwnerCounts, *, now: float
    ) -> None:
        """Adds what an owner has counted since its last counts."""
        known = self.owners.get(host)
        before: Mapping[str, tuple[int, ...]] = {}
        if known is not None and known.counts.series == counts.series:
            before = known.counts.routes
            if sum(map(sum, before.values())) > sum(
                map(sum, counts.routes.values())
            ):
                # An earlier datagram arrived late.
                return
        if known is None or known.counts.release != counts.release:
            known = self.owners[host] = Series(counts, data_centre, now)
        known.counts, known.heard_at = counts, now
        slot = int(now / self._slot_s)
        for route, after in counts.routes.items():
            earlier = before.get(route) or (0,) * len(after)
            delta = [b - a for a, b in zip(earlier, after, strict=True)]
            if not any(delta):
                continue
            pair = self.pairs.setdefault((slot, route, data_centre), _Pair())
            pair.summary = None
            sums = [known.totals.setdefault(route, [0] * (BUCKETS + 1))]
            if counts.release == self._release:
                sums.append(pair.new)
            else:
                old = self.old_totals.setdefault(route, [0] * (BUCKETS + 1))
                sums += [pair.old, old]
            for index, count in enumerate(delta):
                if count:
                    for each in sums:
                        each[index] += count
        self._merge_old_slots(slot)

    def find_overdue(
        self, limits: Mapping[str, int]
    ) -> dict[tuple[str, str, bool], int]:
        """Returns the requests that have run longer than a limit already.

        Args:
            limits: First bucket above the limit, by route.

        Returns:
            Their number by route, data centre and whether the release is the
            new one.
        """
        found: dict[tuple[str, str, bool], int] = {}
        for series in self.owners.values():
            for route, buckets in series.counts.running.items():
                limit = limits.get(route, BUCKETS)
                overdue = sum(bucket >= limit for bucket in buckets)
                if overdue:
                    key = (route, series.data_centre, self.is_new(series))
                    found[key] = found.get(key, 0) + overdue
        return found

    def is_new(self, series: Series) -> bool:
        """Returns whether an owner's target has the new release."""
        return series.counts.release == self._release

    def count(self, *, new: bool) -> int:
        """Returns the outcomes counted at one side."""
        return sum(
            sum(pair.new if new else pair.old) for pair in self.pairs.values()
        )

    def count_since(self, since: float) -> int:
        """Returns the outcomes of both sides in the slots from a time on."""
        first = int(since / self._slot_s)
        return sum(
            sum(pair.new) + sum(pair.old)
            for (slot, _, _), pair in self.pairs.items()
            if slot >= first
        )

    def _merge_old_slots(self, newest: int) -> None:
        if newest == self._newest:
            return
        self._newest = newest
        oldest = newest - MAX_SLOTS
        for key in [key for key in self.pairs if 0 <= key[0] < oldest]:
            pair = self.pairs.pop(key)
            merged = self.pairs.setdefault((EARLIER_SLOTS, *key[1:]), _Pair())
            merged.summary = None
            for index in range(BUCKETS + 1):
                merged.old[index] += pair.old[index]
                merged.new[index] += pair.new[index]
