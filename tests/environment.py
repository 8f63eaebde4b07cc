"""Hooks of behave: event loop and fleets of processes."""

import asyncio

from behave import fixture, use_fixture

from standins.cluster import open_fleet, plan_fleet
from standins.documents import make_newsroom_document
from tests.support import publish

DATA_CENTRES = ("bergen", "voss", "floro")
SERVICES = ("desk", "feed")


@fixture
def event_loop(context):
    context.loop = asyncio.new_event_loop()
    yield context.loop
    context.loop.close()


@fixture
def fleet(context, tags):
    """A fleet with a first version; `@data_centres.N` and `@copies.N`."""
    centres = DATA_CENTRES[: read_number(tags, "data_centres", 2)]
    copies = read_number(tags, "copies", 1)
    plans = plan_fleet(data_centres=centres, services=SERVICES, copies=copies)
    manager = open_fleet(plans)
    run = context.loop.run_until_complete
    context.fleet = run(manager.__aenter__())
    context.version = 0
    try:
        if "unpublished" not in tags:
            run(publish(context.fleet, make_newsroom_document(), base=0))
            context.version = 1
            behind = run(context.fleet.wait_for_version(1))
            assert not behind, f"nodes behind: {behind}"
            count = len(context.fleet.nodes)
            assert run(context.fleet.wait_for_serving(count))
        yield context.fleet
    finally:
        run(manager.__aexit__(None, None, None))


def read_number(tags, name, default):
    for tag in tags:
        if tag.startswith(f"{name}."):
            return int(tag.rpartition(".")[2])
    return default


def before_feature(context, feature):
    use_fixture(event_loop, context)
    if "shared_fleet" in feature.tags:
        use_fixture(fleet, context, feature.tags)


def before_scenario(context, scenario):
    if "own_fleet" in scenario.effective_tags:
        use_fixture(fleet, context, scenario.effective_tags)
