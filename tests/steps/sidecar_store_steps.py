"""Steps with a failing store and daemons that restart."""

import asyncio
import itertools
import os
import pathlib

from behave import given, then, when

from guavawing.sidecar.membership import NODES_TABLE
from standins.vm_fleet import make_document
from tests.sidecar_support import (
    find_executions,
    find_vm,
    send_request,
    wait_for,
)

_ids = itertools.count(1)
# Time-out of a start in seconds, far above the time that it takes on a machine
# with five processes per core.
START_TIMEOUT_S = 30.0


@when('the store refuses the VM "{name}"')
def step_refuses(context, name):
    context.vms.store.faults.refused.add(find_vm(context, name).host)


@when("the store is unavailable")
def step_unavailable(context):
    context.vms.store.faults.down = True


@when("the store loses its history")
def step_history(context):
    context.vms.store.faults.history_lost = True


@given('a copy of the store without the rows of the VMs "{names}"')
def step_copy(context, names):
    context.copy = context.vms.store.tables.copy()
    for name in names.split():
        del context.copy.rows[NODES_TABLE, find_vm(context, name).host]


@when("the store is away for {seconds:g} s and comes back from the copy")
def step_restore(context, seconds):
    store = context.vms.store

    async def restore():
        store.faults.down = True
        await asyncio.sleep(seconds)
        store.tables.restore(context.copy)
        store.faults.down = False

    context.run(restore())


@when("{count:d} rows that nobody reads are written to it")
def step_other_rows(context, count):
    async def write():
        for number in range(count):
            context.vms.store.tables.put("other", str(number), b"{}")

    context.run(write())


@then("within {seconds:g} s the store has the rows of all VMs")
def step_has_rows(context, seconds):
    hosts = {vm.host for vm in context.vms.vms.values()}

    def find_missing():
        tables = context.vms.store.tables
        return {h for h in hosts if tables.get(NODES_TABLE, h) is None}

    async def are_written():
        return not find_missing()

    context.run(wait_for(seconds, are_written, find_missing))


@when('version {version:d} moves the routes of "{one}" to "{two}"')
def step_move(context, version, one, two):
    publish_moved(context, version, one, two)


@when("an older version {version:d} is written")
def step_older(context, version):
    publish_moved(context, version, "nothing", "feed")


def publish_moved(context, version, one, two):
    routes = make_document(version)["routes"]
    for route in routes.values():
        if route["service"] == one:
            route["service"] = two
    context.vms.publish(version, routes=routes)


@then(
    'within {seconds:g} s requests "{path}" on all VMs are executed by'
    ' "{service}"'
)
def step_executed_by(context, seconds, path, service):
    async def are_executed():
        for vm in context.vms.vms.values():
            request_id = f"moved-{next(_ids)}"
            await send_request(context, vm, path, request_id=request_id)
            found = {v.service for v, _ in find_executions(context, request_id)}
            if found != {service}:
                return False
        return True

    all_vms = context.vms.vms.values()
    context.run(
        wait_for(
            seconds,
            are_executed,
            lambda: [v.read_log()[-3:] for v in all_vms],
        )
    )


@when('the daemon of "{name}" is killed and started again')
def step_restart(context, name):
    restart(context, [name])


@when("all daemons are killed and started again")
def step_restart_all(context):
    restart(context, context.vms.vms)


def restart(context, names):
    for name in names:
        context.run(find_vm(context, name).process.kill())
        # The log then contains only lines of the new process.
        find_vm(context, name).log.write_text("")
    for name in names:
        context.run(context.vms.start(find_vm(context, name)))


@then('within {seconds:g} s the daemon of "{name}" is ready')
def step_ready(context, seconds, name):
    vm = find_vm(context, name)
    context.run(
        wait_for(
            seconds, lambda: context.vms.is_ready(vm), lambda: vm.read_log()
        )
    )


@then(
    "within {seconds:g} s of their starts clients on all VMs get 200 for "
    '"{path}"'
)
def step_served_after_start(context, seconds, path):
    vms = context.vms.vms.values()
    wait_for_starts(context, vms)
    context.start_cpu_s = {vm.name: read_cpu_s(vm) for vm in vms}
    check_served(context, path, seconds)


@then('within {seconds:g} s of its start the daemon of "{name}" is ready')
def step_ready_after_start(context, seconds, name):
    wait_for_starts(context, [find_vm(context, name)])
    step_ready(context, seconds, name)


def wait_for_starts(context, vms):
    """Waits until daemons have opened their sockets.

    Until then a process imports its modules. The time of that depends on the
    load of the machine, so `step_cpu_time` limits its CPU time instead.
    """

    async def started():
        return all(vm.read_log() for vm in vms)

    def describe():
        return [(vm.name, vm.log.read_text()[-500:]) for vm in vms]

    context.run(wait_for(START_TIMEOUT_S, started, describe))


def read_cpu_s(vm):
    """Returns the CPU time of a daemon, in seconds."""
    stat = pathlib.Path(f"/proc/{vm.process.proc.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK")


@then("no start took more than {most:g} s of CPU time")
def step_cpu_time(context, most):
    assert max(context.start_cpu_s.values()) <= most, context.start_cpu_s


@then('clients on all VMs get 200 for "{path}"')
def step_all_served(context, path):
    check_served(context, path, 0.0)


@then('within {seconds:g} s clients on all VMs get 200 for "{path}"')
def step_all_served_within(context, seconds, path):
    check_served(context, path, seconds)


def check_served(context, path, seconds):
    found = []

    async def are_served():
        found[:] = [
            (await send_request(context, vm, path))[0]
            for vm in context.vms.vms.values()
        ]
        return set(found) == {200}

    context.run(wait_for(seconds, are_served, lambda: found))
