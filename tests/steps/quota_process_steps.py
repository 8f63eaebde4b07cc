"""Steps with daemons beside targets, and quotas of a client account."""

import asyncio
import bisect
import collections
import signal

import aiohttp
from behave import given, then, when

from guavawing.traffic.quota_parts import Part, rank_hosts
from standins.vm_fleet import HOST_NAME, open_vm_fleet
from tests.sidecar_support import DEADLINE_MS
from tests.steps.account_process_steps import make_routes
from tests.steps.sidecar_steps import wait_until_serving
from tests.support import open_in_scenario

WINDOW_S, OVERAGE, ALLOWANCE = 5, 0.1, 20
# Time in which buckets of a fleet that has started fill, in seconds.
FILL_S = 2.0
ANSWER_TIMEOUT_S = 6.0
KEY = "key-one"


@given("VMs of two data centres with quotas")
def step_vms(context):
    plan = [(r["vm"], r["data centre"], r["service"]) for r in context.table]
    bounds = {
        "quotaWindowS": WINDOW_S,
        "quotaOverage": OVERAGE,
        "quotaSlack": ALLOWANCE,
    }
    context.vms = open_in_scenario(context, open_vm_fleet(plan, bounds=bounds))
    wait_until_serving(context, ["/desk/safe/ok"])


@given(
    "version 2 with an account of {rate:d} requests a second and a burst of"
    " {burst:d}"
)
def step_version(context, rate, burst):
    context.rate, context.burst = rate, burst
    account = {"apiKeys": [KEY], "ratePerS": rate, "burst": burst}
    context.vms.publish(2, routes=make_routes(2), tenants={"shop": account})


async def send_one(context, vm, request_id):
    headers = {
        "Host": HOST_NAME,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(DEADLINE_MS),
        "Authorization": f"Token {KEY}",
    }
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
    try:
        async with context.vms.http.get(
            vm.url + "/desk/safe/ok", headers=headers, timeout=timeout
        ) as resp:
            await resp.read()
            return resp.status, resp.headers.get("Retry-After")
    except (aiohttp.ClientError, TimeoutError):
        return 0, None


@when("clients on all VMs send {per_s:d} requests a second for {seconds:d} s")
def step_send(context, per_s, seconds):
    async def send_all():
        await asyncio.sleep(FILL_S)
        vms = list(context.vms.vms.values())
        loop = asyncio.get_running_loop()
        starts_at = loop.time()
        tasks = []
        for number in range(per_s * seconds):
            wait_s = starts_at + number / per_s - loop.time()
            await asyncio.sleep(max(0.0, wait_s))
            vm = vms[number % len(vms)]
            tasks.append(
                loop.create_task(send_one(context, vm, f"quota-{number}"))
            )
        return await asyncio.gather(*tasks)

    context.sending = context.run(start(send_all()))


async def start(coroutine):
    return asyncio.get_running_loop().create_task(coroutine)


@when(
    'after {after:d} s the holder of the quota in "{data_centre}" is {failure}'
    " for {seconds:d} s"
)
def step_fail(context, after, data_centre, failure, seconds):
    hosts = {
        vm.host: vm
        for vm in context.vms.vms.values()
        if vm.data_centre == data_centre
    }
    holder = hosts[rank_hosts(Part("shop", 0), hosts)[0]]

    async def fail():
        await asyncio.sleep(FILL_S + after)
        if failure == "killed":
            await holder.process.kill()
            await asyncio.sleep(seconds)
            await context.vms.start(holder)
        else:
            holder.process.send(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            holder.process.send(signal.SIGCONT)

    context.run(fail())


@then("no more run in any {window:d} s than the quota allows")
def step_within(context, window):
    context.results = context.run(finish(context.sending))
    times = sorted(
        execution.at
        for vm in context.vms.vms.values()
        for execution in vm.target.executions
        if execution.headers.get("x-tenant") == "shop"
    )
    most = max(
        bisect.bisect_right(times, at + window) - number
        for number, at in enumerate(times)
    )
    allowed = context.rate * window + context.burst
    assert most <= allowed * (1 + OVERAGE) + ALLOWANCE, most


async def finish(task):
    return await task


@then(
    "at least {least:d} are served, and all others get 429 with a Retry-After"
    " header"
)
def step_served_or_refused(context, least):
    step_served(context, least)
    for status, retry_after in context.results:
        assert status == 200 or (status == 429 and float(retry_after) > 0), (
            status,
            retry_after,
        )


@then("at least {least:d} are served")
def step_served(context, least):
    found = collections.Counter(status for status, _ in context.results)
    print(dict(found))
    assert found[200] >= least, found
