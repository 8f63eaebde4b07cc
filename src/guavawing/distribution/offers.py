"""Who offers which version, and how sources have behaved.

Each source has one offer, its newest. What is kept is bounded: of sources
the one that failed most gives way, of versions one that the platform has not
announced.
"""

import random
from collections.abc import Callable, Iterator

import attrs

from guavawing.distribution.events import PLATFORM
from guavawing.distribution.history import VersionId
from guavawing.model import MemberId

__all__ = ["RETRY_FIRST_S", "Offers", "Option"]

MAX_SOURCES = 64
MAX_CANDIDATES = 64
FAR_WAIT_S = 1.5
RETRY_FIRST_S = 0.25
RETRY_LONGEST_S = 4.0
# Failed pulls of a version after which the object store is asked for it.
PULLS_BEFORE_OBJECT = 2
# Reads of an object that only members have announced; a false notice must
# not cost the platform more.
MAX_HEARSAY_READS = 3
MAX_FAILURES = 16


@attrs.define
class _Source:
    """What one member offers, and how it has behaved.

    Attributes:
        offer: Version that it announced last.
        near: Whether it is in the node's own data centre.
        ready_at: When it may be asked.
        failures: Fetches from it that failed in a row.
        busy: Whether a fetch from it is in flight.
    """

    offer: VersionId
    near: bool
    ready_at: float
    failures: int = 0
    busy: bool = False


@attrs.define
class _Candidate:
    """A version that was announced and is not in force.

    Attributes:
        failures: Fetches of it that failed.
        on_platform: Whether the platform announced it.
        object_failures: Reads of its object that failed.
        object_ready_at: When its object may be read.
        whole: Whether deltas are not to be asked for.
        in_flight: Whether it is being fetched.
    """

    failures: int = 0
    on_platform: bool = False
    object_failures: int = 0
    object_ready_at: float = 0.0
    whole: bool = False
    in_flight: bool = False

    def wants_object(self) -> bool:
        """Returns whether the object store is a source of it."""
        if self.on_platform:
            return True
        if self.failures < PULLS_BEFORE_OBJECT:
            return False
        return self.object_failures < MAX_HEARSAY_READS


@attrs.frozen
class Option:
    """A version and a source to get it from.

    Attributes:
        version: The version.
        source: The source.
        failures: How often the source has failed.
        cost: How dear the way is; lower is better.
        ready_at: When the source may be asked.
    """

    version: VersionId
    source: MemberId
    failures: int
    cost: int
    ready_at: float


class Offers:
    """The offers of members and of the platform."""

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
        patient: bool,
        now: float,
    ) -> None:
        """Takes the offer of a member.

        Args:
            member: Who offers.
            version: What it offers.
            near: Whether it is in the node's own data centre.
            patient: Whether a new source far away is asked after a while
                only.
            now: Present time, in seconds.
        """
        source = self._sources.get(member)
        if source is not None:
            source.offer = version
            source.near = near
            self._add_candidate(version)
            return
        if len(self._sources) >= MAX_SOURCES and not self._drop_source():
            return
        wait_s = 0.0
        if not near and patient:
            wait_s = self._rng.uniform(0.0, FAR_WAIT_S)
        self._sources[member] = _Source(version, near, now + wait_s)
        self._add_candidate(version)

    def confirm(self, version: VersionId) -> None:
        """Takes the platform's word that it has a version."""
        self._add_candidate(version).on_platform = True

    def is_confirmed(self, version: VersionId) -> bool:
        """Returns whether the platform announced a version."""
        candidate = self._candidates.get(version)
        return candidate is not None and candidate.on_platform

    def options(self) -> Iterator[Option]:
        """Yields what could be fetched, whether its time has come or not."""
        for name, source in self._sources.items():
            candidate = self._candidates.get(source.offer)
            if candidate is None or candidate.in_flight or source.busy:
                continue
            yield Option(
                source.offer,
                name,
                source.failures,
                0 if source.near else 1,
                source.ready_at,
            )
        for version, candidate in self._candidates.items():
            if candidate.in_flight:
                continue
            if candidate.wants_object():
                yield Option(
                    version,
                    PLATFORM,
                    candidate.object_failures,
                    2,
                    candidate.object_ready_at,
                )

    def begin(self, option: Option) -> bool:
        """Takes the start of a fetch; returns whether deltas may be asked."""
        candidate = self._candidates[option.version]
        candidate.in_flight = True
        if option.source != PLATFORM:
            self._sources[option.source].busy = True
        return not candidate.whole

    def end(self, member: MemberId, version: VersionId) -> None:
        """Takes the end of a fetch."""
        candidate = self._candidates.get(version)
        if candidate is not None:
            candidate.in_flight = False
        source = self._sources.get(member)
        if source is not None:
            source.busy = False

    def postpone(self, member: MemberId, ready_at: float) -> bool:
        """Asks a busy member later; returns whether it is near."""
        source = self._sources.get(member)
        if source is None:
            return True
        source.ready_at = ready_at
        return source.near

    def refuse_deltas(self, version: VersionId) -> None:
        """Asks for a version as a whole from now on."""
        candidate = self._candidates.get(version)
        if candidate is not None:
            candidate.whole = True

    def praise(self, member: MemberId) -> None:
        """Takes a fetch that brought the version in force."""
        source = self._sources.get(member)
        if source is not None:
            source.failures = 0

    def punish(self, member: MemberId, version: VersionId, now: float) -> None:
        """Makes a source wait after a fetch that brought nothing."""
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

    def forget(self, keep: Callable[[VersionId], bool]) -> None:
        """Drops candidates and offers of versions that are done with.

        A source with failures keeps its record: else a source that lies
        with every notice would come fresh each time.
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

    def _drop_source(self) -> bool:
        """Forgets the source that failed most; returns whether one did."""
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
                self._drop_candidate()
            candidate = self._candidates[version] = _Candidate()
        return candidate

    def _drop_candidate(self) -> None:
        def rank(item: tuple[VersionId, _Candidate]) -> tuple[bool, int]:
            return (not item[1].on_platform, item[1].failures)

        idle = [c for c in self._candidates.items() if not c[1].in_flight]
        del self._candidates[max(idle, key=rank)[0]]

    def _backoff(self, failures: int) -> float:
        longest_s = min(RETRY_FIRST_S * 2**failures, RETRY_LONGEST_S)
        return self._rng.uniform(longest_s / 2, longest_s)
