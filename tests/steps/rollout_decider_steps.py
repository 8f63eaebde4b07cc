"""Steps with several nodes that carry out a roll-out on a simulated clock."""

import asyncio
import collections
import itertools
from random import Random

import attrs
import orjson
from behave import given, then, when

from guavawing.errors import (
    PlatformUnavailableError,
    PlatformWriteUnknownError,
)
from guavawing.model import Address
from guavawing.platform.settings import RolloutTerms
from guavawing.platform.store_client import (
    RowChanges,
    StoreClient,
    StoredRow,
)
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.mesh_codec import ROLLOUT_COUNTS, find_kind
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.rollouts import Rollouts
from guavawing.sidecar.table_watch import TableWatch
from guavawing.traffic.model import (
    LoadReport,
    Outcome,
    PeerRecord,
    TargetPhase,
    TargetReport,
)
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.rollout_state import Group
from guavawing.traffic.target_state import TargetState
from guavawing.verdict import Ran, Reason
from standins.platform_tables import PlatformTables
from standins.simulated_time_loop import open_simulated_time_loop
from standins.tables_transport import TablesTransport
from tests.sidecar_support import make_attempt

TERMS = RolloutTerms(0.1, 50.0, 5.0)
SLOTS = 7
TARGET = Address("127.0.0.1", 80)
PERIOD_S = 0.02
EXECUTION_S = 0.05
# Time in which the nodes learn an order, in seconds.
LONGEST_GAP_S = 1.0
SERVICE, KEY = "desk", "rollout/desk"


class Owner:
    """An owner whose target executes without a queue."""

    def __init__(self):
        self.pending = 0

    def running(self):
        return iter(())


@attrs.define(eq=False)
class Node:
    """One node with its target."""

    host: str
    release: str
    owner: Owner
    target: TargetState
    peers: PeerTable
    transport: TablesTransport
    rollouts: Rollouts = None
    executed: list[float] = attrs.field(factory=list)


class Network:
    """Nodes, the datagrams between them, and the store."""

    def __init__(self, loop, releases):
        self.loop, self.rng = loop, Random(7)
        self.tables = PlatformTables()
        self.faulty, self.cut, self.away = set(), set(), False
        # Nodes whose watch of the orders is not answered.
        self.unwatched = set()
        self.writes, self.lost, self.writers = 0, set(), []
        self.nodes = {}
        for number, release in enumerate(releases.split()):
            self.add_node(number, release.replace("?", ""))
        for node in self.nodes.values():
            self.introduce(node)
        self.tasks = [loop.create_task(self.offer())]
        for node in self.nodes.values():
            watch = TableWatch(
                StoreClient(self.make_call(node, watches=True)),
                "op",
                on_changes=node.rollouts.apply_changes,
                min_period_s=0.6,
                is_reader=lambda: True,
                on_reachability=lambda _: None,
                log=DecisionLog(node=node.host),
                metrics=SidecarMetrics(),
            )
            self.tasks.append(loop.create_task(watch.run()))

    def make_record(self, host):
        data_centre = "bergen" if host < "10.0.0.2" else "voss"
        return PeerRecord(host, host, 1, data_centre, SERVICE, 1)

    def add_node(self, number, release):
        host = f"10.0.0.{number}"
        target = TargetState(SERVICE, TARGET)
        target.apply_report(
            TargetReport(
                f"i-{host}", SERVICE, TARGET, SLOTS, False, 1, 0.0, 1, release
            ),
            now=0.0,
        )
        record = self.make_record(host)
        view = OwnerView(host, local=True, near=True)
        transport = TablesTransport(self.tables)
        node = Node(
            host, release, Owner(), target, PeerTable(record, view), transport
        )
        node.rollouts = Rollouts(
            TERMS,
            own_record=record,
            store=StoreClient(self.make_call(node)),
            peers=node.peers,
            owner=node.owner,
            target=target,
            send=lambda payload, to: self.send(host, payload, to),
            is_reader=lambda: True,
            log=DecisionLog(node=host),
            metrics=SidecarMetrics(),
        )
        self.nodes[host] = node

    def introduce(self, node):
        for other in self.nodes.values():
            report = LoadReport(
                TargetPhase.READY, SLOTS, 0, 0, 0.0, release=other.release
            )
            if other is node:
                (view,) = [
                    each
                    for each in node.peers.owners(SERVICE)
                    if each.node == node.host
                ]
                view.apply_report(report, now=0.0)
                continue
            record = self.make_record(other.host)
            peer = node.peers.apply_record(record, now=0.0)
            node.peers.apply_load(peer, report, now=0.0)

    def make_call(self, node, *, watches=False):
        async def call(request):
            unwatched = watches and node.host in self.unwatched
            if self.away or unwatched or node.host in self.cut:
                await asyncio.sleep(0.1)
                raise PlatformUnavailableError("connection refused")
            answer = await node.transport.call(request)
            if request.path == "/-/rows-tx" and answer.status == 200:
                self.writes += 1
                self.writers.append(node.host)
                if self.writes in self.lost:
                    raise PlatformWriteUnknownError("the answer was lost")
            return answer

        return call

    def send(self, host, payload, to):
        if host in self.cut or to in self.cut:
            return
        rollouts = self.nodes[to].rollouts
        counts = find_kind(payload) == ROLLOUT_COUNTS
        handle = rollouts.handle_counts if counts else rollouts.handle_state
        self.loop.call_later(0.005, handle, payload, host)

    async def offer(self):
        """Sends requests of all nodes in turn."""
        while True:
            for node in self.nodes.values():
                self.request(node)
                await asyncio.sleep(PERIOD_S)

    def request(self, entry):
        view = entry.rollouts.find_view(SERVICE)
        now = self.loop.time()
        owners = list(entry.peers.owners(SERVICE))
        draw = self.rng.random()
        for group in view.pick_groups(draw, failed_new=False, now=now):
            found = view.select(owners, group, now=now)
            if not found:
                continue
            node = self.nodes[self.rng.choice(list(found)).node]
            if {node.host, entry.host} & self.cut and node is not entry:
                return
            asked = "" if group is Group.ANY else node.release
            attempt = make_attempt("r", now=now, path=b"/read/x", release=asked)
            if node.rollouts.admits(attempt):
                self.execute(node, attempt)
            return

    def execute(self, node, attempt):
        node.executed.append(self.loop.time())
        node.owner.pending += 1
        status = 500 if node.release in self.faulty else 200

        def end():
            node.owner.pending -= 1
            outcome = Outcome(Ran(Reason.SERVED), status)
            node.rollouts.observe(attempt, outcome, EXECUTION_S)

        self.loop.call_later(EXECUTION_S, end)

    def read_status(self):
        value = self.tables.get("status", KEY)
        return {} if value is None else orjson.loads(value)

    def close(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes.values():
            node.rollouts.close()


@given('nodes whose targets have the releases "{releases}"')
def step_nodes(context, releases):
    if hasattr(context, "network"):
        context.network.close()
    else:
        manager = open_simulated_time_loop()
        context.paused = manager.__enter__()
        context.add_cleanup(manager.__exit__, None, None, None)

    async def start():
        return Network(asyncio.get_running_loop(), releases)

    context.network = context.paused.run_until_complete(start())
    step_pass(context, 4.0)


@given('the targets of "{release}" fail all requests in memory')
def step_faulty(context, release):
    context.network.faulty.add(release)


@given("the answers of writes 1, 3 and 5 are lost")
def step_lost(context):
    context.network.lost = {1, 3, 5}


@when('"{release}" is ordered within {seconds:g} s')
def step_ordered(context, release, seconds):
    order = {"service": SERVICE, "to": release, "durationS": seconds}
    context.network.tables.put("op", KEY, orjson.dumps(order))
    step_pass(context, 0.01)


@when('the store does not answer the watch of "{host}"')
def step_unwatched(context, host):
    context.network.unwatched.add(host)
    context.network.nodes[host].transport.cut()
    step_pass(context, 0.01)


@when("the store answers the watch again")
def step_watched(context):
    context.network.unwatched.clear()


@when("the order is withdrawn")
def step_withdrawn(context):
    context.network.tables.put("op", KEY, None)


@when("the roll-out goes on for {seconds:g} s")
def step_pass(context, seconds):
    context.paused.run_until_complete(asyncio.sleep(seconds))


@when("the decider is cut off for {seconds:g} s")
def step_cut(context, seconds):
    network = context.network
    context.cut_off = network.read_status()["plan"]["decider"]
    network.cut.add(context.cut_off)
    step_pass(context, seconds)
    network.writers.clear()
    network.cut.clear()


def cut_off_node(context, *, far):
    """Cuts off a node that doesn't decide."""
    network = context.network
    decider = network.read_status()["plan"]["decider"]
    data_centre = network.make_record(decider).data_centre
    context.cut_off = next(
        host
        for host in network.nodes
        if host != decider
        and (network.make_record(host).data_centre != data_centre) is far
    )
    network.cut.add(context.cut_off)
    return network.nodes[context.cut_off]


@when("another node than the decider is cut off")
def step_cut_other(context):
    cut_off_node(context, far=False)


@when("a node of the other data centre is cut off and hears of a withdrawal")
def step_cut_withdrawn(context):
    node = cut_off_node(context, far=True)
    state = node.rollouts.find_view(SERVICE).state
    version = state.order.number + 1
    row = StoredRow("op", KEY, None, version)
    changes = RowChanges((row,), version, 0, state.era)
    node.rollouts.apply_changes(changes, False)


@when("the node is no longer cut off")
def step_back(context):
    context.network.cut.clear()


@when("the node is no longer cut off but does not follow the store yet")
def step_back_unwatched(context):
    context.network.unwatched.add(context.cut_off)
    context.network.writers.clear()
    context.network.cut.clear()


def announce_phase(network, release, phase):
    """Tells all nodes of the phase of the targets of a release."""
    slots = SLOTS if phase is TargetPhase.READY else 0
    known = release if phase is TargetPhase.READY else ""
    report = LoadReport(phase, slots, 0, 0, 0.0, release=known)
    now = network.loop.time()
    for node in network.nodes.values():
        for view in node.peers.owners(SERVICE):
            if network.nodes[view.node].release == release:
                view.apply_report(report, now=now)


@when(
    'the owners of "{release}" restart and do not know their targets for '
    "{seconds:g} s"
)
def step_restart(context, release, seconds):
    announce_phase(context.network, release, TargetPhase.UNKNOWN)
    step_pass(context, seconds)
    announce_phase(context.network, release, TargetPhase.READY)


@when("the store of the roll-out is away for {seconds:g} s")
def step_away(context, seconds):
    context.network.away = True
    step_pass(context, seconds)
    context.network.away = False


@when("{count:d} other rows are written")
def step_other_rows(context, count):
    for number in range(count):
        context.network.tables.put("other", f"row/{number}", b"{}")


@given("the store of the roll-out is copied")
@when("the store of the roll-out is copied")
def step_copied(context):
    context.copy = context.network.tables.copy()


@when("the store of the roll-out is restored")
def step_restored(context):
    network = context.network
    network.tables.restore(context.copy)
    for node in network.nodes.values():
        node.transport.cut()


@then('the status is "{state}" to "{release}"')
def step_status(context, state, release):
    status = context.network.read_status()
    assert (status.get("state"), status.get("to")) == (state, release), status


@then("the store was written at most {count:d} times by one decider")
def step_writes(context, count):
    network = context.network
    assert network.writes <= count, network.writes
    deciders = collections.Counter(network.writers)
    assert len(deciders) == 1, deciders


@then("the node that was cut off did not decide again")
def step_not_again(context):
    assert context.cut_off not in context.network.writers


def check_none_since(context, release, seconds):
    network = context.network
    since = context.paused.time() - seconds
    found = [
        (node.host, at)
        for node in network.nodes.values()
        for at in node.executed
        if node.release == release and at > since
    ]
    assert not found, found[:5]


@then("no old target executed anything after that")
def step_none_after(context):
    check_none_since(context, "v1", 1.0)


@then("no old target executed anything in the last {seconds:g} s")
def step_none_old(context, seconds):
    check_none_since(context, "v1", seconds)


@then('no target of "" executed anything in the last {seconds:g} s')
def step_none_unknown(context, seconds):
    check_none_since(context, "", seconds)


@then('no target of "{release}" executed anything in the last {seconds:g} s')
def step_none(context, release, seconds):
    check_none_since(context, release, seconds)


@then("requests were executed all the while")
def step_all_the_while(context):
    times = sorted(
        at for node in context.network.nodes.values() for at in node.executed
    )
    gap = max(after - at for at, after in itertools.pairwise(times))
    assert gap < LONGEST_GAP_S, gap
