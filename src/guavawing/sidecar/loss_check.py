"""Finds out together with near nodes whether a silent node is lost.

One node that gets no answer from an owner tells the near ones. Each of them
that has not heard the owner lately asks it for a sign of life, and holds it
lost if none comes. So a loss is noticed long before beacons are missing, and
nobody believes what a node says that has lost its own links.
"""

import asyncio
from collections.abc import Callable, Iterable

from guavawing.sidecar.decision_log import DecisionLog
from guavawing.traffic.peers import Peer, PeerTable

__all__ = ["LossCheck"]

# Sign of life that is recent enough not to ask for another, in seconds: near
# nodes send one in a second.
FRESH_S = 0.6
# Time in which an asked node has to answer, in seconds: some round trips
# between data centres, and the time after which an owner is doubted in band.
PROBE_TIMEOUT_S = 0.4
# Time in which doubts are gathered before they are told, in seconds.
BATCH_S = 0.05
# Doubts that are told in one datagram, and that are believed of one.
MAX_SUSPECTS = 16
# Shortest time between two rounds in which the lost nodes of a data centre are
# asked because one of them is back, in seconds.
REPROBE_PERIOD_S = 1.0


class LossCheck:
    """Doubts of this node and of near ones."""

    def __init__(
        self,
        peers: PeerTable,
        *,
        probe: Callable[[Peer], None],
        announce: Callable[[tuple[str, ...]], None],
        log: DecisionLog,
    ) -> None:
        """Creates a check without doubts.

        Args:
            peers: The other nodes.
            ask: Asks a node for a sign of life.
            tell: Tells near nodes the hosts of nodes that are doubted.
            log: Takes changes of belief.
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
        """Takes that this node got no answer from another one.

        That one is held lost at once, and asked for a sign of life.
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
        """Takes the doubts of a near node.

        Args:
            hosts: Hosts of the nodes that it doubts.
            node: Its name.
        """
        for host in tuple(hosts)[:MAX_SUSPECTS]:
            self._check(host, found_by=node)

    def handle_return(self, peer: Peer) -> None:
        """Asks the lost nodes of a data centre, as one of them is back."""
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
        """Forgets all doubts."""
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
        if peer.heard_at is not None and now - peer.heard_at < FRESH_S:
            return
        self._probe(peer)
        self._checks[host] = self._loop.call_later(
            PROBE_TIMEOUT_S, self._conclude, host, now, found_by
        )

    def _conclude(self, host: str, probed_at: float, found_by: str) -> None:
        del self._checks[host]
        peer = self._peers.get(host)
        if peer is None or not peer.view.alive:
            return
        if peer.heard_at is not None and peer.heard_at >= probed_at:
            return
        self._mark_lost(peer, found_by=found_by)

    def _mark_lost(self, peer: Peer, *, found_by: str) -> None:
        peer.view.alive = False
        self._log.state_change(
            "peer-silent", peer=peer.record.node, found_by=found_by
        )
