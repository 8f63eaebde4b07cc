"""State of the target beside a node, derived mainly from its heartbeats."""

from guavawing.model import Address
from guavawing.traffic.model import (
    Incarnation,
    TargetLimit,
    TargetNotice,
    TargetPhase,
    TargetReport,
)

__all__ = ["TargetState"]

# Slots assumed for a target that has only answered a health check, until its
# heartbeat or a peer reports them: few, so that it is not overloaded.
ASSUMED_SLOTS = 4
# Time after the departure of a target with an unknown start time during which
# its heartbeats are ignored as late ones, in seconds; after that they may be
# those of a new process with the same id.
LATE_HEARTBEAT_S = 5.0
# Maximum number of recorded departures: far above the number of targets that
# start on one VM while heartbeats or health checks of an earlier one may still
# arrive.
MAX_DEPARTURES = 32


class TargetState:
    """Derives a phase from heartbeats, departures and refused connections.

    Attributes:
        target_id: Id of the current incarnation; empty if none is known.
        slots: Requests that the target executes concurrently.
        release: Release of its software; empty if not known.
        limit_per_s: Requests per second that it accepts from all nodes
            together, as named in its answers; None without a limit.
        phase: Phase of the target; it accepts requests in `READY`.
        draining_since: Event loop's time at which it began to drain, in
            seconds; None if it does not.
    """

    __slots__ = (
        "_address",
        "_announced",
        "_born_ms",
        "_cold_until",
        "_departures",
        "_limit_known",
        "_limit_named_at",
        "_peer_limit",
        "_probed",
        "_sequence",
        "_service",
        "draining_since",
        "limit_per_s",
        "phase",
        "release",
        "slots",
        "target_id",
    )

    def __init__(self, service: str, address: Address) -> None:
        self._service = service
        self._address = address
        self._born_ms = 0
        self._sequence = -1
        self._cold_until = 0.0
        self._departures: dict[Incarnation, float] = {}
        self._limit_named_at = 0.0
        # Whether the current process was found by a health check, before its
        # start time was known.
        self._probed = False
        # Whether the current process has announced its departure to this node,
        # not only to an earlier process of it.
        self._announced = False
        # Whether an answer of the current process has shown its limit.
        self._limit_known = False
        # Limit that peers recorded before this process started.
        self._peer_limit: TargetLimit | None = None
        self.target_id = ""
        self.slots = 0
        self.release = ""
        self.limit_per_s: float | None = None
        self.phase = TargetPhase.UNKNOWN
        self.draining_since: float | None = None

    @property
    def incarnation(self) -> Incarnation:
        """The current process of the target."""
        return Incarnation(self.target_id, self._born_ms)

    @property
    def limit(self) -> TargetLimit | None:
        """Limit of the current process; None if it is not known."""
        if not self._limit_known and self.limit_per_s is None:
            return None
        return TargetLimit(self.incarnation, self.limit_per_s)

    @property
    def departure(self) -> Incarnation | None:
        """Announced departure of the latest target, if any."""
        if self.draining_since is not None:
            return self.incarnation
        if self.phase is TargetPhase.UNKNOWN and self._departures:
            return next(reversed(self._departures))
        return None

    def is_own_target(self, report: TargetReport) -> bool:
        """Returns whether a heartbeat is from the target beside this node."""
        return (
            report.service == self._service
            and report.address == self._address
            and report.slots > 0
        )

    def is_cold(self, *, now: float) -> bool:
        """Returns whether the target is still slow after its start."""
        return now < self._cold_until

    def introduces(self, report: TargetReport, *, now: float) -> bool:
        """Returns whether a heartbeat would make another process current."""
        if self._is_probed(report, now):
            return False
        same = report.id == self.target_id and report.born_ms == self._born_ms
        return not same and self._supersedes(report, now)

    def apply_report(self, report: TargetReport, *, now: float) -> bool:
        """Applies a heartbeat.

        A heartbeat of an earlier process, or one that arrives out of order, is
        ignored.

        Returns:
            Whether the target, its phase or its slots changed.
        """
        if self._is_probed(report, now):
            self._born_ms = report.born_ms
            if self.draining_since is not None:
                self._record_departure(self.incarnation, now)
        same = report.id == self.target_id and report.born_ms == self._born_ms
        if same and report.sequence <= self._sequence:
            return False
        if not same and not self._supersedes(report, now):
            return False
        before = self._announced_state()
        if not same:
            self._probed = self._announced = False
            self.draining_since = None
            self.phase = TargetPhase.UNKNOWN
        self.target_id = report.id
        self._born_ms = report.born_ms
        if not same:
            self._limit_known = False
            self._adopt_peer_limit()
        self._sequence = report.sequence
        self.slots = report.slots
        self.release = report.release
        self._cold_until = now + report.cold_s
        if report.draining or self.draining_since is not None:
            self._start_draining(now)
        else:
            self.phase = TargetPhase.READY
        return before != self._announced_state()

    def _announced_state(self) -> tuple[object, ...]:
        """Returns what other nodes are told of when it changes."""
        return (
            self.target_id,
            self._born_ms,
            self.phase,
            self.slots,
            self.release,
        )

    def apply_probe(self, target_id: str) -> bool:
        """Applies a passed health check of a target without heartbeats.

        Returns:
            Whether the target became ready by it.
        """
        if self.phase is not TargetPhase.UNKNOWN or self.target_id:
            return False
        if any(
            departure.target_id == target_id for departure in self._departures
        ):
            return False
        self.target_id = target_id
        self.slots = self.slots or ASSUMED_SLOTS
        self.phase = TargetPhase.READY
        self._probed = True
        self._adopt_peer_limit()
        return True

    def apply_peer_slots(self, slots: int) -> bool:
        """Applies the slots reported by a peer until a heartbeat is received.

        Returns:
            Whether the slots changed.
        """
        if self._sequence >= 0 or slots == self.slots:
            return False
        self.slots = slots
        return True

    def apply_known_limit(self, limit: TargetLimit, *, now: float) -> bool:
        """Applies the limit that a peer recorded from an earlier process.

        What the target states to this process takes precedence.

        Returns:
            Whether the limit in force changed.
        """
        if limit.per_s is None or self._limit_known:
            return False
        known = self._peer_limit
        if (
            known is not None
            and known.per_s is not None
            and known.incarnation == limit.incarnation
            and known.per_s <= limit.per_s
        ):
            return False
        self._peer_limit = limit
        before = self.limit_per_s
        self._adopt_peer_limit()
        self._limit_named_at = now
        return before != self.limit_per_s

    def apply_known_departure(
        self, departure: Incarnation, *, now: float
    ) -> bool:
        """Applies a departure announced to an earlier process of this node.

        Returns:
            Whether the phase changed.
        """
        self._departures.setdefault(departure, now)
        self._trim_departures()
        if self.phase is not TargetPhase.READY:
            return False
        if departure.target_id != self.target_id:
            return False
        # The start time is unknown if only a health check was received.
        if self._born_ms not in (0, departure.born_ms):
            return False
        self._start_draining(now)
        return True

    def apply_departure(
        self, target_id: str, *, now: float, born_ms: int = 0
    ) -> bool:
        """Applies the departure that a target announces.

        Args:
            target_id: Id of the target.
            now: Event loop's time, in seconds.
            born_ms: Start of its process, Unix time in milliseconds; 0 if not
                given.

        Returns:
            Whether the phase changed.
        """
        if target_id != self.target_id:
            # This process started after the target's last heartbeat.
            self._record_departure(Incarnation(target_id, born_ms), now)
            return False
        if born_ms and self._born_ms and born_ms != self._born_ms:
            self._record_departure(Incarnation(target_id, born_ms), now)
            if born_ms < self._born_ms:
                # It is a late call of an earlier process.
                return False
        if self.phase is TargetPhase.GONE:
            return False
        started = self._born_ms or born_ms
        self._record_departure(Incarnation(target_id, started), now)
        before = self.phase
        self._announced = True
        self._start_draining(now)
        return before is not self.phase

    def apply_notice(
        self,
        notice: TargetNotice,
        *,
        incarnation: Incarnation,
        sent_at: float,
        now: float,
    ) -> bool:
        """Applies what a target states about itself in an answer.

        A departure binds like one that it announces by a call. Answers may
        arrive out of order, so a limit is dropped only by the answer to a
        request that was sent after the limit was last named.

        Args:
            notice: The statements.
            incarnation: Process of the target to which the request was sent.
            sent_at: Event loop's time at which it was sent, in seconds.
            now: Event loop's time, in seconds.

        Returns:
            Whether the limit or the phase changed.
        """
        if notice.leaving:
            self._record_departure(incarnation, now)
        if not self._is_current(incarnation):
            return False
        before = (self.limit_per_s, self.phase)
        if notice.leaving and self.phase is not TargetPhase.GONE:
            self._announced = True
            self._start_draining(now)
        self._limit_known = True
        if notice.limit_per_s is not None:
            self.limit_per_s = notice.limit_per_s
            self._limit_named_at = now
        elif not notice.names_limit and sent_at >= self._limit_named_at:
            self.limit_per_s = None
        return before != (self.limit_per_s, self.phase)

    def record_refused_connection(self) -> bool:
        """Records that nothing listens at the target's address.

        Returns:
            Whether the phase changed.
        """
        if self.phase in (TargetPhase.GONE, TargetPhase.UNKNOWN):
            return False
        self.phase = TargetPhase.GONE
        return True

    def _adopt_peer_limit(self) -> None:
        """Sets the limit that a peer recorded for the current process."""
        limit = self._peer_limit
        self.limit_per_s = None
        self._limit_named_at = 0.0
        if limit is None or limit.incarnation.target_id != self.target_id:
            return
        born_ms = limit.incarnation.born_ms
        # The start time is unknown if only a health check was received.
        if 0 in (self._born_ms, born_ms) or self._born_ms == born_ms:
            self.limit_per_s = limit.per_s

    def _supersedes(self, report: TargetReport, now: float) -> bool:
        departure = Incarnation(report.id, report.born_ms)
        if report.born_ms and departure in self._departures:
            return False
        left_at = self._departures.get(Incarnation(report.id, 0))
        if left_at is not None and now - left_at < LATE_HEARTBEAT_S:
            return False
        return not self.target_id or report.born_ms >= self._born_ms

    def _is_probed(self, report: TargetReport, now: float) -> bool:
        """Returns whether a heartbeat is the first of a probed target.

        The start time of such a target is unknown until then. If it drains,
        the heartbeat is that of a new process with its id, unless the target
        has announced its departure to this node just before.
        """
        if report.id != self.target_id or self._born_ms != 0:
            return False
        since = self.draining_since
        if since is None:
            return True
        return self._announced and now - since < LATE_HEARTBEAT_S

    def _is_current(self, incarnation: Incarnation) -> bool:
        """Returns whether a process is the current one of the target."""
        if incarnation.target_id != self.target_id:
            return False
        # The request may have been sent before the start time was known.
        started = incarnation.born_ms
        return started == self._born_ms or (started == 0 and self._probed)

    def _record_departure(self, departure: Incarnation, now: float) -> None:
        self._departures[departure] = now
        self._trim_departures()

    def _trim_departures(self) -> None:
        if len(self._departures) > MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]

    def _start_draining(self, now: float) -> None:
        if self.draining_since is None:
            self.draining_since = now
        self.phase = TargetPhase.DRAINING
