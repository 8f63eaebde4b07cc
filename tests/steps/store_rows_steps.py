"""Steps about rows of nodes in a store that is restored from a copy."""

import asyncio

import attrs
from behave import given, then, when

from guavawing.platform.store_client import StoreClient
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.membership import NODES_TABLE, Membership, _encode_record
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.model import PeerRecord
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.readers import NODES_READERS, is_reader
from standins.tables_transport import TablesTransport
from tests.store_support import (
    SETTLED_S,
    TABLE,
    make_watch,
    restore,
    run,
    start_clock,
    wait_until,
)

# Nodes whose rows are in the store.


@attrs.define
class Node:
    """A node with its membership and its watch of the nodes' table."""

    record: PeerRecord
    peers: PeerTable
    transport: TablesTransport
    membership: Membership = None
    client: StoreClient = None


def make_record(name, data_centre="east"):
    return PeerRecord(name, name, 7001, data_centre, "desk", 1)


def start_node(context, record):
    peers = PeerTable(record, OwnerView(record.host, local=True, near=True))
    node = Node(record, peers, TablesTransport(context.tables))
    node.client = StoreClient(node.transport.call)
    context.transports.append(node.transport)

    def greet(peer):
        # Beacons arrive at once.
        other = context.nodes.get(peer.record.host)
        if other is not None:
            now = context.paused.time()
            found = other.peers.apply_record(record, now=now)
            other.peers.record_liveness(found, now=now)
            peers.record_liveness(peer, now=now)

    node.membership = Membership(
        node.client,
        record,
        peers,
        on_found=greet,
        on_removed=lambda _: None,
        on_written=lambda: watch.catch_up(),
        log=DecisionLog(node=record.node),
        metrics=SidecarMetrics(),
    )
    watch = make_watch(
        node.client,
        NODES_TABLE,
        node.membership.apply_changes,
        lambda: is_reader(record.host, peers.near(), readers=NODES_READERS),
    )
    context.nodes[record.host] = node
    asyncio.get_running_loop().create_task(watch.run())


def start_nodes(context, records):
    start_clock(context)

    async def start():
        for record in records:
            value = _encode_record(record)
            context.tables.put(NODES_TABLE, record.host, value)
        for record in records:
            start_node(context, record)
        await asyncio.sleep(SETTLED_S)

    run(context, start())


@given('nodes "{names}" of a data centre of which "{reader}" follows the store')
def step_nodes(context, names, reader):
    assert reader == names.split()[0]
    context.hosts = dict(
        zip(names.split(), find_hosts(len(names.split())), strict=True)
    )
    start_nodes(context, [make_record(h) for h in context.hosts.values()])


def find_hosts(count):
    """Returns hosts in the order in which they become readers."""
    hosts = [f"10.0.0.{number}" for number in range(1, count + 1)]

    def find_rank(host):
        peers = PeerTable(make_record(host), None)
        for other in hosts:
            peers.apply_record(make_record(other), now=0.0)
        ranks = range(1, count + 1)
        return next(
            n for n in ranks if is_reader(host, peers.near(), readers=n)
        )

    return sorted(hosts, key=find_rank)


@given('a copy of the store without the rows of "{names}"')
def step_copy_without(context, names):
    copy = context.tables.copy()
    for name in names.split():
        del copy.rows[NODES_TABLE, context.hosts[name]]
    context.copy = copy


@when("the store is restored from the copy and refuses {count:d} writes")
def step_restore_refusing(context, count):
    for node in context.nodes.values():
        node.transport.refused_writes = count
    restore(context)


@when('the row of "{name}" is removed')
def step_remove(context, name):
    host = context.hosts[name]
    context.tables.put(NODES_TABLE, host, None)
    for node in context.nodes.values():
        if node.record.host != host:
            node.peers.get(host).view.alive = False
    run(context, asyncio.sleep(SETTLED_S))
    del context.nodes[host]


OTHER_ROW = b'{"row": "of another process"}'


@when('another process writes the row of "{name}" before the reader does')
def step_other_row(context, name):
    host = context.hosts[name]

    def put():
        if context.tables.get(NODES_TABLE, host) is None:
            context.tables.put(NODES_TABLE, host, OTHER_ROW)

    context.nodes[context.hosts["n1"]].transport.before_write = put


@when('a successor of "{name}" writes its row with the version of the old row')
def step_successor_row(context, name):
    host = context.hosts[name]
    had = context.nodes[host].membership._own_row.version
    tables = context.tables
    tables.put(NODES_TABLE, host, OTHER_ROW)
    text, _ = tables._rows[NODES_TABLE, host]
    tables._rows[NODES_TABLE, host] = (text, had)


@when('"{name}" withdraws at once')
def step_withdraw(context, name):
    node = context.nodes[context.hosts[name]]

    async def withdraw():
        # The era becomes known by another call of this node.
        await node.client.read_row(TABLE, "any")
        await node.membership.withdraw()

    run(context, withdraw())


@then('within {seconds:g} s the table has the rows of "{names}"')
def step_has_rows(context, seconds, names):
    expected = {context.hosts[name] for name in names.split()}

    def find_hosts_of_rows():
        answer = context.tables.read(NODES_TABLE, start="", end="", limit=500)
        return {row["key"] for row in answer["rows"]}

    run(
        context,
        wait_until(
            lambda: find_hosts_of_rows() == expected,
            seconds,
            find_hosts_of_rows,
        ),
    )


@then('"{name}" does not know "{other}"')
def step_not_known(context, name, other):
    node = context.nodes[context.hosts[name]]
    assert node.peers.get(context.hosts[other]) is None


@then('the row of "{name}" is that of the other process')
def step_row_stays(context, name):
    found = context.tables.get(NODES_TABLE, context.hosts[name])
    assert found == OTHER_ROW, found


@given("{count:d} nodes in {centres:d} data centres that have started")
def step_fleet(context, count, centres):
    start_nodes(
        context,
        [
            make_record(
                f"10.{n % centres}.{n // 200}.{n % 200}", str(n % centres)
            )
            for n in range(count)
        ],
    )


@when("the store is restored from the copy and {seconds:g} s pass")
def step_restore_pass(context, seconds):
    for node in context.nodes.values():
        node.transport.calls.clear()
    restore(context)
    run(context, asyncio.sleep(seconds))


@then("at most {most:d} calls were made in these {seconds:g} s")
def step_calls(context, most, seconds):
    calls = [c for node in context.nodes.values() for c in node.transport.calls]
    assert len(calls) <= most, len(calls)
