"""Steps about tasks and versions that meet an unexpected error."""

import asyncio
import json

import attrs
from behave import given, then, when

from guavawing.platform.store_client import RowChanges, StoredRow
from guavawing.sidecar.background import BackgroundTasks
from guavawing.sidecar.configuration import Configuration
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.membership import NODES_TABLE
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.table_watch import TableWatch
from tests.support import assert_raises
from tests.traffic_documents import SERVICE, make_route


@when("a background task fails twice")
def step_task(context):
    context.metrics, context.runs = SidecarMetrics(), 0

    async def fail():
        context.runs += 1
        if context.runs <= 2:
            raise RuntimeError("unexpected")
        context.done.set()

    async def run():
        context.done = asyncio.Event()
        tasks = BackgroundTasks(
            log=DecisionLog(node="n1"), metrics=context.metrics
        )
        tasks.start("fail", fail)
        async with asyncio.timeout(5):
            await context.done.wait()
        tasks.close()

    context.run(run())


@then("it has run {count:d} times")
def step_runs(context, count):
    assert context.runs == count, context.runs


@then("{count:d} failures are counted")
def step_failures(context, count):
    line = f'guavawing_failed_tasks_total{{task="fail"}} {count}'
    text = context.metrics.render().decode()
    assert line in text, text


@attrs.define
class OneRowStore:
    """A store whose table has no row at first, then one."""

    row: StoredRow | None = None

    async def read_table(self, table, *, answer_s, fresh):
        return RowChanges((), 0, 0)

    async def watch_table(self, table, *, after, wait_s, answer_s):
        await asyncio.sleep(0.01)
        if self.row is None or after >= self.row.version:
            return RowChanges((), after, 0)
        return RowChanges((self.row,), self.row.version, 0)


@given("a watch whose listener fails once")
def step_failing_watch(context):
    context.given = []

    def apply(changes, complete):
        context.given += [row.key for row in changes.rows]
        if len(context.given) == 1:
            raise RuntimeError("unexpected")

    async def start():
        context.store = OneRowStore()
        metrics, log = SidecarMetrics(), DecisionLog(node="n1")
        watch = TableWatch(
            context.store,
            NODES_TABLE,
            on_changes=apply,
            min_period_s=0.01,
            is_reader=lambda: True,
            on_reachability=lambda _: None,
            log=log,
            metrics=metrics,
        )
        context.tasks = BackgroundTasks(log=log, metrics=metrics)
        context.tasks.start("watch", watch.run)

    context.run(start())


@when("a row is written to its table")
def step_written(context):
    async def write():
        await asyncio.sleep(1.0)
        context.store.row = StoredRow(NODES_TABLE, "a", b"{}", 1)

    context.run(write())


@then("the listener has been given the row twice")
def step_given(context):
    context.run(asyncio.sleep(1.0))
    assert context.given == ["a", "a"], context.given

    async def stop():
        context.tasks.close()

    context.run(stop())


def encode_version(version):
    routes = {"r": make_route("a.example", "/p/", service="one")}
    document = {"version": version, "routes": routes}
    return json.dumps(document | {"services": {"one": SERVICE}}).encode()


def make_configuration(context, *, failures):
    context.in_force = []
    left = [None] * failures

    def apply(routing, from_store):
        if left:
            left.pop()
            raise RuntimeError("unexpected")
        context.in_force.append(routing.version)

    async def make():
        return Configuration(
            on_version=apply,
            request_from_peer=lambda *_: None,
            is_store_reader=lambda: True,
            log=DecisionLog(node="n1"),
            metrics=SidecarMetrics(),
        )

    context.configuration = context.run(make())


@given("a node whose routes can't be replaced once")
def step_failing_node(context):
    make_configuration(context, failures=1)


@given("a node that has no version")
def step_empty_node(context):
    make_configuration(context, failures=0)


@when("the node is given version 2 twice")
def step_given_twice(context):
    apply = context.configuration.apply_document
    with assert_raises(RuntimeError, "unexpected"):
        apply(encode_version(2), source="store")
    assert context.configuration.version == 0
    apply(encode_version(2), source="store")


@then("version 2 is in force after the second time only")
def step_second_time(context):
    assert context.in_force == [2], context.in_force
    assert context.configuration.version == 2


@when("it reads versions {names} together")
def step_read_together(context, names):
    rows = tuple(
        StoredRow(
            "op",
            "config",
            b"{" if name == "invalid" else encode_version(int(name)),
            number,
        )
        for number, name in enumerate(names.split(), 1)
    )

    async def apply():
        changes = RowChanges(rows, len(rows), 0)
        context.configuration.apply_changes(changes, False)

    context.run(apply())


@then("it has version {version:d}")
def step_in_force(context, version):
    assert context.configuration.version == version


@then("versions {names} have been put in force")
def step_all_in_force(context, names):
    expected = [int(name) for name in names.split()]
    assert context.in_force == expected, context.in_force
