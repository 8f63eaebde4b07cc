"""Client accounts by key.

Load: each request of a client carries a key, also wrong ones in any number.
Keys are found by their digest, so the time of a lookup depends on bits that
nobody can choose, and does not tell how much of a key was right. Keys
themselves are not kept.
"""

import hashlib
from collections.abc import Iterable

from guavawing.traffic.model import ClientAccount

__all__ = ["AccountTable", "digest_key"]


def digest_key(key: bytes) -> bytes:
    """Returns the digest by which a key is known."""
    return hashlib.sha256(key).digest()


class AccountTable:
    """The client accounts of one configuration version."""

    __slots__ = ("_by_digest", "_exist")

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        """Creates the table.

        Args:
            accounts: All accounts. A key of several accounts belongs to the
                first of them.
        """
        self._exist = False
        self._by_digest: dict[bytes, ClientAccount] = {}
        for account in accounts:
            self._exist = True
            for digest in account.key_digests:
                self._by_digest.setdefault(digest, account)

    def __bool__(self) -> bool:
        """Returns whether requests need a key."""
        return self._exist

    def find(self, key: bytes) -> ClientAccount | None:
        """Returns the account that holds a key, or None.

        Args:
            key: The key; empty if the request carries none.
        """
        return self._by_digest.get(digest_key(key)) if key else None
