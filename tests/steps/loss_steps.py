"""Steps about silent nodes, with datagrams that pass in memory."""

import asyncio

from behave import given, then, when

from guavawing.sidecar.beacons import Beacons
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.balancer import OwnerView
from guavawing.traffic.model import LoadReport, PeerRecord, TargetPhase
from guavawing.traffic.peers import PeerTable
from standins.simulated_time_loop import open_simulated_time_loop

PORT = 7002
IDLE = LoadReport(TargetPhase.READY, 4, 0, 0, 0.1)
DELAY_S = 0.005
# What is heard of all nodes before a scenario begins, in seconds: not fresh.
HEARD_BEFORE_S = 0.9


def run(context, coroutine):
    """Runs a coroutine on the loop whose clock is paused."""
    return context.paused.run_until_complete(coroutine)


class Network:
    """Passes datagrams on, but for those of nodes that are dark or cut."""

    def __init__(self):
        self.nodes, self.dark, self.cut = {}, set(), set()
        # Datagrams that no process has read yet; None if they are read.
        self.unread = None

    def passes(self, one, two):
        if self.dark & {one, two}:
            return False
        return (one in self.cut) == (two in self.cut)

    def deliver(self, source, target, payload):
        if self.unread is not None:
            self.unread.append((source, target, payload))
        elif self.passes(source, target):
            self.nodes[target].beacons.datagram_received(
                payload, (source, PORT)
            )


class Transport:
    """The socket of one node."""

    def __init__(self, network, host):
        self.network, self.host, self.count = network, host, 0

    def is_closing(self):
        return False

    def sendto(self, payload, addr):
        self.count += 1
        asyncio.get_running_loop().call_later(
            DELAY_S, self.network.deliver, self.host, addr[0], payload
        )

    def close(self):
        """Needs nothing."""


class Node:
    """Beacons of one node that knows all others and sends none by itself."""

    def __init__(self, network, record):
        view = OwnerView(record.host, local=True, near=True)
        self.record = record
        self.peers = PeerTable(record, view)
        self.beacons = Beacons(
            own_record=record,
            port=PORT,
            peers=self.peers,
            read_load=lambda: IDLE,
            on_peer=lambda _: None,
            read_departure=lambda: None,
            on_slots=lambda _: None,
            on_departure=lambda _: None,
            log=DecisionLog(node=record.node),
            metrics=SidecarMetrics(),
        )
        self.transport = Transport(network, record.host)
        self.beacons.connection_made(self.transport)
        network.nodes[record.host] = self

    def lost(self):
        return {peer.record.host for peer in self.peers if not peer.view.alive}


@given(
    "{near:d} near nodes and {far:d} nodes of each of {count:d} other data "
    "centres"
)
def step_fleet(context, near, far, count):
    manager = open_simulated_time_loop()
    context.paused = manager.__enter__()
    context.add_cleanup(lambda: manager.__exit__(None, None, None))

    async def make():
        context.network = Network()
        records = [
            PeerRecord(host, host, 7001, centre, "desk", 1)
            for centre, size in [("0", near)]
            + [(str(number + 1), far) for number in range(count)]
            for host in (f"10.{centre}.0.{number}" for number in range(size))
        ]
        nodes = [Node(context.network, record) for record in records]
        last_seen_at = asyncio.get_running_loop().time() - HEARD_BEFORE_S
        for node in nodes:
            for record in records:
                peer = node.peers.apply_record(record, now=last_seen_at)
                if peer is not None:
                    peer.beacon_requested = True
                    node.peers.record_liveness(peer, now=last_seen_at)
        context.near = [n for n in nodes if n.record.data_centre == "0"]
        context.far = [n for n in nodes if n.record.data_centre == "1"]

    run(context, make())

    async def close():
        for node in context.network.nodes.values():
            node.beacons.close()

    context.add_cleanup(lambda: run(context, close()))


@when("{who} goes dark, and one near node gets no answer from it")
def step_dark(context, who):
    lost = context.near[7] if who == "a near node" else context.far[7]
    darken(context, [lost])


@when(
    "{count:d} near nodes go dark, and each of them leaves one node without an "
    "answer"
)
def step_many_dark(context, count):
    darken(context, context.near[:count])


def darken(context, nodes):
    context.lost = {node.record.host for node in nodes}
    context.alive = [
        n for n in context.near if n.record.host not in context.lost
    ]

    async def doubt():
        context.network.dark |= context.lost
        for number, host in enumerate(sorted(context.lost)):
            context.alive[number % len(context.alive)].beacons.handle_suspicion(
                host
            )

    run(context, doubt())


@when("one near node hears nobody and doubts all others")
def step_deaf(context):
    deaf, context.lost = context.near[3], set()
    context.alive = [node for node in context.near if node is not deaf]

    async def doubt():
        # What it sends still arrives.
        deaf.beacons.datagram_received = lambda *_: None
        for host in deaf.lost() ^ set(context.network.nodes):
            if host != deaf.record.host:
                deaf.beacons.handle_suspicion(host)

    run(context, doubt())


@when("a near node doubts a far one that lives")
def step_wrong_doubt(context):
    context.lost, context.alive = set(), context.near

    async def doubt():
        host = context.far[4].record.host
        context.near[0].beacons.handle_suspicion(host)
        assert context.near[0].lost() == {host}

    run(context, doubt())


@when("a near node is doubted, and the others are late for the answers")
def step_late(context):
    context.lost = set()
    context.alive = context.near[1:]

    async def doubt():
        context.near[0].beacons.handle_suspicion(context.near[5].record.host)
        # The doubt is told and the question sent; then all stand still, and
        # their timers run before they read.
        await asyncio.sleep(0.07)
        context.network.unread = []
        context.paused.stall(0.6)
        await asyncio.sleep(0.001)
        unread, context.network.unread = context.network.unread, None
        for datagram in unread:
            context.network.deliver(*datagram)

    run(context, doubt())


@given("a data centre that is held lost as it was cut off")
def step_cut(context):
    context.lost = {node.record.host for node in context.far}
    context.alive = context.near
    context.network.cut |= context.lost
    for node in context.near:
        for host in context.lost:
            node.peers.get(host).view.alive = False


@when("the cut heals, and one of its nodes is heard")
def step_heal(context):
    async def heal():
        context.network.cut.clear()
        for node in context.near:
            payload = context.far[0].beacons._encode()
            node.beacons.datagram_received(
                payload, (context.far[0].record.host, PORT)
            )

    run(context, heal())


@then("within {seconds:g} s all near nodes hold it lost")
@then("within {seconds:g} s all near nodes hold them lost")
def step_held_lost(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            while any(not context.lost <= n.lost() for n in context.alive):
                await asyncio.sleep(0.01)

    run(context, wait())


@then("nobody else is held lost")
def step_only_lost(context):
    found = {host for node in context.alive for host in node.lost()}
    assert found == context.lost, found ^ context.lost


@then("after {seconds:g} s nobody holds anybody lost")
@then("after {seconds:g} s nobody else holds anybody lost")
def step_none_lost(context, seconds):
    run(context, asyncio.sleep(seconds))
    found = {node.record.host: node.lost() for node in context.alive}
    assert not any(found.values()), found


@then("within {seconds:g} s all near nodes hear of all of its nodes")
def step_back(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            while any(node.lost() for node in context.alive):
                await asyncio.sleep(0.01)

    run(context, wait())


@then("no node has sent more than {most:d} datagrams")
def step_datagrams(context, most):
    counts = [node.transport.count for node in context.network.nodes.values()]
    assert max(counts) <= most, max(counts)
