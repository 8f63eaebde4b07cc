"""Bounded history of the versions in force at a node, stored as deltas."""

import collections

import attrs

from guavawing.distribution.delta import (
    Delta,
    compose_deltas,
    decode_delta,
    encode_delta,
)

__all__ = ["VersionHistory", "VersionId"]

MAX_STEPS = 64
MAX_HISTORY_BYTES = 256 * 1024


@attrs.frozen
class VersionId:
    """Identifies a version; the number alone may be shared by two documents.

    Attributes:
        number: Number of the version; 0 means none.
        digest: SHA-256 digest of number and payload.
    """

    number: int
    digest: bytes


@attrs.frozen
class _Step:
    """Transition from one version in force to the next.

    Attributes:
        base: The previous version.
        delta: Encoded delta to the next version.
    """

    base: VersionId
    delta: bytes


class VersionHistory:
    """Deltas between consecutive versions in force, the oldest first."""

    __slots__ = ("_encoded", "_size", "_steps")

    def __init__(self) -> None:
        self._steps: collections.deque[_Step] = collections.deque()
        self._size = 0
        self._encoded: dict[VersionId, bytes] = {}

    @property
    def size(self) -> int:
        """Size of the stored deltas, in bytes."""
        return self._size

    def record(self, base: VersionId, delta: Delta) -> None:
        """Appends the step from `base` to the version now in force."""
        step = _Step(base, encode_delta(delta))
        self._encoded.clear()
        self._steps.append(step)
        self._size += len(step.delta)
        while self._size > MAX_HISTORY_BYTES or len(self._steps) > MAX_STEPS:
            self._size -= len(self._steps.popleft().delta)

    def clear(self) -> None:
        """Removes all steps, when no delta leads to the version in force."""
        self._steps.clear()
        self._encoded.clear()
        self._size = 0

    def find(self, base: VersionId) -> bytes | None:
        """Returns the encoded delta from `base`, or None if not available."""
        if base in self._encoded:
            return self._encoded[base]
        total: Delta | None = None
        for step in self._steps:
            if total is not None:
                total = compose_deltas(total, decode_delta(step.delta))
            elif step.base == base:
                total = decode_delta(step.delta)
        if total is None:
            return None
        self._encoded[base] = encode_delta(total)
        return self._encoded[base]
