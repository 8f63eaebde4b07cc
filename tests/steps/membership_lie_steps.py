"""Steps with peers that lie to membership machines, or flood them."""

import attrs
from behave import then, when

from bench.gossip_driver import make_member
from guavawing.membership import (
    Claim,
    Datagram,
    Listeners,
    MemberState,
    Notice,
    PeerLimiter,
    Push,
    SyncPage,
)
from guavawing.model import Address

NO_NOTICE = Notice(0, b"")


def hand(drive, node, datagram):
    """Gives a datagram to a member, and what it sends to the others."""
    sends = node.gossip.receive(datagram, now=drive.driver.now)
    drive.driver.call(node, sends)


@when('a broken peer says of "{name}" what is not true')
def step_lie(context, name):
    drive = context.drive
    me = drive.node(name).gossip.me
    moved = attrs.evolve(
        me,
        incarnation=me.incarnation + 9,
        host="10.9.9.9",
        listeners=Listeners.share(Address("10.9.9.9", 1), me.control, me.admin),
    )
    lies = [Push()] * 2
    records = (moved, attrs.evolve(me, sequence=me.sequence + 5, slots=0))
    claims = tuple(
        Claim(name, me.incarnation, me.sequence + extra, state, "liar")
        for extra, state in enumerate(
            (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)
        )
    )
    for node in drive.live()[3:6]:
        for body in lies:
            datagram = Datagram("liar", body, NO_NOTICE, records, claims)
            hand(drive, node, datagram)
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
        datagram = Datagram("liar", Push(), NO_NOTICE, (record,))
        hand(drive, node, datagram)


@when('a broken peer tells of {count:d} members to "{name}"')
def step_fill(context, count, name):
    gossip = context.drive.node(name).gossip
    for number in range(count):
        record = make_member(f"x{number}", number)
        datagram = Datagram("liar", Push(), NO_NOTICE, (record,))
        gossip.receive(datagram, now=context.drive.driver.now)


@when('a broken peer answers "{name}" with the same page {count:d} times')
def step_endless(context, name, count):
    drive = context.drive
    gossip = drive.node(name).gossip
    page = SyncPage("bergen", 1)
    liar = make_member("liar", 999)
    datagram = Datagram("liar", page, NO_NOTICE, (liar,))
    context.asked = 0
    drive.run(60)
    gossip._exchange.hasten()
    gossip.tick(now=drive.driver.now)
    for _ in range(count):
        sends = gossip.receive(datagram, now=drive.driver.now)
        context.asked += len(sends)


@then("it was asked for another page at most {count:d} times")
def step_asked(context, count):
    assert 1 <= context.asked <= count, context.asked


@when("a peer sends {count:d} datagrams in a second")
def step_flood(context, count):
    limiter = PeerLimiter(now=0.0)
    flood, other = Address("10.0.0.1", 1), Address("10.0.0.2", 1)
    context.read = sum(
        limiter.admit(flood, now=number / count) for number in range(count)
    )
    context.other_read = limiter.admit(other, now=1.0)


@then("at most {count:d} are read, and those of another peer still are")
def step_flood_bounded(context, count):
    assert context.read <= count, context.read
    assert context.other_read
