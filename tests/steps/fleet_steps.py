"""Steps that publish to a fleet and check the versions of its nodes."""

import attrs
from behave import step, then, when

from guavawing.model import parse_address
from standins.documents import make_newsroom_document
from tests.fleet_support import read_statuses, wait_until
from tests.support import publish, read_newest_version


@when("a new version is published")
def step_publish_version(context):
    # The scenarios of a feature may share a fleet, but not `context.version`.
    base = context.run(read_newest_version(context.fleet))
    document = make_newsroom_document()
    changed = attrs.evolve(document.defaults, deadline_ms=10_000 + base)
    document = attrs.evolve(document, defaults=changed)
    context.run(publish(context.fleet, document, base=base))
    context.version = base + 1


@then(
    'the nodes {place} "{data_centre}" enforce the {version} version within'
    " 19 s"
)
def step_data_centre_in_force(context, place, data_centre, version):
    names = [
        name
        for name, node in context.fleet.nodes.items()
        if (node.data_centre == data_centre) == (place == "in")
    ]
    number = context.version - (version == "previous")
    behind = context.run(context.fleet.wait_for_version(number, names))
    assert not behind, behind
    if version == "previous":
        found = read_versions(context)
        assert {found[name] for name in names} == {number}, found


@step("every node enforces the newest version within {seconds:g} s")
def step_in_force(context, seconds):
    wait = context.fleet.wait_for_version(context.version, timeout_s=seconds)
    behind = context.run(wait)
    assert not behind, behind


@step("one node enforces the newest version within {seconds:g} s")
def step_one_in_force(context, seconds):
    def holds():
        return context.version in read_versions(context).values()

    wait_until(seconds, holds, lambda: read_versions(context))


def read_versions(context):
    statuses = read_statuses(context)
    return {name: status["version"] for name, status in statuses.items()}


@when("{count:d} operators publish concurrently to the platform of the fleet")
def step_concurrent_operators(context, count):
    context.platform = parse_address(context.fleet.platform)
    context.execute_steps(
        f"When {count} operators retry their publishes until accepted"
    )
    context.version = context.run(read_newest_version(context.fleet))
    assert context.version == count + 1, context.version
