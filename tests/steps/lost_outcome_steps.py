"""Steps about attempts whose connection was lost, without a network."""

import asyncio

from behave import given, then, when

from guavawing.node.frame_stream import pack_frame
from guavawing.sidecar.mesh_client import MeshClient
from guavawing.sidecar.mesh_codec import (
    decode_frame,
    encode_answer,
    encode_hello,
)
from guavawing.sidecar.mesh_messages import OutcomeQuery
from guavawing.traffic.model import (
    NO_TARGET_RECORD,
    LoadReport,
    Outcome,
    TargetPhase,
)
from guavawing.verdict import NotRun, Ran, Reason, verdict_name
from tests.sidecar_support import make_attempt

OWNER, OTHER_OWNER, PORT = "10.0.0.8", "10.0.0.9", 7000
PROCESS = 77
LOAD = LoadReport(TargetPhase.READY, 5, 0, 0, 0.1)
LENGTH_BYTES = 4
# Above the time for which outcomes are queried.
MAX_WAIT_S = 4.0


class MemoryTransport(asyncio.Transport):
    """Records the frames that a connection sends."""

    def __init__(self, protocol):
        super().__init__()
        self.protocol = protocol
        self.frames = []

    def write(self, data):
        while data:
            end = LENGTH_BYTES + int.from_bytes(data[:LENGTH_BYTES], "big")
            if end > LENGTH_BYTES:
                frame = decode_frame(data[LENGTH_BYTES:end], now=0.0)
                self.frames.append(frame)
            data = data[end:]

    def answer(self, payload):
        self.protocol.data_received(pack_frame(payload))

    def abort(self):
        asyncio.get_running_loop().call_soon(
            self.protocol.connection_lost, None
        )


class MemoryNetwork:
    """Event loop whose connections are kept in memory.

    Attributes:
        failing: Connections that fail before one opens.
        hangs: Whether connections neither open nor fail.
        transports: Opened connections.
        ahead_s: Time by which its clock is ahead, in seconds.
    """

    def __init__(self, loop):
        self._loop = loop
        self.failing = 0
        self.hangs = False
        self.transports = []
        self.ahead_s = 0.0

    def __getattr__(self, name):
        return getattr(self._loop, name)

    def time(self):
        return self._loop.time() + self.ahead_s

    async def create_connection(self, factory, host, port, **_):
        if self.hangs:
            await asyncio.Event().wait()
        if self.failing:
            self.failing -= 1
            raise ConnectionRefusedError
        protocol = factory()
        transport = MemoryTransport(protocol)
        protocol.connection_made(transport)
        transport.answer(encode_hello(PROCESS))
        self.transports.append(transport)
        return transport, protocol


async def make_client(context):
    context.outcomes = []
    context.client = MeshClient(
        source="10.0.0.7",
        on_load=lambda *_: None,
        find_record=lambda _: NO_TARGET_RECORD,
        on_alive=lambda _: None,
        on_suspicion=lambda _: None,
        on_config=lambda _: None,
    )
    context.network = MemoryNetwork(context.client.loop)
    context.client.loop = context.network


def submit(context, host, on_outcome, **changes):
    attempt = make_attempt("r1", now=context.network.time(), **changes)
    return context.client.submit(host, PORT, attempt, on_outcome)


async def send(context, *, idempotent):
    await make_client(context)
    context.remote = submit(
        context, OWNER, context.outcomes.append, idempotent=idempotent
    )
    async with asyncio.timeout(MAX_WAIT_S):
        while not context.remote.sent_at:
            await asyncio.sleep(0.001)


@given("an attempt that must not run twice is sent to an owner")
def step_sent_once(context):
    context.run(send(context, idempotent=False))


@given("an attempt that may be repeated is sent to an owner")
def step_sent(context):
    context.run(send(context, idempotent=True))


async def lose(context, failing):
    context.network.failing = failing
    lost = context.network.transports[-1]
    lost.protocol.connection_lost(None)
    async with asyncio.timeout(MAX_WAIT_S):
        while not context.outcomes and context.network.transports[-1] is lost:
            await asyncio.sleep(0.001)


@when(
    "the connection is lost, and {failing:d} connections fail before one opens"
)
def step_lost(context, failing):
    context.run(lose(context, failing))


async def answer(context, verdict):
    transport = context.network.transports[-1]
    [query] = transport.frames
    assert isinstance(query, OutcomeQuery), query
    assert query.request_id == b"r1" and query.process == PROCESS
    transport.answer(
        encode_answer(query.id, Outcome(verdict), LOAD, departure=None)
    )


@when("the owner answers the query that it has not run")
def step_not_run(context):
    context.run(answer(context, NotRun(Reason.OWNER_UNREACHABLE, 0.0)))


@when("the owner answers the query that it has run")
def step_run(context):
    context.run(answer(context, Ran()))


@when("the owner answers {seconds:g} s after the attempt that it has not run")
def step_not_run_later(context, seconds):
    context.network.ahead_s = seconds
    context.run(answer(context, NotRun(Reason.OWNER_UNREACHABLE, 0.0)))


@then('the attempt ends as "{name}"')
def step_ends(context, name):
    [outcome] = context.outcomes
    assert verdict_name(outcome.verdict) == name, outcome


async def wait_for_connection(context):
    await make_client(context)
    context.network.hangs = True
    context.remote = submit(context, OWNER, context.outcomes.append)


@when("an attempt waits for a connection that does not open")
def step_waits(context):
    context.run(wait_for_connection(context))


async def cancel(context):
    return context.client.cancel(context.remote)


@then("its cancellation says that it was not sent")
def step_not_sent(context):
    assert context.run(cancel(context)) is True


@then("its cancellation says that it was sent")
def step_was_sent(context):
    assert context.run(cancel(context)) is False


async def stay_silent(context, seconds):
    # The attempt is sent to another owner as soon as it is released.
    context.remote.on_outcome = lambda _: submit(
        context, OTHER_OWNER, context.outcomes.append
    )
    await asyncio.sleep(seconds)


@when(
    "the owner is silent for {seconds:g} s and the attempt goes to another"
    " owner"
)
def step_silent(context, seconds):
    context.run(stay_silent(context, seconds))
    assert len(context.network.transports) == 2, context.network.transports


async def watch_checks(context):
    checked_at = context.client._checked_at
    await asyncio.sleep(0.5)
    return context.client._checked_at - checked_at


@then("silent owners are still checked")
def step_still_checked(context):
    assert context.run(watch_checks(context)) > 0
