"""Steps about the connections of an entry node to owners."""

import asyncio
import contextlib

from behave import given, then, when

from guavawing.sidecar.mesh_client import MeshClient
from guavawing.traffic.model import NO_TARGET_RECORD
from guavawing.verdict import MayHaveRun, Reason
from tests.sidecar_support import make_attempt

HOST = "127.0.0.1"


class SilentOwner(asyncio.Protocol):
    """Reads requests and never answers them."""


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
        client = MeshClient(
            source=HOST,
            on_load=lambda *_: None,
            find_record=lambda _: NO_TARGET_RECORD,
            on_alive=lambda _: None,
            on_suspicion=context.suspicions.append,
            on_config=lambda _: None,
        )
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
