"""Duplicate suppression at the owner: state and outcome of each bound key.

A key passes through these states in one direction only:

    unknown -> running -> finished
                       -> released

A released key was refused before the target received the request; it is never
executed afterwards, so the entry node may bind the call elsewhere. Every
`NotRun` that the table or the owner returns for a key is final in this sense,
except `KEY_REUSED`, which concerns another request.

Epochs bound the size of the table. The owner counts epochs on its own clock;
the current epoch and the previous one are *open*: an unknown key of them may
begin. The entries of a closed epoch are retained for `RETENTION_S`, so an
unknown key of it has certainly not begun, and a repeat of a known key gets its
answer. Then the epoch is dropped, and requests with its keys get `MayHaveRun`.

A full table closes all open epochs at once. Otherwise a refusal for lack of
space would not be final: a second copy of the request, still in a socket
buffer, could arrive after space became free, and begin.

A process may have to raise its incarnation while it runs. It remains
responsible for its earlier keys, and decides those with an earlier
incarnation by the same rules. Keys of another process with the same
incarnation are distinguished by their epoch, as each process counts epochs
from a random number.

Answers are kept up to a maximum size each and a maximum total size. An answer
that is not kept leaves its entry, which still records that the key has run.
"""

from collections import OrderedDict

import attrs

from guavawing.policy.bound_key import BoundKey
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason

__all__ = [
    "Begin",
    "Join",
    "KeyDecision",
    "KeyTable",
    "Reject",
    "Replay",
]

EPOCH_LENGTH_S = 300.0
RETENTION_S = 300.0
MAX_ENTRIES = 20_000
MAX_ANSWER_BYTES = 64 * 1024
MAX_KEPT_BYTES = 8 * 1024 * 1024


@attrs.frozen
class Begin:
    """The key is new and now running; the call must be executed."""


@attrs.frozen
class Join:
    """The key is running; the request gets the same answer when it ends."""


@attrs.frozen
class Replay:
    """The key has finished; the kept answer is returned.

    Attributes:
        answer: The value given to `KeyTable.finish`.
    """

    answer: object


@attrs.frozen
class Reject:
    """The key is not executed; the verdict states whether it has run."""

    verdict: NotRun | MayHaveRun | Ran


KeyDecision = Begin | Join | Replay | Reject


@attrs.frozen
class _Running:
    fingerprint: bytes


@attrs.frozen
class _Finished:
    fingerprint: bytes
    # None if the answer was not kept.
    answer: object | None


@attrs.frozen
class _Released:
    pass


_Entry = _Running | _Finished | _Released
_RELEASED = _Released()


@attrs.define
class _Epoch:
    """Entries of one epoch by nonce.

    Attributes:
        number: Number of the epoch.
        entries: Entries by the nonce of their keys.
        running: Number of running entries.
        closed_at: Event loop's time at which the epoch was closed, in seconds;
            None while it is open.
    """

    number: int
    entries: dict[str, _Entry] = attrs.field(factory=dict)
    running: int = 0
    closed_at: float | None = None


class KeyTable:
    """Outcomes of the bound keys of one owner process."""

    __slots__ = (
        "_epochs",
        "_first_incarnation",
        "_first_open",
        "_first_retained",
        "_incarnation",
        "_kept_bytes",
        "_kept_sizes",
        "_max_entries",
        "_max_kept_bytes",
        "_number",
        "_size",
        "_started_at",
    )

    def __init__(
        self,
        *,
        incarnation: int,
        now: float,
        first_epoch: int = 0,
        max_entries: int = MAX_ENTRIES,
        max_kept_bytes: int = MAX_KEPT_BYTES,
    ) -> None:
        self._first_incarnation = incarnation
        self._incarnation = incarnation
        self._max_entries = max_entries
        self._max_kept_bytes = max_kept_bytes
        self._number = first_epoch
        self._started_at = now
        self._first_open = first_epoch
        self._first_retained = first_epoch
        # Only epochs with entries, oldest first.
        self._epochs: OrderedDict[int, _Epoch] = OrderedDict()
        self._size = 0
        # Sizes of the kept answers by epoch and nonce, oldest first.
        self._kept_sizes: OrderedDict[tuple[int, str], int] = OrderedDict()
        self._kept_bytes = 0

    def __len__(self) -> int:
        return self._size

    @property
    def incarnation(self) -> int:
        """The incarnation that new keys carry."""
        return self._incarnation

    def raise_incarnation(self, incarnation: int) -> None:
        """Sets a higher incarnation of this process; a lower one is ignored."""
        self._incarnation = max(self._incarnation, incarnation)

    @property
    def kept_bytes(self) -> int:
        """Bytes of the answers that are kept."""
        return self._kept_bytes

    def epoch(self, *, now: float) -> int:
        """Returns the epoch that new keys carry."""
        passed = int((now - self._started_at) // EPOCH_LENGTH_S)
        if passed > 0:
            self._number += passed
            self._started_at += passed * EPOCH_LENGTH_S
            # The epoch before the current one stays open.
            self._close_before(self._number - 1, now)
        return self._number

    def begin(
        self, key: BoundKey, fingerprint: bytes, *, now: float
    ) -> KeyDecision:
        """Decides how to handle a request that carries `key`.

        Args:
            key: Key bound to this owner.
            fingerprint: Digest of the request, to detect a key that is used
                for two different requests.
            now: Event loop's time, in seconds.
        """
        if not self._first_incarnation <= key.incarnation <= self._incarnation:
            return Reject(MayHaveRun(Reason.OWNER_REPLACED))
        self.epoch(now=now)
        self._drop_epochs(now)
        match self._find(key):
            case _Running() | _Finished() as entry:
                return _decide_known(entry, fingerprint)
            case _Released():
                return Reject(NotRun(Reason.KEY_RELEASED, 0.0))
            case None:
                return self._begin_unknown(key, fingerprint, now)

    def finish(self, key: BoundKey, answer: object, *, size: int = 0) -> None:
        """Records the answer, or the uncertain outcome, of a running key.

        Args:
            key: A key for which `begin` returned `Begin`.
            answer: Answer to repeats of the request.
            size: Size of the kept answer, in bytes.
        """
        epoch = self._epochs[key.epoch]
        entry = epoch.entries[key.nonce]
        assert isinstance(entry, _Running)
        epoch.running -= 1
        kept = size <= min(MAX_ANSWER_BYTES, self._max_kept_bytes)
        epoch.entries[key.nonce] = _Finished(
            entry.fingerprint, answer if kept else None
        )
        if kept and size:
            self._kept_sizes[key.epoch, key.nonce] = size
            self._kept_bytes += size
            self._drop_answers()

    def release(self, key: BoundKey) -> None:
        """Records a refusal of a running key before it reached the target."""
        epoch = self._epochs[key.epoch]
        assert isinstance(epoch.entries[key.nonce], _Running)
        epoch.running -= 1
        epoch.entries[key.nonce] = _RELEASED

    def _find(self, key: BoundKey) -> _Entry | None:
        epoch = self._epochs.get(key.epoch)
        return None if epoch is None else epoch.entries.get(key.nonce)

    def _begin_unknown(
        self, key: BoundKey, fingerprint: bytes, now: float
    ) -> KeyDecision:
        if not self._first_retained <= key.epoch <= self._number:
            # The entry may have been dropped; or the epoch is a future one,
            # for which a refusal would not be final.
            return Reject(MayHaveRun(Reason.KEY_EXPIRED))
        if key.epoch < self._first_open:
            return Reject(NotRun(Reason.KEY_RELEASED, 0.0))
        if self._size >= self._max_entries:
            self._close_all(now)
            return Reject(NotRun(Reason.KEY_TABLE_FULL, RETENTION_S))
        epoch = self._epochs.get(key.epoch)
        if epoch is None:
            epoch = self._epochs[key.epoch] = _Epoch(key.epoch)
        epoch.entries[key.nonce] = _Running(fingerprint)
        epoch.running += 1
        self._size += 1
        return Begin()

    def _close_all(self, now: float) -> None:
        self._number += 1
        self._started_at = now
        self._close_before(self._number, now)

    def _close_before(self, number: int, now: float) -> None:
        self._first_open = max(self._first_open, number)
        for epoch in self._epochs.values():
            if epoch.number < self._first_open and epoch.closed_at is None:
                epoch.closed_at = now

    def _drop_epochs(self, now: float) -> None:
        while self._epochs:
            oldest = min(self._epochs)
            epoch = self._epochs[oldest]
            closed_at = epoch.closed_at
            if (
                closed_at is None
                or epoch.running
                or now < closed_at + RETENTION_S
            ):
                return
            del self._epochs[oldest]
            self._first_retained = oldest + 1
            self._size -= len(epoch.entries)
            for nonce in epoch.entries:
                size = self._kept_sizes.pop((oldest, nonce), 0)
                self._kept_bytes -= size

    def _drop_answers(self) -> None:
        while self._kept_bytes > self._max_kept_bytes:
            (number, nonce), size = self._kept_sizes.popitem(last=False)
            self._kept_bytes -= size
            entries = self._epochs[number].entries
            entry = entries[nonce]
            assert isinstance(entry, _Finished)
            entries[nonce] = _Finished(entry.fingerprint, None)


def _decide_known(
    entry: _Running | _Finished, fingerprint: bytes
) -> KeyDecision:
    if entry.fingerprint != fingerprint:
        return Reject(NotRun(Reason.KEY_REUSED))
    if isinstance(entry, _Running):
        return Join()
    if entry.answer is None:
        return Reject(Ran(Reason.ANSWER_NOT_KEPT))
    return Replay(entry.answer)
