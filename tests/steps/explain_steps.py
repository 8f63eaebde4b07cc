"""Steps about traces of requests in log lines and the rate of the lines."""

import asyncio
import pathlib

import orjson
from behave import given, then, when
from click.testing import CliRunner

from guavawing.cli.main import main
from guavawing.sidecar.decision_log import SAMPLE_ONE_IN, DecisionLog

RECORDED = pathlib.Path(__file__).parents[1] / "recorded"


@given("log lines")
def step_lines(context):
    context.lines = []
    for row in context.table:
        record = {
            "node": row["node"],
            "timestamp": float(row["at"]),
            "message_type": row["type"],
        }
        if row["request"]:
            record |= {"request": row["request"], "reason": row["reason"]}
        prefix = f"  {row['at']} {row['node']} "
        context.lines.append(prefix + orjson.dumps(record).decode())
    context.lines.append("no record at all")


def explain(context, request_id, *options):
    context.result = CliRunner().invoke(
        main,
        ["explain", request_id, "--output", "json", *options],
        input="\n".join(context.lines),
    )


@when('"{request_id}" is explained')
def step_explain(context, request_id):
    explain(context, request_id)


@when('"{request_id}" is explained with {seconds:g} s before')
def step_explain_before(context, request_id, seconds):
    explain(context, request_id, "--before", str(seconds))


@when('"{request_id}" is explained from "{name}" with "{options}"')
@when('"{request_id}" is explained from "{name}" with ""')
def step_explain_recorded(context, request_id, name, options=""):
    context.request_id = request_id
    context.result = CliRunner().invoke(
        main,
        [
            "explain",
            request_id,
            str(RECORDED / name),
            "--output",
            "json",
            *options.split(),
        ],
    )


@then('the trace contains "{kinds}" with "{details}"')
def step_contains(context, kinds, details):
    assert context.result.exit_code == 0, context.result.output
    trace = orjson.loads(context.result.output)
    found = [each["message_type"] for each in trace]
    wanted = kinds.split(", ")
    remaining = iter(found)
    assert all(kind in remaining for kind in wanted), found
    record = [each for each in trace if each.get("request")][-1]
    for pair in details.split():
        name, value = pair.split("=")
        assert str(record[name]) == value, record


@then('the trace is "{expected}"')
def step_trace(context, expected):
    assert context.result.exit_code == 0, context.result.output
    trace = orjson.loads(context.result.output)
    found = [f"{each['message_type']} {each['node']}" for each in trace]
    assert ", ".join(found) == expected, found


@then('the command exits with code {code:d} and prints "{text}"')
def step_exit(context, code, text):
    assert context.result.exit_code == code
    assert text in context.result.output, context.result.output


class RecordingLog(DecisionLog):
    """Records the request ids of lines instead of writing them."""

    def __init__(self, node):
        super().__init__(node=node)
        self.requests = []

    def event(self, kind, **fields):
        self.requests.append(fields["request"])


async def make_logs():
    return [RecordingLog(node) for node in ("a", "b")]


def log_all(context, count, *, notable):
    async def run():
        logs = await make_logs()
        for number in range(count):
            for log in logs:
                log.request("request-answered", b"%d" % number, notable=notable)
        return logs

    return asyncio.run_coroutine_threadsafe(run(), context.loop).result()


@then(
    "of {count:d} refused requests in a second at most {most:d} outside the"
    " sample are logged and the rest is counted"
)
def step_rate_limit(context, count, most):
    log, _ = log_all(context, count, notable=True)
    sampled = sum(log.is_sampled(b"%d" % number) for number in range(count))
    notable = len(log.requests) - sampled
    assert 0 < notable <= most, notable
    assert len(log.requests) + log.left_out == count


@then(
    "of {count:d} served requests one in {share:d} is logged, the same at each"
    " node"
)
def step_sampled(context, count, share):
    one, two = log_all(context, count, notable=False)
    assert share == SAMPLE_ONE_IN
    assert one.requests == two.requests
    assert 0.5 < len(one.requests) * share / count < 2, len(one.requests)
