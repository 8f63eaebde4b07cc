"""Hooks of behave: event loop and fleets of processes."""

import asyncio
import threading

from behave import fixture, use_fixture

from standins.cluster import open_fleet, plan_fleet
from standins.documents import make_newsroom_document
from tests.support import publish

DATA_CENTRES = ("bergen", "voss", "floro")
SERVICES = ("desk", "feed")


@fixture
def event_loop(context):
    """An event loop in a thread of its own, so that relays go on working.

    Steps run coroutines with `context.run`.
    """
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()

    def run(coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result()

    context.loop = loop
    context.run = run
    yield loop
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


@fixture
def fleet(context, tags):
    """A fleet, by default with a first version in force.

    Tags: `@data_centres.N`, `@copies.N` (nodes a service and data centre),
    `@relayed` (a relay between data centres), `@unpublished`,
    `@log_level.NAME`, `@seeds.N` (nodes named as seeds in the settings).
    """
    centres = DATA_CENTRES[: read_number(tags, "data_centres", 2)]
    copies = read_number(tags, "copies", 1)
    plans = plan_fleet(data_centres=centres, services=SERVICES, copies=copies)
    manager = open_fleet(
        plans,
        relayed="relayed" in tags,
        log_level=read_word(tags, "log_level", "info"),
        seeds=read_number(tags, "seeds", 3),
    )
    run = context.run
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
    return int(read_word(tags, name, default))


def read_word(tags, name, default):
    for tag in tags:
        if tag.startswith(f"{name}."):
            return tag.rpartition(".")[2]
    return default


def before_feature(context, feature):
    use_fixture(event_loop, context)
    if "shared_fleet" in feature.tags:
        use_fixture(fleet, context, feature.tags)


def before_scenario(context, scenario):
    if "own_fleet" in scenario.effective_tags:
        use_fixture(fleet, context, scenario.effective_tags)
