"""Steps that pace large answers on a simulated clock."""

import asyncio

from behave import given, then, when

from guavawing.model import Address
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.link_pacer import LinkPacer
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.owner import Owner
from guavawing.sidecar.target_pool import Execution
from guavawing.traffic.target_state import TargetState
from guavawing.verdict import Reason
from standins.simulated_time_loop import open_simulated_time_loop
from tests.sidecar_support import make_attempt

TOLERANCE_S = 1e-6


class Link:
    """A link that sends written bytes in FIFO order at a fixed rate.

    Attributes:
        rate: Bandwidth in bytes per second.
        free_at: Event loop's time at which all written bytes are sent.
        max_backlog_bytes: Maximum number of bytes that waited to be sent.
    """

    def __init__(self, rate):
        self.loop = asyncio.get_running_loop()
        self.rate = rate
        self.free_at = 0.0
        self.max_backlog_bytes = 0.0

    def write(self, size):
        """Returns the time until the bytes have been sent, in seconds."""
        now = self.loop.time()
        self.free_at = max(self.free_at, now) + size / self.rate
        wait_s = self.free_at - now
        self.max_backlog_bytes = max(self.max_backlog_bytes, wait_s * self.rate)
        return wait_s


def run_simulated(coroutine):
    """Runs a coroutine on a loop whose clock advances without waiting."""
    with open_simulated_time_loop() as loop:
        loop.run_until_complete(coroutine)


@given("a link of {rate:d} bytes a second")
def step_link(context, rate):
    context.rate = rate
    context.ended = []


def offer(context, pacer, link, channel, size, number=0):
    def write(piece, last):
        link.write(len(piece))
        if last:
            context.ended.append(size)

    pacer.offer(channel, bytes(size), write, number=number)


async def send_all(
    context, sizes, *, shared=False, disconnected=None, cancelled=None
):
    pacer, link = LinkPacer(context.rate), Link(context.rate)
    context.link = link
    for number, size in enumerate(sizes):
        channel = 0 if shared else number
        offer(context, pacer, link, channel, size, number)
    context.wait_s = pacer.wait_s()
    if disconnected is not None:
        pacer.drop(disconnected)
    if cancelled is not None:
        pacer.cancel(cancelled, cancelled)
    while pacer.busy:
        await asyncio.sleep(0.001)
    context.sent_at = max(link.free_at, asyncio.get_running_loop().time())


@when('answers of "{sizes}" bytes are offered at the same time')
def step_offer(context, sizes):
    run_simulated(send_all(context, map(int, sizes.split())))


@when('answers of "{sizes}" bytes are offered on one connection')
def step_offer_shared(context, sizes):
    run_simulated(send_all(context, map(int, sizes.split()), shared=True))


@when(
    'answers of "{sizes}" bytes are offered and the first one\'s client'
    " disconnects"
)
def step_offer_disconnected(context, sizes):
    run_simulated(send_all(context, map(int, sizes.split()), disconnected=0))


@when('answers of "{sizes}" bytes are offered and the second one is cancelled')
def step_offer_cancelled(context, sizes):
    run_simulated(send_all(context, map(int, sizes.split()), cancelled=1))


@when(
    "for {seconds:g} s an answer of {large:d} bytes arrives every {large_s:g} s"
    " and one of {small:d} bytes every {small_s:g} s"
)
def step_mixed(context, seconds, large, large_s, small, small_s):
    async def run():
        loop = asyncio.get_running_loop()
        pacer, link = LinkPacer(context.rate), Link(context.rate)
        context.waits = []

        def schedule(at, callback):
            loop.call_at(at, callback)

        for number in range(int(seconds / large_s)):
            schedule(
                number * large_s,
                lambda n=number: offer(context, pacer, link, n, large),
            )
        for number in range(int(seconds / small_s)):
            schedule(
                number * small_s,
                lambda: context.waits.append(link.write(small)),
            )
        await asyncio.sleep(seconds)
        assert len(context.ended) >= seconds / large_s - 2, context.ended

    run_simulated(run())


@then("no small answer waits for more than {seconds:g} s")
def step_small_wait(context, seconds):
    assert max(context.waits) <= seconds, max(context.waits)


@then("the backlog of the link never exceeds {count:d} bytes")
def step_backlog_limit(context, count):
    assert context.link.max_backlog_bytes <= count, (
        context.link.max_backlog_bytes
    )


@then("all are sent within {seconds:g} s")
def step_within(context, seconds):
    assert context.sent_at <= seconds + TOLERANCE_S, context.sent_at


@then("another large answer would have waited {least:g} s to {most:g} s")
def step_wait(context, least, most):
    assert least <= context.wait_s <= most, context.wait_s


@then('they are sent completely in the order "{sizes}"')
def step_order(context, sizes):
    assert context.ended == [int(size) for size in sizes.split()], context.ended


class SilentPool:
    """The pool of a target that never answers."""

    def execute(self, attempt, *, target_id, on_end, on_notice):
        return Execution(attempt, on_end, on_notice)


@given("an owner on a link of {rate:d} bytes a second")
def step_owner(context, rate):
    async def make():
        state = TargetState("desk", Address("10.0.0.7", 80))
        state.apply_probe("i-1")
        owner = Owner(
            service="desk",
            state=state,
            pool=SilentPool(),
            drain_s=2.0,
            pacer=LinkPacer(rate),
            log=DecisionLog(node="n1"),
            metrics=SidecarMetrics(),
        )
        owner.handle_target_change()
        return owner

    context.owner = context.run(make())


@when("{size:d} bytes of large answers are queued for its link")
def step_backlog(context, size):
    async def offer():
        context.owner.pacer.offer(0, bytes(size), lambda *piece: None)

    context.run(offer())


def submit(context, useful_s, *, bulk):
    async def run():
        now = asyncio.get_running_loop().time()
        attempt = make_attempt(
            "r1", now=now, bulk=bulk, useful_until=now + useful_s
        )
        outcomes = []
        context.owner.submit(attempt, outcomes.append, local=False)
        return outcomes

    return context.run(run())


@then("it refuses a large request that is useful for {useful_s:g} s")
def step_refuses_large(context, useful_s):
    [outcome] = submit(context, useful_s, bulk=True)
    assert outcome.verdict.reason == Reason.QUEUE_FULL, outcome
    assert outcome.verdict.retry_after_s > 0, outcome


@then("it accepts a {size:w} request that is useful for {useful_s:g} s")
def step_accepts(context, size, useful_s):
    assert submit(context, useful_s, bulk=size == "large") == []
