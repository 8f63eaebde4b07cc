"""Steps about outcomes that an owner retains, without a network."""

import asyncio

from behave import given, then, when

from guavawing.sidecar.link_pacer import LinkPacer
from guavawing.sidecar.mesh_codec import (
    decode_frame,
    encode_outcome_query,
    encode_request,
)
from guavawing.sidecar.mesh_messages import AnswerFrame
from guavawing.sidecar.mesh_server import MeshServer
from guavawing.traffic.model import (
    NO_TARGET_RECORD,
    LoadReport,
    Outcome,
    TargetPhase,
)
from guavawing.verdict import Ran, verdict_name
from tests.sidecar_support import make_attempt

LINK_BYTES_PER_S = 1e6


class RecordingOwner:
    """Owner whose attempts end when a test says so."""

    departure = None

    def __init__(self):
        self.listeners = {}
        self.pacer = LinkPacer(LINK_BYTES_PER_S)

    def apply_peer_record(self, record):
        pass

    def load(self):
        return LoadReport(TargetPhase.READY, 5, 0, 0, 0.1)

    def offer_slot(self, entry, verdict):
        return False

    def submit(self, attempt, on_outcome, **_):
        self.listeners[attempt.request_id] = on_outcome
        return len(self.listeners)

    def end(self, request_id):
        self.listeners.pop(request_id)(Outcome(Ran()))


class ShiftedLoop:
    """Event loop whose clock is ahead."""

    def __init__(self, loop):
        self._loop = loop
        self.ahead_s = 0.0

    def time(self):
        return self._loop.time() + self.ahead_s


class EntryStream:
    """The owner's side of a connection; records what it sends."""

    peer_host = "10.0.0.7"

    def __init__(self, server):
        self.frames = []
        self.handler = server._make_stream()._handler
        self.handler.on_open(self)

    def write(self, payload):
        self.frames.append(decode_frame(payload, now=0.0))

    @property
    def verdicts(self):
        return [
            verdict_name(frame.outcome.verdict)
            for frame in self.frames
            if isinstance(frame, AnswerFrame)
        ]


async def connect(context):
    return EntryStream(context.server)


async def begin(context):
    context.owner = RecordingOwner()
    context.server = MeshServer(context.owner, make_update=lambda _: None)
    context.server.loop = ShiftedLoop(asyncio.get_running_loop())
    context.first = await connect(context)
    send(context, "r1", 1)


def send(context, name, frame_id):
    now = context.server.loop.time()
    context.first.handler.on_frame(
        encode_request(
            frame_id,
            make_attempt(name, now=now, idempotent=False),
            now=now,
            known=NO_TARGET_RECORD,
            neighbour=None,
        )
    )


def query(context, name):
    stream = context.run(connect(context))
    stream.handler.on_frame(
        encode_outcome_query(1, name.encode(), context.server.process)
    )
    return stream


@given("an attempt runs at an owner and its outcome is queried anew")
def step_queried(context):
    context.run(begin(context))
    context.second = query(context, "r1")


@when("the owner notices that the first connection has ended")
def step_noticed(context):
    context.first.handler.on_close()


@when("the attempt ends")
def step_attempt_ends(context):
    context.owner.end(b"r1")


@then("the outcome is sent on the second connection")
def step_sent_on_second(context):
    assert context.second.verdicts == ["ran"], context.second.verdicts


@given("an attempt has run at an owner and its connection was lost")
def step_has_run(context):
    context.run(begin(context))
    context.first.handler.on_close()
    context.owner.end(b"r1")
    context.first = context.run(connect(context))


@when("{count:d} other attempts end")
def step_others_end(context, count):
    for number in range(count):
        name = f"other-{number}"
        send(context, name, number + 1)
        context.owner.end(name.encode())


@when("the owner retains outcomes for {seconds:g} s more")
def step_time_passes(context, seconds):
    context.server.loop.ahead_s += seconds


@then('a query of it is answered "{name}"')
def step_query_answered(context, name):
    verdicts = query(context, "r1").verdicts
    assert verdicts == [name], verdicts


@then('a query of an unknown attempt is answered "{name}"')
def step_unknown_answered(context, name):
    verdicts = query(context, "unknown").verdicts
    assert verdicts == [name], verdicts
