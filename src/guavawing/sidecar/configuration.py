"""The configuration version in force at this node."""

import asyncio
import collections
from collections.abc import Callable

from guavawing.errors import MessageInvalidError
from guavawing.platform.routing import RoutingDecoder
from guavawing.platform.store_client import CONFIGURATION_KEY, RowChanges
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.mesh_messages import (
    ConfigFrame,
)
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.document_delta import (
    apply_delta,
    compress,
    decompress,
    make_delta,
)
from guavawing.traffic.model import Routing
from guavawing.traffic.peers import Peer

__all__ = ["Configuration"]

# Time in which a version that a peer already has is expected from the store
# before it is requested from the peer, in seconds.
STORE_PREFERENCE_S = 0.3
# Number of earlier versions kept as bases of deltas.
KEPT_VERSIONS = 6
STORE = "store"
PEER = "peer"
# Shortest interval between two requests to peers, in seconds.
REQUEST_PERIOD_S = 0.4


class Configuration:
    """Applies versions from the store and from peers, if they are newer.

    Attributes:
        routing: Routing of the version in force; None if there is none.
        holds_newest_read: Whether the newest version that was read from the
            store, or a later one, is in force.
    """

    def __init__(
        self,
        *,
        on_version: Callable[[Routing, bool], None],
        request_from_peer: Callable[[Peer, int], None],
        is_store_reader: Callable[[], bool],
        log: DecisionLog,
        metrics: SidecarMetrics,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_version = on_version
        self._request_from_peer = request_from_peer
        self._is_store_reader = is_store_reader
        self._log = log
        self._metrics = metrics
        self._requested_at = -REQUEST_PERIOD_S
        self._requested_from: Peer | None = None
        self._earlier: collections.deque[Routing] = collections.deque(
            maxlen=KEPT_VERSIONS
        )
        self._decoder = RoutingDecoder()
        # Updates to the version in force by the version that they start from.
        self._updates: dict[int, tuple[int, bytes]] = {}
        self._first_seen_at: dict[int, float] = {}
        self._retry_timer: asyncio.TimerHandle | None = None
        self.routing: Routing | None = None
        self.holds_newest_read = True

    @property
    def version(self) -> int:
        """The version in force; 0 if there is none."""
        return 0 if self.routing is None else self.routing.version

    def apply_changes(self, changes: RowChanges, complete: bool) -> None:
        """Applies changed rows of the configuration table."""
        for _ in range(changes.unreadable):
            self._metrics.unreadable.inc({"source": "configuration"})
        if changes.unreadable:
            self.holds_newest_read = False
        documents = [
            row.value
            for row in changes.rows
            if row.key == CONFIGURATION_KEY and row.value is not None
        ]
        # Versions in between are only of use if the newest one is invalid.
        for number, document in enumerate(reversed(documents)):
            is_valid = self.apply_document(document, source=STORE)
            if number == 0:
                self.holds_newest_read = is_valid
            if is_valid:
                break

    def apply_document(self, document: bytes, *, source: str) -> bool:
        """Puts a document in force if it is valid and newer.

        Returns:
            Whether it is valid, so that its version or a later one is in
            force.
        """
        try:
            routing = self._decoder.decode(document)
        except MessageInvalidError as exc:
            self._metrics.unreadable.inc({"source": "configuration"})
            self._log.state_change("version-unreadable", cause=str(exc))
            return False
        if routing.version <= self.version:
            return True
        before, earlier = self.version, self.routing
        # First, so that a version which can't be put in force is not recorded.
        self._on_version(routing, source == STORE)
        if earlier is not None:
            self._earlier.append(earlier)
        self.routing = routing
        self._updates.clear()
        known_s = self._known_s(routing.version)
        self._first_seen_at.clear()
        self._metrics.version.set({}, routing.version)
        self._log.state_change(
            "version-in-force",
            version=routing.version,
            before=before,
            source=source,
            routes=len(routing.routes),
            known_s=known_s,
        )
        return True

    def apply_config(self, config: ConfigFrame) -> None:
        """Applies a delta or document received from a peer."""
        try:
            if config.base == 0:
                document = decompress(config.payload)
            elif config.base == self.version and self.routing is not None:
                document = apply_delta(self.routing.document, config.payload)
            else:
                # Another version has been applied since the request.
                return
        except MessageInvalidError as exc:
            self._metrics.unreadable.inc({"source": "configuration"})
            self._log.state_change("version-unreadable", cause=str(exc))
            if config.base:
                self._request_document()
            return
        self.apply_document(document, source=PEER)

    def _request_document(self) -> None:
        """Requests the whole document after a delta that does not apply.

        The peer may know another document by the number of this version, so
        that no delta leads away from it.
        """
        peer, self._requested_from = self._requested_from, None
        if peer is not None:
            self._request(peer, before=0)

    def _request(self, peer: Peer, *, before: int) -> None:
        """Requests what a peer has after a version; 0 requests all of it."""
        self._requested_at = self._loop.time()
        self._log.state_change(
            "version-requested",
            version=peer.version,
            before=before,
            peer=peer.record.node,
            known_s=self._known_s(peer.version),
        )
        self._request_from_peer(peer, before)

    def _known_s(self, version: int) -> float | None:
        """Returns how long a peer is known to have a version, in seconds."""
        since = self._first_seen_at.get(version)
        return None if since is None else round(self._loop.time() - since, 3)

    def make_update(self, version: int) -> tuple[int, bytes] | None:
        """Encodes the update from a peer's version to the one in force.

        Returns:
            The base of a delta and the delta; 0 and the compressed document
            if the peer's version is not kept; None if it is not older than
            the one in force.
        """
        if self.routing is None or version >= self.version:
            return None
        for earlier in self._earlier:
            if earlier.version == version:
                return self._find_update(earlier, self.routing)
        return self._find_update(None, self.routing)

    def _find_update(
        self, base: Routing | None, routing: Routing
    ) -> tuple[int, bytes]:
        """Returns an update, encoded once for all peers that request it."""
        version = 0 if base is None else base.version
        update = self._updates.get(version)
        if update is None:
            if base is None:
                payload = compress(routing.document)
            else:
                payload = make_delta(base.document, routing.document)
            update = self._updates[version] = (version, payload)
        return update

    def handle_peer_version(self, peer: Peer) -> None:
        """Requests the version of a peer if it is newer.

        A node that reads the store gives the store time to deliver it first.
        """
        if peer.version <= self.version:
            return
        now = self._loop.time()
        first_seen_at = self._first_seen_at.setdefault(peer.version, now)
        waited_s = now - first_seen_at
        is_reader = self._is_store_reader()
        if (
            is_reader
            and self.routing is not None
            and waited_s < STORE_PREFERENCE_S
        ):
            self._loop.call_later(
                STORE_PREFERENCE_S - waited_s + 0.01,
                self.handle_peer_version,
                peer,
            )
            return
        if now - self._requested_at >= REQUEST_PERIOD_S:
            self._requested_from = peer
            self._request(peer, before=self.version)
        elif self._retry_timer is None:
            # The answer to the last request may be lost or outdated.
            self._retry_timer = self._loop.call_later(
                REQUEST_PERIOD_S, self._retry_request, peer
            )

    def _retry_request(self, peer: Peer) -> None:
        self._retry_timer = None
        self.handle_peer_version(peer)
