"""Steps that pace large answers on a clock that the steps advance."""

import asyncio
import itertools

from behave import given, then, when

from guavawing.sidecar.bulk_gate import BulkGate

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
