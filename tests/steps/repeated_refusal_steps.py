"""Steps about a target that writes a refusal once more."""

import asyncio
import contextlib

from behave import given, then, when

from guavawing.model import parse_address
from guavawing.sidecar.target_pool import TargetPool
from guavawing.verdict import MayHaveRun, NotRun, Ran
from standins.ports import PortBlock
from tests.sidecar_support import make_attempt

HEADERS = {
    "X-Not-Executed": "X-Not-Executed: 1\r\n",
    "X-Instance-Id": "X-Instance-Id: i-9\r\n",
}
VERDICTS = {"ran": Ran, "not-run": NotRun, "may-have-run": MayHaveRun}
# Time between a repeated refusal and the answer, in seconds.
ANSWER_S = 0.05


def name_id(name):
    return "" if name == "no id" else name


def make_refusal(refusal, request_id):
    status, header = refusal.split()
    line = f"X-Request-Id: {request_id}\r\n" if request_id else ""
    return (
        f"HTTP/1.1 {status} Refused\r\n{line}{HEADERS[header]}"
        "Content-Length: 0\r\n\r\n"
    ).encode()


@given("a target that refuses {name} with {refusal}")
def step_target(context, name, refusal):
    ports = PortBlock()
    context.add_cleanup(ports.close)
    context.first, context.refusal = name_id(name), refusal
    context.repeated = b""
    context.connections = []

    async def serve(reader, writer):
        context.connections.append(0)
        number = len(context.connections) - 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                context.connections[number] += 1
                if sum(context.connections) == 1:
                    writer.write(make_refusal(refusal, context.first))
                    continue
                if number == 0:
                    writer.write(context.repeated)
                await asyncio.sleep(ANSWER_S)
                lines = [
                    line + b"\r\n"
                    for line in head.split(b"\r\n")
                    if line.lower().startswith(b"x-request-id")
                ]
                writer.write(
                    b"HTTP/1.1 200 OK\r\nX-Response-Signature: 1\r\n"
                    + b"".join(lines)
                    + b"Content-Length: 2\r\n\r\nhi"
                )
        writer.close()

    async def start():
        address = parse_address(ports.allocate())
        await asyncio.start_server(serve, address.host, address.port)
        context.pool = TargetPool(address)
        context.first_outcome = await execute(context, context.first)

    context.run(start())


async def execute(context, request_id):
    loop = asyncio.get_running_loop()
    fut = loop.create_future()
    head = f"X-Request-Id: {request_id}\r\n" if request_id else ""
    attempt = make_attempt(
        request_id, now=loop.time(), left_s=2.0, head=head.encode()
    )
    context.pool.execute(
        attempt,
        target_id="i-1",
        on_end=lambda _, outcome: fut.set_result(outcome),
        on_notice=lambda *_: None,
    )
    return await fut


@when(
    "it writes that refusal once more, {which} id, before it answers {second}"
)
def step_repeat(context, which, second):
    repeated_id = context.first if which == "with its" else ""
    context.repeated = make_refusal(context.refusal, repeated_id)
    context.outcome = context.run(execute(context, name_id(second)))


@then("its first request ends as {verdict}")
def step_first(context, verdict):
    found = context.first_outcome.verdict
    assert isinstance(found, VERDICTS[verdict]), found


@then("{name} ends as {verdict}")
def step_second(context, name, verdict):
    assert isinstance(context.first_outcome.verdict, NotRun)
    found = context.outcome.verdict
    assert isinstance(found, VERDICTS[verdict]), found


@then("both requests were sent on one connection")
def step_one_connection(context):
    assert context.connections == [2], context.connections


@then("the requests were sent on two connections")
def step_two_connections(context):
    assert context.connections == [1, 1], context.connections


@then("that connection is not used again")
def step_not_used(context):
    context.run(execute(context, "r3"))
    assert context.connections == [2, 1], context.connections
