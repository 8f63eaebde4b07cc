"""Steps about the watch of a table in an in-memory store."""

import asyncio
from collections.abc import Callable

import attrs
from behave import given, then, when

from guavawing.errors import PlatformUnavailableError
from guavawing.platform.store_client import RowChanges, StoredRow
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.membership import NODES_TABLE, Membership
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.table_watch import TableWatch
from guavawing.traffic.model import PeerRecord
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.readers import is_reader
from standins.simulated_time_loop import open_simulated_time_loop

TABLE = "nodes"
# Longer than any pause of a watch before a call that is due, in seconds.
SETTLED_S = 0.6
BEACON_PERIOD_S = 1.0


class MemoryTable:
    """A table whose reads are answered at once.

    A call of the feed without changes is answered after the requested wait.
    """

    def __init__(self):
        self.rows, self.reads, self.feeds, self.failures = [], 0, 0, 0

    def put(self, key):
        row = StoredRow(TABLE, key, b"{}", len(self.rows) + 1)
        self.rows.append(row)

    async def read_table(self, table, *, answer_s, fresh):
        self.reads += 1
        return RowChanges(tuple(self.rows), len(self.rows), 0)

    async def watch_table(self, table, *, after, wait_s, answer_s):
        self.feeds += 1
        if self.failures:
            self.failures -= 1
            raise PlatformUnavailableError("status 503")
        found = tuple(row for row in self.rows if row.version > after)
        if not found:
            await asyncio.sleep(wait_s)
        return RowChanges(found, len(self.rows), 0)


@given("a node that does not follow the store")
def step_node(context):
    context.memory = MemoryTable()
    context.applied = []

    async def start():
        watch = TableWatch(
            context.memory,
            TABLE,
            on_changes=lambda changes, whole: context.applied.extend(
                row.key for row in changes.rows
            ),
            min_period_s=0.05,
            is_reader=lambda: False,
            on_reachability=lambda _: None,
            log=DecisionLog(node="a1"),
            metrics=SidecarMetrics(),
        )
        context.watch = watch
        return asyncio.get_running_loop().create_task(watch.run())

    context.task = context.run(start())

    async def stop():
        context.task.cancel()

    context.add_cleanup(lambda: context.run(stop()))


@given("the first {count:d} calls of the feed fail")
def step_failures(context, count):
    context.memory.failures = count


@when("another row is written {seconds:g} s after its first read")
def step_written(context, seconds):
    async def write():
        await asyncio.sleep(seconds)
        assert context.memory.reads == 1, context.memory.reads
        context.memory.put("10.0.0.2")

    context.run(write())


@when("its own row is written")
def step_own_row(context):
    async def write():
        context.watch.catch_up()

    context.run(write())


@then("it has applied the row within {seconds:g} s")
def step_applied(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            while "10.0.0.2" not in context.applied:
                await asyncio.sleep(0.01)

    context.run(wait())


@then("it has read the table once and its changes once")
@then("it has read the table once and its changes {times:d} times")
def step_calls(context, times=1):
    context.run(asyncio.sleep(SETTLED_S))
    found = (context.memory.reads, context.memory.feeds)
    assert found == (1, times), found


def run(context, coroutine):
    """Runs a coroutine on the loop whose clock is paused."""
    return context.paused.run_until_complete(coroutine)


class SharedTable:
    """A table of nodes; all first reads are answered before the first write."""

    def __init__(self, count):
        self.rows, self.version = {}, 0
        self.first_reads = asyncio.Barrier(count)
        self.changed = asyncio.Event()
        self.writing = asyncio.Lock()
        self.following = 0

    def find_after(self, version):
        return tuple(r for r in self.rows.values() if r.version > version)


class TableClient:
    """The store client of one node, which counts its calls."""

    def __init__(self, shared):
        self.shared, self.calls = shared, 0

    async def read_table(self, table, *, answer_s, fresh):
        self.calls += 1
        shared = self.shared
        found = RowChanges(tuple(shared.rows.values()), shared.version, 0)
        await shared.first_reads.wait()
        return found

    async def watch_table(self, table, *, after, wait_s, answer_s):
        self.calls += 1
        shared = self.shared
        if not shared.find_after(after) and wait_s:
            shared.following += 1
            try:
                async with asyncio.timeout(wait_s):
                    await shared.changed.wait()
            except TimeoutError:
                # The wait ended without a change.
                pass
            finally:
                shared.following -= 1
        await asyncio.sleep(0)
        return RowChanges(shared.find_after(after), shared.version, 0)

    async def write_rows(self, writes):
        self.calls += 1
        shared = self.shared
        # A partition of the store executes transactions one at a time.
        async with shared.writing:
            await asyncio.sleep(0.005)
        shared.version += 1
        for write in writes:
            shared.rows[write.key] = StoredRow(
                NODES_TABLE, write.key, write.value, shared.version
            )
        changed, shared.changed = shared.changed, asyncio.Event()
        changed.set()
        return shared.version


@attrs.define
class StartingNode:
    """A node that discovers others by their rows and by beacons."""

    host: str
    client: TableClient
    peers: PeerTable = None
    is_reader: Callable[[], bool] = None
    keys: set[str] = attrs.field(factory=set)
    frozen: bool = False


def start_node(context, node):
    """Runs membership and watch of a node; its beacons arrive at once."""
    loop = asyncio.get_running_loop()
    record = PeerRecord(node.host, node.host, 1, "bergen", "desk", 1)
    view = OwnerView(node.host, local=True, near=True)
    node.peers = PeerTable(record, view)

    def send_beacon(peer):
        if node.frozen:
            return
        other = context.nodes[peer.record.host]
        known = other.peers.apply_record(record, now=loop.time())
        other.peers.record_liveness(known, now=loop.time())

    async def send_beacons():
        while True:
            await asyncio.sleep(BEACON_PERIOD_S)
            for peer in node.peers:
                send_beacon(peer)
            node.peers.expire(
                now=loop.time(),
                near_period_s=BEACON_PERIOD_S,
                far_period_s=BEACON_PERIOD_S,
            )

    def find_is_reader():
        heard = node.peers.heard_near(now=loop.time(), period_s=BEACON_PERIOD_S)
        return is_reader(node.host, heard, readers=2)

    def apply(changes, complete):
        if not node.frozen:
            membership.apply_changes(changes, complete)
            node.keys.update(row.key for row in changes.rows)

    log, metrics = DecisionLog(node=node.host), SidecarMetrics()
    membership = Membership(
        node.client,
        record,
        node.peers,
        on_found=send_beacon,
        on_removed=lambda _: None,
        on_written=lambda: watch.catch_up(),
        log=log,
        metrics=metrics,
    )
    watch = TableWatch(
        node.client,
        NODES_TABLE,
        on_changes=apply,
        min_period_s=0.05,
        is_reader=find_is_reader,
        on_reachability=lambda _: None,
        log=log,
        metrics=metrics,
    )

    async def run():
        if context.joins_first:
            await membership.join()
        async with asyncio.TaskGroup() as group:
            group.create_task(watch.run())
            group.create_task(send_beacons())

    node.is_reader = find_is_reader
    return loop.create_task(run())


@given("{count:d} nodes of a fleet that starts for the first time")
def step_first_nodes(context, count):
    make_nodes(context, count, joins_first=True)


@given("{count:d} nodes whose first reads all come before the first write")
def step_nodes(context, count):
    make_nodes(context, count, joins_first=False)


def make_nodes(context, count, *, joins_first):
    manager = open_simulated_time_loop()
    context.paused = manager.__enter__()
    context.add_cleanup(lambda: manager.__exit__(None, None, None))

    async def make():
        context.joins_first = joins_first
        # If all nodes write first, no read has to wait for those of others.
        shared = SharedTable(1 if joins_first else count)
        context.nodes = {
            host: StartingNode(host, TableClient(shared))
            for host in (f"10.0.0.{number}" for number in range(count))
        }
        context.shared = shared

    run(context, make())


@when("they start together")
def step_start(context):
    async def start():
        return [start_node(context, n) for n in context.nodes.values()]

    context.tasks = run(context, start())


@when("they run for {seconds:g} s")
def step_pass(context, seconds):
    run(context, asyncio.sleep(seconds))


@then(
    "within {seconds:g} s each of them has discovered all others by rows or "
    "beacons"
)
def step_discovered(context, seconds):
    others = len(context.nodes) - 1

    async def wait():
        async with asyncio.timeout(seconds):
            while any(len(n.peers) < others for n in context.nodes.values()):
                await asyncio.sleep(0.01)

    run(context, wait())


@then("each of them has made at most {most:d} store calls by then")
def step_few_calls(context, most):
    calls = [node.client.calls for node in context.nodes.values()]
    assert max(calls) <= most, calls


@then("at most {most:d} of them follow the table")
def step_followers(context, most):
    assert context.shared.following <= most, context.shared.following


@when("the nodes that follow the table are frozen")
def step_freeze(context):
    readers = [node for node in context.nodes.values() if node.is_reader()]
    assert len(readers) == 2, [node.host for node in readers]
    for node in readers:
        node.frozen = True


@when("a row is written")
def step_row(context):
    row = StoredRow(NODES_TABLE, "new", b"{}", context.shared.version + 1)

    async def write():
        shared = context.shared
        shared.version += 1
        shared.rows[row.key] = row
        changed, shared.changed = shared.changed, asyncio.Event()
        changed.set()

    run(context, write())


@then("another node has read the row within {seconds:g} s")
def step_row_read(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            while not any("new" in n.keys for n in context.nodes.values()):
                await asyncio.sleep(0.01)

    run(context, wait())
