"""Large bodies of requests on their way between two nodes.

Answers the load of uploads over links of 5 Mbit/s beside small requests: many
entry nodes send bodies to one owner, whose link would otherwise queue seconds
of them in front of every small message. The owner grants each body in parts,
so the bytes of bodies in front of a small message are bounded however many
nodes send. `now` is the event loop's time in seconds.
"""

from collections.abc import Hashable
from typing import Any

import attrs

from guavawing.verdict import NotRun, Reason

__all__ = [
    "MAX_HELD_BODY_BYTES",
    "ROOM_RETRY_AFTER_S",
    "BodyIntake",
    "BodyRoom",
    "Grant",
    "OutgoingBody",
]

# Bytes of large bodies that a node holds: a third of the memory of the
# smallest VMs, as a body is copied once when it is passed on.
MAX_HELD_BODY_BYTES = 64 * 1024 * 1024
# Time that the link needs for what a sender may be ahead of what has arrived,
# in seconds: several round trips in a data centre, and short for a small
# message that is queued behind it.
WINDOW_S = 0.02
MIN_WINDOW_BYTES = 8 * 1024
# Bodies that are granted at the same time: a second one uses the link while the
# sender of the first one is slow.
GRANTED_BODIES = 2
# Time without a part after which a granted body gives way to others, in
# seconds: above the time that a link of 5 Mbit/s needs for the grants of all.
STUCK_S = 0.6
# Retry-After in seconds while the memory for bodies is used up: about the time
# in which a link of 5 Mbit/s receives a body of 300 KB.
ROOM_RETRY_AFTER_S = 0.5
MIN_RETRY_AFTER_S = 0.04


class BodyRoom:
    """Memory for the large bodies that one node holds in both of its roles."""

    __slots__ = ("_limit", "held_bytes")

    def __init__(self, limit: int = MAX_HELD_BODY_BYTES) -> None:
        self._limit = limit
        self.held_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserves memory for a body or a part; False if there is none."""
        if self.held_bytes + size > self._limit:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Releases memory that was reserved."""
        self.held_bytes -= size


@attrs.frozen
class Grant:
    """Permission to send a body up to a position.

    Attributes:
        key: The body.
        until: Position in bytes from its start.
    """

    key: Any
    until: int


@attrs.define
class _Incoming:
    size: int
    moved_at: float
    received: int = 0
    granted: int = 0

    @property
    def rest(self) -> int:
        return self.size - self.received


class BodyIntake:
    """The bodies that an owner receives, and what their senders may send."""

    __slots__ = ("_bodies", "_bytes_per_s", "_window")

    def __init__(self, bytes_per_s: float) -> None:
        """Creates an intake without bodies.

        Args:
            bytes_per_s: Bandwidth of the owner's link that bodies may use.
        """
        self._bytes_per_s = bytes_per_s
        self._window = max(MIN_WINDOW_BYTES, int(bytes_per_s * WINDOW_S))
        self._bodies: dict[Hashable, _Incoming] = {}

    @property
    def rest_bytes(self) -> int:
        """Bytes of admitted bodies that have not arrived."""
        return sum(body.rest for body in self._bodies.values())

    def find_refusal(self, size: int, *, left_s: float) -> NotRun | None:
        """Returns a refusal of a body that can't arrive in time.

        Args:
            size: Size of the body, in bytes.
            left_s: Time within which it has to arrive, in seconds.
        """
        ahead = sum(
            body.rest for body in self._bodies.values() if body.rest <= size
        )
        late_s = (ahead + size) / self._bytes_per_s - left_s
        if late_s <= 0:
            return None
        return NotRun(Reason.QUEUE_FULL, max(late_s, MIN_RETRY_AFTER_S))

    def admit(self, key: Hashable, size: int, *, now: float) -> list[Grant]:
        """Adds a body; returns the grants that follow."""
        self._bodies[key] = _Incoming(size, now)
        return self._grant(now)

    def receive(
        self, key: Hashable, size: int, *, now: float
    ) -> tuple[bool, list[Grant]]:
        """Records a part of a body.

        Returns:
            Whether the body is complete, and the grants that follow.

        Raises:
            ValueError: If the part exceeds what was granted.
        """
        body = self._bodies[key]
        body.received += size
        body.moved_at = now
        if body.received > body.granted:
            raise ValueError(
                f"got {body.received} bytes of a body, granted {body.granted}"
            )
        complete = body.rest == 0
        if complete:
            del self._bodies[key]
        return complete, self._grant(now)

    def drop(self, key: Hashable, *, now: float) -> list[Grant]:
        """Removes a body that will not arrive; returns grants for others."""
        self._bodies.pop(key, None)
        return self._grant(now)

    def _grant(self, now: float) -> list[Grant]:
        """Extends the grants of the bodies with the shortest rests.

        A body that was granted and does not arrive, since its sender or the
        sender's link is stuck, comes after all others.
        """
        grants = []

        def find_order(item: tuple[Hashable, _Incoming]) -> tuple[bool, int]:
            body = item[1]
            silent_s = now - body.moved_at
            stuck = body.granted > body.received and silent_s > STUCK_S
            return stuck, body.rest

        first = sorted(self._bodies.items(), key=find_order)
        for key, body in first[:GRANTED_BODIES]:
            until = min(body.size, body.received + self._window)
            # Half a window at a time, to limit the number of messages.
            is_due = until - body.granted >= self._window // 2
            if is_due or (until == body.size and until > body.granted):
                if body.granted == body.received:
                    body.moved_at = now
                body.granted = until
                grants.append(Grant(key, until))
        return grants


@attrs.define
class OutgoingBody:
    """A body that an entry node sends as it is granted.

    Attributes:
        size: Size in bytes.
        sent: Bytes that were written.
        granted: Bytes that may be written.
    """

    size: int
    sent: int = 0
    granted: int = 0

    @property
    def rest(self) -> int:
        """Bytes that were not written."""
        return self.size - self.sent

    @property
    def is_sent(self) -> bool:
        """Whether it was written completely, so that it may run."""
        return self.sent == self.size

    def grant(self, until: int) -> None:
        """Applies a grant; earlier ones that arrive late have no effect."""
        self.granted = max(self.granted, min(until, self.size))

    def take(self, limit: int) -> tuple[int, int] | None:
        """Returns the bounds of the next piece, or None without a grant."""
        end = min(self.sent + limit, self.granted)
        if end <= self.sent:
            return None
        start, self.sent = self.sent, end
        return start, end
