"""Steps with several processes of one node id, real or falsely announced."""

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
    MIN_CHECK_INTERVAL_S,
    POLL_S,
    DuplicateProcessCheck,
)
from guavawing.node.metrics import Metrics
from standins.memory_platform import Fault, MemoryPlatform, MemoryStore
from tests.support import check_examples

ELSEWHERE = Address("10.9.9.9", 7402)
JOIN_S = 15.0
ID = "desk-bergen-1"


def run_to_completion(coroutine):
    """Runs a coroutine that waits only for the platform in memory."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration:
        pass


class DuplicateChecks:
    """Runs the duplicate check of processes of a session periodically."""

    def __init__(self, session):
        self.driver = session.driver
        self.store = MemoryStore()
        self.fault = Fault.NONE

    def start_checks(self, node):
        faults = iter(lambda: self.fault, None)
        platform = MemoryPlatform(self.store, faults)
        check = DuplicateProcessCheck(
            platform, node.gossip, random.Random(1), Metrics()
        )

        def poll():
            pause_s = POLL_S
            if node.gossip.suspects_duplicate(now=self.driver.now):
                run_to_completion(check.check())
                pause_s += MIN_CHECK_INTERVAL_S + check.draw_delay()
            if node.up and not node.gossip.replaced:
                self.driver.at(pause_s, poll)

        self.driver.at(POLL_S, poll)


def start_process(session, checks, name, number, incarnation):
    member = make_member(name, number, incarnation=incarnation)
    node = session.driver.add(member, session.seeds()[1:])
    checks.start_checks(node)
    return node


@given("a platform without a row of any process")
def step_platform(context):
    context.checks = DuplicateChecks(context.session)


@when("the platform {state} every request")
def step_platform_fault(context, state):
    faults = {"refuses": Fault.REFUSED, "serves": Fault.NONE}
    context.checks.fault = faults[state]


@when('"{name}" starts at another address with incarnation {number:d}')
def step_second_process(context, name, number):
    session = context.session
    context.older = session.node(name)
    context.checks.start_checks(context.older)
    start_process(session, context.checks, name, 9_999, number)


@then(
    'within {seconds:g} s the older process of "{name}" is marked as replaced'
)
def step_older_stops(context, seconds, name):
    session = context.session
    session.within(seconds, lambda: context.older.gossip.replaced)
    # It continues to send datagrams while it drains.
    session.run(seconds)
    session.driver.call(context.older, context.older.gossip.leave())
    session.driver.kill(context.older)


@then('for {seconds:g} s no process of "{name}" is marked as replaced')
def step_both_stay(context, seconds, name):
    session = context.session
    session.run(seconds)
    assert session.node(name) is not context.older
    for node in (session.node(name), context.older):
        assert node.gossip.suspects_duplicate(now=session.driver.now)
        assert not node.gossip.replaced


@then('"{name}" is not marked as replaced')
def step_not_replaced(context, name):
    assert not context.session.node(name).gossip.replaced


@then(
    "in {count:d} sessions of {members:d} members only the older one of two"
    " processes that start {gap:g} s apart is marked as replaced"
)
def step_older_of_two(context, count, members, gap):
    for seed in range(count):
        session = Session({"bergen": members}, seed)
        session.run(JOIN_S)
        checks = DuplicateChecks(session)
        older = start_process(session, checks, "desk-voss-1", 9_998, 5_000)
        session.run(gap)
        newer = start_process(session, checks, "desk-voss-1", 9_999, 5_001)
        session.run(25)
        found = (older.gossip.replaced, newer.gossip.replaced)
        assert found == (True, False), (seed, found)


@when(
    "a faulty peer sends {count:d} times, {pause:g} s apart, a newer record of"
    ' "{name}" at another address'
)
def step_false_address(context, count, pause, name):
    session = context.session
    node = session.node(name)
    context.checks.start_checks(node)
    for _ in range(count):
        session.run(pause)
        me = node.gossip.me
        record = attrs.evolve(
            me,
            incarnation=me.incarnation + 9,
            listeners=Listeners.share(me.mesh, ELSEWHERE, me.admin),
        )
        datagram = Datagram("peer", Push(), Notice(0, b""), (record,))
        sends = node.gossip.receive(datagram, now=session.driver.now)
        session.driver.call(node, sends)


@then("the checks made {least:d} to {most:d} reads and {writes:d} write")
def step_cost(context, least, most, writes):
    store = context.checks.store
    assert least <= store.reads <= most, store.reads
    assert store.writes == writes, store.writes


@then(
    "{count:d} nodes that suspect duplicates at once make at most {most:d}"
    " checks in one second"
)
def step_check_rate(context, count, most):
    fleet = types.SimpleNamespace(table=range(count))
    check = DuplicateProcessCheck(None, fleet, random.Random(1), Metrics())
    seconds = collections.Counter(int(check.draw_delay()) for _ in range(count))
    assert max(seconds.values()) <= most, max(seconds.values())


class SimulatedProcess:
    """A process with a rank, whose duplicate check runs request by request."""

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
        """Continues to the next request, or starts the next check."""
        if self.replaced:
            return
        self._running = self._running or self._check.check()
        try:
            self._running.send(None)
        except StopIteration:
            self._running = None


# Most requests are served, so that rows are written.
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
# Step that carries out a late write.
LATE = -1
LATE_STEPS = st.lists(st.integers(LATE, 2), min_size=6, max_size=30)


def run_steps(store, processes, steps):
    for number in steps:
        if number != LATE:
            processes[number % len(processes)].step()
        elif store.late_writes:
            store.apply_late_write()


@then(
    "in {count:d} random histories only the process of the highest rank remains"
)
def step_histories(context, count):
    @check_examples(count, PROCESSES, STEPS, PROCESSES, LATE_STEPS)
    def check(ended, ended_steps, candidates, steps):
        candidates = list(
            {rank: (rank, faults) for rank, faults in candidates}.values()
        )
        store = MemoryStore()
        # The first processes end while some of their writes are still pending.
        run_steps(
            store,
            [SimulatedProcess(r, store, f) for r, f in ended],
            ended_steps,
        )
        processes = [SimulatedProcess(r, store, f) for r, f in candidates]
        run_steps(store, processes, steps)
        run_steps(store, processes, [*range(len(candidates)), LATE] * 60)
        left = [process.rank for process in processes if not process.replaced]
        assert left == sorted(rank for rank, _ in candidates)[-1:], left
