"""Claims: bindings of the callers' own idempotency keys, in the platform.

A caller may choose any key. The first entry node that sees it binds it to an
owner by inserting a row; whoever comes later, or loses the race, reads the
row and goes to the same owner. The row says only where the key belongs, not
whether it has run, so a reply lost after the write does no harm.
"""

import hashlib

import attrs

from guavawing.errors import (
    InvalidArgumentError,
    PlatformError,
    PlatformWriteUnknownError,
)
from guavawing.platform.client import (
    Platform,
    TransactionRefusedError,
    Write,
)
from guavawing.policy.bound_key import BoundKey, parse_bound_key

__all__ = ["Claim", "Claims"]

TABLE = "key-claims"


@attrs.frozen
class Claim:
    """Where a caller's key belongs.

    Attributes:
        name: Name of the row.
        key: The bound key in force.
        revision: Revision of the row.
    """

    name: str
    key: BoundKey
    revision: int


class Claims:
    """Reads and writes claims."""

    __slots__ = ("_platform",)

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def find(self, service: str, caller_key: str) -> Claim | None:
        """Returns the claim of a caller's key, or None if there is none.

        Raises:
            PlatformError: If the platform gives no usable answer.
        """
        return await self._read(_name_row(service, caller_key))

    async def bind(
        self,
        service: str,
        caller_key: str,
        key: BoundKey,
        *,
        released: Claim | None = None,
    ) -> Claim:
        """Binds a caller's key unless it is bound already.

        Args:
            service: Service that is called.
            caller_key: The key that the caller chose.
            key: Bound key to write.
            released: The claim to replace, whose owner has said that it
                will never execute it; None if there must be none.

        Returns:
            The claim in force afterwards, whoever wrote it.

        Raises:
            PlatformError: If the platform gives no usable answer.
        """
        name = _name_row(service, caller_key)
        revision = 0 if released is None else released.revision
        write = Write(TABLE, name, {"key": str(key)}, revision)
        try:
            await self._platform.transact((write,))
            return Claim(name, key, revision + 1)
        except (TransactionRefusedError, PlatformWriteUnknownError):
            claim = await self._read(name)
            if claim is None:
                raise
            return claim

    async def _read(self, name: str) -> Claim | None:
        row = await self._platform.read_row(TABLE, name)
        if row is None:
            return None
        try:
            return Claim(name, parse_bound_key(row.value["key"]), row.revision)
        except (InvalidArgumentError, KeyError) as exc:
            raise PlatformError(f"row {TABLE}/{name} is damaged") from exc


def _name_row(service: str, caller_key: str) -> str:
    return hashlib.sha256(f"{service}\0{caller_key}".encode()).hexdigest()
