"""Bound keys: idempotency keys that name the one owner that may execute them.

A non-idempotent call is executed only under a bound key. The key contains the
owner node, the incarnation of its process and the owner's key epoch. Every
entry node therefore sends every repeat to the same process, and only that
process decides, from its in-memory key table, whether the call has run. The
decision depends neither on a lease nor on a membership view.
"""

import attrs

from guavawing.errors import InvalidArgumentError
from guavawing.model import MemberId

__all__ = ["NONCE_BYTES", "BoundKey", "is_bound_key", "parse_bound_key"]

PREFIX = "gw1"
SEPARATOR = "~"
_PART_COUNT = 5
MAX_KEY_LENGTH = 256
NONCE_BYTES = 9


@attrs.frozen
class BoundKey:
    """An idempotency key bound to one incarnation of one owner.

    Attributes:
        owner: Id of the owner node.
        incarnation: Incarnation of the owner's process.
        epoch: Key epoch of the owner when the key was made.
        nonce: Random part that makes the key unique within its epoch.
    """

    owner: MemberId
    incarnation: int
    epoch: int
    nonce: str

    def __str__(self) -> str:
        parts = (
            PREFIX,
            self.owner,
            str(self.incarnation),
            str(self.epoch),
            self.nonce,
        )
        return SEPARATOR.join(parts)


def is_bound_key(text: str) -> bool:
    """Returns whether `text` has the prefix of a bound key."""
    return text.startswith(PREFIX + SEPARATOR)


def parse_bound_key(text: str) -> BoundKey:
    """Parses a bound key.

    Raises:
        InvalidArgumentError: If `text` is not a bound key.
    """
    parts = text.split(SEPARATOR)
    well_formed = (
        len(text) <= MAX_KEY_LENGTH
        and len(parts) == _PART_COUNT
        and parts[0] == PREFIX
        and parts[2].isdecimal()
        and parts[3].isdecimal()
        and all(parts)
    )
    if not well_formed:
        raise InvalidArgumentError(
            f"got key {text[:MAX_KEY_LENGTH]!r}, expected"
            f" {PREFIX}~OWNER~INCARNATION~EPOCH~NONCE"
        )
    return BoundKey(parts[1], int(parts[2]), int(parts[3]), parts[4])
