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
ANSWER_S = 0.4
# Time in which doubts are gathered before they are told, in seconds.
GATHER_S = 0.05
# Doubts that are told in one datagram, and that are believed of one.
MAX_DOUBTS = 16
# Shortest time between two rounds in which the lost nodes of a data centre are
# asked because one of them is back, in seconds.
RETURN_PERIOD_S = 1.0


class LossCheck:
    """Doubts of this node and of near ones."""

    def __init__(
        self,
        peers: PeerTable,
        *,
        ask: Callable[[Peer], None],
        tell: Callable[[tuple[str, ...]], None],
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
        self._ask = ask
        self._tell = tell
        self._log = log
        self._gathered: dict[str, None] = {}
        self._teller: asyncio.TimerHandle | None = None
        self._checks: dict[str, asyncio.TimerHandle] = {}
        self._asked_back_at: dict[str, float] = {}

    def take_own_doubt(self, host: str) -> None:
        """Takes that this node got no answer from another one.

        That one is held lost at once, and asked for a sign of life.
        """
        peer = self._peers.get(host)
        if peer is None:
            return
        self._ask(peer)
        if peer.view.alive:
            self._hold_lost(peer, found_by="")
        if len(self._gathered) < MAX_DOUBTS:
            self._gathered[host] = None
        if self._teller is None:
            self._teller = self._loop.call_later(GATHER_S, self._tell_gathered)

    def take_doubts(self, hosts: Iterable[str], *, node: str) -> None:
        """Takes the doubts of a near node.

        Args:
            hosts: Hosts of the nodes that it doubts.
            node: Its name.
        """
        for host in tuple(hosts)[:MAX_DOUBTS]:
            self._check(host, found_by=node)

    def take_return(self, peer: Peer) -> None:
        """Asks the lost nodes of a data centre, as one of them is back."""
        centre = peer.record.data_centre
        now = self._loop.time()
        asked_at = self._asked_back_at.get(centre, -RETURN_PERIOD_S)
        if now - asked_at < RETURN_PERIOD_S:
            return
        self._asked_back_at[centre] = now
        for other in self._peers:
            if other.record.data_centre == centre and not other.view.alive:
                self._ask(other)

    def close(self) -> None:
        """Forgets all doubts."""
        for timer in (self._teller, *self._checks.values()):
            if timer is not None:
                timer.cancel()
        self._checks.clear()

    def _tell_gathered(self) -> None:
        self._teller = None
        hosts, self._gathered = tuple(self._gathered), {}
        self._tell(hosts)

    def _check(self, host: str, *, found_by: str) -> None:
        peer = self._peers.get(host)
        now = self._loop.time()
        if peer is None or not peer.view.alive or host in self._checks:
            return
        if peer.last_seen_at is not None and now - peer.last_seen_at < FRESH_S:
            return
        self._ask(peer)
        self._checks[host] = self._loop.call_later(
            ANSWER_S, self._conclude, host, now, found_by
        )

    def _conclude(self, host: str, asked_at: float, found_by: str) -> None:
        del self._checks[host]
        peer = self._peers.get(host)
        if peer is None or not peer.view.alive:
            return
        if peer.last_seen_at is not None and peer.last_seen_at >= asked_at:
            return
        self._hold_lost(peer, found_by=found_by)

    def _hold_lost(self, peer: Peer, *, found_by: str) -> None:
        peer.view.alive = False
        self._log.belief(
            "peer-silent", peer=peer.record.node, found_by=found_by
        )
