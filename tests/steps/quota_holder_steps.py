"""Steps about the buckets of one holder."""

import math

from behave import given, then, when
from hypothesis import strategies as st

from guavawing.traffic.model import ClientAccount
from guavawing.traffic.quota_bucket import Bucket
from guavawing.traffic.quota_parts import Part, PartPlan, plan_part
from guavawing.traffic.quotas import QuotaHolder
from tests.support import check_examples

TERMS = {"window_s": 5.0, "overage": 0.1, "allowance": 20.0}
DATA_CENTRES = ("dc0", "dc1", "dc2", "dc3")
HOST = "dc0-0"
PART = Part("shop", 0)
FILLED_S = 30.0
TICK_S = 0.1
TOLERANCE = 1e-6
# Two changes of the holder of each part in one window, as the note says.
STARTS = 2


@given("a bucket of {rate:g} tokens a second that is empty")
def step_bucket(context, rate):
    plan = PartPlan(rate, 4.0, 1.0, rate, 0.5, 1)
    context.bucket = Bucket(plan, level=0.0, fill_share=1.0, now=0.0)


@then("requests that are refused now are told to wait {first:g}, {second:g}"
      " and {third:g} s")  # fmt: skip
def step_waits(context, first, second, third):
    found = [context.bucket.find_wait_s(now=0.0) for _ in range(3)]
    for wait_s, expected in zip(found, (first, second, third), strict=True):
        assert math.isclose(wait_s, expected), found


@given("a holder of an account of {rate:g} requests a second that is full")
def step_holder(context, rate):
    holder = context.holder = QuotaHolder(
        host=HOST,
        data_centre="dc0",
        data_centres=DATA_CENTRES,
        now=0.0,
        **TERMS,
    )
    account = ClientAccount("shop", frozenset(), rate_per_s=rate, burst=rate)
    holder.set_accounts([account], now=0.0)
    holder.open_bucket(PART, now=0.0)
    context.now = 0.0
    while context.now < FILLED_S:
        context.now += TICK_S
        holder.tick(now=context.now)
    bucket = holder.open_bucket(PART, now=context.now)
    bucket.refill(now=context.now)
    assert math.isclose(bucket.level, bucket.plan.capacity)


@when("its process is paused for {seconds:g} s")
def step_pause(context, seconds):
    context.now += seconds
    assert context.holder.tick(now=context.now)


@then("its bucket has at most the tokens of a new holder")
def step_start(context):
    bucket = context.holder.open_bucket(PART, now=context.now)
    assert bucket.level <= bucket.plan.start, bucket.level


@then("tokens that arrive at once are ignored")
def step_ignored(context):
    bucket = context.holder.open_bucket(PART, now=context.now)
    before = bucket.level
    context.holder.deposit(PART, 3.0, now=context.now)
    assert bucket.level == before, (before, bucket.level)


@when("it hears {alive:d} of {known:d} near nodes")
def step_view(context, alive, known):
    hosts = {HOST}
    number = 0
    # Only nodes that leave the part with this one.
    while len(hosts) < alive:
        number += 1
        context.holder.set_view(
            frozenset({*hosts, f"n{number}"}), known=known, now=context.now
        )
        if context.holder.rank(PART)[0] == HOST:
            hosts.add(f"n{number}")
    context.holder.set_view(frozenset(hosts), known=known, now=context.now)


@then("its bucket gains {per_s:g} tokens a second")
def step_gains(context, per_s):
    bucket = context.holder.open_bucket(PART, now=context.now)
    bucket.refill(now=context.now)
    bucket.give(tokens=bucket.level, now=context.now)
    before = bucket.level
    bucket.refill(now=context.now + 1)
    assert math.isclose(bucket.level - before, per_s), bucket.level


@then("{count:d} random quotas are divided within their margin")
def step_margin(context, count):
    @check_examples(
        count,
        st.floats(0.1, 100_000),
        st.floats(0, 100_000),
        st.floats(0, 0.5),
        st.integers(1, 12),
    )
    def check(rate, burst, overage, data_centres):
        terms = TERMS | {"overage": overage, "allowance": 4.0 * data_centres}
        account = ClientAccount(
            "shop", frozenset(), rate_per_s=rate, burst=burst
        )
        plan = plan_part(account, data_centres=data_centres, **terms)
        parts = data_centres * plan.shards
        margin = overage * (rate * terms["window_s"] + burst)
        margin += terms["allowance"]
        assert math.isclose(plan.share_per_s * parts, rate)
        if plan.capacity == 1.0:
            # A part holds one whole token at least, see the design note.
            assert burst + 0.25 * margin < parts
            return
        most = parts * (plan.capacity + STARTS * plan.start)
        filled_s = terms["window_s"] + plan.lifetime_s
        most += plan.rate_per_s * parts * filled_s
        allowed = rate * terms["window_s"] + burst + margin
        assert most <= allowed * (1 + TOLERANCE), (most, allowed)
