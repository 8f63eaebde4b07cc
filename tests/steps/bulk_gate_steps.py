"""Steps that pace large answers on a clock that the steps advance."""

import asyncio
import itertools

from behave import given, then, when

from guavawing.model import Address
from guavawing.sidecar.bulk_gate import BulkGate
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.owner import Owner
from guavawing.sidecar.target_pool import Execution
from guavawing.traffic.model import Attempt
from guavawing.traffic.target_state import TargetState
from guavawing.verdict import Reason

TOLERANCE_S = 1e-6


class PausedLoop(asyncio.SelectorEventLoop):
    """A loop whose clock jumps to the next timer instead of waiting."""

    def __init__(self):
        super().__init__()
        self._now = 0.0

    def time(self):
        return self._now

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()


@given("a link of {rate:d} bytes a second")
def step_link(context, rate):
    context.rate = rate


@when("{count:d} answers of {size:d} bytes are offered at the same time")
def step_offer(context, count, size):
    async def run():
        loop = asyncio.get_running_loop()
        gate = BulkGate(context.rate)
        for _ in range(count):
            gate.offer(size, lambda: context.sent.append(loop.time()))
        context.wait_s = gate.wait_s()
        while gate.waiting:
            await asyncio.sleep(0.01)

    context.sent = []
    loop = PausedLoop()
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()


@then("they are sent {gap_s:g} s apart")
def step_apart(context, gap_s):
    sent = context.sent
    gaps = [after - before for before, after in itertools.pairwise(sent)]
    assert all(abs(gap - gap_s) < TOLERANCE_S for gap in gaps), gaps


@then("after the first one the next would have waited {seconds:g} s")
def step_wait(context, seconds):
    assert abs(context.wait_s - seconds) < TOLERANCE_S, context.wait_s


@then("they are sent within {seconds:g} s")
def step_within(context, seconds):
    assert max(context.sent) <= seconds, context.sent


class NoPool:
    """A target that never answers."""

    def execute(self, attempt, *, target_id, on_end):
        return Execution(attempt, on_end)


@given("an owner on a link of {rate:d} bytes a second")
def step_owner(context, rate):
    async def make():
        state = TargetState("desk", Address("10.0.0.7", 80))
        state.take_probe("i-1")
        owner = Owner(
            service="desk",
            state=state,
            pool=NoPool(),
            drain_s=2.0,
            link_bytes_per_s=rate,
            log=DecisionLog(node="n1"),
            metrics=SidecarMetrics(),
        )
        owner.take_target_change()
        return owner

    context.owner = context.run(make())


@when("{size:d} bytes of large answers wait for its link")
def step_backlog(context, size):
    async def offer():
        context.owner.gate.offer(size, lambda: None)

    context.run(offer())


def submit(context, useful_s, *, bulk):
    async def run():
        now = asyncio.get_running_loop().time()
        attempt = Attempt(
            request_id=b"r1",
            service="desk",
            origin="feed",
            method=b"GET",
            path=b"/",
            head=b"",
            body=b"",
            deadline=now + 5,
            priority=1,
            idempotent=True,
            bulk=bulk,
            late=False,
            useful_until=now + useful_s,
            spare_only=False,
        )
        outcomes = []
        context.owner.submit(attempt, outcomes.append, local=False)
        return outcomes

    return context.run(run())


@then("it refuses a large request that is of use for {useful_s:g} s")
def step_refuses_large(context, useful_s):
    [outcome] = submit(context, useful_s, bulk=True)
    assert outcome.verdict.reason == Reason.QUEUE_FULL, outcome
    assert outcome.verdict.retry_after_s > 0, outcome


@then("it takes a {size:w} request that is of use for {useful_s:g} s")
def step_takes(context, size, useful_s):
    assert submit(context, useful_s, bulk=size == "large") == []
