"""Steps that load a fleet while several of its parts fail."""

import asyncio
import itertools

from behave import given, then, when

from guavawing.model import parse_address
from standins.load import Load, count_by_key, find_false_verdicts
from standins.records import count_executions, read_records
from tests.support import read_newest

WARM_UP_S = 2.0
REPEATS_AT_ONCE = 20


@given(
    "for each publish {copies:d} callers at once, among {rate:d} calls of"
    ' {work:d} ms a second to "{service}"'
)
def step_load(context, copies, rate, work, service):
    load = Load(context.fleet, service, rate, work, copies=copies)
    context.load = load
    context.add_cleanup(lambda: setattr(load, "stopped", True))
    context.load_result = asyncio.run_coroutine_threadsafe(
        load.run(), context.loop
    )
    context.run(asyncio.sleep(WARM_UP_S))


@when("{count:d} operators race on the platform of the fleet")
def step_operators(context, count):
    context.platform = parse_address(context.fleet.platform)
    context.execute_steps(
        f"When {count} operators publish until accepted, in order of their"
        " answers"
    )
    context.version = context.run(read_newest(context.fleet))
    assert context.version == count + 1, context.version


@when('half of the nodes of "{zone}" are killed')
def step_kill_rack(context, zone):
    nodes = context.fleet.nodes.values()
    names = [node.name for node in nodes if node.data_centre == zone]
    context.killed = names[1::2]
    kills = "\n".join(
        f'When node "{name}" is killed' for name in context.killed
    )
    context.execute_steps(kills)


@when("the callers stop, and each publish is sent again")
def step_stop(context):
    context.load.stopped = True
    sendings = list(itertools.chain(*context.load_result.result()))
    keys = sorted({each.key for each in sendings if each.key})
    context.repeats = []
    for start in range(0, len(keys), REPEATS_AT_ONCE):
        some = keys[start : start + REPEATS_AT_ONCE]
        context.repeats += context.run(context.load.send_again(some))
    context.sendings = sendings + context.repeats


@then("no key was executed twice and every verdict was true")
def step_truth(context):
    executions = context.run(count_executions(context.fleet))
    counts = count_by_key(context.sendings, executions)
    twice = {key: times for key, times in counts.items() if times > 1}
    assert not twice, twice
    false = find_false_verdicts(context.sendings, executions)
    assert not false, false
    for kind in (True, False):
        ran = [
            each
            for each in context.sendings
            if bool(each.key) == kind and each.outcome.verdict == "ran"
        ]
        assert ran, kind


@then("some publishes are known to the lost owners only")
def step_lost(context):
    reasons = {each.outcome.reason for each in context.repeats}
    assert "owner-replaced" in reasons, reasons


@then('no target of "{service}" has run more than {count:d} calls at a time')
def step_slots(context, service, count):
    records = context.run(read_records(context.fleet, service))
    most = [record["max_running"] for record in records]
    # The load is beyond the capacity, so that slots are what limits it.
    assert max(most) == count, most
