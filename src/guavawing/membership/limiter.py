"""Rate limits for received datagrams, per peer and for all peers."""

import attrs

from guavawing.model import Address

__all__ = ["PeerLimiter"]

PER_PEER_PER_S = 100.0
PER_PEER_BURST = 200.0
ALL_PEERS_PER_S = 1_000.0
ALL_PEERS_BURST = 2_000.0
MAX_PEERS = 4_096


@attrs.define
class _Bucket:
    per_s: float
    burst: float
    tokens: float
    filled_at: float

    def acquire(self, now: float) -> bool:
        passed_s = max(0.0, now - self.filled_at)
        self.tokens = min(self.burst, self.tokens + passed_s * self.per_s)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class PeerLimiter:
    """One token bucket for each address, and one for all addresses."""

    __slots__ = ("_all", "_peers")

    def __init__(self, *, now: float) -> None:
        self._all = _Bucket(
            ALL_PEERS_PER_S, ALL_PEERS_BURST, ALL_PEERS_BURST, now
        )
        self._peers: dict[Address, _Bucket] = {}

    def admit(self, peer: Address, *, now: float) -> bool:
        """Returns whether a datagram is within the limits, and counts it."""
        bucket = self._peers.get(peer)
        if bucket is None:
            if len(self._peers) >= MAX_PEERS:
                self._peers.clear()
            bucket = _Bucket(
                PER_PEER_PER_S, PER_PEER_BURST, PER_PEER_BURST, now
            )
            self._peers[peer] = bucket
        return bucket.acquire(now) and self._all.acquire(now)
