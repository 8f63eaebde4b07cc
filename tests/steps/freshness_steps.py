"""Steps about the proof of the configuration's age."""

import collections
import heapq
import itertools
import math
import random

from behave import given, then, when
from hypothesis import strategies

from guavawing.traffic.freshness import (
    ConfigFreshness,
    FreshnessAnswer,
    FreshnessTerms,
    select_sources,
)
from guavawing.traffic.readers import CONFIGURATION_READERS, rank_nodes
from tests.support import check_examples

TERMS = FreshnessTerms(within_s=5.0, apply_s=2.5)
TICK_S = 0.25
TRANSIT_S = 0.004
FAR_TRANSIT_S = 0.010
SETTLED_S = 2.0


class Session:
    """Nodes whose messages, freezes and restarts a seed draws.

    A message may be late by any time, overtake others, come twice or get lost.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now, self.newest = 0.0, 1
        self.acked_at = {1: 0.0}
        self.offsets = [self.rng.uniform(0, 1e5) for _ in range(3)]
        self.versions = [0, 0, 0]
        self.states = [self.make_state() for _ in range(3)]
        self.messages = []
        self.admissions = self.behind = 0

    def make_state(self):
        return ConfigFreshness(TERMS, rng=random.Random(self.rng.random()))

    def clock(self, node):
        return self.now + self.offsets[node]

    def run(self, steps):
        actions = [self.publish, *[self.ask_store] * 3, *[self.ask_peer] * 4]
        actions += [self.pull, self.restart, *[self.deliver] * 12]
        for _ in range(steps):
            self.now += self.rng.choice((0.0, 0.0, 0.05, 0.3, 2.0))
            self.rng.choice(actions)(self.rng.randrange(3))
            self.check()

    def publish(self, _):
        if self.rng.random() < 0.3:
            self.newest += 1
            self.acked_at[self.newest] = self.now

    def ask_store(self, node):
        self.messages.append(("at-store", node, self.clock(node)))

    def ask_peer(self, node):
        nonce = self.states[node].make_nonce(now=self.clock(node))
        self.messages.append(("at-peer", node, nonce))

    def pull(self, node):
        self.apply(node, self.rng.choice(self.versions))

    def restart(self, node):
        if self.rng.random() < 0.2:
            self.states[node] = self.make_state()
            self.versions[node] = 0

    def apply(self, node, version):
        if version > self.versions[node]:
            self.versions[node] = version
            self.states[node].set_version(version)

    def deliver(self, peer):
        if not self.messages:
            return
        index = self.rng.randrange(len(self.messages))
        twice = self.rng.random() < 0.2
        message = self.messages[index] if twice else self.messages.pop(index)
        match message:
            case ("at-store", node, asked_at):
                answer = ("from-store", node, asked_at, self.newest)
                self.messages.append(answer)
            case ("from-store", node, asked_at, version):
                self.apply(node, version)
                self.states[node].record_store_read(
                    asked_at, era=1, now=self.clock(node)
                )
            case ("at-peer", node, nonce) if peer != node:
                answer = self.states[peer].answer(now=self.clock(peer))
                if answer is not None:
                    self.messages.append(("from-peer", node, nonce, answer))
            case ("from-peer", node, nonce, answer):
                self.states[node].apply_answer(
                    nonce, answer, now=self.clock(node)
                )

    def check(self):
        for node, state in enumerate(self.states):
            if not state.admits_keys(now=self.clock(node)):
                continue
            self.admissions += 1
            missing = self.versions[node] + 1
            if missing in self.acked_at:
                self.behind += 1
                late_s = self.now - self.acked_at[missing]
                assert late_s <= TERMS.within_s, (node, late_s)


@then(
    "in {count:d} seeded sessions no node admits keys later than {bound:g} s"
    " after a version that it lacks"
)
def step_sessions(context, count, bound):
    assert bound == TERMS.within_s
    totals = collections.Counter()

    @check_examples(count, strategies.integers(0, 2**32))
    def check(seed):
        session = Session(seed)
        session.run(300)
        totals["admissions"] += session.admissions
        totals["behind"] += session.behind

    del check
    # The sessions reach the states that matter.
    assert min(totals["admissions"], totals["behind"]) > count, totals


class Network:
    """Nodes that renew their proofs; messages are delivered in time."""

    def __init__(self, count, dcs, loss):
        self.rng = random.Random(7)
        self.loss, self.now = loss, 0.0
        self.hosts = [
            f"10.{n % dcs}.{n // 250}.{n % 250}" for n in range(count)
        ]
        self.dc_of = {h: n % dcs for n, h in enumerate(self.hosts)}
        self.states = {
            h: ConfigFreshness(TERMS, rng=random.Random(h)) for h in self.hosts
        }
        self.groups = [
            [h for h in self.hosts if self.dc_of[h] == dc] for dc in range(dcs)
        ]
        self.refused = set()
        self.store_calls = 0
        self.sent = collections.Counter()
        self.refusals = collections.Counter()
        self.queue, self.numbers = [], itertools.count()
        for host in self.hosts:
            self.states[host].set_version(1)
            self.at(self.rng.random() * 0.2, self.read_store, host)
            self.at(self.rng.random() * TICK_S, self.tick, host)

    def at(self, delay_s, action, *args):
        entry = (self.now + delay_s, next(self.numbers), action, args)
        heapq.heappush(self.queue, entry)

    def run(self, until):
        while self.queue[0][0] < until:
            self.now, _, action, args = heapq.heappop(self.queue)
            action(*args)

    def readers(self, host):
        same = self.groups[self.dc_of[host]]
        able = [h for h in same if h not in self.refused]
        return rank_nodes(able)[:CONFIGURATION_READERS]

    def read_store(self, host):
        self.store_calls += 1
        if host not in self.refused:
            self.states[host].record_store_read(self.now, era=1, now=self.now)

    def follow(self, host):
        """One call of a reader's feed, which waits for the renewal time."""
        self.at(TERMS.renewal_s, self.answer_feed, host, self.now)

    def answer_feed(self, host, asked_at):
        self.store_calls += 1
        self.states[host].record_store_read(asked_at, era=1, now=self.now)
        self.follow(host)

    def send(self, sender, receiver, action, *args):
        self.sent[sender] += 1
        if self.rng.random() >= self.loss:
            near = self.dc_of[sender] == self.dc_of[receiver]
            transit_s = TRANSIT_S if near else FAR_TRANSIT_S
            self.at(transit_s, action, sender, receiver, *args)

    def tick(self, host):
        state = self.states[host]
        if self.now > SETTLED_S and not state.admits_keys(now=self.now):
            self.refusals[host] += 1
        if state.is_due(now=self.now):
            near = [h for h in self.groups[self.dc_of[host]] if h != host]
            sources = select_sources(
                host,
                [h for h in near if h not in self.refused] or near,
                [h for h in self.hosts if self.dc_of[h] != self.dc_of[host]],
                unanswered=state.unanswered,
                readers=CONFIGURATION_READERS,
                rng=self.rng,
            )
            state.begin_round(now=self.now)
            for source in sources:
                nonce = state.make_nonce(now=self.now)
                self.send(host, source, self.handle_query, nonce)
        self.at(TICK_S * self.rng.uniform(0.9, 1.1), self.tick, host)

    def handle_query(self, sender, receiver, nonce):
        answer = self.states[receiver].answer(now=self.now)
        if answer is not None:
            self.send(receiver, sender, self.handle_answer, nonce, answer)

    def handle_answer(self, _, receiver, nonce, answer):
        self.states[receiver].apply_answer(nonce, answer, now=self.now)


@given(
    "{count:d} nodes in {dcs:d} data centres that lose {loss:g} of their"
    " datagrams"
)
def step_network(context, count, dcs, loss):
    context.network = Network(count, dcs, loss)


@when("the store turns {share:g} of them away for {seconds:g} s")
def step_refused(context, share, seconds):
    network = context.network
    refused = network.rng.sample(network.hosts, int(share * len(network.hosts)))
    network.refused = set(refused)
    for host in network.hosts:
        if host in network.readers(host):
            network.follow(host)
    network.run(SETTLED_S)
    context.calls_before = network.store_calls
    network.sent.clear()
    network.run(SETTLED_S + seconds)
    context.seconds = seconds


@then("all of them admit keys from {start:g} s on")
def step_admit(context, start):
    assert start == SETTLED_S
    assert not context.network.refusals, context.network.refusals


@then("the store gets at most {calls:g} calls a second")
def step_store_calls(context, calls):
    count = context.network.store_calls - context.calls_before
    assert count <= calls * context.seconds * 1.05, count / context.seconds


@then(
    "a node sends at most {mean:g} datagrams a second on average and"
    " {most:g} at most"
)
def step_datagrams(context, mean, most):
    network = context.network
    rates = [network.sent[h] / context.seconds for h in network.hosts]
    found = (sum(rates) / len(rates), max(rates))
    assert found[0] <= mean and found[1] <= most, found


def make_node(version):
    state = ConfigFreshness(TERMS, rng=random.Random(3))
    state.set_version(version)
    return state


@given("a node with version {version:d} that asked a peer at {at:g} s")
def step_asked(context, version, at):
    context.state = make_node(version)
    context.nonce = context.state.make_nonce(now=at)


@given(
    "a node with version {version:d} that reads the store at {at:g} s in era"
    " {era:d}"
)
def step_node_reads(context, version, at, era):
    context.state = make_node(version)
    step_reads(context, at, era)


@when("it reads the store at {at:g} s in era {era:d}")
def step_reads(context, at, era):
    context.state.record_store_read(at, era=era, now=at)


@when("a peer reports version {version:d}")
def step_peer_version(context, version):
    context.state.record_peer_version(version)


@when("version {version:d} comes into force")
def step_in_force(context, version):
    context.state.set_version(version)


@when(
    "the answer of version {version:d} with a proof of age {age:g} s arrives at"
    " {at:g} s"
)
def step_answer(context, version, age, at):
    answer = FreshnessAnswer(version, age)
    context.state.apply_answer(context.nonce, answer, now=at)


@when("an answer to another question arrives at {at:g} s")
def step_other_answer(context, at):
    answer = FreshnessAnswer(3, 0.0)
    context.state.apply_answer(context.nonce ^ 1, answer, now=at)


@then("at {at:g} s its proof is {age:g} s old")
def step_age(context, at, age):
    found = context.state.age_s(now=at)
    assert math.isclose(found, age), found


@then("at {at:g} s it has no proof")
def step_no_proof(context, at):
    assert context.state.age_s(now=at) == math.inf


@then("at {at:g} s it {admits} keys and {denies} unknown ones")
def step_judges(context, at, admits, denies):
    state = context.state
    assert state.admits_keys(now=at) is (admits == "admits")
    assert state.denies_keys(now=at) is (denies == "denies")
