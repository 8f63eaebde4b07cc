"""Beacons: datagrams by which nodes tell each other of themselves.

A beacon holds the sender's record, the version that it enforces and the load
of its target. Near nodes get one every second, far ones in turn, and all of
them one at once when the target's phase changes. They need neither the store
nor a connection, so nodes that the store turns away learn of nodes and
versions.
"""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import cast

from guavawing.errors import MessageInvalidError
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.loss_check import LossCheck
from guavawing.sidecar.mesh_codec import (
    decode_beacon,
    encode_beacon,
)
from guavawing.sidecar.mesh_messages import (
    Beacon,
)
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.model import (
    Departure,
    LoadReport,
    PeerRecord,
)
from guavawing.traffic.peers import Peer, PeerTable

__all__ = ["Beacons"]

PERIOD_S = 1.0
JITTER = 0.1
# A long lost node is sent only every so many beacons: its VM may come back.
LOST_PEER_PERIODS = 5
# Near nodes that get a beacon each period, and far ones: what a node sends does
# not grow with the fleet.
NEAR_PER_PERIOD = 40
FAR_PER_PERIOD = 4
# Nodes of each other data centre that are told of a new version.
FAR_FANOUT = 2
# Near nodes that one tells which has a version from another node.
NEAR_FANOUT = 3
# Shortest time between two beacons that a change brings about, in seconds.
CHANGE_PERIOD_S = 0.05
MAX_DATAGRAM_BYTES = 1400


class Beacons(asyncio.DatagramProtocol):
    """Sends and takes beacons.

    Attributes:
        version: Configuration version that this node enforces.
        reaches_store: Whether the store answers this node.
    """

    def __init__(
        self,
        *,
        own_record: PeerRecord,
        port: int,
        peers: PeerTable,
        read_load: Callable[[], LoadReport],
        on_peer: Callable[[Peer], None],
        read_departure: Callable[[], Departure | None],
        on_slots: Callable[[int], None],
        on_departure: Callable[[Departure], None],
        log: DecisionLog,
        metrics: SidecarMetrics,
    ) -> None:
        """Creates a machine without a socket.

        Args:
            own_record: This node's record.
            port: Port of beacons, the same on all VMs.
            peers: Takes what is heard.
            read_load: Returns the load of this node's target.
            on_peer: Is told of each node that a beacon came from.
            read_departure: Returns this node's target if it leaves.
            on_slots: Takes the slots that a peer knows of this node's target.
            on_departure: Takes a target of this node that, as a peer knows,
                said to an earlier process that it leaves.
            log: Takes changes of belief.
            metrics: Counts what can't be read.
        """
        self._loop = asyncio.get_running_loop()
        self._own_record = own_record
        self._port = port
        self._peers = peers
        self._read_load = read_load
        self._on_peer = on_peer
        self._read_departure = read_departure
        self._on_slots = on_slots
        self._on_departure = on_departure
        self._log = log
        self._metrics = metrics
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._change_timer: asyncio.TimerHandle | None = None
        self._loss_check = LossCheck(
            peers,
            probe=lambda peer: self._send(
                self._encode(reply_requested=True), peer.record.host
            ),
            announce=self._send_suspicions,
            log=log,
        )
        self._sequence = 0
        self._period_number = 0
        self.version = 0
        self.reaches_store = True

    async def listen(self) -> None:
        """Opens the socket and begins to send."""
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._own_record.host, self._port)
        )
        self._tick()

    def close(self) -> None:
        """Tells what has changed last, stops sending and closes the socket."""
        self._loss_check.close()
        if self._change_timer is not None:
            self._change_timer.cancel()
            self._send_change()
        for timer in (self._timer, self._change_timer):
            if timer is not None:
                timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def announce_change(self) -> None:
        """Tells all nodes soon that something of this one has changed."""
        if self._change_timer is None:
            self._change_timer = self._loop.call_later(
                CHANGE_PERIOD_S, self._send_change
            )

    def handle_suspicion(self, host: str) -> None:
        """Takes that a node gave no answer to this one."""
        self._loss_check.suspect(host)

    def handle_return(self, peer: Peer) -> None:
        """Takes that a node that was held lost was heard."""
        self._log.state_change("peer-returned", peer=peer.record.node)
        self._loss_check.handle_return(peer)

    def announce_version(self, *, first: bool) -> None:
        """Tells other nodes of a version that has just come in force.

        Args:
            first: Whether it came from the store: then all near nodes are
                told, and a few elsewhere.
        """
        payload = self._encode()
        near = self._peers.near()
        if not first:
            near = random.sample(near, min(NEAR_FANOUT, len(near)))
        recipients = near + (self._sample_elsewhere() if first else [])
        for peer in recipients:
            self._send(payload, peer.record.host)

    def request_beacon(self, peer: Peer) -> None:
        """Asks a node, once, for its beacon and for what it knows of this one.

        Whichever comes first, its row or its beacon, a process that has just
        started learns of its target's departure from the first node it hears.
        """
        if not peer.greeted:
            peer.greeted = True
            self._send(self._encode(reply_requested=True), peer.record.host)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a datagram; one that can't be read is counted."""
        try:
            beacon = decode_beacon(data)
        except MessageInvalidError:
            self._metrics.unreadable.inc({"source": "beacon"})
            return
        now = self._loop.time()
        peer = self._peers.take_record(beacon.record, now=now)
        if peer is None:
            return
        self.request_beacon(peer)
        if beacon.sequence <= peer.sequence:
            return
        peer.sequence = beacon.sequence
        if self._peers.take_sign_of_life(peer, now=now):
            self.handle_return(peer)
        before = peer.view.report
        self._peers.take_load(peer, beacon.load, now=now)
        if before is None or before.phase is not beacon.load.phase:
            self._log.state_change(
                "peer-target",
                peer=peer.record.node,
                service=peer.record.service,
                phase=beacon.load.phase.name.lower(),
            )
        peer.version = beacon.version
        peer.reaches_store = beacon.reaches_store
        if beacon.load.slots:
            peer.slots = beacon.load.slots
        if beacon.departure is not None:
            peer.departure = beacon.departure
        if beacon.known_slots:
            self._on_slots(beacon.known_slots)
        if beacon.known_departure is not None:
            self._on_departure(beacon.known_departure)
        if beacon.suspects and peer.view.near:
            self._loss_check.handle_suspicions(
                beacon.suspects, node=peer.record.node
            )
        if beacon.reply_requested:
            payload = self._encode(
                known_slots=peer.slots, known_departure=peer.departure
            )
            self._send(payload, peer.record.host)
        self._on_peer(peer)

    def _tick(self) -> None:
        now = self._loop.time()
        near, far = self._peers.near(), self._peers.far()
        near_periods = max(1.0, len(near) / NEAR_PER_PERIOD)
        far_periods = max(1.0, len(far) / FAR_PER_PERIOD)
        lost = self._peers.expire(
            now=now,
            near_period_s=PERIOD_S * near_periods,
            far_period_s=PERIOD_S * far_periods,
        )
        for peer in lost:
            self._log.state_change(
                "peer-lost",
                peer=peer.record.node,
                silent_s=round(now - (peer.heard_at or peer.found_at), 1),
            )
        self._period_number += 1
        payload = self._encode()
        due = self._select_due(near, NEAR_PER_PERIOD)
        due += self._select_due(far, FAR_PER_PERIOD)
        for peer in due:
            if (
                self._period_number % LOST_PEER_PERIODS
                and self._peers.is_long_lost(peer, now=now)
            ):
                continue
            self._send(payload, peer.record.host)
        jitter = random.uniform(1 - JITTER, 1 + JITTER)
        self._timer = self._loop.call_later(PERIOD_S * jitter, self._tick)

    def _select_due(self, peers: list[Peer], count: int) -> list[Peer]:
        """Returns the nodes that are due in this round."""
        if len(peers) <= count:
            return peers
        start = self._period_number * count % len(peers)
        turn = itertools.islice(itertools.cycle(peers), start, start + count)
        return list(turn)

    def _sample_elsewhere(self) -> list[Peer]:
        groups: dict[str, list[Peer]] = {}
        for peer in self._peers.far():
            groups.setdefault(peer.record.data_centre, []).append(peer)
        return [
            peer
            for group in groups.values()
            for peer in random.sample(group, min(FAR_FANOUT, len(group)))
        ]

    def _send_change(self) -> None:
        self._change_timer = None
        payload = self._encode()
        for peer in self._peers.near() + self._sample_elsewhere():
            self._send(payload, peer.record.host)

    def _send_suspicions(self, hosts: tuple[str, ...]) -> None:
        payload = self._encode(suspects=hosts)
        for peer in self._peers.near():
            if peer.view.alive:
                self._send(payload, peer.record.host)

    def _encode(
        self,
        *,
        reply_requested: bool = False,
        known_slots: int = 0,
        known_departure: Departure | None = None,
        suspects: tuple[str, ...] = (),
    ) -> bytes:
        self._sequence += 1
        return encode_beacon(
            Beacon(
                self._own_record,
                self._sequence,
                self.version,
                self._read_load(),
                reply_requested,
                known_slots,
                self.reaches_store,
                self._read_departure(),
                known_departure,
                suspects,
            )
        )

    def _send(self, payload: bytes, host: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(payload, (host, self._port))
