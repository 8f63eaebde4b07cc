"""Choice of the owner node for one attempt of a call.

Power of two choices (Mitzenmacher, 2001) among a bounded subset of the
owners: of two random owners, the call goes to the one with the lower cost,
which is the number of this node's outstanding calls there times the recent
mean response time. Both are measured at this node, so a stale or wrong load
report cannot distort the choice. Owners in the local data centre are
preferred; others are used only when all local ones are full according to
their reports and refusals.
"""

import random
from collections.abc import Callable, Collection, Sequence

from guavawing.model import MemberId
from guavawing.policy.candidate import Candidate
from guavawing.policy.ejection import Ejector
from guavawing.policy.load import LoadReport, OwnerLoad, is_failure
from guavawing.policy.slow_start import SlowStart
from guavawing.policy.subset import Subset
from guavawing.verdict import Ran, Reason, Verdict

__all__ = ["Candidate", "Chooser", "LoadReport"]

# Number of owners of one service that an entry node uses: the limit applies to
# its own data centre and, separately, to all other data centres together.
SUBSET_SIZE = 16


class Chooser:
    """Selects owners by the load that this entry node observes."""

    __slots__ = ("_ejector", "_loads", "_rng", "_slow_start", "_subset")

    def __init__(
        self,
        rng: random.Random,
        *,
        entry_id: MemberId = "",
        subset_size: int = SUBSET_SIZE,
    ) -> None:
        """Creates a chooser without load data.

        Args:
            rng: Source of the random choices.
            entry_id: Id of this node; it determines the node's subsets.
            subset_size: Number of owners of one service that are used in this
                data centre, and in all others together.
        """
        self._rng = rng
        self._loads: dict[tuple[MemberId, int], OwnerLoad] = {}
        self._ejector = Ejector()
        self._slow_start = SlowStart()
        self._subset = Subset(entry_id, size=subset_size)

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        excluded: Collection[MemberId] = (),
        spill: bool = True,
        now: float = 0.0,
    ) -> Candidate | None:
        """Returns the owner for the next attempt, or None if there is none.

        Args:
            candidates: Live members whose targets serve the call.
            excluded: Members that have refused this call.
            spill: Whether owners of other data centres may be chosen.
            now: Event loop's time, in seconds.
        """
        local: list[Candidate] = []
        remote: list[Candidate] = []
        self._register_new(candidates, now)
        for each in candidates:
            is_draining = self._loads[each.key].is_draining(now=now)
            if not is_draining and each.id not in excluded:
                (local if each.local else remote).append(each)
        local = self._select(local, now)
        if not spill:
            remote = []
        chosen = self._choose_free(local, now)
        if chosen is None and remote:
            remote = self._select(remote, now)
            chosen = self._choose_free(remote, now)
        return chosen or self._choose_of_two(local or remote, now)

    def start(self, candidate: Candidate) -> None:
        """Registers an outstanding attempt."""
        self._load(candidate).start()

    def finish(
        self,
        candidate: Candidate,
        *,
        now: float = 0.0,
        verdict: Verdict | None = None,
        elapsed_s: float | None = None,
        list_peers: Callable[[], Sequence[Candidate]] = tuple,
    ) -> None:
        """Ends an outstanding attempt.

        Args:
            candidate: The owner that it was sent to.
            now: Event loop's time, in seconds.
            verdict: Its outcome; None if the caller cancelled.
            elapsed_s: Time from its start, in seconds.
            list_peers: Returns the candidates of the service, to compare the
                owner with. By default there are none, and the owner is
                not ejected.
        """
        load = self._load(candidate)
        mean_s = load.recent_elapsed_s(now=now)
        load.finish(now=now, verdict=verdict, elapsed_s=elapsed_s)
        if verdict is None:
            return
        if is_failure(verdict) and not _had_short_timeout(
            verdict, elapsed_s, mean_s
        ):
            self._ejector.record_failure(candidate.key)
        elif isinstance(verdict, Ran):
            self._ejector.record_success(candidate.key)
        if self._ejector.needs_evaluation(candidate.key):
            self._evaluate(candidate, list_peers(), now)

    def report(
        self, candidate: Candidate, load: LoadReport, *, now: float = 0.0
    ) -> None:
        """Applies a load report of an owner."""
        self._load(candidate).apply_report(load, now=now)

    def prune(self, known: Collection[tuple[MemberId, int]]) -> None:
        """Removes idle owners that are not among the `known` incarnations."""
        for key, load in tuple(self._loads.items()):
            if key not in known and load.outstanding == 0:
                del self._loads[key]
                self._ejector.remove(key)
                self._slow_start.remove(key)
                self._subset.remove(key[0])

    def key_epoch(self, candidate: Candidate) -> int | None:
        """Returns the key epoch that the owner last reported."""
        report = self._load(candidate).report
        return None if report is None else report.key_epoch

    def is_ejected(self, candidate: Candidate, *, now: float) -> bool:
        """Returns whether an owner is ejected."""
        return self._ejector.has_ejected(candidate.key, now=now)

    def _load(self, candidate: Candidate) -> OwnerLoad:
        load = self._loads.get(candidate.key)
        if load is None:
            load = self._loads[candidate.key] = OwnerLoad()
        return load

    def _register_new(
        self, candidates: Sequence[Candidate], now: float
    ) -> None:
        """Registers new candidates and puts them into slow start.

        If all candidates are new, none is put into slow start: there is no
        established owner that could serve the rest of the load.
        """
        new = [each for each in candidates if each.key not in self._loads]
        if not new:
            return
        warm = len(new) == len(candidates)
        for each in new:
            self._load(each)
            if not warm:
                self._slow_start.start(each.key, now=now)

    def _evaluate(
        self, candidate: Candidate, peers: Sequence[Candidate], now: float
    ) -> None:
        others = [
            (each.key, self._load(each).recent_elapsed_s(now=now))
            for each in peers
            if each.key != candidate.key
        ]
        if not others:
            return
        elapsed_s = self._load(candidate).recent_elapsed_s(now=now)
        if self._ejector.evaluate(candidate.key, elapsed_s, others, now=now):
            until = self._ejector.ejected_until(candidate.key)
            self._slow_start.start(candidate.key, now=until)

    def _is_full(self, candidate: Candidate, now: float) -> bool:
        return self._load(candidate).is_full(slots=candidate.slots, now=now)

    def _select(
        self, candidates: Sequence[Candidate], now: float
    ) -> list[Candidate]:
        """Returns the subset to use, without ejected owners.

        If every owner is ejected, all are used: a faulty one may still answer.
        """
        selected = list(candidates)
        if self._ejector.any_ejected(now=now):
            good = [c for c in selected if not self.is_ejected(c, now=now)]
            selected = good or selected
        selected = self._subset.pick(selected)
        if self._slow_start.any_started(now=now):
            ready = [c for c in selected if self._is_ready(c, now)]
            selected = ready or selected
        return selected

    def _is_ready(self, candidate: Candidate, now: float) -> bool:
        """Decides at random whether an owner in slow start is eligible."""
        share = self._slow_start.share(candidate.key, now=now)
        return share >= 1.0 or self._rng.random() < share

    def _choose_free(
        self, candidates: Sequence[Candidate], now: float
    ) -> Candidate | None:
        """Returns an owner that is not full, or None if all are.

        All candidates are checked only when a drawn one is full. Using the
        other drawn one then would send it calls without any comparison.
        """
        drawn = self._draw_two(candidates)
        if any(self._is_full(each, now) for each in drawn):
            free = [c for c in candidates if not self._is_full(c, now)]
            drawn = self._draw_two(free)
        return self._pick_cheaper(drawn, now) if drawn else None

    def _choose_of_two(
        self, candidates: Sequence[Candidate], now: float
    ) -> Candidate | None:
        if not candidates:
            return None
        return self._pick_cheaper(self._draw_two(candidates), now)

    def _draw_two(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Returns two distinct random candidates, or all if fewer."""
        count = len(candidates)
        if count <= 2:
            return list(candidates)
        first = int(self._rng.random() * count)
        second = int(self._rng.random() * (count - 1))
        second += second >= first
        return [candidates[first], candidates[second]]

    def _pick_cheaper(self, pair: list[Candidate], now: float) -> Candidate:
        if len(pair) == 1:
            return pair[0]
        loads = [self._load(each) for each in pair]
        elapsed = [load.recent_elapsed_s(now=now) for load in loads]
        costs = [
            (load.outstanding + 1) / max(each.slots, 1)
            for load, each in zip(loads, pair, strict=True)
        ]
        if None not in elapsed:
            costs = [
                cost * (elapsed_s or 0.0)
                for cost, elapsed_s in zip(costs, elapsed, strict=True)
            ]
        if costs[0] == costs[1]:
            return pair[self._rng.random() < 0.5]
        return pair[costs[1] < costs[0]]


def _had_short_timeout(
    verdict: Verdict, elapsed_s: float | None, mean_s: float | None
) -> bool:
    """Returns whether a call timed out before the recent mean time."""
    if verdict.reason is not Reason.TARGET_TIMEOUT:
        return False
    return mean_s is not None and (elapsed_s or 0.0) < mean_s
