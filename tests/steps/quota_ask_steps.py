"""Steps about late answers to an entry node that asks for tokens."""

import asyncio

from behave import given, then, when

from guavawing.platform.settings import QuotaTerms
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.mesh_codec import QUOTA_REQUEST, find_kind
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.quota_messages import (
    Ask,
    Grant,
    PartDeposit,
    PartPull,
    decode_quota_request,
    encode_grant,
    encode_quota_request,
)
from guavawing.sidecar.quotas import Quotas, Token
from guavawing.traffic.model import ClientAccount, PeerRecord
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.quota_parts import Part
from standins.simulated_time_loop import open_simulated_time_loop

OWN_HOST = "10.0.0.1"
HOSTS = tuple(f"10.0.0.{number}" for number in range(1, 6))
TERMS = QuotaTerms(window_s=5.0, overage=0.1, allowance=20.0)
RATE_PER_S, BURST = 20.0, 20.0
# Above the time after which a node counts as silent.
SILENCE_S = 0.03


class Asker:
    """The quotas of one node, and what it sends."""

    def __init__(self):
        records = [PeerRecord(h, h, 1, "dc1", "desk", 1) for h in HOSTS]
        now = asyncio.get_running_loop().time()
        peers = PeerTable(
            records[0], OwnerView(OWN_HOST, local=True, near=True)
        )
        for record in records[1:]:
            peer = peers.apply_record(record, now=now)
            peers.record_liveness(peer, now=now)
        self.asks, self.suspected, self.decisions = [], [], []
        self.quotas = Quotas(
            own_record=records[0],
            data_centres=("dc1",),
            terms=TERMS,
            peers=peers,
            send=self.record,
            on_suspicion=self.suspected.append,
            log=DecisionLog(node=OWN_HOST),
            metrics=SidecarMetrics(),
        )
        self.quotas.start()
        self.account = self.find_account()
        self.quotas.acquire(self.account, self.decisions.append)

    def find_account(self):
        """Returns an account for which only other nodes are asked."""
        names = [f"account-{number}" for number in range(100)]
        self.quotas.set_accounts(
            ClientAccount(name, frozenset(), rate_per_s=RATE_PER_S, burst=BURST)
            for name in names
        )
        holder = self.quotas._holder
        return next(
            name
            for name in names
            if OWN_HOST not in holder.rank(holder.find_part(name))
        )

    def record(self, payload, host):
        if find_kind(payload) != QUOTA_REQUEST:
            return
        nonce, message = decode_quota_request(payload)
        if isinstance(message, Ask):
            self.asks.append((nonce, host))

    def answer(self, number, grant):
        nonce, host = self.asks[number]
        self.quotas.handle_grant(encode_grant(nonce, grant), host)


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


async def begin():
    asker = Asker()
    await asyncio.sleep(SILENCE_S)
    assert len(asker.asks) == 2, asker.asks
    return asker


@given(
    "a request that asks a second node for a token since a first one is silent"
)
def step_asks(context):
    opened = open_simulated_time_loop()
    context.loop = opened.__enter__()
    context.add_cleanup(opened.__exit__, None, None, None)
    context.asker = run(context, begin())


async def answer(asker, number, grant, seconds=0.0):
    await asyncio.sleep(seconds)
    asker.answer(number, grant)


@when("the second node grants a token")
def step_second_grants(context):
    run(context, answer(context.asker, 1, Grant(1.0)))
    [decision] = context.asker.decisions
    assert isinstance(decision, Token), decision


@when("the first node answers {seconds:g} s later that its answer is pending")
def step_first_pending(context, seconds):
    pending = Grant(0.0, pending=True)
    run(context, answer(context.asker, 0, pending, seconds))


@when("the first node grants a token {seconds:g} s later")
def step_first_grants(context, seconds):
    run(context, answer(context.asker, 0, Grant(1.0), seconds))


@then("no third node is asked and no node suspected within {seconds:g} s")
def step_no_third(context, seconds):
    asker = context.asker
    run(context, asyncio.sleep(seconds))
    assert len(asker.asks) == 2, asker.asks
    assert asker.suspected == [], asker.suspected
    assert len(asker.decisions) == 1, asker.decisions


async def hold():
    asker = Asker()
    holder = asker.quotas._holder
    names = (f"account-{number}" for number in range(100))
    name = next(n for n in names if asker.quotas.find_holder(n) == OWN_HOST)
    asker.part = holder.find_part(name)
    asker.bucket = holder.open_bucket(asker.part, now=0.0)
    asker.bucket.level = 0.0
    return asker


@given("a node with an empty bucket")
def step_holder(context):
    opened = open_simulated_time_loop()
    context.loop = opened.__enter__()
    context.add_cleanup(opened.__exit__, None, None, None)
    context.asker = run(context, hold())


@when(
    "a datagram that gives it {tokens:g} tokens arrives twice, and another one"
    " once"
)
def step_deposits(context, tokens):
    asker = context.asker
    for nonce in (1, 1, 2):
        message = PartDeposit(asker.part, tokens)
        payload = encode_quota_request(nonce, message)
        asker.quotas.handle_request(payload, HOSTS[1])


@then("its bucket has {tokens:g} tokens")
def step_level(context, tokens):
    assert context.asker.bucket.level == tokens, context.asker.bucket.level


def make_account(number):
    return ClientAccount(
        f"other-{number}", frozenset(), rate_per_s=RATE_PER_S, burst=BURST
    )


@when(
    "{count:d} versions replace all accounts, and others ask for unknown ones"
)
def step_replace(context, count):
    quotas = context.asker.quotas
    for number in range(count):
        account = make_account(number)
        quotas.set_accounts([account])
        quotas.find_holder(account.name)
        pull = PartPull(Part(f"unknown-{number}", 0), 1.0, "dc1", 0, 1.0)
        payload = encode_quota_request(number, pull)
        quotas.handle_request(payload, HOSTS[1])


@then("it keeps the holders of no account but those in force")
def step_holders(context):
    ranks = context.asker.quotas._holder._ranks
    assert {part.account for part in ranks} <= {"other-49"}, len(ranks)
