"""Steps about the client of admin servers, on a paused clock."""

import asyncio
import contextlib
from unittest import mock

from behave import given, then, when

from guavawing.cli import node_client
from guavawing.errors import ControlError
from guavawing.model import parse_address
from standins.simulated_time_loop import open_simulated_time_loop

ADDRESS = parse_address("10.0.0.7:80")
ANSWER_S = 60.0


@given("a fleet of {count:d} nodes that never answer and hide a cancellation")
def step_fleet(context, count):
    members = [
        {"node": f"n{number}", "state": "alive", "admin": str(ADDRESS)}
        for number in range(count)
    ]
    context.members = {member["node"] for member in members}

    async def read_status(session, node, *, members_of=members, members):
        if members:
            return {"version": 1, "members": members_of}
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(ANSWER_S)
        raise ControlError(f"node {node} did not answer")

    patch = mock.patch.object(node_client, "_read_status", read_status)
    patch.start()
    context.add_cleanup(patch.stop)


@when("their statuses are requested for at most {seconds:g} s")
def step_request(context, seconds):
    async def collect():
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        fleet = await node_client.collect_statuses(ADDRESS, until=until)
        return fleet, loop.time()

    with open_simulated_time_loop() as loop:
        context.fleet, context.ended_at = loop.run_until_complete(collect())


@then("the result is there after {seconds:g} s")
def step_ended(context, seconds):
    assert context.ended_at == seconds, context.ended_at


@then("every node counts as silent or as not reached")
def step_all_counted(context):
    silent, unreached = context.fleet.silent, context.fleet.unreached
    assert not context.fleet.answers
    assert {*silent, *unreached} == context.members
    assert len(silent) + len(unreached) == len(context.members)
