"""Owner side of large bodies: grants, parts and the memory for them."""

import asyncio
import weakref
from collections.abc import Iterable
from typing import Protocol

import attrs

from guavawing.errors import MessageInvalidError
from guavawing.sidecar.owner import Owner
from guavawing.traffic.model import Attempt
from guavawing.traffic.uploads import (
    ROOM_RETRY_AFTER_S,
    BodyIntake,
    BodyRoom,
    Grant,
)
from guavawing.verdict import NotRun, Reason

__all__ = ["BodyReceiver"]


class GrantSink(Protocol):
    """Connection on which the parts of a body arrive."""

    def send_grant(self, frame_id: int, until: int) -> None:
        """Sends a grant to the entry node."""


@attrs.define(eq=False)
class _Part:
    attempt: Attempt
    size: int
    content: bytearray = attrs.field(factory=bytearray)


class BodyReceiver:
    """The bodies that arrive at this owner."""

    def __init__(self, owner: Owner, room: BodyRoom) -> None:
        self._loop = asyncio.get_running_loop()
        self._owner = owner
        self._room = room
        self._intake = BodyIntake(owner.pacer.bytes_per_s)
        self._parts: dict[tuple[GrantSink, int], _Part] = {}
        owner.pacer.count_pending(lambda: self._intake.rest_bytes)

    def begin(
        self, sink: GrantSink, frame_id: int, attempt: Attempt, size: int
    ) -> NotRun | None:
        """Admits a body, or returns the refusal of its request."""
        now = self._loop.time()
        refusal = self._owner.find_early_refusal(attempt)
        if refusal is None:
            refusal = self._intake.find_refusal(
                size, left_s=attempt.deadline - now
            )
        if refusal is None and not self._room.reserve(size):
            refusal = NotRun(Reason.OVERLOADED_PEER, ROOM_RETRY_AFTER_S)
        if refusal is not None:
            self._owner.record_refused_body(attempt, refusal, size=size)
            return refusal
        key = (sink, frame_id)
        self._parts[key] = _Part(attempt, size)
        self._send(self._intake.admit(key, size, now=now))
        return None

    def receive(
        self, sink: GrantSink, frame_id: int, piece: bytes
    ) -> Attempt | None:
        """Adds a piece; returns the attempt once its body is complete.

        Raises:
            MessageInvalidError: If the piece was not granted.
        """
        key = (sink, frame_id)
        part = self._parts.get(key)
        if part is None:
            # It was refused while the piece was in transit.
            return None
        try:
            complete, grants = self._intake.receive(
                key, len(piece), now=self._loop.time()
            )
        except ValueError as exc:
            raise MessageInvalidError(str(exc)) from exc
        part.content += piece
        self._send(grants)
        if not complete:
            return None
        del self._parts[key]
        attempt = attrs.evolve(part.attempt, body=bytes(part.content))
        # The body stays in memory until the attempt has ended.
        release = weakref.finalize(attempt, self._room.release, part.size)
        release.atexit = False
        return attempt

    def drop(self, sink: GrantSink, frame_id: int) -> bool:
        """Discards an incomplete body; returns whether there was one."""
        part = self._parts.pop((sink, frame_id), None)
        if part is None:
            return False
        self._room.release(part.size)
        key = (sink, frame_id)
        self._send(self._intake.drop(key, now=self._loop.time()))
        return True

    def drop_all(self, sink: GrantSink) -> None:
        """Discards the incomplete bodies of a closed connection."""
        for each, frame_id in tuple(self._parts):
            if each is sink:
                self.drop(sink, frame_id)

    def _send(self, grants: Iterable[Grant]) -> None:
        for grant in grants:
            sink, frame_id = grant.key
            sink.send_grant(frame_id, grant.until)
