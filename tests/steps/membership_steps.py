"""Steps that drive membership machines with a simulated clock."""

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
    context.session = Session({"bergen": count})
    context.session.run(SETTLE_S)


@given("{count:d} connected members of one data centre")
def step_connected(context, count):
    context.session = Session({"bergen": count}, encoded=True)
    context.session.driver.connect_all()


@given("{count:d} members in each of {centres:d} data centres")
def step_centres(context, count, centres):
    context.session = Session(dict.fromkeys(CENTRES[:centres], count))
    context.session.run(2 * SETTLE_S)


@when('member "{name}" is killed')
def step_kill(context, name):
    context.session.driver.kill(context.session.node(name))


@when("half of the members are killed")
def step_kill_half(context):
    session = context.session
    session.killed = list(session.driver.nodes)[1::2]
    for name in session.killed:
        session.driver.kill(session.node(name))


@when("the killed members start again")
def step_restart_killed(context):
    for name in context.session.killed:
        context.session.restart(name)


@when('"{name}" is frozen for {seconds:g} s')
def step_freeze(context, name, seconds):
    context.session.pause_for(name, seconds)


@when('"{name}" is cut off until "{other}" suspects it')
def step_suspected(context, name, other):
    session = context.session
    session.driver.is_cut = lambda a, b: name in (a.id, b.id)
    table = session.node(other).gossip.table
    session.within(10, lambda: table.get(name).state is MemberState.SUSPECT)


@when('"{name}" is frozen for {seconds:g} s, during which the cut is healed')
def step_freeze_and_heal(context, name, seconds):
    session = context.session
    session.node(name).paused = True
    session.driver.is_cut = lambda a, b: False
    session.run(seconds)


@then('"{name}" records no member dead if its timers run before its datagrams')
def step_timers_first(context, name):
    driver, node = context.session.driver, context.session.node(name)
    driver.call(node, node.gossip.tick(now=driver.now))
    states = {member.state for member in node.gossip.table}
    driver.resume(node)
    assert MemberState.DEAD not in states, states


@when("{seconds:g} simulated s pass")
def step_pass(context, seconds):
    context.session.run(seconds)


def count_refutations(context):
    """Returns the number of refutations by the members that are not slow."""
    nodes = context.session.driver.nodes.values()
    on_time = [node for node in nodes if node.id not in context.slow]
    return sum(node.gossip.me.sequence for node in on_time)


@when("{count:d} members {do_what} {lag:g} s late")
def step_late(context, count, do_what, lag):
    context.slow = list(context.session.driver.nodes)[:count]
    context.refuted = count_refutations(context)
    for name in context.slow:
        setattr(context.session.node(name), LAGS[do_what], lag)


@then("the other members have refuted at most {count:d} suspicions")
def step_refuted(context, count):
    refuted = count_refutations(context) - context.refuted
    assert refuted <= count, refuted


@when('datagrams from "{name}" are lost')
def step_sends_lost(context, name):
    context.session.driver.is_cut = lambda sender, _: sender.id == name


@when("{count:d} members are cut off from the others for {seconds:g} s")
def step_cut_rack(context, count, seconds):
    driver = context.session.driver
    rack = set(list(driver.nodes)[:count])
    driver.is_cut = lambda a, b: (a.id in rack) != (b.id in rack)
    context.session.run(seconds)
    driver.is_cut = lambda a, b: False


@when('"{centre}" is cut off from the other data centres for {seconds:g} s')
def step_cut_centre(context, centre, seconds):
    session = context.session
    names = {node.id for node in session.live(centre)}
    session.driver.is_cut = lambda a, b: (a.id in names) != (b.id in names)
    session.run(seconds)


@when('the node "{name}" leaves during the cut')
def step_left(context, name):
    session = context.session
    node = session.node(name)
    session.driver.call(node, node.gossip.leave())
    session.run(2)
    session.driver.kill(node)
    session.run(320)
    session.driver.is_cut = lambda a, b: False


@when('the target of "{name}" starts to drain')
def step_drain(context, name):
    node = context.session.node(name)
    node.gossip.set_target(serving=False, slots=10)
    context.session.driver.call(node, node.gossip.announce())


@when('"{name}" starts again with incarnation {incarnation:d}')
def step_restart(context, name, incarnation):
    context.session.restart(name, incarnation)


@when('each member of "{centre}" restarts, {seconds:g} s apart')
def step_restart_each(context, centre, seconds):
    for node in context.session.live(centre):
        context.session.restart(node.id)
        context.session.run(seconds)


@when("all members restart one after the other, {seconds:g} s apart")
def step_rolling_restart(context, seconds):
    for name in list(context.session.driver.nodes):
        node = context.session.node(name)
        context.session.driver.call(node, node.gossip.leave())
        context.session.restart(name)
        context.session.run(seconds)


@when('"{name}" joins')
def step_join(context, name):
    member = make_member(name, 9_999)
    context.session.driver.add(member, context.session.seeds())


@then('within {seconds:g} s all members avoid "{name}"')
@then('within {seconds:g} s no member offers "{name}" to callers')
def step_avoid(context, seconds, name):
    context.session.within(seconds, lambda: not context.session.offers(name))


@then("within {seconds:g} s all members avoid the killed members")
def step_avoid_killed(context, seconds):
    session = context.session
    session.within(
        seconds, lambda: not any(map(session.offers, session.killed))
    )


@then('within {seconds:g} s all members record "{name}" dead')
def step_dead(context, seconds, name):
    session = context.session
    session.within(
        seconds,
        lambda: all(
            n.gossip.table.get(name).state is MemberState.DEAD
            for n in session.live()
        ),
    )


@then("no other member is recorded suspect or dead")
def step_nobody_else(context):
    for node in context.session.live():
        assert context.session.is_known_alive(node.gossip.me), node.id


@then('"{name}" records no member suspect or dead')
def step_holds_nobody(context, name):
    states = {m.state for m in context.session.node(name).gossip.table}
    assert states == {MemberState.ALIVE}, context.session.describe()


@then("within {seconds:g} s all members record each other alive again")
def step_all_alive(context, seconds):
    context.session.within(seconds, context.session.all_alive)


@then("none of the other members was recorded dead")
def step_on_time(context):
    wrong = context.session.deaths - set(context.slow)
    assert not wrong, wrong


@then('no other member than "{name}" was recorded dead')
def step_only_dead(context, name):
    assert context.session.deaths <= {name}, context.session.deaths


@then(
    'within {seconds:g} s all members record "{name}" alive with incarnation'
    " {n:d}"
)
def step_incarnation(context, seconds, name, n):
    session = context.session
    session.within(
        seconds,
        lambda: (
            session.node(name).gossip.me.incarnation == n
            and session.is_known_alive(session.node(name).gossip.me)
        ),
    )


@then('all members have the true record of "{name}"')
def step_as_it_is(context, name):
    me = context.session.node(name).gossip.me
    assert me.slots == 10 and me.state is MemberState.ALIVE
    assert me.mesh != Address("10.9.9.9", 1)
    assert context.session.is_known_alive(me)


@then('the table of "{name}" has at most {count:d} members')
def step_at_most(context, name, count):
    assert len(context.session.node(name).gossip.table) <= count


@then('within {seconds:g} s the table of "{name}" has {count:d} members')
def step_knows(context, seconds, name, count):
    table = context.session.node(name).gossip.table
    driver = context.session.driver
    took = driver.run_until(
        lambda: len(table) == count, timeout_s=seconds, step_s=STEP_S
    )
    assert took is not None, len(table)


@then("no datagram was larger than {size:d} bytes")
def step_bounded(context, size):
    assert context.session.driver.largest <= size


@then('the members of "{centre}" still offer targets of "{other}"')
def step_still_offer(context, centre, other):
    for node in context.session.live(centre):
        offered = node.gossip.table.serving("desk")
        assert sum(m.data_centre == other for m in offered) == 6, node.id


def find_ages(context, centre, other):
    now = context.session.driver.now
    return [
        node.gossip.summary_age(other, now=now)
        for node in context.session.live(centre)
    ]


@then('their summary of "{other}" is {seconds:d} s old')
def step_old(context, other, seconds):
    ages = find_ages(context, "bergen", other)
    # Members other than the reporters receive a fresh summary each minute.
    for age in ages:
        assert age is not None and seconds - 15 <= age <= seconds + 75, ages


@then('within {seconds:g} s the summary of "{other}" is fresh in "{centre}"')
def step_fresh(context, seconds, other, centre):
    context.session.within(
        seconds,
        lambda: max(find_ages(context, centre, other)) <= seconds,
    )


@then(
    "{count:d} random tables find members by address, data centre and service"
)
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
