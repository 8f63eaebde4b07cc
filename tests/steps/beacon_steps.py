"""Steps about the beacons of one node on an in-memory transport."""

import itertools
import json

import attrs
import msgpack
from behave import given, then, when

from guavawing.errors import MessageInvalidError
from guavawing.sidecar.mesh_codec import decode_beacon, encode_beacon
from guavawing.sidecar.mesh_messages import Beacon
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.model import (
    Incarnation,
    LoadReport,
    PeerRecord,
    TargetLimit,
    TargetPhase,
)
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable
from tests.sidecar_support import make_quiet_beacons
from tests.support import assert_raises

PORT = 7002
OWN_RECORD = PeerRecord("a1", "10.0.0.1", 7001, "east", "desk", 1_000)
PEER_RECORD = PeerRecord("a2", "10.0.0.2", 7001, "east", "desk", 900)
IDLE = LoadReport(TargetPhase.READY, 8, 0, 0, 0.0)
DEPARTURE = Incarnation("t1", 500)
LIMIT = TargetLimit(DEPARTURE, 2.5)
NO_LIMIT = TargetLimit(DEPARTURE, None)
# Position of the limit in the fields of a beacon.
LIMIT_FIELD = 16


class MemoryTransport:
    """Records sent beacons and their addresses."""

    def __init__(self):
        self.sent = []

    def is_closing(self):
        return False

    def sendto(self, payload, addr):
        self.sent.append((decode_beacon(payload), addr))


async def make_beacons(context):
    context.peers = PeerTable(
        OWN_RECORD, OwnerView(OWN_RECORD.host, local=True, near=True)
    )
    context.beacons = make_quiet_beacons(
        OWN_RECORD,
        port=PORT,
        peers=context.peers,
        read_load=lambda: IDLE,
        metrics=SidecarMetrics(),
    )
    context.transport = MemoryTransport()
    context.beacons.connection_made(context.transport)
    context.sequence = itertools.count(1)


@given("a node that has just started beside a target")
def step_node(context):
    context.run(make_beacons(context))


async def receive_beacon(
    context,
    *,
    record=PEER_RECORD,
    reply_requested=False,
    departure=None,
    limit=None,
):
    context.transport.sent.clear()
    beacon = Beacon(
        record,
        next(context.sequence),
        1,
        attrs.evolve(IDLE, limit=limit),
        reply_requested,
        0,
        True,
        departure,
    )
    context.beacons.datagram_received(
        encode_beacon(beacon), (record.host, PORT)
    )


@when("the beacon of an unknown peer arrives")
@when("another beacon of this peer arrives")
@when("the beacon of this peer arrives")
def step_beacon(context):
    context.run(receive_beacon(context))


@when("a beacon without the field of suspicions arrives from a peer")
def step_old_beacon(context):
    async def receive_old_beacon():
        beacon = Beacon(PEER_RECORD, 1, 1, IDLE, False, 0, True)
        fields = msgpack.unpackb(encode_beacon(beacon))
        context.beacons.datagram_received(
            msgpack.packb(fields[:15]), (PEER_RECORD.host, PORT)
        )

    context.run(receive_old_beacon())


async def apply_row(context):
    # A row does not contain the start time of the process.
    row = attrs.evolve(PEER_RECORD, incarnation=0)
    peer = context.peers.apply_record(row, now=0.0)
    context.beacons.request_beacon(peer)


@when("the row of a peer arrives")
def step_row(context):
    context.run(apply_row(context))


@when("a peer announces its target's departure and is then replaced")
def step_departure(context):
    context.run(receive_beacon(context, departure=DEPARTURE))
    context.replacement = attrs.evolve(PEER_RECORD, incarnation=2_000)


@when("a peer reports a limit of its target and is then replaced")
def step_limit(context):
    context.run(receive_beacon(context, limit=LIMIT))
    context.replacement = attrs.evolve(PEER_RECORD, incarnation=2_000)


@when("a peer reports a limit of its target, then none, and is then replaced")
def step_limit_ended(context):
    context.run(receive_beacon(context, limit=LIMIT))
    context.run(receive_beacon(context, limit=NO_LIMIT))
    context.replacement = attrs.evolve(PEER_RECORD, incarnation=2_000)


@when("the replacement of this peer requests the recorded state")
def step_request(context):
    context.run(
        receive_beacon(
            context, record=context.replacement, reply_requested=True
        )
    )


@then("it requests the recorded state from this peer")
def step_requested(context):
    requested = [
        addr
        for beacon, addr in context.transport.sent
        if beacon.reply_requested
    ]
    assert requested == [(PEER_RECORD.host, PORT)], context.transport.sent


@then("it sends no request to a peer")
def step_none_requested(context):
    requested = [
        addr
        for beacon, addr in context.transport.sent
        if beacon.reply_requested
    ]
    assert not requested, context.transport.sent


@then("the reply to it contains the departure")
def step_replied(context):
    known = [beacon.known.departure for beacon, _ in context.transport.sent]
    assert DEPARTURE in known, context.transport.sent


@then("the reply to it contains the limit")
def step_replied_limit(context):
    known = [beacon.known.limit for beacon, _ in context.transport.sent]
    assert LIMIT in known, context.transport.sent


@then("the reply to it contains no limit")
def step_replied_no_limit(context):
    known = [beacon.known.limit for beacon, _ in context.transport.sent]
    assert known and set(known) == {None}, context.transport.sent


@then("a beacon with the limit {text} is {result}")
def step_decoded(context, text, result):
    limit = json.loads(text)
    beacon = Beacon(PEER_RECORD, 1, 1, IDLE, False, 0, True)
    fields = msgpack.unpackb(encode_beacon(beacon))
    fields[LIMIT_FIELD] = limit
    payload = msgpack.packb(fields)
    if result == "rejected":
        with assert_raises(MessageInvalidError):
            decode_beacon(payload)
    elif limit is None:
        assert decode_beacon(payload).load.limit is None
    else:
        assert decode_beacon(payload).load.limit.per_s == limit[2]
