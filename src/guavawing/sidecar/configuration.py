"""Which version of the configuration is in force at this node."""

import asyncio
from collections.abc import Callable

from guavawing.errors import MessageInvalidError
from guavawing.platform.routing import decode_routing
from guavawing.platform.store_client import CONFIGURATION_KEY, RowChanges
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.model import Routing
from guavawing.traffic.peers import Peer

__all__ = ["Configuration"]

# Time that the store is given to tell of a version that a peer has already,
# in seconds.
STORE_FIRST_S = 0.3
# Shortest time between two questions to peers, in seconds.
ASK_PERIOD_S = 0.4


class Configuration:
    """Takes versions from the store and from peers, and only newer ones.

    Attributes:
        routing: The version in force, if any.
    """

    def __init__(
        self,
        *,
        on_version: Callable[[Routing], None],
        ask_peer: Callable[[Peer, int], None],
        log: DecisionLog,
        metrics: SidecarMetrics,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_version = on_version
        self._ask_peer = ask_peer
        self._log = log
        self._metrics = metrics
        self._asked_at = -ASK_PERIOD_S
        self._wanted: dict[int, float] = {}
        self.routing: Routing | None = None

    @property
    def version(self) -> int:
        """Number of the version in force; 0 if there is none."""
        return 0 if self.routing is None else self.routing.version

    def take_changes(self, changes: RowChanges, whole: bool) -> None:
        """Takes rows of the operator's table."""
        for _ in range(changes.unreadable):
            self._metrics.unreadable.inc({"source": "configuration"})
        for row in changes.rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                self.take_document(row.value, source="store")

    def take_document(self, document: bytes, *, source: str) -> None:
        """Puts a version in force whole if it is newer, or not at all."""
        try:
            routing = decode_routing(document)
        except MessageInvalidError as exc:
            self._metrics.unreadable.inc({"source": "configuration"})
            self._log.belief("version-unreadable", cause=str(exc))
            return
        if routing.version <= self.version:
            return
        before = self.version
        self.routing = routing
        self._wanted.clear()
        self._metrics.version.set({}, routing.version)
        self._log.belief(
            "version-in-force",
            version=routing.version,
            before=before,
            source=source,
            routes=len(routing.routes),
        )
        self._on_version(routing)

    def take_peer(self, peer: Peer) -> None:
        """Takes that a peer enforces a version, which may be newer."""
        if peer.version <= self.version:
            return
        now = self._loop.time()
        heard_at = self._wanted.setdefault(peer.version, now)
        waited_s = now - heard_at
        if self.routing is not None and waited_s < STORE_FIRST_S:
            self._loop.call_later(
                STORE_FIRST_S - waited_s + 0.01, self.take_peer, peer
            )
            return
        if now - self._asked_at >= ASK_PERIOD_S:
            self._asked_at = now
            self._ask_peer(peer, self.version)
