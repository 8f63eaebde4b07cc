"""Steps that cut, publish to and look at a fleet."""

import attrs
from behave import then, when

from standins.documents import make_newsroom_document
from tests.support import publish, read_newest


@when("every cut is healed")
def step_heal(context):
    context.fleet.relay.heal()


@when("a new version is published")
def step_publish_version(context):
    # The scenarios of a feature may share a fleet, but not `context.version`.
    base = context.run(read_newest(context.fleet))
    document = make_newsroom_document()
    changed = attrs.evolve(document.defaults, deadline_ms=10_000 + base)
    document = attrs.evolve(document, defaults=changed)
    context.run(publish(context.fleet, document, base=base))
    context.version = base + 1


@then("every node enforces the newest version within {seconds:g} s")
def step_in_force(context, seconds):
    behind = context.run(
        context.fleet.wait_for_version(context.version, timeout_s=seconds)
    )
    assert not behind, behind
