"""Steps about targets that name a limit or their departure in answers."""

import asyncio

from behave import given, then, when

from tests.sidecar_support import find_vm, send_request

# Time that a daemon takes to be started again after it was killed.
RESTART_S = 0.3


@given('target "{name}" names a limit of {limit} requests per second')
def step_limit(context, name, limit):
    find_vm(context, name).target.limit = limit


@given('target "{name}" states in its answers that it leaves')
def step_leaving(context, name):
    find_vm(context, name).target.leaving = "1"


@given('target "{name}" refuses with a Retry-After of "{value}"')
def step_retry_after(context, name, value):
    find_vm(context, name).target.retry_after = value


@then("it gets 503 with a Retry-After of {seconds:g} s")
def step_gets_retry_after(context, seconds):
    status, headers, _ = context.answer
    assert status == 503, context.answer
    assert float(headers["Retry-After"]) == seconds, headers


async def send_periodically(context, names, path, per_s, seconds):
    """Sends requests at a constant rate, alternating between VMs."""
    loop = asyncio.get_running_loop()
    vms = [find_vm(context, name) for name in names]
    context.started_at = loop.time()
    async with asyncio.TaskGroup() as tasks:
        sent = []
        for number in range(int(per_s * seconds)):
            await asyncio.sleep(
                context.started_at + number / per_s - loop.time()
            )
            call = send_request(context, vms[number % len(vms)], path)
            sent.append(tasks.create_task(call))
    return [task.result() for task in sent]


@when(
    'clients on "{names}" send "{path}" {per_s:d} times a second for'
    " {seconds:d} s"
)
def step_send(context, names, path, per_s, seconds):
    context.sending = asyncio.run_coroutine_threadsafe(
        send_periodically(context, names.split(), path, per_s, seconds),
        context.loop,
    )


@when('the daemon of "{name}" is killed after {seconds:g} s and started again')
def step_restart(context, name, seconds):
    vm = find_vm(context, name)

    async def restart():
        await asyncio.sleep(seconds)
        await vm.process.kill()
        await asyncio.sleep(RESTART_S)
        await context.vms.start(vm)

    context.run(restart())
    context.results = context.sending.result()


@when('target "{name}" {leaves}, and {which} are killed at the acknowledgement')
def step_leaves_and_kill(context, name, leaves, which):
    fleet, vm = context.vms, find_vm(context, name)
    loop = context.loop

    async def leave():
        await asyncio.sleep(1.0)
        vm.sends_heartbeats = False
        context.late = (vm, fleet.make_heartbeat(vm), loop.time())
        vm.target.healthy = False
        if leaves == "deregisters":
            assert await fleet.deregister(vm) == 200
        else:
            vm.draining = True
            assert await fleet.send_heartbeat(vm) == 200
        context.acked_at = loop.time()
        killed = fleet.vms.values() if which == "all daemons" else [vm]
        await asyncio.gather(*(each.process.kill() for each in killed))
        await asyncio.sleep(RESTART_S)
        for each in killed:
            await fleet.start(each)

    context.run(leave())


@when("a heartbeat from before arrives {seconds:g} s after it was sent")
def step_late_heartbeat(context, seconds):
    vm, heartbeat, sent_at = context.late

    async def arrive():
        await asyncio.sleep(sent_at + seconds - context.loop.time())
        assert await context.vms.send_heartbeat(vm, heartbeat) == 200

    context.run(arrive())
    context.results = context.sending.result()


@then(
    'target "{name}" got no request later than {seconds:g} s after the'
    " acknowledgement"
)
def step_none_after(context, name, seconds):
    executions = find_vm(context, name).target.executions
    assert executions, "the target got no request"
    late = [e.at - context.acked_at for e in executions]
    late = [round(at, 2) for at in late if at > seconds]
    assert not late, late


@then('target "{name}" got requests again within {seconds:g} s after {at:g} s')
def step_again(context, name, seconds, at):
    arrivals = list_arrivals(context, name)
    again = [each for each in arrivals if each > at + RESTART_S]
    assert again and again[0] <= at + seconds, arrivals


def list_arrivals(context, name):
    """Returns the times of requests at a target, since the first was sent."""
    executions = find_vm(context, name).target.executions
    arrivals = [each.at - context.started_at for each in executions]
    assert arrivals, "the target got no request"
    return arrivals


@then(
    'in each {window_s:g} s from {start:g} s on target "{name}" got at most'
    " {most:d} requests"
)
def step_windows(context, window_s, start, name, most):
    arrivals = [at for at in list_arrivals(context, name) if at >= start]
    for at in arrivals:
        count = sum(1 for each in arrivals if at <= each < at + window_s)
        assert count <= most, f"{count} requests from {at:.2f} s on"


@then(
    'target "{name}" got no request later than {seconds:g} s after its first'
    " answer"
)
def step_none_later(context, name, seconds):
    arrivals = list_arrivals(context, name)
    late = [at for at in arrivals if at > arrivals[0] + seconds]
    assert not late, late


@then("each that was refused got 503 with a Retry-After header")
def step_refused(context):
    statuses = {each[0] for each in context.results}
    # A daemon that is killed takes its connections and requests with it.
    assert statuses <= {0, 200, 502, 503}, statuses
    refused = [each for each in context.results if each[0] == 503]
    assert refused
    for _, headers, _ in refused:
        assert float(headers["Retry-After"]) > 0, headers
