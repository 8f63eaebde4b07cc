"""Steps about entries that no node or target of this fleet has written."""

import asyncio
import base64
import json

import uvloop
from behave import given, then, when

from guavawing.errors import MessageInvalidError
from guavawing.platform.heartbeats import decode_heartbeat
from guavawing.platform.store_client import (
    RowChanges,
    StoreClient,
    StoredRow,
)
from guavawing.platform.store_transport import HttpAnswer
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.membership import NODES_TABLE, Membership
from guavawing.sidecar.mesh_codec import decode_beacon, encode_beacon
from guavawing.sidecar.mesh_messages import Beacon
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.model import LoadReport, PeerRecord, TargetPhase
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable
from standins.ports import PortBlock
from tests.sidecar_support import make_quiet_beacons
from tests.support import assert_raises

HOST, PEER_HOST, OTHER_HOST = "127.0.0.1", "127.0.0.2", "127.0.0.3"
IDLE = LoadReport(TargetPhase.READY, 8, 0, 0, 0.0)
# Beacons follow each other after 0.9 to 1.1 s.
BEACONS_S = 2.4
CENTRE = "bergen"


class BeaconCounter(asyncio.DatagramProtocol):
    """Counts the datagrams that a peer receives."""

    count = 0

    def datagram_received(self, data, addr):
        self.count += 1


class QuietStore:
    """A store that accepts all writes."""

    async def write_rows(self, writes):
        return 1


def make_row(host, **changes):
    content = {
        "node": host,
        "host": host,
        "mesh_port": 7000,
        "data_centre": CENTRE,
        "service": "desk",
    } | changes
    value = json.dumps(content).encode()
    return StoredRow(NODES_TABLE, content["host"], value, 1)


def make_odd_row(entry):
    if entry.startswith("nested"):
        depth = int(entry.split()[1])
        value = b'{"node":' + b"[" * depth + b"]" * depth + b"}"
        return StoredRow(NODES_TABLE, OTHER_HOST, value, 1)
    if entry.startswith("with host"):
        return make_row(entry.removeprefix("with host "))
    if entry == "with an empty host":
        return make_row("")
    if entry == "with a list as its node":
        return make_row("127.0.0.4", node=["a"])
    port = json.loads(entry.removeprefix("with port "))
    return make_row("127.0.0.4", mesh_port=port)


@given("a node that follows the table of nodes and sends beacons to a peer")
def step_node(context):
    runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
    context.add_cleanup(runner.close)
    context.uvloop_run = runner.run
    ports = PortBlock()
    context.add_cleanup(ports.close)
    port = int(ports.allocate(PEER_HOST).rpartition(":")[2])

    async def start():
        loop = asyncio.get_running_loop()
        # Errors of callbacks are part of what is tested.
        loop.set_exception_handler(lambda *_: None)
        _, context.counter = await loop.create_datagram_endpoint(
            BeaconCounter, local_addr=(PEER_HOST, port)
        )
        record = PeerRecord(HOST, HOST, 7000, CENTRE, "desk", 1)
        view = OwnerView(HOST, local=True, near=True)
        context.peers = PeerTable(record, view)
        context.metrics = SidecarMetrics()
        log = DecisionLog(node="n1")
        context.beacons = make_quiet_beacons(
            record,
            port=port,
            peers=context.peers,
            read_load=lambda: IDLE,
            metrics=context.metrics,
        )
        context.membership = Membership(
            QuietStore(),
            record,
            context.peers,
            on_found=context.beacons.request_beacon,
            on_removed=lambda _: None,
            on_written=lambda: None,
            log=log,
            metrics=context.metrics,
        )
        await context.beacons.listen()
        apply_rows(context, make_row(PEER_HOST))

    context.uvloop_run(start())
    context.add_cleanup(lambda: context.uvloop_run(close(context)))


async def close(context):
    context.beacons.close()


def apply_rows(context, *rows):
    context.membership.apply_changes(RowChanges(rows, 1, 0), False)


@when("another writer puts a row {entry} into the table")
def step_odd_row(context, entry):
    async def put():
        apply_rows(context, make_odd_row(entry))

    context.uvloop_run(put())


@when("the row of another node is written")
def step_other_row(context):
    async def put():
        apply_rows(context, make_row(OTHER_HOST))

    context.uvloop_run(put())


@then("the node knows the peer and the other node only")
def step_known(context):
    known = {peer.record.host for peer in context.peers}
    assert known == {PEER_HOST, OTHER_HOST}, known


@then("it has counted an unreadable row")
def step_counted(context):
    line = f'guavawing_unreadable_total{{source="{NODES_TABLE}"}} 1'
    text = context.metrics.render().decode()
    assert line in text, text


@when("a datagram can't be sent")
def step_unsent(context):
    async def send():
        # The table accepts any host; rows and beacons are checked before.
        odd = PeerRecord("odd", "::1", 7000, CENTRE, "desk", 1)
        context.peers.apply_record(odd, now=asyncio.get_running_loop().time())

    context.uvloop_run(send())


@then("its beacons go on")
def step_beacons(context):
    context.uvloop_run(asyncio.sleep(0.1))
    before = context.counter.count
    context.uvloop_run(asyncio.sleep(BEACONS_S))
    assert context.counter.count >= before + 2, (before, context.counter.count)


@then('a beacon of host "{host}" with port {port:d} is rejected')
def step_beacon_rejected(context, host, port):
    record = PeerRecord("n2", host, port, CENTRE, "desk", 1)
    payload = encode_beacon(Beacon(record, 1, 1, IDLE, False, 0, True))
    with assert_raises(MessageInvalidError, ""):
        decode_beacon(payload)


@then("a heartbeat with {field} {value} is rejected")
def step_heartbeat_rejected(context, field, value):
    info = {"service": "desk", "slots": 8}
    status = {"state": "ready", "sequence": 1, "coldRemainingMs": 0}
    body = {"address": "10.0.0.1:8080", "info": info, "status": status}
    owner = {"slots": info, "born": body}.get(field, status)
    assert decode_heartbeat("a", json.dumps(body).encode()).slots == 8
    owner[field] = json.loads(value)
    with assert_raises(MessageInvalidError, "is invalid"):
        decode_heartbeat("a", json.dumps(body).encode())


def make_entry(version, value, **fields):
    text = base64.b64encode(value).decode()
    entry = {"table": "op", "part": "", "key": "config", "value": text}
    return entry | {"schemaVersion": version} | fields


ODD_ENTRIES = {
    'a row "config" of partition "p" with "9"': make_entry(8, b"9", part="p"),
    'a removed row "config" of partition "p"': make_entry(
        8, b"", part="p", deleted=True
    ),
    "a text": "...",
    "a row without a value": {"table": "op", "part": "", "key": "config"},
}


@when('the feed has a row "config" of version 7, then {entry}')
def step_feed(context, entry):
    rows = [make_entry(7, b"7"), ODD_ENTRIES[entry]]
    body = json.dumps({"rows": rows, "schemaVersion": 8, "nowMs": 1}).encode()

    async def answer(call):
        return HttpAnswer(200, body, None)

    context.changes = context.run(
        StoreClient(answer).watch_table("op", after=6, wait_s=0, answer_s=1)
    )


@then('the only row is "config" of version 7')
def step_only_row(context):
    expected = StoredRow("op", "config", b"7", 7)
    assert context.changes.rows == (expected,), context.changes


@then("{count:d} entries are unreadable")
def step_unreadable(context, count):
    assert context.changes.unreadable == count, context.changes
