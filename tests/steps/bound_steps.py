"""Steps about resource bounds.

One side of each connection is the real implementation, the other one a
scripted peer.
"""

import asyncio
import collections
import contextlib

import aiohttp
from behave import given, then, when

from guavawing.model import parse_address
from guavawing.node.admin_server import (
    AdminActions,
    AdminServer,
    open_admin_server,
)
from guavawing.node.caller_server import CallerServer, open_caller_server
from guavawing.node.frame_queue import ByteCount
from guavawing.node.frames import (
    MAX_ANSWER_BYTES,
    build_answer_frames,
    build_hello,
    build_request,
    decode_frame,
)
from guavawing.node.mesh_client import (
    MeshConnection,
    open_mesh_connection,
)
from guavawing.node.mesh_server import MeshServer, open_mesh_server
from guavawing.node.messages import Answer
from guavawing.node.metrics import Metrics
from guavawing.policy.bound_key import BoundKey
from guavawing.verdict import NotRun, Ran, Reason, verdict_name
from standins.caller import send_call
from standins.frame_peer import open_frame_peer
from standins.ports import PortBlock
from standins.scripted_owner import open_scripted_owner
from standins.silent_peers import LOAD, SilentEntry, SilentOwner
from tests.support import POLICIES, make_publish


def allocate_address(context):
    ports = PortBlock()
    context.add_cleanup(ports.close)
    return parse_address(ports.allocate())


@when(
    "{count:d} calls are sent at once to a node that accepts {most:d} and whose"
    " owners don't answer"
)
def step_send_calls(context, count, most):
    address = allocate_address(context)

    async def run():
        server = CallerServer(
            entry=SilentEntry(),
            policies=lambda: POLICIES,
            metrics=Metrics(),
            max_calls=most,
        )
        async with (
            open_caller_server(server, address, Metrics()),
            aiohttp.ClientSession() as session,
        ):
            calls = (
                send_call(session, str(address), service="desk")
                for _ in range(count)
            )
            return await asyncio.gather(*calls)

    context.outcomes = context.run(run())


@then('{count:d} of them are refused with "{reason}" and status {status:d}')
def step_refused_calls(context, count, reason, status):
    found = [(each.reason, each.status) for each in context.outcomes]
    assert found.count((reason, status)) == count, found


@given("an owner whose target doesn't answer")
def step_owner(context):
    context.owner = SilentOwner()


@contextlib.asynccontextmanager
async def open_owner(context, **options):
    """Opens the owner's server; yields its address."""
    address = allocate_address(context)
    context.mesh_server = server = MeshServer(
        owner=context.owner,
        policies=lambda: POLICIES,
        member_id="owner",
        **options,
    )
    context.metrics = Metrics()
    async with open_mesh_server(server, address, context.metrics):
        yield address


@contextlib.asynccontextmanager
async def open_connection(address, total=None):
    """Opens an entry node's side of a connection to an owner."""
    conn = MeshConnection(
        "entry", 1, on_load=lambda *_: None, expected=total or ByteCount()
    )
    await open_mesh_connection(address, conn)
    yield conn
    conn.close()


def make_key(number):
    return BoundKey("owner", 1, 0, str(number))


@when("an entry node sends it {count:d} calls on one connection")
def step_send_frames(context, count):
    send_frames(context, [make_key(number) for number in range(count)])


@when("an entry node sends it a publish without a key")
def step_send_unkeyed(context):
    send_frames(context, [None])


def send_frames(context, keys):
    async def run():
        async with open_owner(context) as owner, open_connection(owner) as conn:
            futs = [conn.submit(make_publish(key)).fut for key in keys]
            done, _ = await asyncio.wait(futs, timeout=2.0)
            context.refused_keys = [
                key for key, fut in zip(keys, futs, strict=True) if fut in done
            ]
            context.verdicts = [fut.result().verdict for fut in done]

    context.run(run())


@when(
    "an entry node sends it {count:d} calls and disconnects before their"
    " answers"
)
def step_disconnect(context, count):
    async def run():
        async with open_owner(context) as owner, open_connection(owner) as conn:
            for number in range(count):
                conn.submit(make_publish(make_key(number)))
            futs = context.owner.futs
            while len(futs) < count:
                await asyncio.sleep(0.01)
        for fut in futs:
            fut.set_result(Answer(Ran(), 200, (), b"x" * 100_000))
        await asyncio.sleep(0.05)

    context.run(run())


@then("no bytes are queued at the owner")
def step_nothing_queued_at_owner(context):
    assert context.mesh_server.total.waiting == 0


@then('{count:d} of them are refused with "{reason}"')
def step_refused_frames(context, count, reason):
    reasons = [str(verdict.reason) for verdict in context.verdicts]
    assert reasons == [reason] * count, reasons


@then("each refusal is recorded for its key")
def step_recorded(context):
    assert context.owner.refused == context.refused_keys


@when("an entry node sends it {fault}")
def step_break_protocol(context, fault):
    async def run():
        async with open_owner(context) as owner, open_frame_peer(owner) as peer:
            hello = decode_frame(await peer.receive()).hello
            for payload in await make_fault(fault, hello.sent_at_us):
                peer.send(payload)
            async with asyncio.timeout(3.0):
                return await peer.receive_all()

    context.frames = context.run(run())


async def make_fault(fault, echo_us):
    now = asyncio.get_running_loop().time()
    match fault:
        case "bytes that are not a frame":
            return [b"\xff\xff\xff"]
        case "a call before the first frame":
            frames = [build_request(make_publish(make_key(0)), 1, now=now)]
        case "an answer":
            answer = Answer(NotRun(Reason.INTERNAL))
            frames = list(build_answer_frames(answer, 1, LOAD))
        case "a first frame with a wrong echo":
            echo_us += 1
            frames = [build_hello("entry", 1, LOAD, now=now, echo_us=echo_us)]
        case "a first frame that is late":
            await asyncio.sleep(0.7)
            frames = [build_hello("entry", 1, LOAD, now=now, echo_us=echo_us)]
        case _:
            raise AssertionError(fault)
    return [frame.SerializeToString() for frame in frames]


@then("the owner closes the connection")
def step_closed(context):
    # Nothing was accepted: the owner sent no frame after its first one.
    assert context.frames == [], context.frames


def make_broken_answer(fault):
    complete = Answer(Ran(), 200, (), b"x" * 100_000)
    head, chunk = build_answer_frames(complete, 1, LOAD)
    match fault:
        case "an incomplete answer":
            return [head]
        case "an answer twice":
            return [head, head]
        case "a chunk before its answer":
            return [chunk, head]
        case "more bytes than announced":
            head.answer.body_length = 70_000
        case "an answer above the size limit":
            head.answer.body_length = MAX_ANSWER_BYTES + 1
            return [head]
        case "an unknown reason":
            head.answer.reason = "because"
        case "a header name without a value":
            head.answer.headers.append("X-Odd")
        case _:
            raise AssertionError(fault)
    return [head, chunk]


@when("two owners announce {count:d} answers each of the maximum size")
def step_large_answers(context, count):
    heads = []
    for number in range(1, count + 1):
        (head,) = build_answer_frames(Answer(Ran(), 200), number, LOAD)
        head.answer.body_length = MAX_ANSWER_BYTES
        heads.append(head)

    async def run():
        total = ByteCount()
        futs = []
        async with contextlib.AsyncExitStack() as stack:
            enter = stack.enter_async_context
            for _ in range(2):
                address = allocate_address(context)
                await enter(open_scripted_owner(address, heads, closes=False))
                conn = await enter(open_connection(address, total))
                futs += [conn.submit(make_publish(None)).fut for _ in heads]
            done, _ = await asyncio.wait(futs, timeout=1.0)
            context.verdicts = [fut.result().verdict for fut in done]

    context.run(run())


@then('{count:d} of the calls end with "{reason}" before the others')
def step_not_kept(context, count, reason):
    assert context.verdicts == [Ran(Reason(reason))] * count, context.verdicts


@when("an owner answers a call with {fault}")
def step_broken_owner(context, fault):
    address = allocate_address(context)

    async def run():
        async with (
            open_scripted_owner(address, make_broken_answer(fault)),
            open_connection(address) as conn,
            asyncio.timeout(5.0),
        ):
            return await conn.submit(make_publish(make_key(0))).fut

    context.ending = context.run(run())


@then('the call ends with "{verdict}" and "{reason}"')
def step_call_ends(context, verdict, reason):
    found = context.ending.verdict
    assert (verdict_name(found), str(found.reason)) == (verdict, reason), found
    assert not context.ending.body


@when("{count:d} entry nodes connect to it and it accepts {most:d} connections")
def step_connect_many(context, count, most):
    async def run():
        async with (
            open_owner(context, max_connections=most) as owner,
            contextlib.AsyncExitStack() as stack,
        ):
            hellos = []
            for _ in range(count):
                peer = await stack.enter_async_context(open_frame_peer(owner))
                with contextlib.suppress(ConnectionError):
                    hellos.append(await peer.receive())
            return len(hellos)

    context.hellos = context.run(run())


@then("{count:d} of them receive a hello and {rest:d} are closed and counted")
def step_hellos(context, count, rest):
    assert context.hellos == count, context.hellos
    labels = 'listener="mesh",reason="too-many"'
    line = f"guavawing_refused_connections_total{{{labels}}} {rest}"
    assert line in context.metrics.render()[0].decode().splitlines()


@when("an operator requests the member list of a node with {count:d} members")
def step_list_members(context, count):
    address = allocate_address(context)
    iteration = 0
    context.iterations = []

    def list_members():
        for number in range(count):
            context.iterations.append(iteration)
            yield {"node": str(number)}

    async def count_iterations():
        nonlocal iteration
        while True:
            iteration += 1
            await asyncio.sleep(0)

    async def run():
        actions = AdminActions(
            read_status=lambda: {"node": "desk-bergen-1"},
            list_members=list_members,
            is_ready=lambda: True,
            set_draining=lambda _: None,
            update_gauges=lambda: None,
        )
        counting = asyncio.ensure_future(count_iterations())
        async with (
            open_admin_server(AdminServer(actions, Metrics()), address),
            aiohttp.ClientSession() as session,
            session.get(f"http://{address}/status") as resp,
        ):
            context.status = await resp.json()
        counting.cancel()

    context.run(run())


@then(
    "it has {count:d} members, at most {most:d} of them read in one iteration"
    " of the event loop"
)
def step_listed(context, count, most):
    names = [member["node"] for member in context.status["members"]]
    assert names == [str(number) for number in range(count)], len(names)
    assert max(collections.Counter(context.iterations).values()) <= most
