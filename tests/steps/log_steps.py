"""Steps that read the logs, probes and metrics of nodes."""

from behave import then, when

from tests.fleet_support import read_admin, read_log, wait_until
from tests.support import fetch, read_metrics, send


@when('call "{call_id}" reads "{service}" through "{node}"')
def step_read_as(context, call_id, service, node):
    headers = {"Guavawing-Call-Id": call_id}
    send(context, node, service=service, headers=headers)
    outcome = context.outcome
    assert outcome.verdict == "ran", outcome
    assert outcome.headers["Guavawing-Call-Id"] == call_id


@then(
    'within {seconds:g} s the log of "{node}" has a record with {fields:Json}'
)
def step_record(context, seconds, node, fields):
    path = context.fleet.folder / f"{node}.log"

    def holds():
        return any(fields.items() <= each.items() for each in read_log(path))

    wait_until(seconds, holds, lambda: read_log(path)[-20:])


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


def parse_metrics(context, node):
    """Returns help texts and types by name, and the names with a value."""
    comments = {"HELP": {}, "TYPE": {}}
    valued = set()
    for line in read_metrics(context, node):
        if line.startswith("# "):
            _, kind, name, text = line.split(" ", 3)
            comments[kind][name] = text.strip()
        elif line:
            valued.add(line.partition("{")[0].partition(" ")[0])
    return comments["HELP"], comments["TYPE"], valued


@then('every gauge of "{node}" has a value')
def step_gauges(context, node):
    _, types, valued = parse_metrics(context, node)
    gauges = {name for name, kind in types.items() if kind == "gauge"}
    assert "guavawing_target_running" in gauges, gauges
    assert gauges <= valued, gauges - valued


@then('every series of "{node}" has a help text and a type')
def step_metrics(context, node):
    helps, types, valued = parse_metrics(context, node)
    assert all(helps.values()) and all(types.values()), (helps, types)
    assert "guavawing_config_version" in valued, valued
    assert valued <= helps.keys() & types.keys(), valued


@then('the status of "{node}" at "{path}" lists {what}')
def step_lists_members(context, node, path, what):
    status = read_admin(context, node, path)
    assert ("members" in status) == (what == "members"), status
