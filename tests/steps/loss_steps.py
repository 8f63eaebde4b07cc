"""Steps about the detection of lost nodes, with datagrams in memory."""

import asyncio

from behave import given, then, when

from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.model import LoadReport, PeerRecord, TargetPhase
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable
from standins.simulated_time_loop import open_simulated_time_loop
from tests.sidecar_support import make_quiet_beacons

PORT = 7002
IDLE = LoadReport(TargetPhase.READY, 4, 0, 0, 0.1)
DELAY_S = 0.005
# Age of the last beacon of each node at the start of a scenario, in seconds:
# too old to count as recent liveness evidence.
LAST_BEACON_AGE_S = 0.9


def run(context, coroutine):
    """Runs a coroutine on the loop whose clock is paused."""
    return context.paused.run_until_complete(coroutine)


class Network:
    """Delivers datagrams unless a node is down or a partition separates them.

    Attributes:
        nodes: Nodes by host.
        down: Hosts that neither send nor receive.
        partitioned: Hosts that reach only each other.
        unread: Datagrams in the sockets of stalled processes; None if the
            processes read them at once.
    """

    def __init__(self):
        self.nodes, self.down, self.partitioned = {}, set(), set()
        self.unread = None

    def is_reachable(self, source, target):
        if self.down & {source, target}:
            return False
        return (source in self.partitioned) == (target in self.partitioned)

    def deliver(self, source, target, payload):
        if self.unread is not None:
            self.unread.append((source, target, payload))
        elif self.is_reachable(source, target):
            self.nodes[target].beacons.datagram_received(
                payload, (source, PORT)
            )


class Transport:
    """The UDP socket of one node, which counts sent datagrams."""

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
        """Does nothing, since there is no socket."""


class Node:
    """Beacons of one node, without the periodic ones."""

    def __init__(self, network, record):
        view = OwnerView(record.host, local=True, near=True)
        self.record = record
        self.peers = PeerTable(record, view)
        self.beacons = make_quiet_beacons(
            record,
            port=PORT,
            peers=self.peers,
            read_load=lambda: IDLE,
            metrics=SidecarMetrics(),
        )
        self.transport = Transport(network, record.host)
        self.beacons.connection_made(self.transport)
        network.nodes[record.host] = self

    def find_lost(self):
        """Returns the hosts that this node has marked lost."""
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
        last_seen_at = asyncio.get_running_loop().time() - LAST_BEACON_AGE_S
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


@when("{who} goes down, and one near node gets no answer from it")
def step_down(context, who):
    lost = context.near[7] if who == "a near node" else context.far[7]
    bring_down(context, [lost])


@when(
    "{count:d} near nodes go down, and for each of them one node gets no answer"
)
def step_many_down(context, count):
    bring_down(context, context.near[:count])


def bring_down(context, nodes):
    context.lost = {node.record.host for node in nodes}
    context.alive = [
        n for n in context.near if n.record.host not in context.lost
    ]

    async def suspect():
        context.network.down |= context.lost
        for number, host in enumerate(sorted(context.lost)):
            context.alive[number % len(context.alive)].beacons.handle_suspicion(
                host
            )

    run(context, suspect())


@when("one near node receives nothing and suspects all others")
def step_isolated(context):
    isolated, context.lost = context.near[3], set()
    context.alive = [node for node in context.near if node is not isolated]

    async def suspect():
        # Only its receiving side fails; the datagrams that it sends arrive.
        isolated.beacons.datagram_received = lambda *_: None
        for host in isolated.find_lost() ^ set(context.network.nodes):
            if host != isolated.record.host:
                isolated.beacons.handle_suspicion(host)

    run(context, suspect())


@when("a near node suspects a far one that is alive")
def step_wrong_suspicion(context):
    context.lost, context.alive = set(), context.near

    async def suspect():
        host = context.far[4].record.host
        context.near[0].beacons.handle_suspicion(host)
        assert context.near[0].find_lost() == {host}

    run(context, suspect())


@when(
    "a near node is suspected, and the others stall before they read the "
    "answers"
)
def step_stall(context):
    context.lost = set()
    context.alive = context.near[1:]

    async def suspect():
        context.near[0].beacons.handle_suspicion(context.near[5].record.host)
        # The suspicion is announced and the probe sent. Then all processes
        # stall, and their timers expire before they read the datagrams.
        await asyncio.sleep(0.07)
        context.network.unread = []
        context.paused.stall(0.6)
        await asyncio.sleep(0.001)
        unread, context.network.unread = context.network.unread, None
        for datagram in unread:
            context.network.deliver(*datagram)

    run(context, suspect())


@given("a data centre that is marked lost because of a partition")
def step_partition(context):
    context.lost = {node.record.host for node in context.far}
    context.alive = context.near
    context.network.partitioned |= context.lost
    for node in context.near:
        for host in context.lost:
            node.peers.get(host).view.alive = False


@when("the partition heals, and a beacon of one of its nodes arrives")
def step_heal(context):
    async def heal():
        context.network.partitioned.clear()
        for node in context.near:
            payload = context.far[0].beacons._encode()
            node.beacons.datagram_received(
                payload, (context.far[0].record.host, PORT)
            )

    run(context, heal())


@then("within {seconds:g} s all near nodes have marked it lost")
@then("within {seconds:g} s all near nodes have marked them lost")
def step_marked_lost(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            while any(not context.lost <= n.find_lost() for n in context.alive):
                await asyncio.sleep(0.01)

    run(context, wait())


@then("no other node is marked lost")
def step_only_lost(context):
    found = {host for node in context.alive for host in node.find_lost()}
    assert found == context.lost, found ^ context.lost


@then("after {seconds:g} s no near node has marked another one lost")
@then("after {seconds:g} s no other near node has marked another one lost")
def step_none_lost(context, seconds):
    run(context, asyncio.sleep(seconds))
    found = {node.record.host: node.find_lost() for node in context.alive}
    assert not any(found.values()), found


@then("within {seconds:g} s all near nodes have marked all of its nodes alive")
def step_returned(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            while any(node.find_lost() for node in context.alive):
                await asyncio.sleep(0.01)

    run(context, wait())


@then("no node has sent more than {most:d} datagrams")
def step_datagrams(context, most):
    counts = [node.transport.count for node in context.network.nodes.values()]
    assert max(counts) <= most, max(counts)
