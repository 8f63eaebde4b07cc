"""Steps with several processes, or lies of some, under one node's id."""

import collections
import random
import types

import attrs
from behave import given, then, when
from hypothesis import strategies as st

from bench.gossip_driver import make_member
from bench.gossip_session import Session
from guavawing.membership import Datagram, Listeners, Notice, Push
from guavawing.membership.duplicate import Rank
from guavawing.model import Address
from guavawing.node.duplicate_process_check import (
    MIN_PAUSE_S,
    POLL_S,
    DuplicateProcessCheck,
)
from guavawing.node.metrics import Metrics
from standins.memory_platform import Fault, MemoryPlatform, MemoryStore
from tests.support import check_examples

ELSEWHERE = Address("10.9.9.9", 7402)
JOIN_S = 15.0
ID = "desk-bergen-1"


def finish(coroutine):
    """Runs a coroutine that waits for the platform in memory alone."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration:
        pass


class Checks:
    """Lets processes of a session check their rows as their tasks do."""

    def __init__(self, drive):
        self.driver = drive.driver
        self.store = MemoryStore()
        self.fault = Fault.NONE

    def watch(self, node):
        faults = iter(lambda: self.fault, None)
        platform = MemoryPlatform(self.store, faults)
        check = DuplicateProcessCheck(
            platform, node.gossip, random.Random(1), Metrics()
        )

        def look():
            pause_s = POLL_S
            if node.gossip.suspects_duplicate(now=self.driver.now):
                finish(check.check())
                pause_s += MIN_PAUSE_S + check.draw_delay()
            if node.up and not node.gossip.replaced:
                self.driver.at(pause_s, look)

        self.driver.at(POLL_S, look)


def start_process(drive, checks, name, number, incarnation):
    member = make_member(name, number, incarnation=incarnation)
    node = drive.driver.add(member, drive.seeds()[1:])
    checks.watch(node)
    return node


@given("a platform that has no row of a process")
def step_platform(context):
    context.checks = Checks(context.drive)


@when("the platform {state} every request")
def step_platform_fault(context, state):
    faults = {"refuses": Fault.REFUSED, "serves": Fault.NONE}
    context.checks.fault = faults[state]


@when('"{name}" starts at another address with incarnation {number:d}')
def step_second_process(context, name, number):
    drive = context.drive
    context.older = drive.node(name)
    context.checks.watch(context.older)
    start_process(drive, context.checks, name, 9_999, number)


@then('within {seconds:g} s the older process of "{name}" has to stop')
def step_older_stops(context, seconds, name):
    drive = context.drive
    drive.within(seconds, lambda: context.older.gossip.replaced)
    # It goes on talking while it drains.
    drive.run(seconds)
    drive.driver.call(context.older, context.older.gossip.leave())
    drive.driver.kill(context.older)


@then('for {seconds:g} s neither process of "{name}" has to stop')
def step_both_stay(context, seconds, name):
    drive = context.drive
    drive.run(seconds)
    assert drive.node(name) is not context.older
    for node in (drive.node(name), context.older):
        assert node.gossip.suspects_duplicate(now=drive.driver.now)
        assert not node.gossip.replaced


@then('"{name}" does not take itself for replaced')
def step_not_replaced(context, name):
    assert not context.drive.node(name).gossip.replaced


@then(
    "in {count:d} sessions of {members:d} members the older one of two"
    " processes that start {gap:g} s apart stops, and only it"
)
def step_older_of_two(context, count, members, gap):
    for seed in range(count):
        drive = Session({"bergen": members}, seed)
        drive.run(JOIN_S)
        checks = Checks(drive)
        older = start_process(drive, checks, "desk-voss-1", 9_998, 5_000)
        drive.run(gap)
        newer = start_process(drive, checks, "desk-voss-1", 9_999, 5_001)
        drive.run(25)
        found = (older.gossip.replaced, newer.gossip.replaced)
        assert found == (True, False), (seed, found)


@when(
    'a broken peer says {count:d} times, {pause:g} s apart, that "{name}" runs'
    " elsewhere"
)
def step_lie_elsewhere(context, count, pause, name):
    drive = context.drive
    node = drive.node(name)
    context.checks.watch(node)
    for _ in range(count):
        drive.run(pause)
        me = node.gossip.me
        record = attrs.evolve(
            me,
            incarnation=me.incarnation + 9,
            listeners=Listeners.share(me.mesh, ELSEWHERE, me.admin),
        )
        datagram = Datagram("liar", Push(), Notice(0, b""), (record,))
        sends = node.gossip.receive(datagram, now=drive.driver.now)
        drive.driver.call(node, sends)


@then("that cost the platform {least:d} to {most:d} reads and {writes:d} write")
def step_cost(context, least, most, writes):
    store = context.checks.store
    assert least <= store.reads <= most, store.reads
    assert store.writes == writes, store.writes


@then(
    "{count:d} nodes that are lied to at once make at most {most:d} checks in"
    " one second"
)
def step_storm(context, count, most):
    fleet = types.SimpleNamespace(table=range(count))
    check = DuplicateProcessCheck(None, fleet, random.Random(1), Metrics())
    seconds = collections.Counter(int(check.draw_delay()) for _ in range(count))
    assert max(seconds.values()) <= most, max(seconds.values())


class LoneProcess:
    """What a check asks of the membership machine, and its requests."""

    def __init__(self, rank, store, faults):
        self.me = types.SimpleNamespace(id=ID)
        self.rank = rank
        self.replaced = False
        platform = MemoryPlatform(store, faults)
        self._check = DuplicateProcessCheck(
            platform, self, random.Random(1), Metrics()
        )
        self._running = None

    def mark_replaced(self):
        self.replaced = True

    def step(self):
        """Goes on to the next request, or starts the next check."""
        if self.replaced:
            return
        self._running = self._running or self._check.check()
        try:
            self._running.send(None)
        except StopIteration:
            self._running = None


# Most requests are served, so that rows come about.
FAULTS = st.lists(
    st.sampled_from(
        [Fault.NONE] * 4
        + [Fault.REFUSED, Fault.LOST_REPLY, Fault.LATE, Fault.DROPPED]
    ),
    min_size=2,
    max_size=8,
)
RANKS = st.builds(
    Rank,
    st.integers(1, 3),
    st.builds(Address, st.just("10.0.0.1"), st.integers(1, 9)),
)
PROCESSES = st.lists(st.tuples(RANKS, FAULTS), min_size=1, max_size=3)
STEPS = st.lists(st.integers(0, 2), min_size=6, max_size=20)
# Stands for a late write that is carried out.
LATE = -1
LATE_STEPS = st.lists(st.integers(LATE, 2), min_size=6, max_size=30)


def play(store, processes, steps):
    for number in steps:
        if number != LATE:
            processes[number % len(processes)].step()
        elif store.late_writes:
            store.apply_late_write()


@then("in {count:d} random histories the process of the highest rank goes on")
def step_histories(context, count):
    @check_examples(count, PROCESSES, STEPS, PROCESSES, LATE_STEPS)
    def check(gone, gone_steps, living, steps):
        living = list(
            {rank: (rank, faults) for rank, faults in living}.values()
        )
        store = MemoryStore()
        # The first ones end with writes of theirs still on the way.
        play(store, [LoneProcess(r, store, f) for r, f in gone], gone_steps)
        processes = [LoneProcess(r, store, f) for r, f in living]
        play(store, processes, steps)
        play(store, processes, [*range(len(living)), LATE] * 60)
        left = [process.rank for process in processes if not process.replaced]
        assert left == sorted(rank for rank, _ in living)[-1:], left
