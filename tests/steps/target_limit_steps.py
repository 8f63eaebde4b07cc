"""Steps about limits and departures that a target states in its answers."""

import asyncio

from behave import given, then, when

from guavawing.model import parse_address
from guavawing.sidecar.target_probe import TargetProbe
from guavawing.traffic.heartbeat_proof import HeartbeatProof
from guavawing.traffic.model import (
    Incarnation,
    PeerRecord,
    TargetLimit,
    TargetPhase,
    TargetRecord,
    TargetReport,
)
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.target_state import TargetState
from guavawing.verdict import NotRun, Reason
from standins.ports import PortBlock
from standins.simulated_time_loop import open_simulated_time_loop
from standins.vm_target import VmTarget, open_vm_target
from tests.sidecar_support import make_attempt
from tests.target_support import LimitedTarget, Sent, make_owner

ADDRESS = parse_address("10.0.0.7:80")
USEFUL_S = 0.3
DEADLINE_S = 2.0


def apply_heartbeat(context, target_id, born_ms):
    context.sequence += 1
    report = TargetReport(
        target_id,
        "desk",
        ADDRESS,
        context.slots,
        False,
        context.sequence,
        0.0,
        born_ms,
    )
    now = context.paused.time()
    context.state.apply_report(report, now=now)
    context.owner.handle_target_change()


@given(
    "an owner beside a target of {slots:d} slots that answers after"
    " {service_s:g} s"
)
def step_owner(context, slots, service_s):
    manager = open_simulated_time_loop()
    context.paused = manager.__enter__()
    context.add_cleanup(lambda: manager.__exit__(None, None, None))
    context.slots = slots
    context.target = LimitedTarget(service_s)
    context.state = TargetState("desk", ADDRESS)
    context.sent = []
    context.sequence = 0

    async def make():
        context.owner = make_owner(context.target, context.state)
        apply_heartbeat(context, "t1", 1_000)

    context.paused.run_until_complete(make())


@given('at {at:g} s the target names "{limit}"')
@given('at {at:g} s the target names ""')
def step_names(context, at, limit=""):
    def name():
        context.target.limit = limit

    context.paused.call_at(at, name)


@given(
    "every {number:d}th request takes {slow_s:g} s, with the headers of its"
    " start"
)
@given(
    "every {number:d}rd request takes {slow_s:g} s, with the headers of its"
    " start"
)
def step_slow(context, number, slow_s):
    context.target.slow_every, context.target.slow_s = number, slow_s


@given("at {at:g} s another target takes the address")
def step_successor(context, at):
    context.paused.call_at(at, apply_heartbeat, context, "t2", 2_000)


@given("at {at:g} s the target starts again under its id")
def step_reborn(context, at):
    context.paused.call_at(at, apply_heartbeat, context, "t1", 2_000)


@given('at {at:g} s the target states its departure as "{value}"')
@given('at {at:g} s the target states its departure as ""')
def step_states(context, at, value=""):
    def state():
        context.target.leaving = value

    context.paused.call_at(at, state)


@given("at {at:g} s a heartbeat reports the target as ready")
def step_heartbeat(context, at):
    context.paused.call_at(at, apply_heartbeat, context, "t1", 1_000)


@given("its process has started after the last heartbeat")
def step_probed(context):
    async def make():
        context.state = TargetState("desk", ADDRESS)
        context.owner = make_owner(context.target, context.state)
        context.state.apply_probe("t1")
        context.owner.handle_target_change()

    context.paused.run_until_complete(make())


@given("a peer has recorded the departure of the target")
def step_peer_departure(context):
    departure = Incarnation("t1", BORN_MS["t1"])
    context.owner.apply_peer_record(TargetRecord(departure))


BORN_MS = {"t0": 500, "t1": 1_000, "t2": 2_000}


def apply_peer_limit(context, target_id, per_s):
    incarnation = Incarnation(target_id, BORN_MS[target_id])
    record = TargetRecord(limit=TargetLimit(incarnation, per_s))
    context.owner.apply_peer_record(record)


@given('a peer has recorded "{per_s:g}" for target "{target_id}"')
def step_peer_limit(context, per_s, target_id):
    apply_peer_limit(context, target_id, per_s)


@given('a peer has recorded "{per_s:g}" for the id of target "{target_id}"')
def step_peer_limit_by_id(context, per_s, target_id):
    limit = TargetLimit(Incarnation(target_id, 0), per_s)
    context.owner.apply_peer_record(TargetRecord(limit=limit))


async def offer(
    context, per_s, seconds, group=1, cancel_s=None, known_per_s=None
):
    loop = asyncio.get_running_loop()
    start = loop.time()
    for number in range(int(per_s * seconds / group)):
        await asyncio.sleep(start + number * group / per_s - loop.time())
        if known_per_s is not None:
            apply_peer_limit(context, "t1", known_per_s)
        for member in range(group):
            submit(context, f"r{number}-{member}", cancel_s)
    await asyncio.sleep(DEADLINE_S)


def submit(context, name, cancel_s=None):
    loop = asyncio.get_running_loop()
    now = loop.time()
    sent = Sent(now)
    context.sent.append(sent)
    attempt = make_attempt(
        name, now=now, left_s=DEADLINE_S, useful_until=now + USEFUL_S
    )

    def record(outcome):
        assert sent.outcome is None, sent
        sent.outcome = outcome

    number = context.owner.submit(attempt, record, local=True)
    if cancel_s is not None:
        loop.call_later(cancel_s, context.owner.cancel, number)


@when("{per_s:d} requests per second arrive for {seconds:g} s")
def step_arrive(context, per_s, seconds):
    context.paused.run_until_complete(offer(context, per_s, seconds))


@when(
    "{per_s:d} requests per second arrive for {seconds:g} s from a peer that"
    ' recorded "{known:g}"'
)
def step_arrive_known(context, per_s, seconds, known):
    context.paused.run_until_complete(
        offer(context, per_s, seconds, known_per_s=known)
    )


@when(
    "{per_s:d} requests per second arrive for {seconds:g} s, in groups of"
    " {group:d}"
)
def step_arrive_groups(context, per_s, seconds, group):
    context.paused.run_until_complete(offer(context, per_s, seconds, group))


@when(
    "{per_s:d} requests per second arrive for {seconds:g} s, each cancelled"
    " after {cancel_s:g} s"
)
def step_arrive_cancelled(context, per_s, seconds, cancel_s):
    context.paused.run_until_complete(
        offer(context, per_s, seconds, cancel_s=cancel_s)
    )


@then(
    "from {start:g} s on the target gets at most {most:d} requests in each"
    " {window_s:g} s"
)
def step_windows(context, start, most, window_s):
    arrivals = [at for at in context.target.arrivals if at >= start]
    assert arrivals
    for at in arrivals:
        count = sum(1 for each in arrivals if at <= each < at + window_s)
        assert count <= most, f"{count} requests from {at:.2f} s on"


def count_arrivals(context, start, end):
    return sum(1 for at in context.target.arrivals if start <= at < end)


@then(
    "the target gets at least {least:d} requests from {start:g} s to {end:g} s"
)
@then("at least {least:d} requests in all from {start:g} s to {end:g} s")
def step_least(context, least, start, end):
    count = count_arrivals(context, start, end)
    assert count >= least, count


@then(
    "at least {least:d} and at most {most:d} requests in all from {start:g} s"
    " to {end:g} s"
)
def step_between(context, least, most, start, end):
    count = count_arrivals(context, start, end)
    assert least <= count <= most, count


def list_refused(context, start):
    return [
        each
        for each in context.sent
        if each.at >= start and isinstance(each.outcome.verdict, NotRun)
    ]


@then(
    "each refusal from {start:g} s on is not-run with a Retry-After of at most"
    " {most_s:g} s"
)
def step_refusals(context, start, most_s):
    refused = list_refused(context, start)
    assert refused
    for each in refused:
        verdict = each.outcome.verdict
        assert verdict.reason is Reason.RATE_LIMITED, each
        assert 0 < verdict.retry_after_s <= most_s, each


@then("none is refused")
def step_none_refused(context):
    assert not list_refused(context, 0.0), list_refused(context, 0.0)


@then("none that came after {start:g} s is refused")
def step_none_refused_later(context, start):
    assert not list_refused(context, start), list_refused(context, start)


@then('it reports the limit "{per_s:g}"')
def step_reports_limit(context, per_s):
    assert context.owner.load().limit.per_s == per_s


@then("it reports no limit")
def step_reports_none(context):
    assert context.owner.load().limit.per_s is None


@then("it does not know the limit")
def step_unknown(context):
    assert context.owner.load().limit is None


@then("the target gets no request from {start:g} s on")
def step_no_requests(context, start):
    arrivals = context.target.arrivals
    assert not count_arrivals(context, start, 1e9), arrivals[-1]


@then("each request from {start:g} s on is refused at once as not-run")
def step_refused_at_once(context, start):
    late = [each for each in context.sent if each.at >= start]
    assert late
    for each in late:
        assert isinstance(each.outcome.verdict, NotRun), each
        assert each.outcome.held_s == 0.0, each


@then("it reports the target as {phase:w}")
def step_phase(context, phase):
    assert context.owner.load().phase is TargetPhase[phase.upper()]


@then("it reports the departure of the target")
def step_departure(context):
    assert context.owner.departure == Incarnation("t1", BORN_MS["t1"])


@given(
    'a target whose health check passes and states its departure as "{value}"'
)
def step_healthy_target(context, value):
    context.vm_target = VmTarget("t1", leaving=value)


async def probe(target):
    block = PortBlock()
    address = parse_address(block.allocate())
    state = TargetState("desk", address)
    record = PeerRecord("a1", address.host, 7001, "east", "desk", 1_000)
    view = OwnerView(address.host, local=True, near=True)
    async with open_vm_target(target, address.host, address.port):
        await TargetProbe(
            address,
            state=state,
            proof=HeartbeatProof(state),
            find_path=lambda: "/health",
            peers=PeerTable(record, view),
            on_found=lambda: None,
        ).run()
    block.close()
    return state


@when("a process that has just started checks its health")
def step_probe(context):
    context.state = context.run(probe(context.vm_target))


@then("it finds {found}")
def step_found(context, found):
    expected = "t1" if found == "the target" else ""
    assert context.state.target_id == expected, context.state.target_id
