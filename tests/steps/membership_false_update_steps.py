"""Steps with peers that lie to membership machines, or flood them."""

import attrs
from behave import then, when

from bench.gossip_driver import make_member
from guavawing import membership as ms
from guavawing.model import Address


def tell(drive, node, body, records, claims=()):
    """Gives a member a datagram of a liar; returns what it sends."""
    notice = ms.Notice(0, b"")
    datagram = ms.Datagram("liar", body, notice, records, claims)
    return node.gossip.receive(datagram, now=drive.driver.now)


@when('a broken peer says of "{name}" what is not true')
def step_lie(context, name):
    drive = context.drive
    me = drive.node(name).gossip.me
    moved = attrs.evolve(
        me,
        incarnation=me.incarnation + 9,
        host="10.9.9.9",
        listeners=ms.Listeners.share(
            Address("10.9.9.9", 1), me.control, me.admin
        ),
    )
    records = (moved, attrs.evolve(me, sequence=me.sequence + 5, slots=0))
    states = (ms.MemberState.SUSPECT, ms.MemberState.DEAD, ms.MemberState.LEFT)
    claims = tuple(
        ms.Claim(name, me.incarnation, me.sequence + extra, state, "liar")
        for extra, state in enumerate(states)
    )
    for node in drive.live()[3:6]:
        for _ in range(2):
            sends = tell(drive, node, ms.Push(), records, claims)
            drive.driver.call(node, sends)
    drive.run(1)


@when(
    'a broken peer says {count:d} times, {pause:g} s apart, that "{name}" is'
    " newer"
)
def step_repeat_lie(context, count, pause, name):
    drive = context.drive
    node = drive.node(name)
    for _ in range(count):
        drive.run(pause)
        me = node.gossip.me
        record = attrs.evolve(me, incarnation=me.incarnation + 9)
        drive.driver.call(node, tell(drive, node, ms.Push(), (record,)))


@when('a broken peer tells of {count:d} members to "{name}"')
def step_fill(context, count, name):
    node = context.drive.node(name)
    for number in range(count):
        record = make_member(f"x{number}", number)
        tell(context.drive, node, ms.Push(), (record,))


@when('a broken peer answers "{name}" with the same page {count:d} times')
def step_endless(context, name, count):
    drive = context.drive
    node = drive.node(name)
    drive.run(60)
    node.gossip._exchange.reset_schedule()
    node.gossip.tick(now=drive.driver.now)
    page, liar = ms.SyncPage("bergen", 1), make_member("liar", 999)
    context.asked = sum(
        len(tell(drive, node, page, (liar,))) for _ in range(count)
    )


@then("it was asked for another page at most {count:d} times")
def step_asked(context, count):
    assert 1 <= context.asked <= count, context.asked


@when("a peer sends {count:d} datagrams in a second")
def step_flood(context, count):
    limiter = ms.PeerLimiter(now=0.0)
    flood, other = Address("10.0.0.1", 1), Address("10.0.0.2", 1)
    context.read = sum(
        limiter.admit(flood, now=number / count) for number in range(count)
    )
    context.other_read = limiter.admit(other, now=1.0)


@then("at most {count:d} are read, and those of another peer still are")
def step_flood_bounded(context, count):
    assert context.read <= count, context.read
    assert context.other_read
