"""Steps that drive a watch of a table with a store in memory."""

import asyncio

from behave import given, then, when

from guavawing.errors import PlatformUnavailableError
from guavawing.platform.store_client import RowChanges, StoredRow
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.table_watch import TableWatch

TABLE = "nodes"
# Longer than any wait of a watch that is due.
SETTLED_S = 0.6


class MemoryTable:
    """Answers reads at once; a feed that finds nothing waits as asked."""

    def __init__(self):
        self.rows, self.reads, self.feeds, self.failures = [], 0, 0, 0

    def put(self, key):
        row = StoredRow(TABLE, key, b"{}", len(self.rows) + 1)
        self.rows.append(row)

    async def read_table(self, table):
        self.reads += 1
        return RowChanges(tuple(self.rows), len(self.rows), 0)

    async def watch_table(self, table, *, after, wait_s):
        self.feeds += 1
        if self.failures:
            self.failures -= 1
            raise PlatformUnavailableError("status 503")
        found = tuple(row for row in self.rows if row.version > after)
        if not found:
            await asyncio.sleep(wait_s)
        return RowChanges(found, len(self.rows), 0)


@given(
    "a node that does not follow the store and catches up after {seconds:g} s"
)
def step_node(context, seconds):
    context.memory = MemoryTable()
    context.taken = []

    async def start():
        watch = TableWatch(
            context.memory,
            TABLE,
            on_changes=lambda changes, whole: context.taken.extend(
                row.key for row in changes.rows
            ),
            min_period_s=0.05,
            catch_up_s=seconds,
            is_reader=lambda: False,
            on_reach=lambda _: None,
            log=DecisionLog(node="a1"),
            metrics=SidecarMetrics(),
        )
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


@then("it has taken the row within {seconds:g} s")
def step_taken(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            while "10.0.0.2" not in context.taken:
                await asyncio.sleep(0.01)

    context.run(wait())


@then("it has read the table once and its changes once")
@then("it has read the table once and its changes {times:d} times")
def step_calls(context, times=1):
    context.run(asyncio.sleep(SETTLED_S))
    found = (context.memory.reads, context.memory.feeds)
    assert found == (1, times), found
