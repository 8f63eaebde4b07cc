"""Steps that drive the beacons of one node with a transport in memory."""

import itertools

import attrs
import msgpack
from behave import given, then, when

from guavawing.sidecar.beacons import Beacons
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.mesh_codec import decode_beacon, encode_beacon
from guavawing.sidecar.mesh_messages import Beacon
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.balancer import OwnerView
from guavawing.traffic.model import (
    Departure,
    LoadReport,
    PeerRecord,
    TargetPhase,
)
from guavawing.traffic.peers import PeerTable

PORT = 7002
ME = PeerRecord("a1", "10.0.0.1", 7001, "east", "desk", 1_000)
PEER = PeerRecord("a2", "10.0.0.2", 7001, "east", "desk", 900)
IDLE = LoadReport(TargetPhase.READY, 8, 0, 0, 0.0)
LEFT = Departure("t1", 500)


class MemoryTransport:
    """Keeps what is sent."""

    def __init__(self):
        self.sent = []

    def is_closing(self):
        return False

    def sendto(self, payload, addr):
        self.sent.append((decode_beacon(payload), addr))


async def make_beacons(context):
    context.peers = PeerTable(ME, OwnerView(ME.host, local=True, near=True))
    context.beacons = Beacons(
        own_record=ME,
        port=PORT,
        peers=context.peers,
        read_load=lambda: IDLE,
        on_peer=lambda _: None,
        read_departure=lambda: None,
        on_slots=lambda _: None,
        on_departure=lambda _: None,
        log=DecisionLog(node=ME.node),
        metrics=SidecarMetrics(),
    )
    context.transport = MemoryTransport()
    context.beacons.connection_made(context.transport)
    context.sequence = itertools.count(1)


@given("a node that has just started beside a target")
def step_node(context):
    context.run(make_beacons(context))


async def hear(context, *, record=PEER, reply_requested=False, departure=None):
    context.transport.sent.clear()
    beacon = Beacon(
        record,
        next(context.sequence),
        1,
        IDLE,
        reply_requested,
        0,
        True,
        departure,
        None,
    )
    context.beacons.datagram_received(
        encode_beacon(beacon), (record.host, PORT)
    )


@when("the beacon of a peer that it does not know comes")
@when("another beacon of this peer comes")
@when("the beacon of this peer comes")
def step_beacon(context):
    context.run(hear(context))


@when("a beacon without doubts comes from a peer")
def step_old_beacon(context):
    async def hear_old():
        beacon = Beacon(PEER, 1, 1, IDLE, False, 0, True)
        fields = msgpack.unpackb(encode_beacon(beacon))
        context.beacons.datagram_received(
            msgpack.packb(fields[:-1]), (PEER.host, PORT)
        )

    context.run(hear_old())


async def find(context):
    # A row does not tell the start of the process.
    row = attrs.evolve(PEER, incarnation=0)
    peer = context.peers.apply_record(row, now=0.0)
    context.beacons.request_beacon(peer)


@when("the row of a peer comes")
def step_row(context):
    context.run(find(context))


@when("a peer tells of its target's departure and is then replaced")
def step_departure(context):
    context.run(hear(context, departure=LEFT))
    context.successor = attrs.evolve(PEER, incarnation=2_000)


@when("the replaced peer asks for what is known")
def step_asks(context):
    context.run(hear(context, record=context.successor, reply_requested=True))


@then("it asks this peer for what it knows")
def step_asked(context):
    asked = [
        addr
        for beacon, addr in context.transport.sent
        if beacon.reply_requested
    ]
    assert asked == [(PEER.host, PORT)], context.transport.sent


@then("it asks nobody")
def step_nobody(context):
    asked = [
        addr
        for beacon, addr in context.transport.sent
        if beacon.reply_requested
    ]
    assert not asked, context.transport.sent


@then("it is told of the departure")
def step_told(context):
    known = [beacon.known_departure for beacon, _ in context.transport.sent]
    assert LEFT in known, context.transport.sent
