"""Beacons: datagrams in which nodes announce their state.

A beacon contains the record of the sender, its configuration version and the
load of its target. Near nodes receive one every second and far ones in
rotation. When the phase of the target changes, near nodes and a sample of far
ones receive one at once. Beacons need neither the store nor a connection, so
that nodes without access to the store discover nodes and versions, too.
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
    find_kind,
)
from guavawing.sidecar.mesh_messages import (
    Beacon,
)
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.model import (
    NO_TARGET_RECORD,
    Incarnation,
    LoadReport,
    PeerRecord,
    TargetRecord,
)
from guavawing.traffic.peers import Peer, PeerTable

__all__ = ["Beacons"]

PERIOD_S = 1.0
JITTER = 0.1
# A long-lost node is sent a beacon only once in this many periods, to detect
# the return of its VM.
LOST_PEER_PERIODS = 5
# Number of near and of far nodes that are sent a beacon per period; they bound
# the traffic of a node independently of the size of the fleet.
NEAR_PER_PERIOD = 40
FAR_PER_PERIOD = 4
# Number of nodes of each other data centre to which a change is announced.
FAR_FANOUT = 2
# Number of near nodes to which a version from another node is announced.
NEAR_FANOUT = 3
# Time for which changes are batched before a beacon, in seconds.
CHANGE_PERIOD_S = 0.05


# Called with the payload of a datagram and the host of its sender.
DatagramHandler = Callable[[bytes, str], None]


class Beacons(asyncio.DatagramProtocol):
    """Sends and receives beacons.

    Attributes:
        version: Configuration version in force at this node.
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
        read_departure: Callable[[], Incarnation | None],
        on_slots: Callable[[int], None],
        on_target_record: Callable[[TargetRecord], None],
        log: DecisionLog,
        metrics: SidecarMetrics,
    ) -> None:
        """Creates an endpoint without a socket.

        Args:
            own_record: This node's record.
            port: UDP port of beacons, the same on all VMs.
            peers: Table that received beacons update.
            read_load: Returns the load of this node's target.
            on_peer: Called with the sender of each beacon.
            read_departure: Returns the announced departure of this node's
                target, if any.
            on_slots: Called with the slots of this node's target that a peer
                has recorded.
            on_target_record: Called with what a peer has recorded about this
                node's target.
            log: Receives state changes.
            metrics: Counts unreadable datagrams.
        """
        self._loop = asyncio.get_running_loop()
        self._own_record = own_record
        self._port = port
        self._peers = peers
        self._read_load = read_load
        self._on_peer = on_peer
        self._read_departure = read_departure
        self._on_slots = on_slots
        self._on_target_record = on_target_record
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
        self._handlers: dict[int, DatagramHandler] = {}
        self._sequence = 0
        self._period_number = 0
        self.version = 0
        self.reaches_store = False

    @property
    def near_period_s(self) -> float:
        """Time between two beacons to the same near node, in seconds."""
        return PERIOD_S * max(1.0, len(self._peers.near()) / NEAR_PER_PERIOD)

    async def listen(self) -> None:
        """Opens the socket and starts the periodic beacons."""
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._own_record.host, self._port)
        )
        self._tick()

    def close(self) -> None:
        """Announces a pending change, stops sending and closes the socket."""
        self._loss_check.close()
        if self._change_timer is not None:
            self._change_timer.cancel()
            self._send_change()
        for timer in (self._timer, self._change_timer):
            if timer is not None:
                timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def register(self, kind: int, handler: DatagramHandler) -> None:
        """Hands datagrams of a kind to another component.

        Args:
            kind: One of the kinds of `guavawing.sidecar.mesh_codec`.
            handler: Called with each of them; raises `MessageInvalidError` if
                it is unreadable.
        """
        self._handlers[kind] = handler

    def send_datagram(self, payload: bytes, host: str) -> None:
        """Sends a datagram of another component to the node on a VM."""
        self._send(payload, host)

    def announce_change(self) -> None:
        """Schedules a beacon that announces a state change of this node."""
        if self._change_timer is None:
            self._change_timer = self._loop.call_later(
                CHANGE_PERIOD_S, self._send_change
            )

    def handle_suspicion(self, host: str) -> None:
        """Handles a node that did not answer this one."""
        self._loss_check.suspect(host)

    def handle_return(self, peer: Peer) -> None:
        """Handles liveness evidence of a node that was marked lost."""
        self._log.state_change("peer-returned", peer=peer.record.node)
        self._loss_check.handle_return(peer)

    def announce_version(self, *, from_store: bool) -> None:
        """Announces a version that has just come into force.

        Args:
            from_store: Whether it was received from the store. It is then
                announced to all near nodes and to some in other data centres,
                otherwise to a sample of near nodes.
        """
        payload = self._encode()
        near = self._peers.near()
        if not from_store:
            near = random.sample(near, min(NEAR_FANOUT, len(near)))
        recipients = near + (self._sample_far() if from_store else [])
        for peer in recipients:
            self._send(payload, peer.record.host)

    def request_beacon(self, peer: Peer) -> None:
        """Requests a beacon, with the recorded state of this node, once.

        It is called for the row or the first beacon of a node, whichever comes
        first, so that a process that has just started receives a departure of
        its target from the first node that it discovers.
        """
        if not peer.beacon_requested:
            peer.beacon_requested = True
            self._send(self._encode(reply_requested=True), peer.record.host)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Applies a datagram; an unreadable one is counted."""
        try:
            handler = self._handlers.get(find_kind(data) or 0)
            if handler is not None:
                handler(data, addr[0])
                return
            beacon = decode_beacon(data)
        except MessageInvalidError:
            self._metrics.unreadable.inc({"source": "beacon"})
            return
        now = self._loop.time()
        peer = self._peers.apply_record(beacon.record, now=now)
        if peer is None:
            return
        self.request_beacon(peer)
        if beacon.sequence <= peer.sequence:
            return
        peer.sequence = beacon.sequence
        if self._peers.record_liveness(peer, now=now):
            self.handle_return(peer)
        before = peer.view.report
        self._peers.apply_load(peer, beacon.load, now=now)
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
        self._on_target_record(beacon.known)
        if beacon.suspects and peer.view.near:
            self._loss_check.handle_suspicions(
                beacon.suspects, node=peer.record.node
            )
        if beacon.reply_requested:
            payload = self._encode(
                known_slots=peer.slots, known=peer.target_record
            )
            self._send(payload, peer.record.host)
        self._on_peer(peer)

    def _tick(self) -> None:
        # Scheduled first, so that an error does not end the beacons.
        jitter = random.uniform(1 - JITTER, 1 + JITTER)
        self._timer = self._loop.call_later(PERIOD_S * jitter, self._tick)
        now = self._loop.time()
        near, far = self._peers.near(), self._peers.far()
        far_periods = max(1.0, len(far) / FAR_PER_PERIOD)
        lost = self._peers.expire(
            now=now,
            near_period_s=self.near_period_s,
            far_period_s=PERIOD_S * far_periods,
        )
        for peer in lost:
            self._log.state_change(
                "peer-lost",
                peer=peer.record.node,
                silent_s=round(now - (peer.last_seen_at or peer.found_at), 1),
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

    def _select_due(self, peers: list[Peer], count: int) -> list[Peer]:
        """Returns the nodes that are due in this period, in rotation."""
        if len(peers) <= count:
            return peers
        start = self._period_number * count % len(peers)
        rotation = itertools.islice(
            itertools.cycle(peers), start, start + count
        )
        return list(rotation)

    def _sample_far(self) -> list[Peer]:
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
        for peer in self._peers.near() + self._sample_far():
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
        known: TargetRecord = NO_TARGET_RECORD,
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
                known,
                suspects,
            )
        )

    def _send(self, payload: bytes, host: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(payload, (host, self._port))
