"""Steps that wait for a version at many nodes in one process."""

import orjson
from behave import given, then, when
from click.testing import CliRunner

from guavawing.cli.main import main
from standins.status_nodes import VERSION, StatusNodes, open_status_nodes
from tests.steps.cli_steps import Result
from tests.support import open_in_scenario


@given("{count:d} nodes of which {silent:d} never answer")
def step_nodes(context, count, silent):
    open_nodes(context, count, silent)


@given("{count:d} nodes that answer when they are asked again")
def step_slow_nodes(context, count):
    open_nodes(context, count, silent=0, slow=True)


def open_nodes(context, count, silent, *, slow=False):
    context.count = count
    context.nodes = StatusNodes(count, silent, slow)
    manager = open_status_nodes(context.nodes)
    context.admin = open_in_scenario(context, manager)


@when("the operator waits for their version for {timeout:d} s")
def step_wait(context, timeout):
    options = ["--version", str(VERSION), "--timeout", str(timeout)]
    words = ["config", "wait", "--node", str(context.admin), *options]
    result = CliRunner().invoke(main, [*words, "--output", "json"])
    context.result = Result(result.exit_code, result.stdout, result.stderr)
    context.spread = orjson.loads(result.stdout)


@then(
    "{there:d} nodes enforce it, {silent:d} don't answer and {rest:d} were not"
    " reached"
)
def step_spread(context, there, silent, rest):
    names = ("in_force", "behind", "unreachable", "unreached")
    sizes = [len(context.spread[name]) for name in names]
    assert sizes == [there, 0, silent, rest], sizes


@then("{count:d} list of the fleet was asked for")
def step_lists(context, count):
    assert context.nodes.lists == count, context.nodes.lists


@then("every node is named once, and some were not reached")
def step_named(context):
    spread = context.spread
    named = [
        *spread["in_force"],
        *spread["behind"],
        *spread["unreachable"],
        *spread["unreached"],
    ]
    assert sorted(named) == sorted({*named})
    assert len(named) == context.count, len(named)
    assert spread["unreached"], spread
