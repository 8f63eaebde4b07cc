"""Hooks of behave: event loop and fleets of processes."""

import asyncio
import threading

from standins.cluster import open_fleet, plan_fleet
from standins.documents import make_newsroom_document
from tests.support import open_in_scenario, publish

DATA_CENTRES = ("bergen", "voss", "floro")
SERVICES = ("desk", "feed")
# Records of calls that a failed step prints of each node.
PRINTED_RECORDS = 20


def start_event_loop(context):
    """Starts an event loop in a thread of its own.

    Relays and background tasks continue to run between steps. Steps run
    coroutines with `context.run`.
    """
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()

    def run(coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result()

    def stop():
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()

    context.loop = loop
    context.run = run
    context.add_cleanup(stop)


def start_fleet(context, tags):
    """Starts a fleet and waits until its first version is in force.

    Tags: `@data_centres.N`, `@copies.N` (nodes a service and data centre),
    `@relayed` (a relay between data centres), `@log_level.NAME`, `@seeds.N`
    (nodes named as seeds in the settings).
    """
    plans = plan_fleet(
        data_centres=DATA_CENTRES[: read_tag(tags, "data_centres", 2)],
        services=SERVICES,
        copies=read_tag(tags, "copies", 1),
    )
    manager = open_fleet(
        plans,
        relayed="relayed" in tags,
        log_level=read_tag(tags, "log_level", "info"),
        seeds=read_tag(tags, "seeds", 3),
    )
    fleet = open_in_scenario(context, manager)
    context.fleet = fleet
    # Names of the nodes that a step has stopped.
    context.down = set()
    context.run(publish(fleet, make_newsroom_document(), base=0))
    behind = context.run(fleet.wait_for_version(1))
    assert not behind, f"nodes behind: {behind}"
    assert context.run(fleet.wait_for_serving(len(fleet.nodes)))


def read_tag(tags, name, default):
    """Returns the value of the tag `name.VALUE`, as the type of the default."""
    for tag in tags:
        if tag.startswith(f"{name}."):
            return type(default)(tag.rpartition(".")[2])
    return default


def before_feature(context, feature):
    start_event_loop(context)
    if "shared_fleet" in feature.tags:
        start_fleet(context, feature.tags)


def print_call_logs(context):
    """Prints the last records of calls at each node of the fleet."""
    for name in context.fleet.nodes:
        log = context.fleet.folder / f"{name}.log"
        if log.exists():
            records = [
                line
                for line in log.read_text().splitlines()
                if '"call_id"' in line
            ]
            print(name, *records[-PRINTED_RECORDS:], sep="\n")


def after_step(context, step):
    if step.status.has_failed() and "fleet" in context:
        print_call_logs(context)


def before_scenario(context, scenario):
    if "own_fleet" in scenario.effective_tags:
        start_fleet(context, scenario.effective_tags)
