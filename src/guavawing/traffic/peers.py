"""The other nodes: their records, liveness and reported load."""

from collections.abc import Collection, Iterator

import attrs

from guavawing.traffic.model import (
    Incarnation,
    LoadReport,
    PeerRecord,
    TargetLimit,
    TargetRecord,
)
from guavawing.traffic.owner_view import OwnerView

__all__ = ["Peer", "PeerTable"]

# Number of beacon periods without a beacon after which a node is considered
# lost; the fraction allows for the jitter of timers.
MISSED_BEACONS = 3.3
# Number of beacon periods without a sign of a node after which others read the
# store in its place. One lost beacon causes an additional call at most, while a
# late one can make a version late.
HEARD_PERIODS = 1.6
# Silence after which a node is no longer sent every beacon, in seconds.
LONG_LOST_S = 12.0
# Maximum time that a restart of a node takes, in seconds.
MAX_RESTART_S = 4.0
# Share of a service's owners that may restart at the same time.
MAX_RESTARTING_SHARE = 0.2
# Minimum time between the last liveness evidence of a process and the first of
# its successor at the same address, in seconds.
MIN_RESTART_S = 0.5


@attrs.define
class Peer:
    """One other node.

    Attributes:
        record: Record that it announced.
        view: Load and health of its target.
        found_at: Event loop's time at which it was discovered, in seconds.
        version: Configuration version that it enforces.
        last_seen_at: Time of its last liveness evidence; None if there was
            none.
        sequence: Number of its last beacon.
        slots: Slots of its target, as last reported.
        departure: Announced departure of its target, if any.
        limit: Rate limit of its target, as last reported, if any.
        reaches_store: Whether it reports that it reaches the platform's store.
        beacon_requested: Whether it was requested to send its beacon, with
            what it has recorded about this node.
    """

    record: PeerRecord
    view: OwnerView
    found_at: float
    version: int = 0
    last_seen_at: float | None = None
    sequence: int = -1
    slots: int = 0
    departure: Incarnation | None = None
    limit: TargetLimit | None = None
    reaches_store: bool = True
    beacon_requested: bool = False

    @property
    def target_record(self) -> TargetRecord:
        """What is recorded about its target."""
        return TargetRecord(self.departure, self.limit)


class PeerTable:
    """Other nodes by address of their VM, and owners of each service."""

    __slots__ = ("_by_host", "_by_service", "_own_record")

    def __init__(self, me: PeerRecord, own_view: OwnerView) -> None:
        self._own_record = me
        self._by_host: dict[str, Peer] = {}
        self._by_service: dict[str, dict[str, OwnerView]] = {}
        self._by_service[me.service] = {me.host: own_view}

    def __len__(self) -> int:
        return len(self._by_host)

    def __iter__(self) -> Iterator[Peer]:
        return iter(self._by_host.values())

    def get(self, host: str) -> Peer | None:
        """Returns the node on a VM, or None."""
        return self._by_host.get(host)

    def near(self) -> list[Peer]:
        """Returns the other nodes of this data centre."""
        return [peer for peer in self if peer.view.near]

    def heard_near(self, *, now: float, period_s: float) -> list[Peer]:
        """Returns the near nodes of which there is recent liveness evidence.

        Args:
            now: Event loop's time, in seconds.
            period_s: Time between two beacons of a near node.
        """
        since = now - HEARD_PERIODS * period_s
        return [
            peer
            for peer in self.near()
            if peer.last_seen_at is not None and peer.last_seen_at >= since
        ]

    def far(self) -> list[Peer]:
        """Returns the nodes of other data centres."""
        return [peer for peer in self if not peer.view.near]

    def owners(self, service: str) -> Collection[OwnerView]:
        """Returns the owners of a service, this node included."""
        return self._by_service.get(service, {}).values()

    def has_many_restarting(self, service: str, *, now: float) -> bool:
        """Returns whether too many other owners of a service are restarting.

        An owner counts as restarting if its node reports that it accepts no
        requests, or has been silent for no longer than a restart takes.
        """
        restarting = owners = 0
        for peer in self:
            last_seen_at = peer.last_seen_at
            if peer.record.service != service or last_seen_at is None:
                continue
            silent_s = now - last_seen_at
            if silent_s >= MAX_RESTART_S:
                continue
            owners += 1
            silent = silent_s >= MISSED_BEACONS / 2
            restarting += silent or not peer.view.accepts_requests()
        return restarting > MAX_RESTARTING_SHARE * (owners + 1)

    def apply_record(self, record: PeerRecord, *, now: float) -> Peer | None:
        """Applies a node's record; returns None if own or stale.

        The address of a VM may be reassigned to a new VM with another service:
        the record with the later start wins. The clock may have been set back
        between two starts, so an earlier start also wins if the known process
        has sent no liveness evidence recently.
        """
        if record.host == self._own_record.host:
            return None
        known = self._by_host.get(record.host)
        if known is not None:
            if record == known.record:
                return known
            if self._is_stale(record, known, now):
                return None
            self._drop_view(known.record)
        view = OwnerView(
            record.host,
            local=False,
            near=record.data_centre == self._own_record.data_centre,
        )
        peer = Peer(record, view, now)
        if known is not None and known.record.service == record.service:
            peer.slots = known.slots
            peer.departure = known.departure
            peer.limit = known.limit
            # A row of the table has no start time of the process.
            peer.beacon_requested = (
                known.beacon_requested and not known.record.incarnation
            )
        self._by_host[record.host] = peer
        self._by_service.setdefault(record.service, {})[record.host] = view
        return peer

    def remove(self, host: str) -> None:
        """Removes a node permanently."""
        peer = self._by_host.pop(host, None)
        if peer is not None:
            self._drop_view(peer.record)

    def record_liveness(self, peer: Peer, *, now: float) -> bool:
        """Records liveness evidence; returns whether the node was lost."""
        returned = not peer.view.alive
        peer.last_seen_at = now
        peer.view.alive = True
        return returned

    def apply_load(self, peer: Peer, report: LoadReport, *, now: float) -> None:
        """Applies a node's report of its target's load."""
        peer.view.apply_report(report, now=now)
        if report.limit is not None:
            named = report.limit.per_s is not None
            peer.limit = report.limit if named else None

    def expire(
        self, *, now: float, near_period_s: float, far_period_s: float
    ) -> list[Peer]:
        """Marks silent nodes as lost and returns those newly marked.

        Args:
            now: Event loop's time, in seconds.
            near_period_s: Time between two beacons of a near node.
            far_period_s: Time between two beacons of a far node.
        """
        lost = []
        for peer in self._by_host.values():
            last_seen_at = (
                peer.found_at
                if peer.last_seen_at is None
                else peer.last_seen_at
            )
            period_s = near_period_s if peer.view.near else far_period_s
            if (
                peer.view.alive
                and now - last_seen_at > MISSED_BEACONS * period_s
            ):
                peer.view.alive = False
                lost.append(peer)
        return lost

    def is_long_lost(self, peer: Peer, *, now: float) -> bool:
        """Returns whether a node has been silent for `LONG_LOST_S`."""
        last_seen_at = (
            peer.found_at if peer.last_seen_at is None else peer.last_seen_at
        )
        return now - last_seen_at > LONG_LOST_S

    def has_available_owner(self, service: str) -> bool:
        """Returns whether any target of a service accepts requests."""
        return any(
            view.alive and view.accepts_requests()
            for view in self.owners(service)
        )

    def has_seen_any(self) -> bool:
        """Returns whether there is liveness evidence of any node."""
        return any(peer.last_seen_at is not None for peer in self)

    def _is_stale(self, record: PeerRecord, known: Peer, now: float) -> bool:
        if record.incarnation >= known.record.incarnation:
            return False
        if record.incarnation == 0:
            return True
        return (
            known.last_seen_at is not None
            and now - known.last_seen_at < MIN_RESTART_S
        )

    def _drop_view(self, record: PeerRecord) -> None:
        owners = self._by_service.get(record.service, {})
        owners.pop(record.host, None)
