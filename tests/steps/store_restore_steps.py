"""Steps about a store that is restored from a copy, on a paused clock."""

import asyncio
import urllib.parse

import attrs
import orjson
from behave import given, then, when

from guavawing.errors import PlatformUnavailableError, PlatformWriteUnknownError
from guavawing.platform.store_client import RowWrite, StoreClient
from guavawing.platform.store_transport import HttpAnswer, parse_era
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.membership import NODES_TABLE, Membership, _encode_record
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.table_watch import TableWatch
from guavawing.traffic.model import PeerRecord
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.readers import NODES_READERS, is_reader
from standins.platform_tables import PlatformTables
from standins.simulated_time_loop import open_simulated_time_loop

TABLE = "op"
CALL_S = 0.004
PERIOD_S = 0.6
# Time after which watches wait for changes, in seconds.
SETTLED_S = 2.0


def run(context, coroutine):
    return context.paused.run_until_complete(coroutine)


def restore(context):
    context.tables.restore(context.copy)
    for transport in context.transports:
        transport.cut()


def start_clock(context):
    manager = open_simulated_time_loop()
    context.paused = manager.__enter__()
    context.add_cleanup(lambda: manager.__exit__(None, None, None))
    context.tables = PlatformTables()
    context.nodes = {}
    context.transports = []


class TablesTransport:
    """Calls of one client to tables in memory.

    Attributes:
        calls: Paths of the calls.
        refused_writes: Number of writes that are refused with status 503.
        before_write: Called before a write is executed.
    """

    def __init__(self, tables):
        self.tables = tables
        self.calls = []
        self.refused_writes = 0
        self.before_write = lambda: None
        self.lost = None

    async def call(self, call):
        path, _, query_text = call.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        self.calls.append(path)
        await asyncio.sleep(CALL_S)
        status, tree = await self.execute(path, query, call.body)
        return HttpAnswer(status, orjson.dumps(tree), self.tables.era)

    async def execute(self, path, query, body):
        match path:
            case "/-/rows-get":
                tree = self.tables.read(
                    query["table"],
                    start=query["from"],
                    end="",
                    limit=int(query.get("limit", "500")),
                )
                return 200, tree
            case "/-/rows-feed":
                after, wait_ms = int(query["after"]), int(query["waitMs"])
                if not self.tables.knows(after):
                    return 410, {}
                return 200, await self.follow(query["table"], after, wait_ms)
            case "/-/rows-tx":
                if self.refused_writes:
                    self.refused_writes -= 1
                    return 503, {}
                self.before_write()
                tree = self.tables.transact(orjson.loads(body))
                return (412, {}) if tree is None else (200, tree)
        raise AssertionError(path)

    async def follow(self, table, after, wait_ms):
        """Waits for changes; the call is lost if the store is restored."""
        loop = asyncio.get_running_loop()
        self.lost = loop.create_future()
        call = loop.create_task(
            self.tables.follow(table, after=after, wait_s=wait_ms / 1000)
        )
        await asyncio.wait(
            (call, self.lost), return_when=asyncio.FIRST_COMPLETED
        )
        if self.lost.done():
            call.cancel()
            raise PlatformWriteUnknownError("connection lost")
        return call.result()

    def cut(self):
        """Closes the connection of a call that waits."""
        if self.lost is not None and not self.lost.done():
            self.lost.set_result(None)


def make_watch(client, table, on_changes, is_reader):
    return TableWatch(
        client,
        table,
        on_changes=on_changes,
        min_period_s=PERIOD_S,
        is_reader=is_reader,
        on_reachability=lambda _: None,
        log=DecisionLog(node="n1"),
        metrics=SidecarMetrics(),
    )


def start_watch(context, *, reads):
    start_clock(context)
    context.transport = TablesTransport(context.tables)
    context.transports.append(context.transport)
    context.applied, context.is_reader = {}, reads

    def apply(changes, complete):
        if complete:
            context.applied.clear()
        for row in changes.rows:
            context.applied[row.key] = row.value

    async def start():
        client = StoreClient(context.transport.call)
        watch = make_watch(client, TABLE, apply, lambda: context.is_reader)
        context.task = asyncio.get_running_loop().create_task(watch.run())
        await asyncio.sleep(SETTLED_S)

    run(context, start())


@given("a node that follows a table of the store")
def step_follower(context):
    start_watch(context, reads=True)


@given("a node that has read a table of the store once")
def step_once(context):
    start_watch(context, reads=False)


def write_rows(context, names):
    for name in names.split():
        value = f"{name} in era {context.tables.era}"
        context.tables.put(TABLE, name, value.encode())


@given('rows "{names}" that it has read')
@given('rows "{names}" that it has not read')
def step_rows(context, names):
    write_rows(context, names)
    run(context, asyncio.sleep(SETTLED_S))


@given("it waits for changes")
def step_waits(context):
    run(context, asyncio.sleep(SETTLED_S))
    assert context.transport.calls[-1] == "/-/rows-feed"


@given("a copy of the store")
def step_copy(context):
    context.copy = context.tables.copy()


@when("the store is restored from the copy")
def step_restore(context):
    restore(context)


@when("the store is restored from the copy while the call waits on")
def step_restore_waiting(context):
    context.tables.restore(context.copy)


@when('rows "{names}" are written before the next call')
@when('rows "{names}" are written')
def step_write(context, names):
    write_rows(context, names)


@when("it becomes a reader")
def step_becomes_reader(context):
    context.is_reader = True


@when("it watches the restored store for {seconds:g} s")
def step_pass(context, seconds):
    run(context, asyncio.sleep(seconds))


async def wait_until(holds, seconds, describe):
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    while not holds():
        assert loop.time() < ends_at, describe()
        await asyncio.sleep(0.01)


@then('within {seconds:g} s it has applied the rows "{names}" of the new era')
def step_applied(context, seconds, names):
    expected = {
        name: f"{name} in era {context.tables.era}".encode()
        for name in names.split()
    }
    run(
        context,
        wait_until(
            lambda: expected.items() <= context.applied.items(),
            seconds,
            lambda: context.applied,
        ),
    )


@then("it has read the whole table {times:d} times")
def step_reads(context, times):
    assert context.transport.calls.count("/-/rows-get") == times


# A client whose answers the steps give.


class ScriptedTransport:
    """Calls that are answered by the steps."""

    def __init__(self):
        self.futs = []

    async def call(self, call):
        self.futs.append(asyncio.get_running_loop().create_future())
        return await self.futs[-1]


def make_answer(era):
    tree = {"rows": [], "schemaVersion": 7, "hasMore": False}
    return HttpAnswer(200, orjson.dumps(tree), era)


@given("a client of the store")
def step_client(context):
    start_clock(context)
    context.scripted = ScriptedTransport()
    context.client = StoreClient(context.scripted.call)
    context.bad_eras = 0

    def count():
        context.bad_eras += 1

    context.client.era.on_unreadable = count


async def begin(context, coroutine):
    task = asyncio.get_running_loop().create_task(coroutine)
    await asyncio.sleep(0)
    return task, context.scripted.futs[-1]


async def finish(task, fut, answer):
    fut.set_result(answer)
    return (await asyncio.gather(task, return_exceptions=True))[0]


def read(context):
    return context.client.read_table(TABLE)


def write(context):
    return context.client.write_rows([RowWrite(TABLE, "a", b"1", 7)])


async def answer_late(context, late_call):
    late = await begin(context, late_call(context))
    other = await begin(context, read(context))
    await finish(*other, make_answer(2))
    return await finish(*late, make_answer(1))


@when("a read that was answered in era 1 arrives after one of era 2")
def step_late_read(context):
    context.result = run(context, answer_late(context, read))


@then("the late read fails as unavailable")
def step_read_fails(context):
    assert isinstance(context.result, PlatformUnavailableError), context.result


@when("a write that was answered in era 1 arrives after an answer of era 2")
def step_late_write(context):
    context.client.era.newest = 0
    context.result = run(context, answer_late(context, write))


@then("the outcome of the late write is unknown")
@then("the outcome of the write is unknown")
def step_write_unknown(context):
    assert isinstance(context.result, PlatformWriteUnknownError), context.result


@when("it has seen era 1 and a write is answered in era 2")
def step_write_restored(context):
    async def call():
        await finish(*await begin(context, read(context)), make_answer(1))
        return await finish(
            *await begin(context, write(context)), make_answer(2)
        )

    context.result = run(context, call())


@when('it has seen era {era:d} and an answer has the header lines "{lines}"')
@when('it has seen era {era:d} and an answer has the header lines ""')
def step_bad_era(context, era, lines=""):
    answer_with_lines(context, era, lines)


@when('it has seen no era and an answer has the header lines ""')
def step_no_era(context):
    answer_with_lines(context, None, "")


def answer_with_lines(context, era, lines):
    found = parse_era(lines.split(",") if lines else [])

    async def call():
        await finish(*await begin(context, read(context)), make_answer(era))
        return await finish(
            *await begin(context, read(context)), make_answer(found)
        )

    context.result = run(context, call())


@then("the answer is used, and the era is {era:d}")
def step_used(context, era):
    assert context.result.version == 7, context.result
    assert context.client.era.newest == era


@then("{count:d} bad era is counted")
def step_counted(context, count):
    assert context.bad_eras == count, context.bad_eras


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
