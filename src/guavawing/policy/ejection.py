"""Outlier detection: owners that fail or are slow are ejected temporarily.

An owner is ejected after consecutive failures, or when its calls take far
longer than those of the other owners. At most a share of a service's owners
is ejected at a time: if many appear faulty, the cause is more likely at this
node or common to all of them, and the others could not carry the load.
"""

from collections.abc import Iterable

import attrs

__all__ = ["Ejector"]

FAILURES_UNTIL_EJECTION = 3
# An owner is an outlier when its mean call time exceeds the median of the
# other owners by this factor.
OUTLIER_RATIO = 4.0
MIN_OUTLIER_CALLS = 10
# Minimum number of other owners with a known time for a median.
MIN_PEERS = 2
MAX_EJECTED_SHARE = 1 / 3
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
# Time without an ejection after which the ejection time is reset to the first
# one.
EJECTION_RESET_S = 60.0


@attrs.define
class _Record:
    failures: int = 0
    calls: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class Ejector:
    """Failures and ejections of the owners."""

    __slots__ = ("_last_until", "_records")

    def __init__(self) -> None:
        self._records: dict[object, _Record] = {}
        self._last_until = 0.0

    def record_failure(self, owner: object) -> None:
        """Records a failed call."""
        self._get_record(owner).failures += 1

    def record_success(self, owner: object) -> None:
        """Records a call that was served."""
        record = self._get_record(owner)
        record.failures = 0
        record.calls += 1

    def needs_evaluation(self, owner: object) -> bool:
        """Returns whether `evaluate` must be called after the last call."""
        record = self._get_record(owner)
        if record.failures >= FAILURES_UNTIL_EJECTION:
            return True
        return record.calls > 0 and record.calls % MIN_OUTLIER_CALLS == 0

    def any_ejected(self, *, now: float) -> bool:
        """Returns whether any owner is ejected."""
        return now < self._last_until

    def has_ejected(self, owner: object, *, now: float) -> bool:
        """Returns whether an owner is ejected."""
        record = self._records.get(owner)
        return record is not None and now < record.ejected_until

    def ejected_until(self, owner: object) -> float:
        """Returns the end of an owner's last ejection; 0 if there was none."""
        record = self._records.get(owner)
        return 0.0 if record is None else record.ejected_until

    def evaluate(
        self,
        owner: object,
        elapsed_s: float | None,
        peers: Iterable[tuple[object, float | None]],
        *,
        now: float,
    ) -> bool:
        """Ejects an owner that fails or is slow, within the allowed share.

        Args:
            owner: The owner whose call has ended.
            elapsed_s: Mean time of its recent calls, in seconds, if known.
            peers: The other owners of the service with their mean times.
            now: Event loop's time, in seconds.

        Returns:
            Whether the owner was ejected.
        """
        record = self._get_record(owner)
        if now < record.ejected_until:
            return False
        peers = tuple(peers)
        failed = record.failures >= FAILURES_UNTIL_EJECTION
        slow = record.calls >= MIN_OUTLIER_CALLS and _is_outlier(
            elapsed_s, [known for _, known in peers if known is not None]
        )
        if not (failed or slow):
            return False
        out = sum(self.has_ejected(peer, now=now) for peer, _ in peers)
        if out + 1 > _count_allowed(len(peers) + 1):
            return False
        self._eject(record, now)
        return True

    def remove(self, owner: object) -> None:
        """Removes an owner."""
        self._records.pop(owner, None)

    def _eject(self, record: _Record, now: float) -> None:
        if now - record.ejected_until > EJECTION_RESET_S:
            record.ejections = 0
        length_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**record.ejections)
        record.ejections += 1
        record.ejected_until = now + length_s
        self._last_until = max(self._last_until, record.ejected_until)
        # One more failure after the ejection ejects the owner again.
        record.failures = FAILURES_UNTIL_EJECTION - 1
        record.calls = 0

    def _get_record(self, owner: object) -> _Record:
        record = self._records.get(owner)
        if record is None:
            record = self._records[owner] = _Record()
        return record


def _is_outlier(elapsed_s: float | None, others: list[float]) -> bool:
    if elapsed_s is None or len(others) < MIN_PEERS:
        return False
    return elapsed_s > OUTLIER_RATIO * _find_median(others)


def _find_median(values: list[float]) -> float:
    # Importing `statistics` would take half a MB of memory at each node.
    ordered = sorted(values)
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[-middle - 1]) / 2


def _count_allowed(owners: int) -> int:
    if owners == 1:
        return 0
    return max(1, int(owners * MAX_EJECTED_SHARE))
