"""Steps about the connections of a link to the store."""

import asyncio
import contextlib

from behave import given, then, when

from guavawing.errors import PlatformWriteUnknownError
from guavawing.model import parse_address
from guavawing.platform.store_transport import HttpCall
from guavawing.sidecar.store_link import StoreLink
from standins.ports import PortBlock

HOST = "127.0.0.1"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CALL_TIMEOUT_S = 0.3
PIECE_S = 0.1


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


async def call(context, *, fresh=False):
    return await context.link.call(
        HttpCall("GET", "/", b"", CALL_TIMEOUT_S, fresh)
    )


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


@then("a call on a new connection is answered at once")
def step_fresh_call(context):
    opened = context.opened
    answer = context.run(call(context, fresh=True))
    assert answer.status == 200, answer
    assert context.opened == opened + 1, context.opened


@then("the next call is answered at once on that connection")
def step_reused(context):
    opened = context.opened
    step_answered(context)
    assert context.opened == opened, context.opened


async def close(context):
    context.link.close()


@given("a store that sends an answer in {count:d} pieces, one each 0.1 s")
def step_slow_store(context, count):
    start_slow_store(context, count, stops=False)


@given(
    "a store that sends an answer in {count:d} pieces, one each 0.1 s, and"
    " stops before the last"
)
def step_stopping_store(context, count):
    start_slow_store(context, count, stops=True)


def start_slow_store(context, count, *, stops):
    ports = PortBlock()
    context.add_cleanup(ports.close)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % count
        writer.write(head)
        for _ in range(count - stops):
            await asyncio.sleep(PIECE_S)
            writer.write(b"x")

    async def start():
        address = parse_address(ports.allocate())
        await asyncio.start_server(serve, address.host, address.port)
        context.link = StoreLink(address, source=HOST)

    context.run(start())


@when("a call of 0.3 s is sent to it")
def step_slow_call(context):
    async def send():
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            return await call(context), loop.time() - started_at
        except PlatformWriteUnknownError:
            return None, loop.time() - started_at

    context.answer, context.spent_s = context.run(send())


@then("the call is answered with {count:d} pieces")
def step_pieces(context, count):
    assert context.answer is not None, context.spent_s
    assert context.answer.body == b"x" * count, context.answer


@then("the call ends unanswered within {seconds:g} s")
def step_stopped(context, seconds):
    assert context.answer is None, context.answer
    assert context.spent_s < seconds, context.spent_s
