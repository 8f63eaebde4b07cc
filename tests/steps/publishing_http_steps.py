"""Steps that publish through the platform stand-in over HTTP."""

import asyncio
import contextlib

from aiohttp import web
from behave import given, then, when

from guavawing.model import Address
from guavawing.platform import fetch_head, fetch_history
from guavawing.platform.client import open_platform
from standins.platform import Faults, PlatformStandIn
from tests.steps.publishing_steps import attempt, submit

TIMEOUT_S = 1.0


@contextlib.asynccontextmanager
async def open_stand_in(standin):
    runner = web.AppRunner(
        standin.build_app(), access_log=None, shutdown_timeout=0.1
    )
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield Address(*runner.addresses[0][:2])
    finally:
        await runner.cleanup()


@given("a platform")
def step_platform(context):
    context.standin = PlatformStandIn()
    manager = open_stand_in(context.standin)
    context.platform = context.run(manager.__aenter__())
    context.add_cleanup(
        lambda: context.run(manager.__aexit__(None, None, None))
    )


@given("the platform has the faults {faults:Json}")
def step_set_faults(context, faults):
    context.standin.faults = Faults(**faults)


@when("the platform has no faults")
def step_no_faults(context):
    context.standin.faults = Faults()


@when('change "{change}" is published over HTTP')
def step_publish(context, change):
    context.told = context.run(publish(context.platform, change, 0))


async def publish(address, change, base):
    async with open_platform(address, timeout_s=TIMEOUT_S) as platform:
        return await attempt(submit(platform, change, base=base))


async def publish_until_accepted(address, change):
    async with open_platform(address) as platform:
        while True:
            base = (await fetch_head(platform)).version
            told = await attempt(submit(platform, change, base=base))
            if told.startswith("accepted"):
                return told
            assert told.startswith("conflict"), told


async def read_changes(address):
    async with open_platform(address) as platform:
        changes = await fetch_history(platform, limit=1000)
        return [change.change_id for change in reversed(changes)]


@then('the platform\'s history is "{changes}"')
def step_history(context, changes):
    held = context.run(read_changes(context.platform))
    assert held == changes.split(), held


@when("{count:d} operators publish over HTTP from version 0")
def step_race(context, count):
    async def race():
        names = [f"change-{index}" for index in range(count)]
        told = await asyncio.gather(
            *(publish(context.platform, name, 0) for name in names)
        )
        return dict(zip(names, told, strict=True))

    context.answers = context.run(race())


@then(
    "{accepted:d} change is accepted and {conflicts:d} conflicts name it over"
    " HTTP"
)
def step_race_end(context, accepted, conflicts):
    (winner,) = context.run(read_changes(context.platform))
    assert context.answers.pop(winner) == "accepted 1", context.answers
    told = list(context.answers.values())
    assert told == [f"conflict {winner} 1"] * conflicts, told


@when("{count:d} operators publish over HTTP until accepted")
def step_many(context, count):
    async def publish_all():
        context.names = [f"change-{index}" for index in range(count)]
        await asyncio.gather(
            *(
                publish_until_accepted(context.platform, name)
                for name in context.names
            )
        )

    context.run(publish_all())


@then("the platform's history holds the {count:d} changes once each")
def step_all_once(context, count):
    held = context.run(read_changes(context.platform))
    assert sorted(held) == sorted(context.names), held
