"""Steps that load a fleet and compare verdicts with records of targets."""

import asyncio
import itertools

from behave import given, then, when

from standins.load_generator import (
    LoadGenerator,
    count_by_key,
    find_false_verdicts,
)
from standins.records import count_executions, read_records

WARM_UP_S = 2.0
REPEATS_AT_ONCE = 20


# behave tries the last decorator first. The pattern of the first one also
# matches the texts of the second one.
@given('callers send {rate:d} calls of {work:d} ms per second to "{service}"')
@given(
    'callers send {rate:d} calls of {work:d} ms per second to "{service}"'
    ' through "{through}"'
)
@given(
    'callers send {rate:d} calls of {work:d} ms per second to "{service}", each'
    " publish by {copies:d} callers at once"
)
def step_load(context, rate, work, service, **options):
    context.load = load = LoadGenerator(
        context.fleet, service, rate, work, **options
    )
    context.add_cleanup(lambda: setattr(load, "stopped", True))
    context.load_result = asyncio.run_coroutine_threadsafe(
        load.run(), context.loop
    )
    context.run(asyncio.sleep(WARM_UP_S))


@then("when the callers stop, every call has run once")
def step_all_run(context):
    context.load.stopped = True
    calls = context.load_result.result()
    last = [sendings[-1].outcome for sendings in calls]
    not_run = [outcome for outcome in last if outcome.verdict != "ran"]
    assert not not_run, (len(not_run), len(last), not_run[:3])
    executions = context.run(count_executions(context.fleet))
    counts = count_by_key(list(itertools.chain(*calls)), executions)
    assert counts and set(counts.values()) == {1}, counts


@when("the callers stop, and each publish is sent again")
def step_stop(context):
    context.load.stopped = True
    sendings = list(itertools.chain(*context.load_result.result()))
    keys = sorted({each.key for each in sendings if each.key})
    context.repeats = []
    for start in range(0, len(keys), REPEATS_AT_ONCE):
        batch = keys[start : start + REPEATS_AT_ONCE]
        context.repeats += context.run(context.load.resend(batch))
    context.sendings = sendings + context.repeats


@then("no key was executed twice and every verdict was correct")
def step_correct_verdicts(context):
    executions = context.run(count_executions(context.fleet))
    counts = count_by_key(context.sendings, executions)
    twice = {key: times for key, times in counts.items() if times > 1}
    assert not twice, twice
    false_verdicts = find_false_verdicts(context.sendings, executions)
    assert not false_verdicts, false_verdicts
    # Both publishes and reads have run.
    ran = {
        bool(each.key)
        for each in context.sendings
        if each.outcome.verdict == "ran"
    }
    assert len(ran) == 2, ran


@then("some publishes were recorded only by the killed owners")
def step_killed_owners(context):
    reasons = {each.outcome.reason for each in context.repeats}
    assert "owner-replaced" in reasons, reasons


@then('no target of "{service}" has run more than {count:d} calls at a time')
def step_slots(context, service, count):
    records = context.run(read_records(context.fleet, service))
    most = [record["max_running"] for record in records]
    # The load exceeds the capacity, so the number of slots is the limit.
    assert max(most) == count, most
