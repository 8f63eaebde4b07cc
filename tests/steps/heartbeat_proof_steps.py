"""Steps for the verification of heartbeats, without a network."""

import orjson
from behave import given, then, when

from guavawing.model import parse_address
from guavawing.platform.headers import build_refusal
from guavawing.platform.heartbeats import DEREGISTRATION_PATH, HEARTBEAT_PATH
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.http_request import HttpRequest
from guavawing.sidecar.local_calls import LocalCalls
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.heartbeat_proof import HeartbeatProof
from guavawing.traffic.model import PeerRecord, TargetPhase
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.target_state import TargetState
from guavawing.traffic.uploads import BodyRoom

ADDRESS = "10.0.0.9:8080"
BORN_MS = 5_000


class FakeConnection:
    """Records the answers of a server."""

    def __init__(self):
        self.answers = []

    def respond(self, request, payload, *, closes):
        self.answers.append(payload)


class FakeClock:
    """Time of the event loop, which the steps advance."""

    def __init__(self):
        self.now = 100.0

    def time(self):
        return self.now


@given("a node without knowledge of its target")
def step_node(context):
    async def make():
        context.target = TargetState("desk", parse_address(ADDRESS))
        context.proof = HeartbeatProof(context.target)
        record = PeerRecord("a1", "10.0.0.9", 7001, "east", "desk", 1_000)
        view = OwnerView("10.0.0.9", local=True, near=True)
        context.calls = LocalCalls(
            target=context.target,
            proof=context.proof,
            on_unverified=lambda: None,
            on_target=lambda: None,
            is_ready=lambda: True,
            peers=PeerTable(record, view),
            room=BodyRoom(),
            log=DecisionLog(node="a1"),
            metrics=SidecarMetrics(),
        )
        context.clock = context.calls._loop = FakeClock()

    context.run(make())


def call(context, path, body):
    conn = FakeConnection()
    request = HttpRequest(conn, b"POST", path.encode(), [], body, 0.0)

    async def handle():
        context.calls.handle_target_call(request)

    context.run(handle())
    assert conn.answers[0].startswith(build_refusal(200, b"")[:12])


def beat(context, target_id, sequence, *, slots=4, state="ready"):
    body = {
        "address": ADDRESS,
        "born": BORN_MS,
        "info": {"service": "desk", "slots": slots},
        "status": {"state": state, "sequence": sequence},
    }
    call(context, HEARTBEAT_PATH + target_id, orjson.dumps(body))


@when('a heartbeat of "{target_id}" with sequence {sequence:d} arrives')
def step_beat(context, target_id, sequence):
    beat(context, target_id, sequence)


@when(
    '{seconds:g} s later a heartbeat of "{target_id}" with sequence'
    " {sequence:d} arrives"
)
def step_late_beat(context, seconds, target_id, sequence):
    context.clock.now += seconds
    beat(context, target_id, sequence)


@when(
    'a heartbeat of "{target_id}" with sequence {sequence:d} and {slots:d}'
    " slots arrives"
)
def step_beat_slots(context, target_id, sequence, slots):
    beat(context, target_id, sequence, slots=slots)


@when(
    'a draining heartbeat of "{target_id}" with sequence {sequence:d} arrives'
)
def step_draining_beat(context, target_id, sequence):
    beat(context, target_id, sequence, state="draining")


@when('heartbeats of "{target_id}" arrive each 1.5 s for {seconds:g} s')
def step_stream(context, target_id, seconds):
    for number in range(int(seconds / 1.5) + 1):
        beat(context, target_id, 7 + number)
        context.clock.now += 1.5


@when(
    'a heartbeat of "{target_id}" with sequence {sequence:d} arrives each 1.5 s'
    " for {seconds:g} s"
)
def step_repeated(context, target_id, sequence, seconds):
    for _ in range(int(seconds / 1.5) + 1):
        beat(context, target_id, sequence)
        context.clock.now += 1.5


@when('the health check of "{target_id}" passes')
def step_passes(context, target_id):
    now = context.clock.now
    report = context.proof.confirm(target_id, now=now)
    if report is not None:
        context.target.apply_report(report, now=now)


@when('a health check finds "{target_id}"')
def step_found_by_check(context, target_id):
    assert context.target.apply_probe(target_id)


@when('{seconds:g} s later the health check of "{target_id}" passes')
def step_passes_later(context, seconds, target_id):
    context.clock.now += seconds
    step_passes(context, target_id)


@when('"{target_id}" deregisters with {start}')
def step_deregisters(context, target_id, start):
    bodies = {
        "its start": b'{"born":%d}' % BORN_MS,
        "an earlier start": b'{"born":%d}' % (BORN_MS - 1),
        "no start": b"",
        "a bad body": b'{"born":"now"}',
    }
    call(context, DEREGISTRATION_PATH + target_id, bodies[start])


@then("the target is in service")
@then('the target is in service as "{target_id}"')
@then("the target is in service with {slots:d} slots")
def step_ready(context, slots=4, target_id="t1"):
    assert context.target.phase is TargetPhase.READY, context.target.phase
    assert context.target.target_id == target_id
    assert context.target.slots == slots, context.target.slots


@then("the target is not in service")
def step_not_ready(context):
    assert context.target.phase is not TargetPhase.READY


@then("the target is draining")
def step_draining(context):
    assert context.target.phase is TargetPhase.DRAINING, context.target.phase
