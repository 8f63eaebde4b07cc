"""Offered versions by source, with the failures of each source.

Each source has one offer, its newest. The state is bounded: when it is full,
the source with the most failures is evicted, or a version that the platform
has not announced.
"""

import random
from collections.abc import Callable, Iterator

import attrs

from guavawing.distribution.events import PLATFORM
from guavawing.distribution.history import VersionId
from guavawing.model import MemberId

__all__ = ["RETRY_MIN_S", "FetchOption", "Offers"]

MAX_SOURCES = 64
MAX_CANDIDATES = 64
MAX_REMOTE_DELAY_S = 1.5
RETRY_MIN_S = 0.25
RETRY_MAX_S = 4.0
# Failed fetches of a version after which the object store is read for it.
PULLS_BEFORE_OBJECT = 2
# Reads of an object that the platform has not announced. Bounds the load that
# false notices cause on the platform.
MAX_UNCONFIRMED_READS = 3
MAX_FAILURES = 16


@attrs.define
class _Source:
    """Offer and failures of one member.

    Attributes:
        offer: Version that it announced most recently.
        near: Whether it is in the node's own data centre.
        ready_at: Earliest time of the next fetch from it.
        failures: Number of consecutive failed fetches from it.
        busy: Whether a fetch from it is in flight.
    """

    offer: VersionId
    near: bool
    ready_at: float
    failures: int = 0
    busy: bool = False


@attrs.define
class _Candidate:
    """An announced version that is not in force.

    Attributes:
        failures: Number of failed fetches of it.
        on_platform: Whether the platform announced it.
        object_failures: Number of failed reads of its object.
        object_ready_at: Earliest time of the next read of its object.
        snapshot_only: Whether deltas are not requested.
        in_flight: Whether it is being fetched.
    """

    failures: int = 0
    on_platform: bool = False
    object_failures: int = 0
    object_ready_at: float = 0.0
    snapshot_only: bool = False
    in_flight: bool = False

    def may_read_object(self) -> bool:
        """Returns whether it may be read from the object store."""
        if self.on_platform:
            return True
        if self.failures < PULLS_BEFORE_OBJECT:
            return False
        return self.object_failures < MAX_UNCONFIRMED_READS


@attrs.frozen
class FetchOption:
    """A version and a source from which it can be fetched.

    Attributes:
        version: The version.
        source: The source.
        failures: Number of failures of the source.
        cost: Relative cost of the transfer; lower is better.
        ready_at: Earliest time of the fetch.
    """

    version: VersionId
    source: MemberId
    failures: int
    cost: int
    ready_at: float


class Offers:
    """Offers of members and of the platform."""

    __slots__ = ("_candidates", "_rng", "_sources")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._sources: dict[MemberId, _Source] = {}
        self._candidates: dict[VersionId, _Candidate] = {}

    @property
    def sources(self) -> int:
        """Number of members that offer a version or have failed."""
        return len(self._sources)

    def add(
        self,
        member: MemberId,
        version: VersionId,
        *,
        near: bool,
        delay_remote: bool,
        now: float,
    ) -> None:
        """Records the offer of a member.

        Args:
            member: The member.
            version: The offered version.
            near: Whether it is in the node's own data centre.
            delay_remote: Whether a new source in another data centre is used
                only after a random delay.
            now: Current time, in seconds.
        """
        source = self._sources.get(member)
        if source is not None:
            source.offer = version
            source.near = near
            self._add_candidate(version)
            return
        if len(self._sources) >= MAX_SOURCES and not self._evict_source():
            return
        wait_s = 0.0
        if not near and delay_remote:
            wait_s = self._rng.uniform(0.0, MAX_REMOTE_DELAY_S)
        self._sources[member] = _Source(version, near, now + wait_s)
        self._add_candidate(version)

    def confirm(self, version: VersionId) -> None:
        """Records that the platform announced a version."""
        self._add_candidate(version).on_platform = True

    def is_confirmed(self, version: VersionId) -> bool:
        """Returns whether the platform announced a version."""
        candidate = self._candidates.get(version)
        return candidate is not None and candidate.on_platform

    def options(self) -> Iterator[FetchOption]:
        """Yields all possible fetches, including those not ready yet."""
        for name, source in self._sources.items():
            candidate = self._candidates.get(source.offer)
            if candidate is None or candidate.in_flight or source.busy:
                continue
            yield FetchOption(
                source.offer,
                name,
                source.failures,
                0 if source.near else 1,
                source.ready_at,
            )
        for version, candidate in self._candidates.items():
            if candidate.in_flight:
                continue
            if candidate.may_read_object():
                yield FetchOption(
                    version,
                    PLATFORM,
                    candidate.object_failures,
                    2,
                    candidate.object_ready_at,
                )

    def begin(self, option: FetchOption) -> bool:
        """Records the start of a fetch; returns whether it may use deltas."""
        candidate = self._candidates[option.version]
        candidate.in_flight = True
        if option.source != PLATFORM:
            self._sources[option.source].busy = True
        return not candidate.snapshot_only

    def end(self, member: MemberId, version: VersionId) -> None:
        """Records the end of a fetch."""
        candidate = self._candidates.get(version)
        if candidate is not None:
            candidate.in_flight = False
        source = self._sources.get(member)
        if source is not None:
            source.busy = False

    def postpone(self, member: MemberId, ready_at: float) -> bool:
        """Delays fetches from a busy member; returns whether it is near."""
        source = self._sources.get(member)
        if source is None:
            return True
        source.ready_at = ready_at
        return source.near

    def require_snapshot(self, version: VersionId) -> None:
        """Disables deltas for further fetches of a version."""
        candidate = self._candidates.get(version)
        if candidate is not None:
            candidate.snapshot_only = True

    def record_success(self, member: MemberId) -> None:
        """Resets the failures of a source whose version was put in force."""
        source = self._sources.get(member)
        if source is not None:
            source.failures = 0

    def record_failure(
        self, member: MemberId, version: VersionId, now: float
    ) -> None:
        """Records a failed fetch and delays the next one by the backoff."""
        candidate = self._candidates.get(version)
        if candidate is not None:
            candidate.failures = min(candidate.failures + 1, MAX_FAILURES)
        if member == PLATFORM and candidate is not None:
            candidate.object_failures += 1
            candidate.object_failures = min(
                candidate.object_failures, MAX_FAILURES
            )
            wait_s = self._backoff(candidate.object_failures)
            candidate.object_ready_at = now + wait_s
        source = self._sources.get(member)
        if source is not None:
            source.failures = min(source.failures + 1, MAX_FAILURES)
            source.ready_at = now + self._backoff(source.failures)

    def retain(self, keep: Callable[[VersionId], bool]) -> None:
        """Removes candidates and offers of versions that `keep` rejects.

        Sources with failures are kept, otherwise a source that sends a false
        notice each time would lose its failure count with each.
        """
        self._candidates = {
            version: candidate
            for version, candidate in self._candidates.items()
            if keep(version)
        }
        self._sources = {
            name: source
            for name, source in self._sources.items()
            if source.busy or source.failures or keep(source.offer)
        }

    def _evict_source(self) -> bool:
        """Evicts the source with the most failures; False if none has any."""
        name, source = max(
            self._sources.items(), key=lambda item: item[1].failures
        )
        if source.failures == 0:
            return False
        del self._sources[name]
        return True

    def _add_candidate(self, version: VersionId) -> _Candidate:
        candidate = self._candidates.get(version)
        if candidate is None:
            if len(self._candidates) >= MAX_CANDIDATES:
                self._evict_candidate()
            candidate = self._candidates[version] = _Candidate()
        return candidate

    def _evict_candidate(self) -> None:
        def rank(item: tuple[VersionId, _Candidate]) -> tuple[bool, int]:
            return (not item[1].on_platform, item[1].failures)

        idle = [c for c in self._candidates.items() if not c[1].in_flight]
        del self._candidates[max(idle, key=rank)[0]]

    def _backoff(self, failures: int) -> float:
        max_s = min(RETRY_MIN_S * 2**failures, RETRY_MAX_S)
        return self._rng.uniform(max_s / 2, max_s)
