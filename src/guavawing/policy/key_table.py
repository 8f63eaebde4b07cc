"""Duplicate suppression at the owner: what has become of each bound key.

A key moves through these states and never back:

    unknown -> running -> finished
                       -> released

A released key was refused before the target got the request; it is never
executed afterwards, so the entry node may bind the call elsewhere.

Epochs bound the table. The owner counts epochs on its own clock and starts
only keys of the current epoch and the one before. Entries older than that
are dropped, and a repeat of such a key is told that it may have run.
"""

from collections import OrderedDict

import attrs

from guavawing.policy.bound_key import BoundKey
from guavawing.verdict import MayHaveRun, NotRun, Reason

__all__ = [
    "Begin",
    "Join",
    "KeyDecision",
    "KeyTable",
    "Reject",
    "Replay",
]

EPOCH_LENGTH_S = 300.0
EPOCHS_KEPT = 2
MAX_ENTRIES = 20_000


@attrs.frozen
class Begin:
    """The key is new; the caller of the table goes on with the call."""


@attrs.frozen
class Join:
    """The key is running; its answer is shared when it ends."""


@attrs.frozen
class Replay:
    """The key has finished with this answer.

    Attributes:
        answer: The value given to `KeyTable.finish`.
    """

    answer: object


@attrs.frozen
class Reject:
    """The key must not be executed."""

    verdict: NotRun | MayHaveRun


KeyDecision = Begin | Join | Replay | Reject


@attrs.frozen
class _Running:
    fingerprint: bytes


@attrs.frozen
class _Finished:
    fingerprint: bytes
    answer: object


@attrs.frozen
class _Released:
    pass


_Entry = _Running | _Finished | _Released


class KeyTable:
    """Outcomes of the bound keys of one owner incarnation."""

    __slots__ = ("_entries", "_incarnation", "_max_entries", "_started_at")

    def __init__(
        self,
        *,
        incarnation: int,
        now: float,
        max_entries: int = MAX_ENTRIES,
    ) -> None:
        self._incarnation = incarnation
        self._started_at = now
        self._max_entries = max_entries
        self._entries: OrderedDict[BoundKey, _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def epoch(self, *, now: float) -> int:
        """Returns the epoch that new keys carry."""
        return int((now - self._started_at) // EPOCH_LENGTH_S)

    def begin(
        self, key: BoundKey, fingerprint: bytes, *, now: float
    ) -> KeyDecision:
        """Decides what to do with a request that carries `key`.

        Args:
            key: Key bound to this owner.
            fingerprint: Digest of the request, to detect a key that is used
                for two different requests.
            now: Event loop's time, in seconds.
        """
        if key.incarnation != self._incarnation:
            return Reject(MayHaveRun(Reason.OWNER_REPLACED))
        entry = self._entries.get(key)
        match entry:
            case _Running() | _Finished():
                if entry.fingerprint != fingerprint:
                    return Reject(NotRun(Reason.KEY_REUSED))
                if isinstance(entry, _Finished):
                    return Replay(entry.answer)
                return Join()
            case _Released():
                return Reject(NotRun(Reason.KEY_RELEASED, 0.0))
            case None:
                return self._begin_unknown(key, fingerprint, now)

    def finish(self, key: BoundKey, answer: object) -> None:
        """Records the answer, or the uncertain end, of a running key."""
        entry = self._entries[key]
        assert isinstance(entry, _Running)
        self._entries[key] = _Finished(entry.fingerprint, answer)

    def release(self, key: BoundKey) -> None:
        """Records that a running key was refused before the target got it."""
        assert isinstance(self._entries[key], _Running)
        self._entries[key] = _Released()

    def _begin_unknown(
        self, key: BoundKey, fingerprint: bytes, now: float
    ) -> KeyDecision:
        epoch = self.epoch(now=now)
        if not epoch - EPOCHS_KEPT < key.epoch <= epoch:
            return Reject(MayHaveRun(Reason.KEY_EXPIRED))
        if len(self._entries) >= self._max_entries:
            self._drop_old_entries(epoch)
        if len(self._entries) >= self._max_entries:
            return Reject(NotRun(Reason.KEY_TABLE_FULL, EPOCH_LENGTH_S))
        self._entries[key] = _Running(fingerprint)
        return Begin()

    def _drop_old_entries(self, epoch: int) -> None:
        oldest_kept = epoch - EPOCHS_KEPT + 1
        dropped = [
            key
            for key, entry in self._entries.items()
            if key.epoch < oldest_kept and not isinstance(entry, _Running)
        ]
        for key in dropped:
            del self._entries[key]
