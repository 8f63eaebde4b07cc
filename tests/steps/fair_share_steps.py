"""Steps about fair shares of client accounts at the queues of targets."""

import heapq
import itertools
import math
from random import Random

import attrs
from behave import given, then, when

from guavawing.traffic.fair_share import (
    estimate_usage,
    yields_to_others,
)
from guavawing.traffic.slot_queue import (
    Admit,
    Queued,
    Refuse,
    SlotQueue,
    Waiter,
)

OWNERS, SLOTS, SERVICE_S = 8, 5, 0.2
SECONDS = 15.0
USEFUL_S, DEADLINE_S = 0.6, 1.5
TRIES = 3
# Share of its limit that an account usually sends.
USUAL_SHARE = 0.5
REPEATS = 2
REPEAT_S = 0.1
USAGE_S = 1.0
# Served requests may differ by chance between the two orders.
CHANCE = 0.02


@attrs.define
class Account:
    name: str
    rate: float
    limit: float
    level: float = 0.0
    filled_at: float = 0.0
    demand: float = 0.0
    asked_at: float = 0.0
    owed: int = 0
    served: int = 0

    def ask(self, now):
        """Returns the usage if the quota allows a request, or None."""
        self.demand *= math.exp((self.asked_at - now) / USAGE_S)
        self.demand += 1 / USAGE_S
        self.asked_at = now
        gained = (now - self.filled_at) * self.limit
        self.level = min(max(1.0, self.limit), self.level + gained)
        self.filled_at = now
        if self.level < 1:
            return None
        self.level -= 1
        return estimate_usage(self.demand, self.limit, averaged_s=USAGE_S)


@attrs.define(eq=False)
class Request:
    number: int
    account: Account
    at: float
    usage: float = 0.0
    tries: int = 0
    repeats: int = 0
    owner: int = 0


class Play:
    """Accounts, owners and clients; each request is served once at most."""

    def __init__(self, accounts, *, seed, shares):
        self.rng = Random(seed)
        self.shares = shares
        self.accounts = accounts
        self.queues = [SlotQueue() for _ in range(OWNERS)]
        for queue in self.queues:
            queue.slots, queue.service_s = SLOTS, SERVICE_S
        self.events, self.order = [], itertools.count()
        self.requests = {}

    def plan(self, at, act, *args):
        heapq.heappush(self.events, (at, next(self.order), act, args))

    def run(self):
        for account in self.accounts:
            self.plan(self.rng.expovariate(account.rate), self.arrive, account)
        while self.events:
            now, _, act, args = heapq.heappop(self.events)
            act(now, *args)

    def arrive(self, now, account):
        if now < SECONDS:
            wait_s = self.rng.expovariate(account.rate)
            self.plan(now + wait_s, self.arrive, account)
            request = Request(len(self.requests), account, now)
            self.requests[request.number] = request
            self.enter(now, request)

    def enter(self, now, request):
        usage = request.account.ask(now)
        if usage is None:
            self.repeat(now, request)
            return
        if not request.repeats:
            request.account.owed += 1
        request.usage, request.tries = usage, 0
        self.offer(now, request)

    def offer(self, now, request):
        request.tries += 1
        request.owner = self.rng.randrange(OWNERS)
        useful_until = request.at + USEFUL_S
        usage = request.usage if self.shares else 0.0
        waiter = Waiter(
            request.number,
            1,
            now > useful_until,
            request.at + DEADLINE_S,
            useful_until,
            False,
            0,
            yields_to_others(str(request.number).encode(), usage),
        )
        match self.queues[request.owner].offer(waiter, now=now):
            case Admit():
                self.begin(now, request.number)
            case Queued(start_by=start_by):
                self.plan(start_by, self.expire, request)
            case Refuse():
                self.refuse(now, request)

    def begin(self, now, number):
        held_s = SERVICE_S * self.rng.uniform(0.5, 1.5)
        self.plan(now + held_s, self.finish, self.requests[number])

    def finish(self, now, request):
        request.account.served += now <= request.at + DEADLINE_S
        queue = self.queues[request.owner]
        for admit in tuple(queue.finish(request.number, now=now)):
            self.begin(now, admit.id)

    def expire(self, now, request):
        queue = self.queues[request.owner]
        if queue.expire(request.number, now=now) is not None:
            self.refuse(now, request)

    def refuse(self, now, request):
        if request.tries < TRIES:
            self.offer(now, request)
            return
        request.account.level += 1
        self.repeat(now, request)

    def repeat(self, now, request):
        left_s = request.at + DEADLINE_S - now
        if request.repeats < REPEATS and left_s > SERVICE_S + REPEAT_S:
            request.repeats += 1
            self.plan(now + REPEAT_S, self.enter, request)


def make_accounts(load, hot, limit):
    weights = [20.0] * 3 + [1.0] * 69
    scale = load * OWNERS * SLOTS / SERVICE_S / sum(weights)
    accounts = []
    for number, weight in enumerate(weights):
        rate = weight * scale
        first = number == 0
        accounts.append(
            Account(
                str(number),
                rate * (hot if first else 1),
                rate * (limit if first else 1 / USUAL_SHARE),
            )
        )
    return accounts


@given(
    "{count:d} accounts that send {load:g} times what the targets can execute"
)
def step_accounts(context, count, load):
    assert count == len(make_accounts(load, 1, 1))
    context.load = load


@given(
    "the first one sends {hot:d} times its usual and has a limit of twice the"
    " usual"
)
def step_hot(context, hot):
    context.hot = hot


def compute_share(account):
    return min(1.0, account.served / max(1, account.owed))


@attrs.define
class Result:
    worst_tenth: float
    jain: float
    first: float
    first_usage: float
    served: int


def measure(accounts):
    first, *others = accounts
    shares = sorted(map(compute_share, others))
    tenth = shares[: len(shares) // 10]
    squares = sum(share**2 for share in shares)
    return Result(
        sum(tenth) / len(tenth),
        sum(shares) ** 2 / len(shares) / squares,
        first.served / SECONDS / first.limit,
        first.rate / first.limit,
        sum(account.served for account in accounts),
    )


@when("{count:d} seeds are played with the order by arrival and with shares")
def step_play(context, count):
    context.found = {}
    for shares in (False, True):
        results = []
        for seed in range(count):
            accounts = make_accounts(context.load, context.hot, 2)
            Play(accounts, seed=seed, shares=shares).run()
            results.append(measure(accounts))
        means = [
            sum(values) / count
            for values in zip(*map(attrs.astuple, results), strict=True)
        ]
        context.found[shares] = Result(*means)
        print("shares" if shares else "arrival", context.found[shares])


@then("the worst tenth of the other accounts is served better with shares")
def step_worst_tenth(context):
    found = context.found
    assert found[True].worst_tenth > found[False].worst_tenth, found


@then("Jain's index does not fall")
def step_jain(context):
    assert context.found[True].jain >= context.found[False].jain, context.found


@then("the first account is not starved")
def step_not_starved(context):
    first = context.found[True]
    share = 1 / (first.first_usage * max(1.0, context.load))
    assert first.first >= share / 2, context.found


@then("as many requests are served")
def step_as_many(context):
    found = context.found
    assert found[True].served >= found[False].served * (1 - CHANCE), found
