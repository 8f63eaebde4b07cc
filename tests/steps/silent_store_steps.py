"""Steps about connections to the store that fall silent."""

import asyncio
import json
import math

import attrs
from behave import given, then, when

from guavawing.errors import PlatformWriteUnknownError
from guavawing.platform.store_client import StoreClient
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.table_watch import TableWatch
from guavawing.traffic.feed_wait import limit_feed_wait
from standins.platform_tables import PlatformTables
from standins.tables_transport import TablesTransport
from tests.store_support import (
    PERIOD_S,
    SETTLED_S,
    TABLE,
    run,
    start_clock,
    wait_until,
)


class SilencedTransport:
    """Transport whose calls under way are not answered once it is silent."""

    def __init__(self, tables):
        self._inner = TablesTransport(tables)
        self._silenced = asyncio.Event()
        self.delay_s = 0.0
        self.bytes_per_s = math.inf
        # Whether reads of the table return the last row only.
        self.has_one_row = False
        # Whether idle connections are silent, and number of further calls that
        # are not answered on any connection.
        self.idle_silent = False
        self.unanswered = 0
        # Copy of the tables that answers whole reads.
        self.outdated = None

    def silence(self):
        self._silenced.set()
        self._silenced = asyncio.Event()

    async def call(self, call):
        silenced = self._silenced
        try:
            async with asyncio.timeout(call.timeout_s):
                if self.unanswered:
                    self.unanswered -= 1
                    await asyncio.Event().wait()
                if self.idle_silent and not call.fresh:
                    await asyncio.Event().wait()
                if self.outdated is not None and "rows-get" in call.path:
                    return await self.outdated.call(call)
                answer = await self._inner.call(call)
                if self.has_one_row and "rows-get" in call.path:
                    answer = keep_last_row(answer)
                transfer_s = len(answer.body) / self.bytes_per_s
                await asyncio.sleep(self.delay_s + transfer_s)
                if silenced.is_set():
                    await asyncio.Event().wait()
        except TimeoutError as exc:
            raise PlatformWriteUnknownError("no answer") from exc
        return answer


def keep_last_row(answer):
    content = json.loads(answer.body)
    content["rows"].sort(key=lambda row: row["schemaVersion"])
    del content["rows"][:-1]
    return attrs.evolve(answer, body=json.dumps(content).encode())


@given(
    "a node that follows versions which have to be in force within "
    "{seconds:g} s"
)
def step_follower(context, seconds):
    start_clock(context)
    context.read, context.reachability = [], []
    context.is_reader, context.reports = True, []

    def record(changes, complete):
        context.read += [row.value for row in changes.rows]
        context.reports.append((changes, complete))

    async def start():
        context.transport = SilencedTransport(context.tables)
        watch = TableWatch(
            StoreClient(context.transport.call),
            TABLE,
            on_changes=record,
            min_period_s=PERIOD_S,
            is_reader=lambda: context.is_reader,
            on_reachability=context.reachability.append,
            log=DecisionLog(node="n1"),
            metrics=SidecarMetrics(),
            find_wait=lambda: limit_feed_wait(seconds),
            rereads=True,
        )
        context.task = asyncio.get_running_loop().create_task(watch.run())
        await asyncio.sleep(SETTLED_S)

    run(context, start())


@given("its call of the feed has waited {seconds:g} s for a change")
def step_waited(context, seconds):
    context.tables.put(TABLE, "config", b"before")

    async def wait():
        await wait_until(
            lambda: b"before" in context.read, SETTLED_S, lambda: context.read
        )
        # The next call starts after the shortest period between two.
        await asyncio.sleep(PERIOD_S + seconds)

    run(context, wait())


@when("its connection falls silent without a reset")
def step_silence(context):
    context.transport.silence()


@when("the store takes {seconds:g} s for each answer")
def step_slow(context, seconds):
    context.transport.delay_s = seconds


@when("a version is written")
def step_write(context):
    context.tables.put(TABLE, "config", b"new")


@then("the version is read within {seconds:g} s")
def step_read(context, seconds):
    run(
        context,
        wait_until(
            lambda: b"new" in context.read, seconds, lambda: context.read
        ),
    )


@then("the store has not been lost")
def step_not_lost(context):
    assert context.reachability == [True], context.reachability


@given("it does not follow them at first")
def step_no_reader(context):
    context.is_reader = False
    run(context, asyncio.sleep(SETTLED_S))


@given(
    "{count:d} versions of {size:d} KB are written behind a link of"
    " {mbps:g} Mbit/s"
)
def step_large_versions(context, count, size, mbps):
    context.transport.bytes_per_s = mbps * 1e6 / 8
    # The feed has each change, which the stand-in keeps of other rows only.
    for number in range(count):
        context.newest = b"%d" % number + b"x" * size * 1000
        context.tables.put(TABLE, f"config {number}", context.newest)
    context.transport.has_one_row = True


@given('rows "{names}" in the table, which it has read')
def step_rows(context, names):
    for name in names.split():
        context.tables.put(TABLE, name, name.encode())
    run(context, asyncio.sleep(SETTLED_S))


@when('row "{removed}" is removed and row "{written}" is written')
def step_changed(context, removed, written):
    context.reports.clear()
    context.tables.transact(
        {
            "precondition": [],
            "puts": [],
            "remove": [{"table": TABLE, "part": "", "key": removed}],
        }
    )
    context.tables.put(TABLE, written, written.encode())


@when('the store is restored and row "{written}" is written')
def step_restored(context, written):
    context.reports.clear()
    context.tables.restore(context.tables.copy())
    context.tables.put(TABLE, written, written.encode())


@then(
    'within {seconds:g} s it has been told of the removal of "{removed}" and of'
    ' "{written}" as changes'
)
def step_told(context, seconds, removed, written):
    expected = {removed: None, written: written.encode()}
    check_reports(context, seconds, [(expected, False)])


@then('within {seconds:g} s it has been told of "{names}" as the whole table')
def step_told_whole(context, seconds, names):
    expected = {name: name.encode() for name in names.split()}
    check_reports(context, seconds, [(expected, True)])


def check_reports(context, seconds, expected):
    def find_reports():
        return [
            ({row.key: row.value for row in changes.rows}, complete)
            for changes, complete in context.reports
        ]

    run(
        context,
        wait_until(lambda: find_reports() == expected, seconds, find_reports),
    )


@when("its idle connections fall silent without a reset")
def step_idle_silence(context):
    context.transport.idle_silent = True


@given("its next call is not answered")
def step_next_unanswered(context):
    context.transport.unanswered = 1


@given('a copy of the store from before row "{name}", which it has read')
def step_copy(context, name):
    context.outdated = PlatformTables()
    context.outdated.restore(context.tables.copy())
    context.outdated.era = context.tables.era
    context.tables.put(TABLE, name, name.encode())
    run(context, asyncio.sleep(SETTLED_S))
    assert name.encode() in context.read, context.read


@when("the store answers whole reads from the copy")
def step_outdated(context):
    context.reports.clear()
    context.transport.outdated = TablesTransport(context.outdated)


@when('row "{name}" is written')
def step_row(context, name):
    context.tables.put(TABLE, name, name.encode())


@then('within {seconds:g} s it has been told of "{name}" only, as a change')
def step_told_one(context, seconds, name):
    check_reports(context, seconds, [({name: name.encode()}, False)])


@when("it begins to follow them")
def step_begins(context):
    context.is_reader = True


@then("the newest version is read within {seconds:g} s")
def step_newest(context, seconds):
    run(
        context,
        wait_until(
            lambda: context.newest in context.read,
            seconds,
            lambda: [value[:20] for value in context.read],
        ),
    )
