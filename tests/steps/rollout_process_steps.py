"""Steps with roll-outs by daemons beside targets."""

import asyncio
import itertools

import orjson
from behave import given, then, when

from standins.vm_fleet import open_vm_fleet
from tests.sidecar_support import send_request, wait_for
from tests.support import open_in_scenario

START_TIMEOUT_S = 15.0
# Time in which an announced state reaches all nodes, in seconds.
ANNOUNCED_S = 0.5
WATCHED_S = 1.5
_ids = itertools.count(1)


@given("VMs with targets of two releases")
def step_vms(context):
    plan = [(r["vm"], r["data centre"], r["service"]) for r in context.table]
    releases = {r["vm"]: r["release"] for r in context.table}
    context.vms = open_in_scenario(
        context, open_vm_fleet(plan, releases=releases)
    )

    async def is_serving():
        for vm in context.vms.vms.values():
            if not await context.vms.is_ready(vm):
                return False
            if (await send_request(context, vm, "/desk/safe/ok"))[0] != 200:
                return False
        return True

    logs = [vm.log for vm in context.vms.vms.values()]
    context.run(
        wait_for(
            START_TIMEOUT_S,
            is_serving,
            lambda: "\n".join(log.read_text()[-2000:] for log in logs),
        )
    )


@given('clients on all VMs send {per_s:d} requests a second to "{service}"')
def step_clients(context, per_s, service):
    context.statuses, context.down, context.faulty = [], set(), ""

    async def send(vm):
        status, *_ = await send_request(
            context, vm, f"/{service}/safe/ok", request_id=f"l{next(_ids)}"
        )
        if vm.name not in context.down:
            context.statuses.append(status)

    async def offer():
        tasks = set()
        vms = list(context.vms.vms.values())
        for vm in itertools.cycle(vms):
            if vm.name not in context.down:
                task = asyncio.get_running_loop().create_task(send(vm))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / per_s)

    async def start():
        return asyncio.get_running_loop().create_task(offer())

    task = context.run(start())
    context.add_cleanup(lambda: context.loop.call_soon_threadsafe(task.cancel))


@given('the targets of "{release}" fail all requests once it is ordered')
def step_faulty(context, release):
    # Here they serve before the order; on the platform they start after it.
    context.faulty, context.faulty_since = release, None


@when(
    'a roll-out of "{service}" to "{release}" within {seconds:g} s is ordered'
)
def step_ordered(context, service, release, seconds):
    for vm in context.vms.vms.values():
        vm.target.executions.clear()
    context.service = service
    order = {"service": service, "to": release, "durationS": seconds}
    context.ordered_at = context.loop.time()
    context.vms.store.tables.put(
        "op", f"rollout/{service}", orjson.dumps(order)
    )

    async def is_running():
        return read_status(context).get("state") == "running"

    async def begin_fault():
        await wait_for(5.0, is_running, lambda: describe(context))
        before = count_executions(context, release, service)
        await asyncio.sleep(ANNOUNCED_S)
        after = count_executions(context, release, service)
        assert before == after, (before, after, describe(context))
        for vm in context.vms.vms.values():
            vm.target.faulty = vm.release == context.faulty
        context.faulty_since = context.loop.time()

    if context.faulty:
        context.run(begin_fault())


def read_status(context):
    value = context.vms.store.tables.get("status", f"rollout/{context.service}")
    return {} if value is None else orjson.loads(value)


def describe(context):
    """Returns the log lines of roll-outs, for a failure."""
    lines = [
        line
        for vm in context.vms.vms.values()
        for line in vm.log.read_text().splitlines()
        if "rollout" in line or "Traceback" in line
    ]
    return f"{read_status(context)}\n" + "\n".join(lines)


async def wait_for_share(context):
    async def is_raised():
        return read_status(context).get("plan", {}).get("share", 0) > 0

    await wait_for(10.0, is_raised, lambda: describe(context))


@when("the node that decides is killed as soon as the share is raised")
def step_killed(context):
    async def kill():
        await wait_for_share(context)
        context.decider = read_status(context)["plan"]["decider"]
        for vm in context.vms.vms.values():
            if vm.host == context.decider:
                context.down.add(vm.name)
                await vm.process.kill()
                context.killed = vm

    context.run(kill())


@when("it is started again after {seconds:g} s")
def step_started(context, seconds):
    async def start():
        await asyncio.sleep(seconds)
        await context.vms.start(context.killed)

    context.run(start())


@when("the store is unavailable as soon as the share is raised")
def step_store_away(context):
    async def stop():
        await wait_for_share(context)
        context.vms.store.faults.down = True

    context.run(stop())


@when("the store is available again")
def step_store_back(context):
    context.vms.store.faults.down = False


@then('its status is "{state}" within {seconds:g} s')
def step_status(context, state, seconds):
    async def has_ended():
        return read_status(context).get("state") == state

    left_s = context.ordered_at + seconds - context.loop.time()
    if context.vms.store.faults.down or left_s < 1.0:
        left_s = seconds
    context.run(wait_for(left_s, has_ended, lambda: describe(context)))


def count_executions(context, release, service, *, since=0.0):
    return sum(
        execution.at >= since
        for vm in context.vms.vms.values()
        if vm.release == release and vm.service == service
        for execution in vm.target.executions
    )


def check_none_executed(context, release, service):
    async def watch():
        await asyncio.sleep(ANNOUNCED_S)
        before = count_executions(context, release, service)
        await asyncio.sleep(WATCHED_S)
        after = count_executions(context, release, service)
        assert before == after, (before, after, describe(context))

    context.run(watch())


@then('from then on no target of "{release}" of "{service}" executes a request')
def step_none_executed(context, release, service):
    running = [
        vm.name
        for vm in context.vms.vms.values()
        if vm.release == release and vm.service == service
        and read_status(context)["state"] == "completed"
        and vm.target.running
    ]  # fmt: skip
    assert not running, running
    check_none_executed(context, release, service)


@then(
    '{seconds:g} s later no target of "{release}" of "{service}" executes a'
    " request"
)
def step_none_later(context, seconds, release, service):
    context.run(asyncio.sleep(seconds))
    check_none_executed(context, release, service)


@then(
    'the targets of "{release}" have executed at most {count:d} requests since'
    " they fail"
)
def step_exposure(context, release, count):
    found = count_executions(
        context, release, context.service, since=context.faulty_since
    )
    assert 0 < found <= count, (found, describe(context))


@then("all requests were answered with 200")
def step_all_served(context):
    others = [status for status in context.statuses if status != 200]
    assert context.statuses
    assert not others, (len(context.statuses), others, describe(context))


@then("another node has decided")
def step_other_decider(context):
    decider = read_status(context)["plan"]["decider"]
    assert decider != context.decider, describe(context)
