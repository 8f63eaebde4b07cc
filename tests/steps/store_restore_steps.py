"""Steps about a store that is restored from a copy, on a paused clock."""

import asyncio

import orjson
from behave import given, then, when

from guavawing.errors import PlatformUnavailableError, PlatformWriteUnknownError
from guavawing.platform.store_client import RowWrite, StoreClient
from guavawing.platform.store_transport import HttpAnswer, parse_era
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
        context.client = StoreClient(context.transport.call)
        watch = make_watch(
            context.client, TABLE, apply, lambda: context.is_reader
        )
        context.client.era.on_restored = watch.handle_restore
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


@when("another call is answered")
def step_other_call(context):
    run(context, context.client.read_row(TABLE, "a"))


@then("within {seconds:g} s it has applied the rows of the copy")
def step_applied_copy(context, seconds):
    names = {name for table, name in context.copy.rows if table == TABLE}
    run(
        context,
        wait_until(
            lambda: context.applied.keys() == names,
            seconds,
            lambda: context.applied,
        ),
    )


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
