"""Steps that drain and stop nodes under load."""

import asyncio
import itertools
import signal

from behave import given, then, when

from standins.load import Load, count_by_key
from standins.records import count_executions, read_record
from standins.target import make_answer

STOP_LIMIT_S = 20.0
SLOW_READER_S = 3.0


async def count_requests(fleet, name, seconds):
    """Returns a target's requests before and after some seconds."""
    before = await read_record(fleet, name)
    await asyncio.sleep(seconds)
    after = await read_record(fleet, name)
    return before["requests"], after["requests"]


async def restart(fleet, node):
    node.node.send(signal.SIGTERM)
    code = await node.node.wait(STOP_LIMIT_S)
    await start_again(fleet, node)
    return code


async def start_again(fleet, node):
    await fleet.start_node(node.name)
    await fleet.wait_for_http(node.admin, "/readyz")
    assert await fleet.wait_for_serving(len(fleet.nodes))


# The last one is tried first; the first one matches its texts too.
@given('callers send {rate:d} calls of {work:d} ms a second to "{service}"')
@given(
    'callers send {rate:d} calls of {work:d} ms a second to "{service}" through'
    ' "{through}"'
)
def step_load(context, rate, work, service, through=""):
    load = Load(context.fleet, service, rate, work, through)
    context.load = load
    context.add_cleanup(lambda: setattr(load, "stopped", True))
    context.load_result = asyncio.run_coroutine_threadsafe(
        load.run(), context.loop
    )
    context.run(asyncio.sleep(1.0))


@when('an operator drains "{name}"')
def step_drain(context, name):
    run_command(context, "drain", name)


@when('an operator ends the drain of "{name}"')
def step_undrain(context, name):
    run_command(context, "undrain", name)


def run_command(context, command, name):
    admin = context.fleet.nodes[name].admin
    code, out, err = context.run(
        context.fleet.run_cli(command, "--node", admin)
    )
    assert code == 0, (out, err)


@then(
    'after {wait:g} s the target of "{name}" gets no new work for {quiet:g} s'
)
def step_no_work(context, wait, name, quiet):
    context.run(asyncio.sleep(wait))
    before, after = context.run(count_requests(context.fleet, name, quiet))
    assert 0 < before == after, (before, after)


@then('within {limit:g} s the target of "{name}" gets new work')
def step_new_work(context, limit, name):
    before, after = context.run(count_requests(context.fleet, name, limit))
    assert after > before, (before, after)


@then("when the callers stop every call was run once")
def step_all_run(context):
    context.load.stopped = True
    calls = context.load_result.result()
    last = [sendings[-1].outcome for sendings in calls]
    lost = [outcome for outcome in last if outcome.verdict != "ran"]
    assert not lost, (len(lost), len(last), lost[:3])
    executions = context.run(count_executions(context.fleet))
    counts = count_by_key(list(itertools.chain(*calls)), executions)
    assert counts and set(counts.values()) == {1}, counts


@when(
    '{count:d} calls of {work:d} ms to "{service}" run and "{name}" gets'
    " SIGTERM"
)
def step_stop_under_calls(context, count, work, service, name):
    fleet = context.fleet
    others = [node for node in fleet.nodes.values() if node.name != name]
    entries = [*(node.name for node in others[:2]), name]

    async def send():
        calls = [
            fleet.call(
                entries[number % len(entries)],
                service=service,
                path="/read",
                headers={"X-Work-Ms": str(work)},
            )
            for number in range(count)
        ]
        tasks = [asyncio.ensure_future(call) for call in calls]
        await asyncio.sleep(0.5)
        fleet.nodes[name].node.send(signal.SIGTERM)
        return await asyncio.gather(*tasks)

    context.outcomes = context.run(send())


@then("every one of these calls is run")
def step_these_run(context):
    verdicts = [outcome.verdict for outcome in context.outcomes]
    assert verdicts and set(verdicts) == {"ran"}, context.outcomes


@when(
    'a caller reads {count:d} bytes slowly through "{name}", which gets SIGTERM'
)
def step_slow_reader(context, count, name):
    fleet = context.fleet
    node = fleet.nodes[name]
    headers = {
        "Guavawing-Service": "desk",
        "Guavawing-Deadline-Ms": "5000",
        "X-Answer-Bytes": str(count),
        "X-Seed": "slow",
    }

    async def read():
        url = f"http://{node.caller}/read"
        async with fleet.session.get(url, headers=headers) as resp:
            await asyncio.sleep(0.5)
            node.node.send(signal.SIGTERM)
            await asyncio.sleep(SLOW_READER_S)
            return await resp.read()

    context.body = context.run(read())
    assert context.body == make_answer(b"slow", count), len(context.body)


@then('"{name}" ends with exit code {code:d}')
def step_ends(context, name, code):
    node = context.fleet.nodes[name].node
    assert context.run(node.wait(STOP_LIMIT_S)) == code


@when('"{name}" is started again')
@then('"{name}" is started again')
def step_started_again(context, name):
    fleet = context.fleet
    context.run(start_again(fleet, fleet.nodes[name]))


@when("every node is restarted in turn")
def step_restart_all(context):
    async def restart_all():
        nodes = context.fleet.nodes.values()
        return [await restart(context.fleet, node) for node in nodes]

    context.codes = context.run(restart_all())


@then("every node ended with exit code {code:d}")
def step_codes(context, code):
    assert set(context.codes) == {code}, context.codes
