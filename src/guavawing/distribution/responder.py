"""Answers to pull requests for the version in force."""

import random

import attrs

from guavawing.distribution.applier import Version
from guavawing.distribution.compression import compress_payload
from guavawing.distribution.history import VersionHistory, VersionId
from guavawing.model import MemberId

__all__ = [
    "PullAnswer",
    "PullResponder",
    "RetryLater",
    "SendDelta",
    "SendNothing",
    "SendSnapshot",
]

MAX_RUNNING_PULLS = 8
RETRY_AFTER_MIN_S = 0.2
RETRY_AFTER_MAX_S = 1.0
MAX_SERVED = 16


@attrs.frozen
class SendDelta:
    """Answer: the delta from the base version of the puller."""

    delta: bytes


@attrs.frozen
class SendSnapshot:
    """Answer: the complete payload, compressed."""

    data: bytes


@attrs.frozen
class SendNothing:
    """Answer: no newer version is in force here."""


@attrs.frozen
class RetryLater:
    """Answer: too many pulls are in progress.

    Attributes:
        retry_after_s: Delay before the next request, in seconds.
        ask_instead: A member that has the version; empty if none is known.
    """

    retry_after_s: float
    ask_instead: MemberId


PullAnswer = SendDelta | SendSnapshot | SendNothing | RetryLater


class PullResponder:
    """Answers pulls; at most `limit` with content are in progress at a time."""

    __slots__ = (
        "_limit",
        "_rng",
        "_running",
        "_served",
        "_snapshot",
        "_version",
    )

    def __init__(
        self, rng: random.Random, *, limit: int = MAX_RUNNING_PULLS
    ) -> None:
        self._rng = rng
        self._limit = limit
        self._running = 0
        self._version = VersionId(0, b"")
        self._snapshot = b""
        self._served: list[MemberId] = []

    def begin(
        self,
        puller: MemberId,
        base: VersionId,
        current: Version,
        history: VersionHistory,
    ) -> PullAnswer:
        """Returns the answer to a pull.

        `end` must be called for each answer with a delta or a snapshot.
        """
        self._set_version(VersionId(current.number, current.digest))
        if current.number <= base.number:
            return SendNothing()
        if self._running >= self._limit:
            return RetryLater(
                self._rng.uniform(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S),
                self._pick_served(puller),
            )
        self._running += 1
        delta = history.find(base)
        if delta is not None:
            return SendDelta(delta)
        if not self._snapshot:
            self._snapshot = compress_payload(current.payload)
        return SendSnapshot(self._snapshot)

    def end(self, puller: MemberId, *, sent: VersionId | None) -> None:
        """Records the end of a pull; `sent` is None if it failed."""
        self._running -= 1
        if sent == self._version and puller not in self._served:
            self._served = [*self._served, puller][-MAX_SERVED:]

    def _set_version(self, version: VersionId) -> None:
        if version != self._version:
            self._version = version
            self._snapshot = b""
            self._served = []

    def _pick_served(self, puller: MemberId) -> MemberId:
        others = [member for member in self._served if member != puller]
        return self._rng.choice(others) if others else ""
