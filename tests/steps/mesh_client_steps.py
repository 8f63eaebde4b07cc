"""Steps about the connections of an entry node to owners."""

import asyncio
import contextlib
import time
from unittest import mock

import uvloop
from behave import given, then, when

from guavawing.node.frame_stream import FrameStream, pack_frame
from guavawing.sidecar.mesh_client import MeshClient
from guavawing.sidecar.mesh_codec import encode_config_request
from guavawing.traffic.model import NO_TARGET_RECORD
from guavawing.verdict import MayHaveRun, NotRun, Reason
from tests.sidecar_support import make_attempt

HOST = "127.0.0.1"
# Time in which a request reaches an owner or is given up, in seconds.
SENT_S = 0.3


class SilentOwner(asyncio.Protocol):
    """Reads requests and never answers them."""


class RecordingOwner(asyncio.Protocol):
    """Records the bytes of each connection."""

    def __init__(self, received):
        self.received = received

    def connection_made(self, transport):
        self.number = len(self.received)
        self.received.append(b"")

    def data_received(self, data):
        self.received[self.number] += data


def make_client(suspicions):
    return MeshClient(
        source=HOST,
        on_load=lambda *_: None,
        find_record=lambda _: NO_TARGET_RECORD,
        on_alive=lambda _: None,
        on_suspicion=suspicions.append,
        on_config=lambda _: None,
    )


@given("two owners that accept connections and never answer")
def step_silent_owners(context):
    async def listen():
        loop = asyncio.get_running_loop()
        servers = [
            await loop.create_server(SilentOwner, HOST, 0) for _ in range(2)
        ]
        return [server.sockets[0].getsockname()[1] for server in servers]

    context.ports = context.run(listen())


@when(
    "an idempotent request is sent to the first one, and to the second one"
    " when it is released"
)
def step_send(context):
    context.outcomes, context.suspicions = [], []

    async def send():
        loop = asyncio.get_running_loop()
        client = make_client(context.suspicions)
        done = asyncio.Event()
        attempt = make_attempt("r1", now=loop.time())
        ports = iter(context.ports)

        def submit():
            port = next(ports, None)
            if port is None:
                done.set()
            else:
                client.submit(HOST, port, attempt, handle)

        def handle(outcome):
            context.outcomes.append(outcome)
            submit()

        submit()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(3):
                await done.wait()
        client.close()

    context.run(send())


@then("both owners are suspected, and release it within 3 seconds")
def step_released(context):
    verdicts = [outcome.verdict for outcome in context.outcomes]
    assert verdicts == [MayHaveRun(Reason.OWNER_LOST)] * 2, verdicts
    assert len(context.suspicions) == 2, context.suspicions


@given("an owner that reads requests and never answers")
def step_recording_owner(context):
    context.received, context.outcomes, context.faults = [], [], []


@when(
    "the process is paused for {seconds:g} seconds as a connection to it opens"
)
def step_paused(context, seconds):
    context.pause_s = seconds


@when("another request is sent to it")
def step_other_request(context):
    connect = FrameStream.connection_made
    pauses = [context.pause_s]

    def connect_and_pause(stream, transport):
        connect(stream, transport)
        if pauses:
            time.sleep(pauses.pop())

    async def send():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, fault: context.faults.append(fault)
        )
        server = await loop.create_server(
            lambda: RecordingOwner(context.received), HOST, 0
        )
        port = server.sockets[0].getsockname()[1]
        client = make_client([])
        for name in ("r1", "r2"):
            attempt = make_attempt(name, now=loop.time())
            client.submit(HOST, port, attempt, context.outcomes.append)
            await asyncio.sleep(SENT_S)
        client.close()
        server.close()

    with (
        mock.patch.object(FrameStream, "connection_made", connect_and_pause),
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        runner.run(send())


@then("the first request has not run")
def step_not_run(context):
    assert context.outcomes, "there is no outcome"
    assert isinstance(context.outcomes[0].verdict, NotRun), context.outcomes


@then("the owner has received the other one")
def step_received(context):
    assert b"r2" in b"".join(context.received), context.received


@then("no callback of the event loop has failed")
def step_no_faults(context):
    assert not context.faults, context.faults


@when("a download and then a version are requested from it")
def step_download(context):
    async def send():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: RecordingOwner(context.received), HOST, 0
        )
        port = server.sockets[0].getsockname()[1]
        client = make_client([])
        attempt = make_attempt("r1", now=loop.time(), bulk=True)
        client.submit(HOST, port, attempt, context.outcomes.append)
        await asyncio.sleep(SENT_S)
        client.request_config(HOST, port, 7)
        await asyncio.sleep(SENT_S)
        client.close()
        server.close()

    context.run(send())


@then("the version is requested on another connection")
def step_version_requested(context):
    first, *others = context.received
    assert b"r1" in first, context.received
    expected = pack_frame(encode_config_request(7))
    assert others == [expected], context.received
