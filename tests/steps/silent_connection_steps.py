"""Steps about a fleet whose connections to the store fall silent."""

import asyncio

from behave import given, then, when

from standins.vm_fleet import STORE_ZONE, open_vm_fleet
from tests.sidecar_support import send_request, wait_for
from tests.support import open_in_scenario

# Time in which a fleet starts and serves its first version, in seconds.
START_S = 30.0


@given("VMs of two data centres behind a relay")
def step_fleet(context):
    plan = [
        (row["vm"], row["data centre"], row["service"]) for row in context.table
    ]
    context.vms = open_in_scenario(context, open_vm_fleet(plan, relayed=True))


async def wait_for_probe(context, version, seconds):
    async def is_served():
        answers = await asyncio.gather(
            *(
                send_request(context, vm, f"/since-{version}/ok")
                for vm in context.vms.vms.values()
            )
        )
        context.statuses = [status for status, _, _ in answers]
        return set(context.statuses) == {200}

    await wait_for(seconds, is_served, lambda: context.statuses)


@given("all VMs serve the probe of version {version:d} after their start")
def step_probe(context, version):
    context.vms.publish_probe(version)
    context.run(wait_for_probe(context, version, START_S))


@when(
    "all connections to the store fall silent {seconds:g} s after version"
    " {version:d} is published"
)
def step_silence(context, seconds, version):
    async def silence():
        context.vms.publish_probe(version)
        await asyncio.sleep(seconds)
        context.vms.relay.silence_connections(STORE_ZONE)

    context.run(silence())


@when("version {version:d} is published {seconds:g} s later")
def step_publish(context, version, seconds):
    async def publish():
        await asyncio.sleep(seconds)
        context.vms.publish_probe(version)

    context.run(publish())


@then("all VMs serve the probe of version {version:d} within {seconds:g} s")
def step_served(context, version, seconds):
    context.run(wait_for_probe(context, version, seconds))
