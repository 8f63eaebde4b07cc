"""Steps about connections to the store that fall silent."""

import asyncio
import contextlib

from behave import given, then, when

from guavawing.errors import PlatformWriteUnknownError
from guavawing.model import parse_address
from guavawing.platform.store_client import StoreClient
from guavawing.platform.store_transport import HttpCall
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.store_link import StoreLink
from guavawing.sidecar.table_watch import TableWatch
from guavawing.traffic.feed_wait import limit_feed_wait
from standins.ports import PortBlock
from standins.tables_transport import TablesTransport
from tests.store_support import (
    PERIOD_S,
    SETTLED_S,
    TABLE,
    run,
    start_clock,
    wait_until,
)

HOST = "127.0.0.1"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CALL_TIMEOUT_S = 0.3


class SilencedTransport:
    """Transport whose calls under way are not answered once it is silent."""

    def __init__(self, tables):
        self._inner = TablesTransport(tables)
        self._silenced = asyncio.Event()
        self.delay_s = 0.0

    def silence(self):
        self._silenced.set()
        self._silenced = asyncio.Event()

    async def call(self, call):
        silenced = self._silenced
        try:
            async with asyncio.timeout(call.timeout_s):
                answer = await self._inner.call(call)
                await asyncio.sleep(self.delay_s)
                if silenced.is_set():
                    await asyncio.Event().wait()
        except TimeoutError as exc:
            raise PlatformWriteUnknownError("no answer") from exc
        return answer


@given(
    "a node that follows versions which have to be in force within "
    "{seconds:g} s"
)
def step_follower(context, seconds):
    start_clock(context)
    context.read, context.reachability = [], []

    async def start():
        context.transport = SilencedTransport(context.tables)
        watch = TableWatch(
            StoreClient(context.transport.call),
            TABLE,
            on_changes=lambda changes, _: context.read.extend(
                row.value for row in changes.rows
            ),
            min_period_s=PERIOD_S,
            is_reader=lambda: True,
            on_reachability=context.reachability.append,
            log=DecisionLog(node="n1"),
            metrics=SidecarMetrics(),
            find_wait=lambda: limit_feed_wait(seconds),
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


@given("a link to a store with {count:d} idle connections")
def step_link(context, count):
    ports = PortBlock()
    context.add_cleanup(ports.close)
    context.silent, context.opened = False, 0

    async def serve(reader, writer):
        context.opened += 1
        number = context.opened
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                if context.silent and number <= count:
                    continue
                writer.write(ANSWER)
                await writer.drain()
        writer.close()

    async def start():
        address = parse_address(ports.allocate())
        await asyncio.start_server(serve, address.host, address.port)
        context.link = StoreLink(address, source=HOST)
        await asyncio.gather(*(call(context) for _ in range(count)))
        assert context.opened == count, context.opened

    context.run(start())


async def call(context):
    return await context.link.call(HttpCall("GET", "/", b"", CALL_TIMEOUT_S))


@when("these connections fall silent without a reset")
def step_link_silence(context):
    context.silent = True


@then("a call ends unanswered after its timeout")
def step_unanswered(context):
    try:
        answer = context.run(call(context))
    except PlatformWriteUnknownError:
        return
    raise AssertionError(answer)


@then("the next call is answered at once on a new connection")
def step_answered(context):
    answer = context.run(call(context))
    assert answer.status == 200, answer
    context.run(close(context))


async def close(context):
    context.link.close()
