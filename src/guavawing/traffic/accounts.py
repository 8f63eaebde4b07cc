"""Client accounts by key.

Load: each request of a client carries a key, also wrong ones in any number.
Keys are found by their digest, so the time of a lookup depends on bits that
nobody can choose, and does not tell how much of a key was right. Keys
themselves are not kept.
"""

import enum
import hashlib
import itertools
from collections.abc import Iterable

from guavawing.traffic.model import ClientAccount

__all__ = ["AccountTable", "KeyState", "digest_key"]

# Withdrawn keys that are remembered, so that a refusal can name the reason.
MAX_WITHDRAWN = 1_000


class KeyState(enum.StrEnum):
    """Why a key belongs to no account."""

    MISSING = "missing"
    WITHDRAWN = "withdrawn"
    UNKNOWN = "unknown"


def digest_key(key: bytes) -> bytes:
    """Returns the digest by which a key is known."""
    return hashlib.sha256(key).digest()


class AccountTable:
    """The client accounts of one configuration version."""

    __slots__ = ("_by_digest", "_exist", "_withdrawn")

    def __init__(
        self,
        accounts: Iterable[ClientAccount],
        *,
        earlier: "AccountTable | None" = None,
    ) -> None:
        """Creates the table.

        Args:
            accounts: All accounts. A key of several accounts belongs to the
                first of them.
            earlier: Table of the previous version.
        """
        self._exist = False
        self._by_digest: dict[bytes, ClientAccount] = {}
        for account in accounts:
            self._exist = True
            for digest in account.key_digests:
                self._by_digest.setdefault(digest, account)
        # The most recently withdrawn first.
        before: Iterable[bytes] = ()
        if earlier is not None:
            before = itertools.chain(earlier._by_digest, earlier._withdrawn)
        gone = (each for each in before if each not in self._by_digest)
        self._withdrawn: dict[bytes, None] = dict.fromkeys(
            itertools.islice(gone, MAX_WITHDRAWN)
        )

    def __bool__(self) -> bool:
        """Returns whether requests need a key."""
        return self._exist

    def find(self, key: bytes) -> ClientAccount | None:
        """Returns the account that holds a key, or None.

        Args:
            key: The key; empty if the request carries none.
        """
        return self._by_digest.get(digest_key(key)) if key else None

    def explain(self, key: bytes) -> KeyState:
        """Returns why a key belongs to no account, as far as is known."""
        if not key:
            return KeyState.MISSING
        withdrawn = digest_key(key) in self._withdrawn
        return KeyState.WITHDRAWN if withdrawn else KeyState.UNKNOWN
