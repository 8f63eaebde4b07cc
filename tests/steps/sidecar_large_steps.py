"""Steps with large answers of targets."""

import asyncio
import itertools

from behave import given, then, when

from standins.vm_target import BODY, make_large_body
from tests.sidecar_support import ask, find

_ids = itertools.count(1)
HEAD_START_S = 0.02


async def ask_checked(context, vm, path):
    """Returns what is wrong with the answer, if anything."""
    request_id = f"large-{next(_ids)}"
    status, _, body = await ask(context, vm, path, request_id=request_id)
    large = path.endswith("/large")
    expected = make_large_body(request_id) if large else BODY
    if (status, body) == (200, expected):
        return None
    return request_id, status, len(body), body[:80]


@when(
    'clients on all VMs ask for {large:d} large answers of "{path}" and for'
    " {small:d} small ones"
)
def step_ask_mixed(context, large, path, small):
    vms = itertools.cycle(context.vms.vms.values())
    paths = [path] * large + [path.replace("/large", "/ok")] * small

    async def run():
        calls = [ask_checked(context, next(vms), each) for each in paths]
        return await asyncio.gather(*calls)

    context.wrong = context.run(run())


@given(
    'clients on "{name}" ask for {count:d} large answers of "{path}" and go on'
)
def step_ask_on(context, name, count, path):
    async def run():
        vm = find(context, name)
        calls = [ask_checked(context, vm, path) for _ in range(count)]
        context.asking = asyncio.gather(*calls)
        await asyncio.sleep(HEAD_START_S)

    context.run(run())
    context.wrong = None


@then("each gets the whole of its own answer")
def step_whole(context):
    if context.wrong is None:

        async def wait():
            return await context.asking

        context.wrong = context.run(wait())
    assert not any(context.wrong), [each for each in context.wrong if each]
