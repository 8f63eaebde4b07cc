"""Readiness of a node for requests of clients on its VM."""

import asyncio

from guavawing.sidecar.entry import Entry
from guavawing.sidecar.freshness import Freshness
from guavawing.sidecar.owner import Owner
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable

__all__ = ["Readiness"]

# Time after the first configuration for which readiness waits for targets of
# all services and for a proof that it is the newest one, in seconds: the period
# of beacons.
START_TIMEOUT_S = 1.0


class Readiness:
    """Decides whether clients may send requests to this VM.

    Attributes:
        stopping: Whether this process stops.
    """

    def __init__(
        self,
        entry: Entry,
        owner: Owner,
        own_view: OwnerView,
        peers: PeerTable,
        freshness: Freshness,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._entry = entry
        self._owner = owner
        self._own_view = own_view
        self._peers = peers
        self._freshness = freshness
        self._configured_at: float | None = None
        self.stopping = False

    def record_configuration(self) -> None:
        """Records that a configuration is in force."""
        if self._configured_at is None:
            self._configured_at = self._loop.time()

    def is_ready(self) -> bool:
        """Returns whether clients may send requests to this VM.

        After its first configuration a process is not ready until targets of
        all services are known and it may accept keys, for at most
        `START_TIMEOUT_S`.
        """
        table, configured_at = self._entry.table, self._configured_at
        if table is None or configured_at is None or self.stopping:
            return False
        now = self._loop.time()
        if now - configured_at > START_TIMEOUT_S:
            return True
        if self._freshness.awaits_proof:
            return False
        self._own_view.apply_report(self._owner.load(), now=now)
        return all(map(self._peers.has_available_owner, table.routing.services))
