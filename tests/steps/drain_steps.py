"""Steps that drain and stop nodes."""

import asyncio

from behave import given, then, when

from standins.records import read_record
from standins.target import make_answer
from tests.fleet_support import send_signal, start_nodes
from tests.steps.fresh_steps import start_fresh_callers

STOP_LIMIT_S = 20.0
SLOW_READER_S = 3.0


@given("every node runs and accepts calls")
def step_nodes_accept(context):
    """Undoes what a scenario that failed has left stopped or drained."""
    fleet = context.fleet
    stopped = sorted(context.down)
    for name in stopped:
        context.run(fleet.nodes[name].node.kill())
    start_nodes(context, stopped)
    for node in fleet.nodes.values():
        context.run(fleet.delete(node.admin, "/drain"))
    assert context.run(fleet.wait_for_serving(len(fleet.nodes)))


@when('an operator {command:w}s "{name}"')
def step_drain(context, command, name):
    admin = context.fleet.nodes[name].admin
    code, *output = context.run(context.fleet.run_cli(command, "--node", admin))
    assert code == 0, output


def count_requests(context, name, seconds):
    """Returns a target's requests before and after some seconds."""
    before = context.run(read_record(context.fleet, name))
    context.run(asyncio.sleep(seconds))
    after = context.run(read_record(context.fleet, name))
    return before["requests"], after["requests"]


@then('for {seconds:g} s the target of "{name}" receives no new calls')
def step_no_new_calls(context, seconds, name):
    before, after = count_requests(context, name, seconds)
    assert 0 < before == after, (before, after)


@then('within {limit:g} s the target of "{name}" receives new calls')
def step_new_calls(context, limit, name):
    before, after = count_requests(context, name, limit)
    assert after > before, (before, after)


@when(
    'a caller reads {count:d} bytes slowly through "{name}", which gets SIGTERM'
)
def step_slow_reader(context, count, name):
    headers = {
        "Guavawing-Service": "desk",
        "Guavawing-Deadline-Ms": "5000",
        "X-Answer-Bytes": str(count),
        "X-Seed": "slow",
    }

    async def read():
        url = f"http://{context.fleet.nodes[name].caller}/read"
        async with context.fleet.session.get(url, headers=headers) as resp:
            await asyncio.sleep(0.5)
            send_signal(context, name, "SIGTERM")
            await asyncio.sleep(SLOW_READER_S)
            return await resp.read()

    body = context.run(read())
    assert body == make_answer(b"slow", count), (len(body), body[:200])


@then('"{name}" exits with code {code:d}')
def step_exits(context, name, code):
    node = context.fleet.nodes[name].node
    assert context.run(node.wait(STOP_LIMIT_S)) == code


@when("every node is restarted in turn, and exits with code {code:d}")
def step_restart_all(context, code):
    fleet = context.fleet
    for name in fleet.nodes:
        send_signal(context, name, "SIGTERM")
        step_exits(context, name, code)
        start_nodes(context, [name], "/readyz")
        assert context.run(fleet.wait_for_serving(len(fleet.nodes)))


@given(
    'callers open a connection for each call of "{service}" through "{name}"'
)
def step_fresh_callers(context, service, name):
    host, port = context.fleet.nodes[name].caller.split(":")
    head = (
        f"GET /read HTTP/1.1\r\nHost: {host}\r\n"
        f"Guavawing-Service: {service}\r\nGuavawing-Deadline-Ms: 3000\r\n\r\n"
    )
    start_fresh_callers(context, host, int(port), head.encode())
