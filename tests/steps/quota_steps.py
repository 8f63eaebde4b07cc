"""Steps about quotas of client accounts over a fleet on a simulated clock."""

import asyncio
import bisect
import collections
from random import Random

import attrs
from behave import given, then, when

from guavawing.platform.settings import QuotaTerms
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.mesh_codec import QUOTA_REQUEST, find_kind
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.quotas import OverQuota, Quotas, Token, Unanswered
from guavawing.traffic.model import ClientAccount, PeerRecord
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable
from standins.simulated_time_loop import open_simulated_time_loop

TERMS = QuotaTerms(window_s=5.0, overage=0.1, allowance=20.0)
NEAR_S, FAR_S = 0.0003, 0.005
# Time in which the loss of a node is noticed by the near ones.
NOTICE_S = 0.5
START_S = 4.0
TRAFFIC_S = 7.0
REPEAT_S = 0.1
# A burst of small accounts; with less, one bucket would refuse them, too.
MIN_BURST = 4.0


@attrs.define(eq=False)
class Node:
    host: str
    data_centre: str
    peers: PeerTable
    record: PeerRecord
    quotas: Quotas | None = None
    lost: bool = False


@attrs.define
class Tally:
    """Requests of one account: when they came and when they might run."""

    asked: list[float] = attrs.field(factory=list)
    run: list[float] = attrs.field(factory=list)
    unanswered: int = 0
    waits: list[float] = attrs.field(factory=list)


class Fleet:
    """Nodes whose quota components exchange datagrams."""

    def __init__(self, *, data_centres, nodes, rng, loss=0.0):
        self.loop = asyncio.get_running_loop()
        self.rng = rng
        self.loss = loss
        self.cut = frozenset()
        self.accounts = []
        self.lowered_at = 0.0
        self.names = tuple(f"dc{number}" for number in range(data_centres))
        self.nodes = {}
        self.tallies = collections.defaultdict(Tally)
        self.datagrams = self.bytes = 0
        records = [
            PeerRecord(f"{dc}-{n}", f"{dc}-{n}", 1, dc, "desk", 1)
            for dc in self.names
            for n in range(nodes)
        ]
        for record in records:
            host = record.host
            view = OwnerView(host, local=True, near=True)
            peers = PeerTable(record, view)
            for other in records:
                peer = peers.apply_record(other, now=self.loop.time())
                if peer is not None:
                    peers.record_liveness(peer, now=self.loop.time())
            node = Node(host, record.data_centre, peers, record)
            self.nodes[host] = node
            self.start(node)

    def start(self, node):
        node.lost = False
        node.quotas = Quotas(
            own_record=node.record,
            data_centres=self.names,
            terms=TERMS,
            peers=node.peers,
            send=lambda payload, host: self.send(node, payload, host),
            on_suspicion=lambda host: None,
            log=DecisionLog(node=node.host),
            metrics=SidecarMetrics(),
        )
        node.quotas.set_accounts(self.accounts)
        node.quotas.start()

    def set_accounts(self, accounts):
        self.accounts = accounts
        for node in self.nodes.values():
            node.quotas.set_accounts(accounts)

    def send(self, source, payload, host):
        target = self.nodes[host]
        near = source.data_centre == target.data_centre
        apart = {source.data_centre, target.data_centre} & self.cut
        if source.lost or (apart and not near):
            return
        self.datagrams += 1
        self.bytes += len(payload)
        if self.rng.random() < self.loss:
            return
        delay = (NEAR_S if near else FAR_S) * self.rng.uniform(1, 2)
        self.loop.call_later(delay, self.deliver, source.host, target, payload)

    def deliver(self, source, target, payload):
        if target.lost:
            return
        if find_kind(payload) == QUOTA_REQUEST:
            target.quotas.handle_request(payload, source)
        else:
            target.quotas.handle_grant(payload, source)

    def kill(self, nodes):
        for node in nodes:
            node.lost = True
        self.loop.call_later(NOTICE_S, self.notice, nodes, False)

    def restart(self, nodes):
        for node in nodes:
            self.start(node)
        self.notice(nodes, True)

    def notice(self, nodes, alive):
        for node in nodes:
            for other in self.nodes.values():
                peer = other.peers.get(node.host)
                if peer is not None and node.lost != alive:
                    peer.view.alive = alive

    def acquire(self, node, account, repeats=0):
        if node.lost:
            return
        tally = self.tallies[account]
        now = self.loop.time()
        tally.asked.append(now)

        def handle(decision):
            match decision:
                case Token():
                    tally.run.append(self.loop.time())
                case OverQuota(wait_s=wait_s):
                    tally.waits.append(wait_s)
                case Unanswered():
                    tally.unanswered += 1
            if repeats and not isinstance(decision, Token):
                self.loop.call_later(
                    REPEAT_S, self.acquire, node, account, repeats - 1
                )

        if node.quotas.has_quota(account):
            node.quotas.acquire(account, handle)


def make_accounts(count, *, total, few):
    """Returns accounts whose rates add up to `total`, a few of them large."""
    weights = [40.0 if number < few else 1.0 for number in range(count)]
    scale = total / sum(weights)
    return [
        ClientAccount(
            f"account-{number}",
            frozenset(),
            rate_per_s=weight * scale,
            burst=max(MIN_BURST, weight * scale),
        )
        for number, weight in enumerate(weights)
    ]


@attrs.define
class Load:
    """Requests of all accounts for some seconds.

    Attributes:
        use: Requests as a share of the rate of each account.
        hot: Factor of the requests of the first account.
        repeats: Times that a client repeats a refused request.
        skew: Whether the clients of each account prefer one data centre.
    """

    use: float = 0.7
    hot: float = 1.0
    repeats: int = 0
    skew: bool = False


async def send_load(fleet, load, seconds):
    rng, nodes = fleet.rng, list(fleet.nodes.values())
    near = {
        name: [n for n in nodes if n.data_centre == name]
        for name in fleet.names
    }
    ends_at = fleet.loop.time() + seconds
    rates = {each.name: each.rate_per_s * load.use for each in fleet.accounts}
    first = fleet.accounts[0].name
    rates[first] *= load.hot
    homes = {name: rng.choice(fleet.names) for name in rates}
    names, weights = list(rates), list(rates.values())
    total = sum(weights)
    while fleet.loop.time() < ends_at:
        await asyncio.sleep(rng.expovariate(total))
        [name] = rng.choices(names, weights)
        prefers = load.skew and rng.random() < 0.8
        node = rng.choice(near[homes[name]] if prefers else nodes)
        fleet.acquire(node, name, load.repeats)


def find_excess(times, account):
    """Returns the most requests in any window relative to the bound."""
    bound = account.rate_per_s * TERMS.window_s + account.burst
    bound = bound * (1 + TERMS.overage) + TERMS.allowance
    run = sorted(times)
    most = max(
        (
            bisect.bisect_right(run, at + TERMS.window_s) - number
            for number, at in enumerate(run)
        ),
        default=0,
    )
    return most / bound


def count_allowed(asked, account):
    """Returns how many requests one bucket for the whole fleet would allow."""
    level, last, allowed = account.burst, 0.0, 0
    for at in sorted(asked):
        level = min(account.burst, level + (at - last) * account.rate_per_s)
        last = at
        if level >= 1:
            level -= 1
            allowed += 1
    return allowed


@attrs.define
class Result:
    excess: float
    excess_before: float
    shares: list[float]
    unanswered: int
    asked: int
    datagrams: float
    bytes: float

    @property
    def worst_tenth(self):
        count = max(1, len(self.shares) // 10)
        return sum(sorted(self.shares)[:count]) / count

    @property
    def jain(self):
        squares = sum(share * share for share in self.shares)
        return sum(self.shares) ** 2 / (len(self.shares) * squares)


def measure(fleet, accounts, seconds):
    """Measures windows under the first limits and under lowered ones."""
    shares, excess, before = [], 0.0, 0.0
    for first, account in zip(accounts, fleet.accounts, strict=True):
        tally = fleet.tallies[account.name]
        run = [at for at in tally.run if at >= fleet.lowered_at]
        asked = [at for at in tally.asked if at >= fleet.lowered_at]
        excess = max(
            excess, find_excess(tally.run, first), find_excess(run, account)
        )
        before = max(before, find_excess(asked, account))
        allowed = count_allowed(asked, account)
        if allowed:
            shares.append(min(1.0, len(run) / allowed))
    tallies = fleet.tallies.values()
    return Result(
        excess,
        before,
        shares,
        sum(tally.unanswered for tally in tallies),
        sum(len(tally.asked) for tally in tallies),
        fleet.datagrams / len(fleet.nodes) / seconds,
        fleet.bytes / len(fleet.nodes) / seconds,
    )


async def play(seed, accounts, load, *, fault=None, loss=0.0, size=(4, 5)):
    rng = Random(seed)
    fleet = Fleet(data_centres=size[0], nodes=size[1], rng=rng, loss=loss)
    fleet.set_accounts(accounts)
    await asyncio.sleep(START_S)
    if fault is not None:
        fleet.loop.call_later(TRAFFIC_S / 3, fault, fleet)
    await send_load(fleet, load, TRAFFIC_S)
    await asyncio.sleep(1.0)
    result = measure(fleet, accounts, TRAFFIC_S)
    for node in fleet.nodes.values():
        node.quotas.close()
    return result


def kill_holders(fleet):
    """Kills the holder of the largest account in each data centre."""
    nodes = []
    for name in fleet.names:
        some = next(n for n in fleet.nodes.values() if n.data_centre == name)
        holder = some.quotas.find_holder(fleet.accounts[0].name)
        nodes.append(fleet.nodes[holder])
    fleet.kill(nodes)
    fleet.loop.call_later(2.0, fleet.restart, nodes)


def lose_power(fleet):
    nodes = list(fleet.nodes.values())
    fleet.kill(nodes)
    fleet.loop.call_later(1.5, fleet.restart, nodes)


def lower_limits(fleet):
    fleet.lowered_at = fleet.loop.time()
    fleet.set_accounts(
        [
            attrs.evolve(
                each, rate_per_s=each.rate_per_s / 3, burst=each.burst / 3
            )
            for each in fleet.accounts
        ]
    )


def cut_half(fleet):
    fleet.cut = frozenset(fleet.names[: len(fleet.names) // 2])


FAULTS = {
    "none": None,
    "the holders of the largest account are killed": kill_holders,
    "all nodes lose power": lose_power,
    "all limits are lowered to a third": lower_limits,
    "half of the data centres are cut off": cut_half,
}


@given("{count:d} accounts with {total:d} requests a second, {few:d} large")
def step_accounts(context, count, total, few):
    context.accounts = make_accounts(count, total=total, few=few)
    context.load = Load()
    context.loss = 0.0
    context.fault = None


@given("their clients send {use:g} times the limits")
def step_use(context, use):
    context.load.use = use


@given("the first one sends {hot:d} times as much")
def step_hot(context, hot):
    context.load.hot = hot


@given("clients repeat {repeats:d} times at once")
def step_repeats(context, repeats):
    context.load.repeats = repeats


@given("the clients of each account prefer one data centre")
def step_skew(context):
    context.load.skew = True


@given("{percent:d} % of the datagrams are lost")
def step_loss(context, percent):
    context.loss = percent / 100


@given('during the load this happens: "{fault}"')
def step_fault(context, fault):
    context.fault = FAULTS[fault]


@when("{count:d} seeds are played")
def step_play(context, count):
    context.results = []
    for seed in range(count):
        with open_simulated_time_loop() as loop:
            coroutine = play(
                seed,
                context.accounts,
                context.load,
                fault=context.fault,
                loss=context.loss,
            )
            context.results.append(loop.run_until_complete(coroutine))
    results = context.results

    def mean(values):
        values = list(values)
        return sum(values) / len(values)

    print(
        f"bound used: worst {max(r.excess for r in results):.2f}, without"
        f" quotas {max(r.excess_before for r in results):.2f};"
        f" worst tenth {mean(r.worst_tenth for r in results):.3f},"
        f" lowest {min(r.worst_tenth for r in results):.3f};"
        f" Jain {mean(r.jain for r in results):.3f};"
        f" served {mean(mean(r.shares) for r in results):.3f};"
        f" unanswered {sum(r.unanswered for r in results)}"
        f" of {sum(r.asked for r in results)};"
        f" datagrams {mean(r.datagrams for r in results):.1f}/s"
        f" {mean(r.bytes for r in results):.0f} B/s a node"
    )


@then("no account exceeds its quota in any window")
def step_within(context):
    worst = max(result.excess for result in context.results)
    assert worst <= 1.0, worst


@then(
    "the worst tenth of accounts gets {share:g} of what it may have, and"
    " Jain's index is {jain:g}"
)
def step_served(context, share, jain):
    results = context.results
    worst = sum(r.worst_tenth for r in results) / len(results)
    index = sum(r.jain for r in results) / len(results)
    assert worst >= share, worst
    assert index >= jain, index
