"""How fresh the configuration of this node is proven to be.

Load: keyed requests at nodes that are cut off, frozen, slow or turned away by
the store while the operator withdraws keys. A withdrawn key must be dead a
stated time after the operator's change was acknowledged, at every node.

The proof is a time: that at which a question was sent whose answer showed that
this node had the newest version. Whatever was acknowledged before it is in
force here. The time of the arrival of an answer proves nothing, since the
answer may have waited while this process did not run.

Times are of a clock that never steps and counts while the VM is suspended, in
seconds.
"""

import collections
import math
from collections.abc import Sequence
from random import Random

import attrs

from guavawing.traffic.readers import rank_nodes

__all__ = [
    "ConfigFreshness",
    "FreshnessAnswer",
    "FreshnessTerms",
    "select_sources",
]

# Subtracted from the ages that are allowed, in seconds: rounding of ages in
# messages, and clocks that run apart by 0.1 % within the longest age.
MARGIN_S = 0.01
# Share of the allowed age after which a proof is renewed. A reader's proof is
# up to two such times old, and one more is added by each node that passes it
# on: two steps leave one for lost messages.
RENEWAL_SHARE = 0.2
# Time after a process's first read of the store, and after the store was
# restored from an older copy, before a read counts, in seconds: that in which
# nodes answer a greeting, and one beacon period with its jitter. Versions that
# the copy lacks are known from peers by then.
START_SETTLE_S = 0.3
RESTORE_SETTLE_S = 1.2
# Age of a new proof, as a share of the allowed age, above which another node is
# asked. Nodes of the third level of a data centre have up to 0.8 of it, just
# before they renew theirs.
RENEWED_SHARE = 0.7
# Part of the renewal time after which a question counts as unanswered, and
# shortest interval between two questions that requests cause.
TRY_PART = 0.25
DEMAND_PART = 0.1
# Renewal times for which a read of the store makes questions to peers needless.
READER_RENEWALS = 2.5
# Number of questions, and of answers about versions that are not in force yet,
# that are remembered.
MAX_REMEMBERED = 16
NONCE_BITS = 63
# Nodes that are asked when the first one did not answer.
NEAR_SOURCES, FAR_SOURCES = 2, 1
# Nodes that ask each node that passes proofs on.
FANOUT = 25


@attrs.frozen
class FreshnessTerms:
    """How old a proof may be.

    Attributes:
        within_s: Time after the acknowledgement of a version without a key
            after which no request with the key may be accepted, in seconds.
        apply_s: Time after the acknowledgement of a version with a new key
            after which no request with the key may be refused as unknown, in
            seconds.
    """

    within_s: float
    apply_s: float

    @property
    def renewal_s(self) -> float:
        """Age after which a proof is renewed, in seconds."""
        return RENEWAL_SHARE * self.within_s


@attrs.frozen
class FreshnessAnswer:
    """Answer to the question how fresh a node's configuration is.

    Attributes:
        version: Version in force at the node.
        age_s: Age of its proof when it answered, in seconds.
    """

    version: int
    age_s: float


class ConfigFreshness:
    """Proof of the age of the version in force.

    Attributes:
        terms: How old a proof may be.
        unanswered: Questions to peers in a row without a new proof.
    """

    __slots__ = (
        "_ahead",
        "_asked_at",
        "_confirmed_at",
        "_era",
        "_held_at",
        "_highest_heard",
        "_questions",
        "_rng",
        "_settled_at",
        "_version",
        "terms",
        "unanswered",
    )

    def __init__(self, terms: FreshnessTerms, *, rng: Random) -> None:
        """Creates the state of a process that has no proof.

        Args:
            terms: How old a proof may be.
            rng: Source of unpredictable nonces.
        """
        self.terms = terms
        self._rng = rng
        self._version = 0
        self._confirmed_at = -math.inf
        # Times at which the open questions to peers were sent, by nonce.
        self._questions: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._asked_at = -math.inf
        self.unanswered = 0
        # Proofs for versions that are not in force yet, by version.
        self._ahead: dict[int, float] = {}
        self._highest_heard = 0
        # Time from which reads of the store's current era count, and the time
        # of the last read before it.
        self._era: int | None = None
        self._settled_at = math.inf
        self._held_at = -math.inf

    def set_version(self, version: int) -> None:
        """Records that a version has come into force."""
        self._version = version
        for proven in [each for each in self._ahead if each <= version]:
            self._confirm(self._ahead.pop(proven))

    def record_peer_version(self, version: int) -> None:
        """Records the version in force at another node."""
        self._highest_heard = max(self._highest_heard, version)

    def record_store_read(
        self, asked_at: float, *, era: int, now: float
    ) -> None:
        """Records that the store's newest version has been applied.

        Args:
            asked_at: Time at which the store was asked.
            era: Era of the store in which it answered.
            now: Current time.
        """
        if era != self._era:
            starts = self._era is None
            self._era = era
            self._held_at = -math.inf
            settle_s = START_SETTLE_S if starts else RESTORE_SETTLE_S
            self._settled_at = now + settle_s
        self._held_at = max(self._held_at, asked_at)
        self._adopt_held(now)

    def is_due(self, *, now: float, demanded: bool = False) -> bool:
        """Returns whether peers are to be asked now.

        Args:
            now: Current time.
            demanded: Whether a request needs a younger proof.
        """
        renewal_s = self.terms.renewal_s
        since_s = now - self._asked_at
        if demanded:
            return since_s >= DEMAND_PART * renewal_s
        if now - self._held_at <= READER_RENEWALS * renewal_s:
            return False
        calm = self.is_renewed(now=now) and not self.unanswered
        return since_s >= renewal_s * (1.0 if calm else TRY_PART)

    def begin_round(self, *, now: float) -> None:
        """Records that peers are asked now."""
        self._asked_at = now
        self.unanswered += 1

    def make_nonce(self, *, now: float) -> int:
        """Returns the nonce of a question that is sent to a peer now."""
        nonce = self._rng.getrandbits(NONCE_BITS)
        self._questions[nonce] = now
        if len(self._questions) > MAX_REMEMBERED:
            self._questions.popitem(last=False)
        return nonce

    def answer(self, *, now: float) -> FreshnessAnswer | None:
        """Returns the answer to a question; None without a valid proof."""
        age_s = self.age_s(now=now)
        if age_s > self.terms.within_s:
            return None
        return FreshnessAnswer(self._version, age_s)

    def apply_answer(
        self, nonce: int, answer: FreshnessAnswer, *, now: float
    ) -> bool:
        """Applies an answer of a peer.

        Args:
            nonce: Nonce of the question that it answers.
            answer: The answer.
            now: Current time.

        Returns:
            Whether it is the first answer to an open question.
        """
        asked_at = self._questions.pop(nonce, None)
        if asked_at is None or asked_at > now:
            return False
        self.record_peer_version(answer.version)
        if not 0 <= answer.age_s < math.inf:
            return False
        # The peer answered later than it was asked, so this is not later than
        # the time of its proof.
        confirmed_at = asked_at - answer.age_s
        if answer.version <= self._version:
            self._confirm(confirmed_at)
        elif len(self._ahead) < MAX_REMEMBERED:
            known = self._ahead.get(answer.version, -math.inf)
            self._ahead[answer.version] = max(known, confirmed_at)
        if self.is_renewed(now=now):
            self.unanswered = 0
        return True

    def age_s(self, *, now: float) -> float:
        """Returns the age of the proof, in seconds; infinite without one."""
        self._adopt_held(now)
        return now - self._confirmed_at

    def is_renewed(self, *, now: float) -> bool:
        """Returns whether the proof is young enough until the next one."""
        return self.age_s(now=now) <= RENEWED_SHARE * self.terms.within_s

    def admits_keys(self, *, now: float) -> bool:
        """Returns whether a request that arrives now may use a key."""
        return self.age_s(now=now) <= self.terms.within_s - MARGIN_S

    def denies_keys(self, *, now: float) -> bool:
        """Returns whether a key that is not known may be called unknown."""
        allowed_s = min(self.terms.apply_s, self.terms.within_s)
        return self.age_s(now=now) <= allowed_s - MARGIN_S

    def _adopt_held(self, now: float) -> None:
        """Counts the last read of the store unless a version may be missing."""
        settled = now >= self._settled_at
        if settled and self._version >= self._highest_heard:
            self._confirm(self._held_at)

    def _confirm(self, confirmed_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, confirmed_at)


def select_sources(
    own: str,
    near: Sequence[str],
    far: Sequence[str],
    *,
    unanswered: int,
    readers: int,
    rng: Random,
) -> list[str]:
    """Selects the nodes to ask for a proof.

    The nodes of a data centre form a tree with the readers of the store at its
    root, and a node asks the one above it. If that does not answer, it asks
    other nodes at random, near ones and one in another data centre.

    Args:
        own: Address of this node.
        near: Other nodes of this data centre that are alive.
        far: Nodes of other data centres that are alive.
        unanswered: Questions in a row without a new proof.
        readers: Number of nodes of a data centre that read the store.
        rng: Source of the random choices.

    Returns:
        Addresses of the nodes.
    """
    if not unanswered and near:
        return [_find_parent(own, rank_nodes([own, *near]), readers)]
    sources = rng.sample(near, min(NEAR_SOURCES, len(near)))
    return sources + rng.sample(far, min(FAR_SOURCES, len(far)))


def _find_parent(own: str, ranked: Sequence[str], readers: int) -> str:
    """Returns the node above a node in the tree; of a reader, another one."""
    place = ranked.index(own)
    if place < readers:
        return ranked[0] if place else ranked[1]
    # First place of the level above, first place of the node's own level, and
    # number of nodes of the level above.
    above, level, width = 0, readers, readers
    while place >= level + width * FANOUT:
        above, level, width = level, level + width * FANOUT, width * FANOUT
    return ranked[above + (place - level) % width]
