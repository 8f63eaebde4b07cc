"""Choice of the owner node for one attempt of a call.

Power of two choices (Mitzenmacher, 2001) on the load that owners report with
their answers, plus what this node has outstanding at each of them.
"""

import random
from collections.abc import Collection, Sequence

import attrs

from guavawing.model import MemberId

__all__ = ["Candidate", "Chooser", "LoadReport"]


@attrs.frozen
class Candidate:
    """A member that may own the call.

    Attributes:
        id: Id of the member.
        incarnation: Incarnation of its process.
        local: Whether it is in this node's data centre.
        slots: Slots that it announced.
    """

    id: MemberId
    incarnation: int
    local: bool
    slots: int


@attrs.frozen
class LoadReport:
    """What an owner said of its load with an answer.

    Attributes:
        slots: Calls that its target executes at a time.
        running: Calls that hold a slot.
        queued: Calls that wait for a slot.
        draining: Whether it refuses new calls.
        key_epoch: Epoch that new keys bound to it carry.
    """

    slots: int
    running: int
    queued: int
    draining: bool
    key_epoch: int


@attrs.define
class _Tracked:
    outstanding: int = 0
    report: LoadReport | None = None
    outstanding_at_report: int = 0


class Chooser:
    """Loads of the owners as one entry node sees them."""

    __slots__ = ("_rng", "_tracked")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._tracked: dict[tuple[MemberId, int], _Tracked] = {}

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        excluded: Collection[MemberId] = (),
        spill: bool = True,
    ) -> Candidate | None:
        """Returns the owner for the next attempt, or None if there is none.

        Args:
            candidates: Live members whose targets serve the call.
            excluded: Members that have refused this call.
            spill: Whether owners of other data centres may be chosen.
        """
        usable = [
            candidate
            for candidate in candidates
            if candidate.id not in excluded and not self._drains(candidate)
        ]
        local = [candidate for candidate in usable if candidate.local]
        if not spill:
            return self._choose_of_two(local)
        if local and not all(self._is_full(each) for each in local):
            return self._choose_of_two(local)
        return self._choose_of_two(usable)

    def start(self, candidate: Candidate) -> None:
        """Counts an attempt as outstanding."""
        self._track(candidate).outstanding += 1

    def finish(self, candidate: Candidate) -> None:
        """Ends an outstanding attempt."""
        self._track(candidate).outstanding -= 1

    def report(self, candidate: Candidate, load: LoadReport) -> None:
        """Takes the load that an owner reported."""
        self._track(candidate).report = load

    def forget(self, known: Collection[tuple[MemberId, int]]) -> None:
        """Drops idle owners that are not among the `known` incarnations."""
        for key, tracked in tuple(self._tracked.items()):
            if key not in known and tracked.outstanding == 0:
                del self._tracked[key]

    def key_epoch(self, candidate: Candidate) -> int | None:
        """Returns the key epoch that the owner last reported."""
        report = self._track(candidate).report
        return None if report is None else report.key_epoch

    def _track(self, candidate: Candidate) -> _Tracked:
        key = (candidate.id, candidate.incarnation)
        return self._tracked.setdefault(key, _Tracked())

    def _drains(self, candidate: Candidate) -> bool:
        report = self._track(candidate).report
        return report is not None and report.draining

    def _is_full(self, candidate: Candidate) -> bool:
        return self._load(candidate) >= 1.0

    def _load(self, candidate: Candidate) -> float:
        tracked = self._track(candidate)
        busy = tracked.outstanding
        if tracked.report is not None:
            reported = tracked.report.running + tracked.report.queued
            busy = max(busy, reported)
        return busy / max(candidate.slots, 1)

    def _choose_of_two(
        self, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        pair = self._rng.sample(candidates, 2)
        return min(pair, key=self._load)
