"""Steps that drive membership machines with a clock of their own."""

import itertools

import attrs
from behave import given, then, when
from hypothesis import strategies as st

from bench.gossip_driver import make_member
from bench.gossip_session import STEP_S, Session
from guavawing.membership import (
    Listeners,
    MemberState,
    MemberTable,
)
from guavawing.model import Address
from tests.support import check_examples

CENTRES = ("bergen", "voss", "floro", "odda")
SETTLE_S = 15.0
LAGS = {"handle every event": "lag_s", "read every datagram": "inbox_lag_s"}


@given("{count:d} members of one data centre")
def step_members(context, count):
    context.drive = Session({"bergen": count})
    context.drive.run(SETTLE_S)


@given("{count:d} members of one data centre that know each other")
def step_acquainted(context, count):
    context.drive = Session({"bergen": count}, encoded=True)
    context.drive.driver.connect_all()


@given("{count:d} members in each of {centres:d} data centres")
def step_centres(context, count, centres):
    context.drive = Session(dict.fromkeys(CENTRES[:centres], count))
    context.drive.run(2 * SETTLE_S)


@when('member "{name}" is killed')
def step_kill(context, name):
    context.drive.driver.kill(context.drive.node(name))


@when("half of the members are killed")
def step_kill_half(context):
    drive = context.drive
    drive.killed = list(drive.driver.nodes)[1::2]
    for name in drive.killed:
        drive.driver.kill(drive.node(name))


@when("the killed ones start again")
def step_storm(context):
    for name in context.drive.killed:
        context.drive.restart(name)


@when('"{name}" is frozen for {seconds:g} s')
def step_freeze(context, name, seconds):
    context.drive.pause_for(name, seconds)


@when('"{name}" is cut off until "{other}" suspects it')
def step_suspected(context, name, other):
    drive = context.drive
    drive.driver.is_cut = lambda a, b: name in (a.id, b.id)
    table = drive.node(other).gossip.table
    drive.within(10, lambda: table.get(name).state is MemberState.SUSPECT)


@when('"{name}" is frozen for {seconds:g} s, in which the cut heals')
def step_freeze_and_heal(context, name, seconds):
    drive = context.drive
    drive.node(name).paused = True
    drive.driver.is_cut = lambda a, b: False
    drive.run(seconds)


@then('"{name}" holds nobody dead when its timers come first')
def step_timers_first(context, name):
    driver, node = context.drive.driver, context.drive.node(name)
    driver.call(node, node.gossip.tick(now=driver.now))
    states = {member.state for member in node.gossip.table}
    driver.resume(node)
    assert MemberState.DEAD not in states, states


@when("{seconds:g} simulated s pass")
def step_pass(context, seconds):
    context.drive.run(seconds)


def count_refutations(context):
    """Returns how often the members on time have raised their records."""
    nodes = context.drive.driver.nodes.values()
    on_time = [node for node in nodes if node.id not in context.slow]
    return sum(node.gossip.me.sequence for node in on_time)


@when("{count:d} members {do_what} {lag:g} s late")
def step_late(context, count, do_what, lag):
    context.slow = list(context.drive.driver.nodes)[:count]
    context.refuted = count_refutations(context)
    for name in context.slow:
        setattr(context.drive.node(name), LAGS[do_what], lag)


@then("those that are on time had to refute at most {count:d} suspicions")
def step_refuted(context, count):
    refuted = count_refutations(context) - context.refuted
    assert refuted <= count, refuted


@when('datagrams from "{name}" are lost')
def step_mute(context, name):
    context.drive.driver.is_cut = lambda sender, _: sender.id == name


@when("{count:d} members are cut off from the others for {seconds:g} s")
def step_cut_rack(context, count, seconds):
    driver = context.drive.driver
    rack = set(list(driver.nodes)[:count])
    driver.is_cut = lambda a, b: (a.id in rack) != (b.id in rack)
    context.drive.run(seconds)
    driver.is_cut = lambda a, b: False


@when('"{centre}" is cut from the other data centres for {seconds:g} s')
def step_cut_centre(context, centre, seconds):
    drive = context.drive
    names = {node.id for node in drive.live(centre)}
    drive.driver.is_cut = lambda a, b: (a.id in names) != (b.id in names)
    drive.run(seconds)


@when('the target of "{name}" has left during the cut')
def step_left(context, name):
    drive = context.drive
    node = drive.node(name)
    drive.driver.call(node, node.gossip.leave())
    drive.run(2)
    drive.driver.kill(node)
    drive.run(320)
    drive.driver.is_cut = lambda a, b: False


@when('the target of "{name}" starts to drain')
def step_drain(context, name):
    node = context.drive.node(name)
    node.gossip.set_target(serving=False, slots=10)
    context.drive.driver.call(node, node.gossip.announce())


@when('"{name}" starts again with incarnation {incarnation:d}')
def step_restart(context, name, incarnation):
    context.drive.restart(name, incarnation)


@when('each member of "{centre}" restarts, {seconds:g} s apart')
def step_restart_each(context, centre, seconds):
    for node in context.drive.live(centre):
        context.drive.restart(node.id)
        context.drive.run(seconds)


@when("all members restart one after the other, {seconds:g} s apart")
def step_roll(context, seconds):
    for name in list(context.drive.driver.nodes):
        node = context.drive.node(name)
        context.drive.driver.call(node, node.gossip.leave())
        context.drive.restart(name)
        context.drive.run(seconds)


@when('"{name}" joins')
def step_join(context, name):
    member = make_member(name, 9_999)
    context.drive.driver.add(member, context.drive.seeds())


@then('within {seconds:g} s all avoid "{name}"')
@then('within {seconds:g} s nobody offers "{name}" to callers')
def step_avoid(context, seconds, name):
    context.drive.within(seconds, lambda: not context.drive.offers(name))


@then("within {seconds:g} s all avoid the killed ones")
def step_avoid_killed(context, seconds):
    drive = context.drive
    drive.within(seconds, lambda: not any(map(drive.offers, drive.killed)))


@then('within {seconds:g} s all hold "{name}" dead')
def step_dead(context, seconds, name):
    drive = context.drive
    drive.within(
        seconds,
        lambda: all(
            n.gossip.table.get(name).state is MemberState.DEAD
            for n in drive.live()
        ),
    )


@then("nobody else is held suspect or dead")
def step_nobody_else(context):
    for node in context.drive.live():
        assert context.drive.is_known_alive(node.gossip.me), node.id


@then('"{name}" holds nobody suspect or dead')
def step_holds_nobody(context, name):
    states = {m.state for m in context.drive.node(name).gossip.table}
    assert states == {MemberState.ALIVE}, context.drive.describe()


@then("within {seconds:g} s everybody is held alive again by all")
def step_all_alive(context, seconds):
    context.drive.within(seconds, context.drive.all_alive)


@then("no member that is on time was held dead")
def step_on_time(context):
    wrong = context.drive.deaths - set(context.slow)
    assert not wrong, wrong


@then('no other member than "{name}" was held dead')
def step_only_mute(context, name):
    assert context.drive.deaths <= {name}, context.drive.deaths


@then('within {seconds:g} s all know "{name}" alive with incarnation {n:d}')
def step_incarnation(context, seconds, name, n):
    drive = context.drive
    drive.within(
        seconds,
        lambda: (
            drive.node(name).gossip.me.incarnation == n
            and drive.is_known_alive(drive.node(name).gossip.me)
        ),
    )


@then('"{name}" is known to all as it is')
def step_as_it_is(context, name):
    me = context.drive.node(name).gossip.me
    assert me.slots == 10 and me.state is MemberState.ALIVE
    assert me.mesh != Address("10.9.9.9", 1)
    assert context.drive.is_known_alive(me)


@then('"{name}" knows at most {count:d} members')
def step_at_most(context, name, count):
    assert len(context.drive.node(name).gossip.table) <= count


@then('within {seconds:g} s "{name}" knows {count:d} members')
def step_knows(context, seconds, name, count):
    table = context.drive.node(name).gossip.table
    driver = context.drive.driver
    took = driver.run_until(
        lambda: len(table) == count, timeout_s=seconds, step_s=STEP_S
    )
    assert took is not None, len(table)


@then("no datagram was larger than {size:d} bytes")
def step_bounded(context, size):
    assert context.drive.driver.largest <= size


@then('the members of "{centre}" still offer targets of "{other}"')
def step_still_offer(context, centre, other):
    for node in context.drive.live(centre):
        offered = node.gossip.table.serving("desk")
        assert sum(m.data_centre == other for m in offered) == 6, node.id


def find_ages(context, centre, other):
    now = context.drive.driver.now
    return [
        node.gossip.summary_age(other, now=now)
        for node in context.drive.live(centre)
    ]


@then('their summary of "{other}" is {seconds:d} s old')
def step_old(context, other, seconds):
    ages = find_ages(context, "bergen", other)
    # Members other than the reporters hear of a fresh summary each minute.
    for age in ages:
        assert age is not None and seconds - 15 <= age <= seconds + 75, ages


@then('within {seconds:g} s the summary of "{other}" is fresh in "{centre}"')
def step_fresh(context, seconds, other, centre):
    context.drive.within(
        seconds,
        lambda: max(find_ages(context, centre, other)) <= seconds,
    )


@then("{count:d} random tables find the members of each address and group")
def step_find(context, count):
    addresses = [
        Address(*each)
        for each in itertools.product(("10.0.0.1", "10.0.0.2"), (1, 2, 3))
    ]
    place = st.sampled_from(addresses)
    change = st.tuples(st.sampled_from("abcd"), place, place, st.booleans())

    @check_examples(count, st.lists(change, max_size=40))
    def check(changes):
        table = MemberTable()
        last: dict[Address, str] = {}
        for turn, (name, mesh, control, removed) in enumerate(changes):
            known = table.get(name)
            if known is not None and last.get(known.control) == name:
                del last[known.control]
            table.remove(name)
            if not removed:
                record = attrs.evolve(
                    make_member(
                        name, 1, incarnation=turn, serving=turn % 3 > 0
                    ),
                    host=mesh.host,
                    listeners=Listeners.share(mesh, control, mesh),
                )
                table.merge(record)
                assert (record.mesh, record.control) == (mesh, control)
                last[control] = name
            for address in addresses:
                found = table.find(address)
                assert found is table.get(last.get(address, "")), address
            members = list(table)
            assert table.members_in("bergen") == members
            assert table.serving("desk") == [m for m in members if m.serving]
