"""Steps that wait for a version at many nodes in one process."""

import orjson
from behave import given, then, when

from standins.status_nodes import VERSION, StatusNodes, open_status_nodes
from tests.steps.cli_steps import invoke
from tests.support import open_in_scenario

KINDS = ("in_force", "behind", "unreachable", "unreached")


@given("{count:d} nodes of which {silent:d} never answer")
def step_nodes(context, count, silent):
    open_nodes(context, count, silent)


@given("{count:d} nodes that answer only the second request")
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
    invoke(context, [*words, "--output", "json"])
    nodes_by_state = orjson.loads(context.result.stdout)
    context.nodes_by_state = [nodes_by_state[kind] for kind in KINDS]


@then(
    "{enforcing:d} nodes enforce it, {silent:d} don't answer and {rest:d} were"
    " not reached"
)
def step_nodes_by_state(context, enforcing, silent, rest):
    sizes = [len(names) for names in context.nodes_by_state]
    assert sizes == [enforcing, 0, silent, rest], sizes


@then("{count:d} list of the fleet was requested")
def step_lists(context, count):
    assert context.nodes.member_list_requests == count, (
        context.nodes.member_list_requests
    )


@then("every node is listed once, and some were not reached")
def step_named(context):
    named = [name for names in context.nodes_by_state for name in names]
    assert len(named) == len({*named}) == context.count, len(named)
    assert context.nodes_by_state[-1], context.nodes_by_state
