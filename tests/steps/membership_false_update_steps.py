"""Steps with peers that send false updates or too many datagrams."""

import attrs
from behave import then, when

from bench.gossip_driver import make_member
from guavawing import membership as ms
from guavawing.model import Address


def receive_updates(session, node, body, records, claims=()):
    """Passes a datagram with false updates to a node; returns its sends."""
    notice = ms.Notice(0, b"")
    datagram = ms.Datagram("peer", body, notice, records, claims)
    return node.gossip.receive(datagram, now=session.driver.now)


@when('a faulty peer sends false updates about "{name}"')
def step_false_updates(context, name):
    session = context.session
    me = session.node(name).gossip.me
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
        ms.Claim(name, me.incarnation, me.sequence + extra, state, "peer")
        for extra, state in enumerate(states)
    )
    for node in session.live()[3:6]:
        for _ in range(2):
            sends = receive_updates(session, node, ms.Push(), records, claims)
            session.driver.call(node, sends)
    session.run(1)


@when(
    "a faulty peer sends {count:d} times, {pause:g} s apart, a newer record of"
    ' "{name}"'
)
def step_repeated_record(context, count, pause, name):
    session = context.session
    node = session.node(name)
    for _ in range(count):
        session.run(pause)
        me = node.gossip.me
        record = attrs.evolve(me, incarnation=me.incarnation + 9)
        session.driver.call(
            node, receive_updates(session, node, ms.Push(), (record,))
        )


@when('a faulty peer sends the records of {count:d} members to "{name}"')
def step_fill(context, count, name):
    node = context.session.node(name)
    for number in range(count):
        record = make_member(f"x{number}", number)
        receive_updates(context.session, node, ms.Push(), (record,))


@when('a faulty peer sends "{name}" the same sync page {count:d} times')
def step_repeated_page(context, name, count):
    session = context.session
    node = session.node(name)
    session.run(60)
    node.gossip._exchange.reset_schedule()
    node.gossip.tick(now=session.driver.now)
    page, peer_record = ms.SyncPage("bergen", 1), make_member("peer", 999)
    context.requests = sum(
        len(receive_updates(session, node, page, (peer_record,)))
        for _ in range(count)
    )


@then("at most {count:d} further pages were requested from it")
def step_requests(context, count):
    assert 1 <= context.requests <= count, context.requests


@when("a peer sends {count:d} datagrams in a second")
def step_flood(context, count):
    limiter = ms.PeerLimiter(now=0.0)
    flood, other = Address("10.0.0.1", 1), Address("10.0.0.2", 1)
    context.admitted = sum(
        limiter.admit(flood, now=number / count) for number in range(count)
    )
    context.other_admitted = limiter.admit(other, now=1.0)


@then("at most {count:d} are admitted, and those of another peer still are")
def step_flood_bounded(context, count):
    assert context.admitted <= count, context.admitted
    assert context.other_admitted
