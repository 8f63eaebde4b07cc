"""Steps that load real targets and read the counts of these targets."""

import asyncio
import functools
import signal
import statistics

from behave import given, then, when

from standins.load_generator import send_at_rate
from standins.records import read_record
from tests.support import read_metrics, set_target_faults

POLL_S = 0.05


async def probe_nodes(fleet, delays):
    """Records the longest response time of each node's health endpoint.

    This endpoint needs no slot, so its response time is the delay that the
    load of the machine adds to a call.
    """
    loop = asyncio.get_running_loop()
    while True:
        for name, node in fleet.nodes.items():
            start = loop.time()
            await fleet.get(node.admin, "/healthz")
            delays[name] = max(delays.get(name, 0.0), loop.time() - start)
        await asyncio.sleep(POLL_S)


def make_sender(context, service, work, **options):
    """Returns a function that sends one call through the first node."""
    return functools.partial(
        context.fleet.call,
        next(iter(context.fleet.nodes)),
        service=service,
        headers={"X-Work-Ms": str(work)},
        **options,
    )


@when(
    "{waves:d} waves of {count:d} reads of {work:d} ms with a deadline of"
    ' {deadline:d} ms are sent to "{service}"'
)
def step_waves(context, waves, count, work, deadline, service):
    read = make_sender(
        context, service, work, path="/read", deadline_ms=deadline
    )

    async def send():
        outcomes = []
        for _ in range(waves):
            outcomes += await asyncio.gather(*(read() for _ in range(count)))
        return outcomes

    context.outcomes = context.run(send())


@when(
    "for {seconds:d} s, {urgent:d} urgent and {bulk:d} bulk calls of {work:d}"
    ' ms are sent to "{service}" each second'
)
def step_overload(context, seconds, urgent, bulk, work, service):
    def send(path, deadline_ms, per_second):
        options = {"path": path, "deadline_ms": deadline_ms}
        call = make_sender(context, service, work, **options)
        return send_at_rate(call, per_second=per_second, seconds=seconds)

    async def send_both(delays):
        probe = asyncio.ensure_future(probe_nodes(context.fleet, delays))
        outcomes = await asyncio.gather(
            send("/rights", 1_000, urgent), send("/packages/1", 2_000, bulk)
        )
        probe.cancel()
        return outcomes

    delays = {}
    context.urgent, context.bulk = context.run(send_both(delays))
    context.delay_s = sum(delays.values())


@then("every call is answered within {limit:d} ms")
def step_answered(context, limit):
    for outcome in context.outcomes:
        assert outcome.verdict, outcome
        assert outcome.elapsed_s <= limit / 1000, outcome


@then(
    "every urgent call is served within {limit:d} ms plus the response delay of"
    " the nodes"
)
def step_urgent(context, limit):
    for outcome in context.urgent:
        assert outcome.verdict == "ran", outcome
        assert outcome.elapsed_s <= limit / 1000 + context.delay_s, (
            outcome,
            context.delay_s,
        )


@then("the median urgent call is faster than the median served bulk call")
def step_faster(context):
    served = [each for each in context.bulk if each.verdict == "ran"]
    urgent, bulk = (
        statistics.median(each.elapsed_s for each in outcomes)
        for outcomes in (context.urgent, served)
    )
    assert urgent < bulk, (urgent, bulk)


@then("at least {count:d} bulk calls are served")
def step_bulk_served(context, count):
    served = [each for each in context.bulk if each.verdict == "ran"]
    assert len(served) >= count, len(served)


@then(
    "at least {count:d} bulk calls are refused as not run, with a Retry-After"
    " header"
)
def step_bulk_refused(context, count):
    refused = [
        each
        for each in context.bulk
        if each.verdict == "not-run" and "Retry-After" in each.headers
    ]
    assert len(refused) >= count, len(refused)


@then('the target of "{name}" has run at most {count:d} calls at a time')
def step_max_running(context, name, count):
    record = context.run(read_record(context.fleet, name))
    assert 0 < record["max_running"] <= count, record


@then('the target of "{name}" has had at most {count:d} connections at a time')
def step_max_connections(context, name, count):
    record = context.run(read_record(context.fleet, name))
    # The connection over which the record is read counts as well.
    assert record["max_connections"] <= count + 1, record


@when(
    '{count:d} calls of {work:d} ms run and {more:d} more wait at "{name}",'
    " and then {event}"
)
def step_fill_slots(context, count, work, more, name, event):
    fleet = context.fleet
    entry = next(node for node in fleet.nodes.values() if node.name != name)
    options = {
        "service": fleet.nodes[name].service,
        "path": "/read",
        "headers": {"X-Work-Ms": str(work)},
    }

    async def send(number, deadline_ms):
        loop = asyncio.get_running_loop()
        calls = [
            fleet.call(entry.name, deadline_ms=deadline_ms, **options)
            for _ in range(number)
        ]
        tasks = [loop.create_task(call) for call in calls]
        await asyncio.sleep(0.3)
        return tasks

    async def fill_slots():
        before = await read_record(fleet, name)
        running = await send(count, 4_000)
        queued = await send(more, 1_500)
        if "disconnect" in event:
            for task in queued:
                task.cancel()
        else:
            fleet.nodes[name].node.send(signal.SIGSTOP)
            await asyncio.sleep(1.6)
            fleet.nodes[name].node.send(signal.SIGCONT)
        await asyncio.gather(*running, *queued, return_exceptions=True)
        await asyncio.sleep(0.5)
        after = await read_record(fleet, name)
        return after["requests"] - before["requests"]

    context.reached = context.run(fill_slots())


@then('only the first {count:d} calls reached the target of "{name}"')
def step_reached(context, count, name):
    assert context.reached == count, context.reached


@then("every refusal has a reason that an owner gives")
def step_refusal_reasons(context):
    reasons = {
        each.reason for each in context.bulk if each.verdict == "not-run"
    }
    owner_reasons = {
        "queue-full",
        "cannot-meet-deadline",
        "evicted",
        "deadline-passed",
    }
    assert reasons and reasons <= owner_reasons, reasons


@given('the target of "{name}" {how} at the deadline')
def step_end_at_deadline(context, name, how):
    ends = how == "ends its work"
    set_target_faults(context, name, end_at_deadline=ends)


def read_status(context, name):
    node = context.fleet.nodes[name]
    return context.run(context.fleet.get(node.admin, "/status"))


@then('the status of "{name}" shows {count:d} abandoned calls')
def step_abandoned(context, name, count):
    status = read_status(context, name)
    assert status["abandoned"] == count, status["abandoned"]
    lines = read_metrics(context, name)
    assert f"guavawing_target_abandoned {count}" in lines, lines


@then('within {limit:g} s no call holds a slot at "{name}"')
def step_slots_free(context, limit, name):
    for _ in range(int(limit / POLL_S)):
        running = read_status(context, name)["load"]["running"]
        if running == 0:
            return
        context.run(asyncio.sleep(POLL_S))
    raise AssertionError(running)
