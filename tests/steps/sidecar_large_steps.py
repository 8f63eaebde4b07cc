"""Steps with large answers of targets."""

import asyncio
import itertools

from behave import given, then, when

from standins.vm_target import BODY, make_large_body
from tests.sidecar_support import find_vm, send_request

_ids = itertools.count(1)
# Time in which clients send their requests before the next step, in seconds.
HEAD_START_S = 0.02


async def send_checked(context, vm, path):
    """Returns a description of an unexpected answer, or None."""
    request_id = f"large-{next(_ids)}"
    status, _, body = await send_request(
        context, vm, path, request_id=request_id
    )
    large = path.endswith("/large")
    expected = make_large_body(request_id) if large else BODY
    if (status, body) == (200, expected):
        return None
    return request_id, status, len(body), body[:80]


@when(
    'clients on all VMs request {large:d} large answers of "{path}" and'
    " {small:d} small ones"
)
def step_request_mixed(context, large, path, small):
    vms = itertools.cycle(context.vms.vms.values())
    paths = [path] * large + [path.replace("/large", "/ok")] * small

    async def run():
        calls = [send_checked(context, next(vms), each) for each in paths]
        return await asyncio.gather(*calls)

    context.unexpected = context.run(run())


@given(
    'clients on "{name}" request {count:d} large answers of "{path}" without'
    " waiting"
)
def step_request_concurrently(context, name, count, path):
    async def run():
        vm = find_vm(context, name)
        calls = [send_checked(context, vm, path) for _ in range(count)]
        context.pending = asyncio.gather(*calls)
        await asyncio.sleep(HEAD_START_S)

    context.run(run())
    context.unexpected = None


@then("each gets its own answer completely")
def step_whole(context):
    if context.unexpected is None:

        async def wait():
            return await context.pending

        context.unexpected = context.run(wait())
    assert not any(context.unexpected), [
        each for each in context.unexpected if each
    ]
