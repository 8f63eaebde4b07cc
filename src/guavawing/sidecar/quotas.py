"""Tokens of client accounts: asked for, given out and moved by datagrams.

A request needs a token of its account's quota before anything else is done for
it. It comes from the stock of this node, or from the holder of the part of the
quota that this node uses, see `guavawing.traffic.quotas`.
"""

import asyncio
import collections
import itertools
import random
from collections.abc import Callable, Iterable

import attrs

from guavawing.platform.settings import QuotaTerms
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.quota_messages import (
    Ask,
    Grant,
    PartDeposit,
    PartPull,
    decode_grant,
    decode_quota_request,
    encode_grant,
    encode_quota_request,
)
from guavawing.traffic.model import ClientAccount, PeerRecord
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.quota_bucket import Bucket
from guavawing.traffic.quota_parts import Part, rank_hosts
from guavawing.traffic.quotas import Deposit, Pull, QuotaHolder
from guavawing.traffic.token_stock import TokenStock

__all__ = ["OverQuota", "QuotaDecision", "Quotas", "Token", "Unanswered"]

# Time in which a near node has to answer, in seconds: above a pause of a slow
# node's event loop, as the next node can give only few tokens.
ANSWER_S = 0.025
# Time in which a pending answer has to follow, in seconds: several round trips
# between data centres.
PENDING_S = 0.25
# Time in which a holder of another part has to answer, in seconds.
PULL_S = 0.1
# Time for which a node that did not answer is asked only after others, in
# seconds.
AVOID_S = 0.2
# Time without an answer after which a near node is suspected, in seconds.
SUSPECT_AFTER_S = 0.3
# Retry-After in seconds if no node has answered: a lost holder is noticed and
# replaced within that time.
UNANSWERED_RETRY_AFTER_S = 0.5
MIN_RETRY_AFTER_S = 0.04
# Time for which a refusal of the holder is repeated without asking again, in
# seconds.
REPEAT_REFUSAL_S = 0.02
# Interval at which the near nodes that are alive are read, in seconds.
VIEW_PERIOD_S = 0.1
# Interval at which the far nodes that are alive are read, in seconds.
FAR_VIEW_PERIOD_S = 2.0
# Time after the start in which a node that has heard from no other one gives
# no tokens, in seconds: it may not know the holders yet.
SETTLING_S = 1.0
# Shortest interval between two log lines about the quota of one account, in
# seconds.
LOG_PERIOD_S = 5.0
NONCE_BITS = 32
# Deposits that are remembered, so that one that arrives twice counts once. Only
# tokens that were not used are deposited.
MAX_REMEMBERED_DEPOSITS = 2_000


@attrs.frozen
class Token:
    """The request may run.

    Attributes:
        account: Name of its account.
        expires_at: Event loop's time until which the token may be given back.
        usage: Recent demand of the account relative to its share.
    """

    account: str
    expires_at: float
    usage: float


@attrs.frozen
class OverQuota:
    """The account has no token; there is one after `wait_s`."""

    wait_s: float


@attrs.frozen
class Unanswered:
    """No holder has answered; one is expected to after `wait_s`."""

    wait_s: float


QuotaDecision = Token | OverQuota | Unanswered


@attrs.define(eq=False)
class _Request:
    """A client's request that waits for a token."""

    part: Part
    on_decision: Callable[[QuotaDecision], None] | None
    tried: list[str] = attrs.field(factory=list)
    timer: asyncio.TimerHandle | None = None


@attrs.frozen(eq=False)
class _SentAsk:
    request: _Request
    host: str
    sent_at: float


@attrs.frozen(eq=False)
class _SentPull:
    part: Part
    pull: Pull
    host: str
    sent_at: float
    timer: asyncio.TimerHandle


class Quotas:
    """Entry and holder side of the quotas at one node."""

    def __init__(
        self,
        *,
        own_record: PeerRecord,
        data_centres: Iterable[str],
        terms: QuotaTerms,
        peers: PeerTable,
        send: Callable[[bytes, str], None],
        on_suspicion: Callable[[str], None],
        log: DecisionLog,
        metrics: SidecarMetrics,
    ) -> None:
        """Creates a component without accounts.

        Args:
            own_record: This node's record.
            data_centres: All data centres.
            terms: Terms of the quotas.
            peers: The other nodes.
            send: Sends a datagram to a host.
            on_suspicion: Called with the host of a node that is silent.
            log: Receives state changes.
            metrics: Counts decisions.
        """
        self._loop = asyncio.get_running_loop()
        now = self._loop.time()
        self._host = own_record.host
        self._data_centre = own_record.data_centre
        self._peers = peers
        self._send = send
        self._on_suspicion = on_suspicion
        self._log = log
        self._metrics = metrics
        self._holder = QuotaHolder(
            host=own_record.host,
            data_centre=own_record.data_centre,
            data_centres=tuple(data_centres),
            window_s=terms.window_s,
            overage=terms.overage,
            allowance=terms.allowance,
            now=now,
        )
        self._stock = TokenStock()
        self._settled_at = now + SETTLING_S
        # Grants for an earlier process at this address have other nonces.
        self._nonces = itertools.count(random.getrandbits(NONCE_BITS))
        self._asks: dict[int, _SentAsk] = {}
        self._pulls: dict[int, _SentPull] = {}
        self._pulling: set[Part] = set()
        # Answers to asks that wait for tokens of other parts.
        self._waiting: dict[Part, collections.deque[Callable[[Grant], None]]]
        self._waiting = collections.defaultdict(collections.deque)
        # Senders and nonces of the last deposits, the oldest first.
        self._deposits: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._avoid_until: dict[str, float] = {}
        self._unanswered_since: dict[str, float] = {}
        self._far: dict[str, list[str]] = {}
        self._far_ranks: dict[tuple[str, Part], list[str]] = {}
        self._far_read_at = -FAR_VIEW_PERIOD_S
        self._logged_at: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts to follow which nodes are alive."""
        self._tick()

    def close(self) -> None:
        """Sends the tokens of this node's parts to their next holders."""
        for deposit in self._holder.hand_over(now=self._loop.time()):
            self._send_deposit(deposit)
        if self._timer is not None:
            self._timer.cancel()

    def set_accounts(self, accounts: Iterable[ClientAccount]) -> None:
        """Applies the accounts of a version that comes into force."""
        if self._holder.set_accounts(accounts, now=self._loop.time()):
            self._stock.clear()

    def has_quota(self, account: str) -> bool:
        """Returns whether the requests of an account need tokens."""
        return self._holder.find_plan(account) is not None

    def find_holder(self, account: str) -> str:
        """Returns the host that holds this node's part of a quota."""
        return self._holder.rank(self._holder.find_part(account))[0]

    def acquire(
        self, account: str, on_decision: Callable[[QuotaDecision], None]
    ) -> None:
        """Finds a token for a request.

        Args:
            account: Name of an account with a quota.
            on_decision: Called once, at once if this node can decide.
        """
        now = self._loop.time()
        expires_at = self._stock.take(account, now=now)
        if expires_at is not None:
            usage = self._stock.find_usage(account)
            self._decide(on_decision, Token(account, expires_at, usage))
            return
        refusal_s = self._stock.find_refusal_s(account, now=now)
        if refusal_s is not None:
            wait_s = max(refusal_s, MIN_RETRY_AFTER_S)
            self._decide(on_decision, OverQuota(wait_s), account)
            return
        part = self._holder.find_part(account)
        self._ask_next(_Request(part, on_decision))

    def give_back(self, token: Token) -> None:
        """Returns the token of a request that was refused and has not run."""
        now = self._loop.time()
        if now >= token.expires_at or not self.has_quota(token.account):
            return
        part = self._holder.find_part(token.account)
        host = self.find_holder(token.account)
        self._send_deposit(Deposit(part, host, 1.0))

    def handle_request(self, payload: bytes, sender: str) -> None:
        """Handles a datagram of another node that asks or gives."""
        nonce, message = decode_quota_request(payload)
        now = self._loop.time()
        match message:
            case Ask(part=part, stock=stock):
                self._serve(
                    part,
                    stock,
                    lambda grant: self._send(
                        encode_grant(nonce, grant), sender
                    ),
                )
            case PartPull():
                self._handle_pull(nonce, message, sender)
            case PartDeposit(part=part, tokens=tokens):
                if self._is_first(sender, nonce):
                    self._holder.deposit(part, tokens, now=now)

    def handle_grant(self, payload: bytes, sender: str) -> None:
        """Handles the answer of another node."""
        nonce, grant = decode_grant(payload)
        self._unanswered_since.pop(sender, None)
        self._avoid_until.pop(sender, None)
        pull = self._pulls.pop(nonce, None)
        if pull is not None:
            pull.timer.cancel()
            self._record_demand(
                pull.part,
                pull.pull.data_centre,
                pull.pull.shard,
                grant.demand,
            )
            self._finish_pull(pull, grant.tokens)
            return
        ask = self._asks.get(nonce)
        if ask is None:
            return
        if not grant.pending:
            del self._asks[nonce]
        self._handle_grant(ask, grant)

    # Entry side.

    def _ask_next(self, request: _Request) -> None:
        """Asks the next node that may have tokens."""
        now = self._loop.time()
        request.timer = None
        host = self._choose_host(request, now)
        if host is None:
            wait_s = max(UNANSWERED_RETRY_AFTER_S, self._settled_at - now)
            self._end(request, Unanswered(wait_s))
            return
        request.tried.append(host)
        account = request.part.account
        plan = self._holder.find_plan(account)
        if plan is None:
            # The account was removed meanwhile.
            self._end(request, OverQuota(UNANSWERED_RETRY_AFTER_S))
            return
        stock = self._stock.find_wanted(account, lifetime_s=plan.lifetime_s)
        ask = _SentAsk(request, host, now)
        request.timer = self._loop.call_later(
            ANSWER_S, self._handle_silence, ask
        )
        if host == self._host:
            self._serve(
                request.part,
                stock,
                lambda grant: self._handle_grant(ask, grant),
            )
            return
        nonce = self._send_request(Ask(request.part, stock), host)
        self._asks[nonce] = ask
        # An answer that comes later than this is of no use.
        self._loop.call_later(
            max(plan.lifetime_s, PENDING_S), self._asks.pop, nonce, None
        )

    def _choose_host(self, request: _Request, now: float) -> str | None:
        """Returns the next node to ask; one that was silent comes last."""
        hosts = [
            host
            for host in self._holder.rank(request.part)
            if host not in request.tried
            and (host != self._host or self._is_settled(now))
        ]
        return min(
            hosts,
            key=lambda host: self._avoid_until.get(host, 0.0) > now,
            default=None,
        )

    def _is_settled(self, now: float) -> bool:
        return now >= self._settled_at or any(
            peer.last_seen_at is not None for peer in self._peers.near()
        )

    def _handle_silence(self, ask: _SentAsk) -> None:
        """Asks another node after one has not answered."""
        host, now = ask.host, self._loop.time()
        if host != self._host:
            self._avoid_until[host] = now + AVOID_S
            since = self._unanswered_since.setdefault(host, ask.sent_at)
            if now - since > SUSPECT_AFTER_S:
                del self._unanswered_since[host]
                self._on_suspicion(host)
        self._ask_next(ask.request)

    def _handle_grant(self, ask: _SentAsk, grant: Grant) -> None:
        request, now = ask.request, self._loop.time()
        account = request.part.account
        if grant.pending:
            if request.timer is not None:
                request.timer.cancel()
                request.timer = self._loop.call_later(
                    PENDING_S, self._handle_silence, ask
                )
            return
        plan = self._holder.find_plan(account)
        lifetime_s = 0.0 if plan is None else plan.lifetime_s
        # Counted from the ask, as the time of the answer isn't known here.
        expires_at = ask.sent_at + lifetime_s
        tokens = grant.tokens
        if request.on_decision is not None:
            tokens = self._apply_grant(ask, grant, expires_at)
        self._stock.add(
            account,
            tokens,
            expires_at=expires_at,
            usage=grant.usage,
            now=now,
        )

    def _apply_grant(
        self, ask: _SentAsk, grant: Grant, expires_at: float
    ) -> float:
        """Decides on the request of an ask; returns the tokens left over."""
        request, now = ask.request, self._loop.time()
        account = request.part.account
        if grant.tokens < 1:
            self._stock.refuse(
                account,
                until=now + min(grant.wait_s, REPEAT_REFUSAL_S),
                available_at=now + grant.wait_s,
            )
            wait_s = max(grant.wait_s, MIN_RETRY_AFTER_S)
            self._end(request, OverQuota(wait_s))
        elif now < expires_at or ask.host == self._host:
            self._end(request, Token(account, expires_at, grant.usage))
        else:
            # The wait for tokens of other parts was longer than their lifetime.
            self._end(request, OverQuota(MIN_RETRY_AFTER_S))
        return max(0.0, grant.tokens - 1)

    def _end(self, request: _Request, decision: QuotaDecision) -> None:
        if request.timer is not None:
            request.timer.cancel()
            # A pending answer of another node must not start it again.
            request.timer = None
        on_decision, request.on_decision = request.on_decision, None
        if on_decision is not None:
            self._decide(on_decision, decision, request.part.account)

    def _decide(
        self,
        on_decision: Callable[[QuotaDecision], None],
        decision: QuotaDecision,
        account: str = "",
    ) -> None:
        match decision:
            case Token():
                self._metrics.count_quota_decision("granted")
            case OverQuota():
                self._metrics.count_quota_decision("over-quota")
                self._metrics.count_over_quota(account)
            case Unanswered():
                self._metrics.count_quota_decision("unanswered")
        on_decision(decision)

    # Holder side.

    def _serve(
        self, part: Part, stock: int, reply: Callable[[Grant], None]
    ) -> None:
        """Answers an ask; an account that isn't known gets no answer."""
        now = self._loop.time()
        bucket = self._holder.open_bucket(part, now=now)
        if bucket is None:
            return
        tokens = 0.0
        if self._waiting.get(part):
            bucket.record_demand(1.0, now=now)
        else:
            tokens = bucket.take(needed=1.0, stock=stock, now=now)
        if tokens:
            reply(Grant(tokens, usage=self._holder.find_usage(bucket, now=now)))
            self._pull(part, denied=False)
            return
        self._waiting[part].append(reply)
        if self._pull(part, denied=True):
            reply(Grant(0.0, pending=True))
        else:
            self._answer_waiting(part)

    def _pull(self, part: Part, *, denied: bool) -> bool:
        """Asks other parts for tokens; returns whether any is asked."""
        while part not in self._pulling:
            now = self._loop.time()
            pull = self._holder.plan_pull(part, denied=denied, now=now)
            if pull is None:
                return False
            other = Part(part.account, pull.shard)
            host = self._find_donor(pull, other)
            if host is None:
                self._holder.finish_pull(part, 0.0, now=now)
            elif host == self._host:
                bucket = self._holder.open_bucket(other, now=now)
                assert bucket is not None
                tokens = bucket.give(tokens=pull.tokens, now=now)
                self._holder.finish_pull(part, tokens, now=now)
                if tokens:
                    return False
            else:
                message = PartPull(
                    other,
                    pull.tokens,
                    self._data_centre,
                    part.shard,
                    pull.demand,
                )
                nonce = self._send_request(message, host)
                timer = self._loop.call_later(
                    PULL_S, self._handle_silent_donor, nonce
                )
                self._pulls[nonce] = _SentPull(part, pull, host, now, timer)
                self._pulling.add(part)
        return True

    def _find_donor(self, pull: Pull, other: Part) -> str | None:
        """Returns the node to ask for tokens of another part."""
        now = self._loop.time()
        if pull.data_centre == self._data_centre:
            ranked = self._holder.rank(other)
        else:
            if now - self._far_read_at >= FAR_VIEW_PERIOD_S:
                self._read_far(now)
            key = pull.data_centre, other
            ranked = self._far_ranks.get(key, [])
            if not ranked:
                hosts = self._far.get(pull.data_centre, ())
                ranked = self._far_ranks[key] = rank_hosts(other, hosts)
        return min(
            ranked,
            key=lambda host: self._avoid_until.get(host, 0.0) > now,
            default=None,
        )

    def _read_far(self, now: float) -> None:
        self._far_read_at = now
        self._far.clear()
        self._far_ranks.clear()
        for peer in self._peers.far():
            if peer.view.alive:
                record = peer.record
                self._far.setdefault(record.data_centre, []).append(record.host)

    def _handle_silent_donor(self, nonce: int) -> None:
        pull = self._pulls.pop(nonce, None)
        if pull is not None:
            # That a far node is lost is known late.
            now = self._loop.time()
            self._avoid_until[pull.host] = now + FAR_VIEW_PERIOD_S
            self._finish_pull(pull, 0.0)

    def _finish_pull(self, pull: _SentPull, tokens: float) -> None:
        part, now = pull.part, self._loop.time()
        self._pulling.discard(part)
        plan = self._holder.find_plan(part.account)
        if plan is None or now - pull.sent_at > plan.lifetime_s:
            tokens = 0.0
        self._metrics.count_quota_pull(empty=not tokens)
        self._holder.finish_pull(part, tokens, now=now)
        self._answer_waiting(part)

    def _answer_waiting(self, part: Part) -> None:
        """Answers the asks that wait, unless another part is asked."""
        now = self._loop.time()
        bucket = self._holder.open_bucket(part, now=now)
        waiting = self._waiting.get(part)
        if bucket is None or not waiting:
            self._waiting.pop(part, None)
            return
        bucket.refill(now=now)
        self._grant_waiting(part, bucket, now)
        if waiting and self._pull(part, denied=True):
            return
        self._grant_waiting(part, bucket, now)
        if waiting:
            self._log_exhausted(part.account, bucket, now)
        for reply in self._waiting.pop(part, ()):
            wait_s = bucket.find_wait_s(now=now)
            usage = self._holder.find_usage(bucket, now=now)
            reply(Grant(0.0, wait_s, usage))

    def _grant_waiting(self, part: Part, bucket: Bucket, now: float) -> None:
        waiting = self._waiting[part]
        while waiting and (tokens := bucket.take_waiting(needed=1.0)):
            reply = waiting.popleft()
            reply(Grant(tokens, usage=self._holder.find_usage(bucket, now=now)))

    def _is_first(self, sender: str, nonce: int) -> bool:
        """Returns whether a deposit has not arrived before."""
        key = sender, nonce
        if key in self._deposits:
            return False
        self._deposits[key] = None
        if len(self._deposits) > MAX_REMEMBERED_DEPOSITS:
            self._deposits.popitem(last=False)
        return True

    def _handle_pull(self, nonce: int, pull: PartPull, sender: str) -> None:
        """Gives tokens to another part, or forwards the pull to the holder."""
        now = self._loop.time()
        part, reply_to = pull.part, pull.reply_to or sender
        holder = self._holder.rank(part)[0]
        if holder != self._host and not pull.reply_to:
            forwarded = attrs.evolve(pull, reply_to=sender)
            self._send(encode_quota_request(nonce, forwarded), holder)
            return
        grant = Grant(0.0)
        bucket = self._holder.open_bucket(part, now=now)
        if bucket is not None and holder == self._host:
            self._record_demand(part, pull.data_centre, pull.shard, pull.demand)
            tokens = bucket.give(tokens=pull.tokens, now=now)
            grant = Grant(tokens, demand=bucket.find_demand(now=now))
        self._send(encode_grant(nonce, grant), reply_to)

    def _record_demand(
        self, part: Part, data_centre: str, shard: int, demand: float
    ) -> None:
        now = self._loop.time()
        bucket = self._holder.open_bucket(part, now=now)
        if bucket is not None:
            bucket.record_other_demand(data_centre, shard, demand, now=now)

    def _log_exhausted(self, account: str, bucket: Bucket, now: float) -> None:
        if now - self._logged_at.get(account, -LOG_PERIOD_S) < LOG_PERIOD_S:
            return
        self._logged_at[account] = now
        self._log.state_change(
            "quota-exhausted",
            account=account,
            per_s=round(bucket.plan.rate_per_s, 2),
            demand_per_s=round(bucket.find_demand(now=now), 2),
            fill_share=round(bucket.fill_share, 2),
        )

    # Both sides.

    def _tick(self) -> None:
        # Scheduled first, so that an error does not end the ticks.
        self._timer = self._loop.call_later(VIEW_PERIOD_S, self._tick)
        now = self._loop.time()
        if self._holder.tick(now=now):
            self._log.state_change("quota-buckets-restarted")
        near = self._peers.near()
        alive = frozenset(
            peer.record.host for peer in near if peer.view.alive
        ) | {self._host}
        for deposit in self._holder.set_view(
            alive, known=len(near) + 1, now=now
        ):
            self._send_deposit(deposit)

    def _send_deposit(self, deposit: Deposit) -> None:
        part, tokens = deposit.part, deposit.tokens
        if deposit.host == self._host:
            self._holder.deposit(part, tokens, now=self._loop.time())
        else:
            self._send_request(PartDeposit(part, tokens), deposit.host)

    def _send_request(
        self, message: Ask | PartPull | PartDeposit, host: str
    ) -> int:
        nonce = next(self._nonces)
        self._send(encode_quota_request(nonce, message), host)
        return nonce
