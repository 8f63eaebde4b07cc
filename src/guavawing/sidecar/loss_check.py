"""Cooperative failure detection between near nodes.

A node that gets no answer from an owner announces its suspicion to near nodes.
Each of them that has no recent liveness evidence of the owner probes it, and
marks it lost if it does not reply. A loss is thus detected long before beacons
are overdue, and a node that has lost its own links can't cause other nodes to
mark their peers lost.
"""

import asyncio
from collections.abc import Callable, Iterable

from guavawing.sidecar.decision_log import DecisionLog
from guavawing.traffic.peers import Peer, PeerTable

__all__ = ["LossCheck"]

# Age of liveness evidence up to which no probe is sent, in seconds: near nodes
# send a beacon every second.
FRESH_EVIDENCE_S = 0.6
# Time in which a probed node has to reply, in seconds: several round trips
# between data centres, and the same as the silence after which an owner is
# suspected on its connection.
PROBE_TIMEOUT_S = 0.4
# Time for which suspicions are batched before they are announced, in seconds.
BATCH_S = 0.05
# Largest number of suspects announced in one datagram or accepted from one.
MAX_SUSPECTS = 16
# Shortest interval between two rounds of probes to the lost nodes of a data
# centre after one of them has returned, in seconds.
REPROBE_PERIOD_S = 1.0


class LossCheck:
    """Suspicions of this node and of near ones."""

    def __init__(
        self,
        peers: PeerTable,
        *,
        probe: Callable[[Peer], None],
        announce: Callable[[tuple[str, ...]], None],
        log: DecisionLog,
    ) -> None:
        """Creates a check without suspicions.

        Args:
            peers: The other nodes.
            probe: Requests a beacon from a node.
            announce: Sends the hosts of suspects to near nodes.
            log: Receives state changes.
        """
        self._loop = asyncio.get_running_loop()
        self._peers = peers
        self._probe = probe
        self._announce = announce
        self._log = log
        self._unannounced: dict[str, None] = {}
        self._announce_timer: asyncio.TimerHandle | None = None
        self._checks: dict[str, asyncio.TimerHandle] = {}
        self._reprobed_at: dict[str, float] = {}

    def suspect(self, host: str) -> None:
        """Records that another node did not answer this one.

        The suspect is marked lost at once, probed, and announced to near
        nodes.
        """
        peer = self._peers.get(host)
        if peer is None:
            return
        self._probe(peer)
        if peer.view.alive:
            self._mark_lost(peer, found_by="")
        if len(self._unannounced) < MAX_SUSPECTS:
            self._unannounced[host] = None
        if self._announce_timer is None:
            self._announce_timer = self._loop.call_later(
                BATCH_S, self._announce_suspects
            )

    def handle_suspicions(self, hosts: Iterable[str], *, node: str) -> None:
        """Checks the suspects of a near node.

        Args:
            hosts: Hosts of the suspects.
            node: Name of the node that announced them.
        """
        for host in tuple(hosts)[:MAX_SUSPECTS]:
            self._check(host, found_by=node)

    def handle_return(self, peer: Peer) -> None:
        """Probes the lost nodes of a data centre when one has returned."""
        centre = peer.record.data_centre
        now = self._loop.time()
        probed_at = self._reprobed_at.get(centre, -REPROBE_PERIOD_S)
        if now - probed_at < REPROBE_PERIOD_S:
            return
        self._reprobed_at[centre] = now
        for other in self._peers:
            if other.record.data_centre == centre and not other.view.alive:
                self._probe(other)

    def close(self) -> None:
        """Cancels all pending checks and announcements."""
        for timer in (self._announce_timer, *self._checks.values()):
            if timer is not None:
                timer.cancel()
        self._checks.clear()

    def _announce_suspects(self) -> None:
        self._announce_timer = None
        hosts, self._unannounced = tuple(self._unannounced), {}
        self._announce(hosts)

    def _check(self, host: str, *, found_by: str) -> None:
        peer = self._peers.get(host)
        now = self._loop.time()
        if peer is None or not peer.view.alive or host in self._checks:
            return
        if (
            peer.last_seen_at is not None
            and now - peer.last_seen_at < FRESH_EVIDENCE_S
        ):
            return
        self._probe(peer)
        self._checks[host] = self._loop.call_later(
            PROBE_TIMEOUT_S, self._end_check, host, now, found_by
        )

    def _end_check(self, host: str, probed_at: float, found_by: str) -> None:
        del self._checks[host]
        peer = self._peers.get(host)
        if peer is None or not peer.view.alive:
            return
        if peer.last_seen_at is not None and peer.last_seen_at >= probed_at:
            return
        self._mark_lost(peer, found_by=found_by)

    def _mark_lost(self, peer: Peer, *, found_by: str) -> None:
        peer.view.alive = False
        self._log.state_change(
            "peer-silent", peer=peer.record.node, found_by=found_by
        )
