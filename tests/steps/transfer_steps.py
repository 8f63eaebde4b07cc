"""Steps that send one request to owners in memory."""

import asyncio
from random import Random

import attrs
from behave import given, then, when

from guavawing.sidecar.client_call import ClientCall, EntryParts
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.http_request import HttpRequest
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.balancer import Balancer
from guavawing.traffic.budget import RetryBudget
from guavawing.traffic.durations import Durations
from guavawing.traffic.failures import FailureShare
from guavawing.traffic.model import (
    LoadReport,
    Outcome,
    PeerRecord,
    RolloutOrder,
    Route,
    SplitPart,
    TargetPhase,
)
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.process_end import ProcessEnd
from guavawing.traffic.rollout_state import RolloutState, RolloutView
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason
from tests.sidecar_support import make_attempt

LEFT_S = 2.0
# An owner whose target has the new release of a roll-out, and its share.
NEW, SHARE = "new", 0.1
REQUESTS = 2000
IDLE = LoadReport(TargetPhase.READY, 8, 0, 0, 0.05)
ENDS = {
    "served": Outcome(Ran(), 200),
    "error": Outcome(Ran(), 500),
    "lost": Outcome(MayHaveRun(Reason.TARGET_BROKE)),
    "full": Outcome(NotRun(Reason.QUEUE_FULL, 0.1)),
    "shed": Outcome(NotRun(Reason.TARGET_SHED, 0.2)),
}
ROUTE = Route(
    "read", "a.ex", "/", True, False, 1.0, 0.5, 0, 2, (SplitPart("desk", 1.0),)
)


class MemoryConnection:
    """A client's connection that records the status of the answer."""

    status = 0

    def keeps_open(self, request, *, refused):
        return True

    def respond(self, request, payload, *, closes):
        assert not self.status, "answered twice"
        self.status = int(payload.split(b" ", 2)[1])


class MemoryMesh:
    """A mesh client that ends attempts with the given outcomes.

    None as an outcome ends the attempt as lost, with its owner marked lost.
    """

    def __init__(self, ends, peers):
        self.ends, self.peers, self.tried = list(ends), peers, []

    def submit(self, host, port, attempt, on_outcome, *, neighbour=None):
        self.tried.append(host)
        outcome = self.ends.pop(0)
        if outcome is None:
            self.peers.get(host).view.alive = False
            outcome = ENDS["lost"]
        asyncio.get_running_loop().call_soon(on_outcome, outcome)


class NoTarget:
    """The owner of a node without a target."""

    def __init__(self):
        self.process_end = ProcessEnd()

    def load(self):
        return LoadReport(TargetPhase.UNKNOWN, 0, 0, 0, 0.0)

    def has_unoffered_slot(self):
        return False


def make_peers(names, now):
    own_record = PeerRecord("me", "me", 1, "east", "feed", 1)
    view = OwnerView("me", local=True, near=True)
    peers = PeerTable(own_record, view)
    for name in names:
        record = PeerRecord(name, name, 1, "east", "desk", 1)
        peer = peers.apply_record(record, now=now)
        release = "v2" if name == NEW else "v1"
        report = attrs.evolve(IDLE, release=release)
        peers.apply_load(peer, report, now=now)
    return peers, view


async def run_request(context, ends, *, rng=None):
    loop = asyncio.get_running_loop()
    now = loop.time()
    peers, own_view = make_peers(context.names, now)
    view = None
    if NEW in context.names:
        view = RolloutView(roll_back_s=5.0)
        order = RolloutOrder("desk", "v2", 14.0, 1)
        state = RolloutState(order, version=1, share=SHARE)
        view.apply(state, confirmed_at=now, now=now)
    mesh = MemoryMesh(ends, peers)
    parts = EntryParts(
        loop=loop,
        owner=NoTarget(),
        own_view=own_view,
        peers=peers,
        mesh=mesh,
        balancer=Balancer(Random(1)),
        failures=FailureShare(),
        durations=Durations(),
        budget=RetryBudget(ratio=0.2, allowance=9, nodes=1),
        version=lambda: 1,
        log=DecisionLog(node="me"),
        metrics=SidecarMetrics(),
        find_rollout=None if view is None else lambda _: view,
        rng=rng or Random(1),
    )
    conn = MemoryConnection()
    request = HttpRequest(conn, b"GET", b"/x", [], b"", now)
    attempt = make_attempt("r1", now=now, left_s=LEFT_S)
    ClientCall(parts, request, ROUTE, attempt, urgent=False).begin()
    while not conn.status:
        await asyncio.sleep(0)
    return conn.status, mesh.tried


@given('an idempotent request, owners "{names}" and an allowed retry')
def step_request(context, names):
    context.names = names.split()


@when('attempts end with "{ends}"')
def step_ends(context, ends):
    outcomes = [ENDS[end] for end in ends.split(", ")]
    context.status, context.tried = context.run(run_request(context, outcomes))


@when('attempts end with "lost" and no owner is left')
def step_no_owner(context):
    context.status, context.tried = context.run(run_request(context, [None]))


@then("the client gets {status:d}")
def step_status(context, status):
    assert context.status == status, context.status


@then('these owners were tried: "{names}"')
def step_tried(context, names):
    assert sorted(context.tried) == names.split(), context.tried


@when("many requests are refused by all owners")
def step_all_refuse(context):
    rng = Random(1)
    context.tries = []
    for _ in range(REQUESTS):
        ends = [ENDS["full"]] * len(context.names)
        _, tried = context.run(run_request(context, ends, rng=rng))
        context.tries.append(tried)


@then("the new target was asked by its share of them")
def step_share(context):
    found = sum(NEW in tried for tried in context.tries) / REQUESTS
    assert abs(found - SHARE) < SHARE / 4, found
    longest = max(map(len, context.tries))
    assert longest > 2, f"got at most {longest} attempts of a request"
