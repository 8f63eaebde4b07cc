"""Steps that read the logs, probes and metrics of nodes."""

import time

import orjson
from behave import then, when

from tests.support import fetch, read_metrics, send

LOG_WAIT_S = 5.0


def wait_for_record(context, name, timeout_s=LOG_WAIT_S, /, **fields):
    """Waits until a log holds a record with these fields."""
    path = context.fleet.folder / f"{name}.log"
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        records = [
            orjson.loads(line) for line in path.read_bytes().splitlines()
        ]
        if any(fields.items() <= record.items() for record in records):
            return
        time.sleep(0.05)
    raise AssertionError(records[-20:])


@when('call "{call_id}" reads "{service}" through "{node}"')
def step_read_as(context, call_id, service, node):
    headers = {"Guavawing-Call-Id": call_id}
    send(context, node, service=service, headers=headers)
    outcome = context.outcome
    assert outcome.verdict == "ran", outcome
    assert outcome.headers["Guavawing-Call-Id"] == call_id


@then('the log of "{node}" has a record "{kind}" of call "{call_id}"')
def step_record(context, node, kind, call_id):
    wait_for_record(context, node, message_type=kind, call_id=call_id)


@then('the log of "{node}" has an action "{kind}" that succeeded')
def step_action(context, node, kind):
    wait_for_record(context, node, action_type=kind, action_status="succeeded")


@then('no log holds "{text}"')
def step_not_logged(context, text):
    paths = list(context.fleet.folder.glob("*.log"))
    assert paths
    for path in paths:
        assert text not in path.read_text(), path


@then('"{node}" answers "{path}" with status {status:d}')
def step_probe(context, node, path, status):
    url = f"http://{context.fleet.nodes[node].admin}{path}"
    found, _ = context.run(fetch(context, url))
    assert found == status, found


@then('within {seconds:d} s the log of "{node}" tells the death of "{name}"')
def step_death(context, seconds, node, name):
    wait_for_record(context, node, seconds, message_type="death", node=name)


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


@then('the status of "{node}" at "{path}" lists {what}')
def step_lists_members(context, node, path, what):
    url = f"http://{context.fleet.nodes[node].admin}{path}"
    _, text = context.run(fetch(context, url))
    assert ("members" in orjson.loads(text)) == (what == "members"), text
