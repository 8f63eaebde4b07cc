"""Validated requests of callers."""

import hashlib

import attrs

from guavawing.node.messages import CallAttempt
from guavawing.policy.bound_key import BoundKey
from guavawing.policy.keyed_call import KeyedCall, KeySource

__all__ = ["Call", "compute_fingerprint"]


@attrs.frozen
class Call:
    """A validated request of a caller.

    Attributes:
        attempt: The attempt to make, without a bound key.
        caller_key: Idempotency key that the caller chose; empty for none.
        bound_key: Bound key that the caller sent; None for none.
    """

    attempt: CallAttempt
    caller_key: str = ""
    bound_key: BoundKey | None = None

    def start_keyed(self) -> KeyedCall:
        """Returns the state machine of a non-idempotent call."""
        if self.bound_key is not None:
            return KeyedCall(KeySource.BOUND, self.bound_key)
        if self.caller_key:
            return KeyedCall(KeySource.CLAIMED)
        return KeyedCall(KeySource.MINTED)


def compute_fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Returns a digest that distinguishes requests with the same key."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
