"""Steps that read the logs, probes and metrics of nodes."""

import time

import orjson
from behave import then, when

from standins.caller import send_call

LOG_WAIT_S = 5.0


def read_records(context, node):
    path = context.fleet.folder / f"{node}.log"
    return [orjson.loads(line) for line in path.read_bytes().splitlines()]


def wait_for_record(context, node, matches, timeout_s=LOG_WAIT_S):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if any(matches(record) for record in read_records(context, node)):
            return
        time.sleep(0.05)
    raise AssertionError(read_records(context, node)[-20:])


@when('call "{call_id}" reads "{service}" through "{node}"')
def step_read_as(context, call_id, service, node):
    headers = {"Guavawing-Call-Id": call_id}
    fleet = context.fleet
    address = fleet.nodes[node].caller
    outcome = context.run(
        send_call(fleet.session, address, service=service, headers=headers)
    )
    assert outcome.verdict == "ran", outcome
    assert outcome.headers["Guavawing-Call-Id"] == call_id


@then('the log of "{node}" has a record "{kind}" of call "{call_id}"')
def step_record(context, node, kind, call_id):
    def matches(record):
        found = (record.get("message_type"), record.get("call_id"))
        return found == (kind, call_id)

    wait_for_record(context, node, matches)


@then('the log of "{node}" has an action "{kind}" that succeeded')
def step_action(context, node, kind):
    def matches(record):
        found = (record.get("action_type"), record.get("action_status"))
        return found == (kind, "succeeded")

    wait_for_record(context, node, matches)


@then('no log holds "{text}"')
def step_not_logged(context, text):
    paths = list(context.fleet.folder.glob("*.log"))
    assert paths
    for path in paths:
        assert text not in path.read_text(), path


@when('"{node}" is drained by the command line')
def step_drain(context, node):
    run_drain(context, "drain", node)


@when('"{node}" is given work again by the command line')
def step_undrain(context, node):
    run_drain(context, "undrain", node)


def run_drain(context, command, node):
    admin = context.fleet.nodes[node].admin
    code, _, err = context.run(context.fleet.run_cli(command, "--node", admin))
    assert code == 0, err


@then('"{node}" answers "{path}" with status {status:d}')
def step_probe(context, node, path, status):
    async def probe():
        url = f"http://{context.fleet.nodes[node].admin}{path}"
        async with context.fleet.session.get(url) as resp:
            return resp.status

    found = context.run(probe())
    assert found == status, found


def read_metrics(context, node):
    async def read():
        url = f"http://{context.fleet.nodes[node].admin}/metrics"
        async with context.fleet.session.get(url) as resp:
            return await resp.text()

    return context.run(read()).splitlines()


@then('within {seconds:d} s the log of "{node}" tells the death of "{name}"')
def step_death(context, seconds, node, name):
    wait_for_record(
        context,
        node,
        lambda record: (
            record.get("message_type") == "death" and record["node"] == name
        ),
        seconds,
    )


@then('every gauge of "{node}" has a value')
def step_gauges(context, node):
    lines = read_metrics(context, node)
    gauges = {
        line.split(" ")[2]
        for line in lines
        if line.startswith("# TYPE ") and line.endswith(" gauge")
    }
    assert "guavawing_target_running" in gauges, gauges
    valued = {
        line.partition("{")[0].partition(" ")[0]
        for line in lines
        if not line.startswith("#")
    }
    assert gauges <= valued, gauges - valued


@then('every series of "{node}" has a help text and a type')
def step_metrics(context, node):
    lines = read_metrics(context, node)
    told = {"HELP": set(), "TYPE": set()}
    series = set()
    for line in lines:
        if line.startswith("# "):
            _, kind, name, text = line.split(" ", 3)
            assert text.strip(), line
            told[kind].add(name)
        elif line:
            series.add(line.partition("{")[0].partition(" ")[0])
    assert "guavawing_config_version" in series, series
    assert series <= told["HELP"] & told["TYPE"], series
