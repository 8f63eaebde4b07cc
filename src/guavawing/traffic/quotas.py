"""Quotas of client accounts, held over the whole fleet.

Answers accounts that send more than they may from many nodes at once, and many
small accounts whose requests arrive at any node. The quota of an account is
divided into parts, one or more for each data centre. The token bucket of a part
is at one node, its holder. Tokens are subtracted before they are sent, so that
lost messages and late ones never add any.

`now` is the event loop's time in seconds.
"""

import hashlib
import math
from collections.abc import Collection, Iterable
from typing import NamedTuple

import attrs

from guavawing.traffic.fair_share import estimate_usage
from guavawing.traffic.model import ClientAccount

__all__ = [
    "Bucket",
    "Deposit",
    "Part",
    "PartPlan",
    "Pull",
    "QuotaHolder",
    "TokenStock",
    "plan_part",
    "rank_hosts",
]

# Shares of the margin, the requests by which a quota may be exceeded in a
# window: for capacity beyond the burst, for the buckets of new holders and for
# tokens outside buckets. The rest is for two holders at a time.
CAPACITY_SHARE = 0.25
START_SHARE = 0.4
LIFETIME_SHARE = 0.25
# Part of what is left of the last one that goes to the capacity, and the same
# to the rate.
SPARE_SHARE = 0.45
# Changes of the holder of one part in one window that the margin covers.
STARTS_PER_WINDOW = 2
# Maximum lifetime of a token outside a bucket, in seconds.
MAX_LIFETIME_S = 0.5
# Requests per second above which a part is divided: one holder answers them in
# about one percent of a core.
MAX_PART_RATE_PER_S = 400.0
# Time over which the demand for a bucket is averaged, in seconds.
DEMAND_S = 1.0
# Time constant with which a reported demand for another part is forgotten, in
# seconds.
OTHER_DEMAND_S = 2.0
# Demand, in seconds, below which tokens of other parts are requested, which is
# then requested, and which another part keeps for itself.
LOW_DEMAND_S = 0.2
PULLED_DEMAND_S = 0.5
KEPT_DEMAND_S = 0.2
# Bounds of the time for which other parts are not asked again after all were
# empty, in seconds.
MIN_PULL_PAUSE_S = 0.05
MAX_PULL_PAUSE_S = 0.25
# Time until which refused requests are expected to come back one after the
# other, in seconds; clients that are told to wait longer have given up by then.
MAX_PROMISED_S = 2.0
# Share of the capacity below which a bucket gives no stocks.
STOCK_FLOOR = 0.5
# Pause of a process after which its buckets may have been replaced, in seconds.
MAX_PAUSE_S = 1.0
# Time for which deposits are ignored after a pause, in seconds.
IGNORE_DEPOSITS_S = 0.2
# Nodes that are asked for a token of a part, in this order.
RANKED_HOSTS = 3
# Tolerance for rounding, in tokens.
ROUNDING = 1e-6


class Part(NamedTuple):
    """A part of an account's quota inside one data centre."""

    account: str
    shard: int


@attrs.frozen
class PartPlan:
    """What each part of an account's quota may give out.

    Attributes:
        rate_per_s: Tokens that its bucket gains per second.
        capacity: Most tokens in its bucket.
        start: Tokens in the bucket of a new holder.
        share_per_s: Its part of the account's rate; below `rate_per_s` if part
            of the margin is given out.
        lifetime_s: Time for which tokens outside buckets are valid, in seconds.
        shards: Parts of the account in each data centre.
    """

    rate_per_s: float
    capacity: float
    start: float
    share_per_s: float
    lifetime_s: float
    shards: int


def plan_part(
    account: ClientAccount,
    *,
    window_s: float,
    overage: float,
    allowance: float,
    data_centres: int,
) -> PartPlan:
    """Divides the quota of an account.

    Args:
        account: Account with a rate.
        window_s: Length of the windows in which requests are counted.
        overage: Share by which the quota may be exceeded in a window.
        allowance: Requests by which it may be exceeded besides.
        data_centres: Number of data centres.
    """
    rate = account.rate_per_s
    shards = max(1, math.ceil(rate / data_centres / MAX_PART_RATE_PER_S))
    parts = data_centres * shards
    margin = overage * (rate * window_s + account.burst) + allowance
    lifetime_s = min(MAX_LIFETIME_S, LIFETIME_SHARE * margin / rate)
    # Small accounts don't need that share; their tokens are often stranded in
    # other parts instead.
    spare = LIFETIME_SHARE * margin - rate * lifetime_s
    extra = SPARE_SHARE * spare
    capacity = (account.burst + CAPACITY_SHARE * margin + extra) / parts
    start = START_SHARE * margin / (parts * STARTS_PER_WINDOW)
    # A bucket that never holds a whole token would refuse all requests.
    capacity = max(capacity, 1.0)
    return PartPlan(
        rate_per_s=(rate + extra / window_s) / parts,
        capacity=capacity,
        start=min(start, capacity),
        share_per_s=rate / parts,
        lifetime_s=lifetime_s,
        shards=shards,
    )


def rank_hosts(part: Part, hosts: Iterable[str]) -> list[str]:
    """Returns the hosts that may hold a part, the holder first.

    All nodes that know the same hosts find the same holder, and a host that is
    lost or found changes only the parts that it holds (rendezvous hashing).
    """
    key = f"{part.account}\0{part.shard}\0".encode()

    def weigh(host: str) -> bytes:
        return hashlib.blake2b(key + host.encode(), digest_size=8).digest()

    return sorted(hosts, key=weigh, reverse=True)[:RANKED_HOSTS]


@attrs.frozen
class Pull:
    """Action: ask another part of the account for tokens.

    Attributes:
        data_centre: Data centre of the other part.
        shard: Its shard.
        tokens: Tokens wanted.
        demand: Demand for the part that asks, in tokens per second.
    """

    data_centre: str
    shard: int
    tokens: float
    demand: float


@attrs.frozen
class Deposit:
    """Action: send the tokens of a part to its holder."""

    part: Part
    host: str
    tokens: float


class Bucket:
    """Token bucket of one part at its holder.

    Attributes:
        plan: What the part may give out.
        level: Tokens in the bucket, as of its last refill.
        fill_share: Share of the rate at which it gains tokens; 0 at a node
            that isn't the holder.
    """

    __slots__ = (
        "_available_at",
        "_demand",
        "_demand_at",
        "_other_demands",
        "_pull_at",
        "_pulls",
        "_updated_at",
        "fill_share",
        "level",
        "plan",
    )

    def __init__(
        self, plan: PartPlan, *, level: float, fill_share: float, now: float
    ) -> None:
        self.plan = plan
        self.level = min(level, plan.capacity)
        self.fill_share = fill_share
        self._updated_at = now
        self._demand = 0.0
        self._demand_at = now
        # Demand for the other parts, and when it was reported.
        self._other_demands: dict[tuple[str, int], tuple[float, float]] = {}
        # Time at which the tokens that refused requests were told of have all
        # been gained.
        self._available_at = now
        self._pulls = 0
        self._pull_at = now

    def refill(self, *, now: float) -> None:
        """Adds the tokens gained since the last refill."""
        gained = (now - self._updated_at) * self.plan.rate_per_s
        self.level = min(
            self.plan.capacity, self.level + gained * self.fill_share
        )
        self._updated_at = now

    def change_plan(self, plan: PartPlan, *, now: float) -> None:
        """Applies another rate and capacity at once."""
        self.refill(now=now)
        self.plan = plan
        self.level = min(self.level, plan.capacity)
        self._available_at = now

    def take(self, *, needed: float, stock: float, now: float) -> float:
        """Subtracts and returns the needed tokens and a stock; 0 if too few.

        Args:
            needed: Tokens of requests that wait for them.
            stock: Further tokens wanted; given only if the bucket has plenty.
            now: Event loop's time, in seconds.
        """
        self.refill(now=now)
        self.record_demand(needed, now=now)
        return self.take_waiting(needed=needed, stock=stock)

    def take_waiting(self, *, needed: float, stock: float = 0.0) -> float:
        """As `take`, for requests whose demand is recorded already."""
        if self.level < needed - ROUNDING:
            return 0.0
        floor = STOCK_FLOOR * self.plan.capacity
        spare = math.floor(max(0.0, self.level - needed - floor))
        tokens = needed + min(stock, spare)
        self.level -= tokens
        return tokens

    def give(self, *, tokens: float, now: float) -> float:
        """Subtracts and returns tokens for another part, which needs them."""
        self.refill(now=now)
        kept = self.find_demand(now=now) * KEPT_DEMAND_S
        given = min(tokens, max(0.0, self.level - kept))
        self.level -= given
        return given

    def deposit(self, tokens: float, *, now: float) -> None:
        """Adds tokens of another part, or of a request that did not run."""
        self.refill(now=now)
        self.level = min(self.plan.capacity, self.level + tokens)

    def find_wait_s(self, *, now: float) -> float:
        """Returns when a request that is refused now will find a token.

        The time is in seconds from now. Requests that were refused before are
        expected to come back first.
        """
        # A node that isn't the holder is soon replaced by it, or becomes it.
        rate = self.plan.rate_per_s * (self.fill_share or 1.0)
        first_at = now + max(0.0, 1 - self.level) / rate
        later_at = min(self._available_at + 1 / rate, now + MAX_PROMISED_S)
        self._available_at = max(later_at, first_at)
        return self._available_at - now

    def record_demand(self, tokens: float, *, now: float) -> None:
        """Records that requests need tokens."""
        self._demand = self.find_demand(now=now) + tokens / DEMAND_S
        self._demand_at = now

    def find_demand(self, *, now: float) -> float:
        """Returns the recent demand, in tokens per second."""
        return self._demand * math.exp((self._demand_at - now) / DEMAND_S)

    def record_other_demand(
        self, data_centre: str, shard: int, demand: float, *, now: float
    ) -> None:
        """Records the demand for another part, in tokens per second."""
        self._other_demands[data_centre, shard] = demand, now

    def find_usage(self, *, parts: int, now: float) -> float:
        """Returns the recent demand relative to the rate of the account.

        Parts that have not reported any demand count as unused; if this one
        is short of tokens it asks them, and they report it.

        Args:
            parts: Number of parts of the account.
            now: Event loop's time, in seconds.
        """
        demand = self.find_demand(now=now) + sum(
            other * math.exp((at - now) / OTHER_DEMAND_S)
            for other, at in self._other_demands.values()
        )
        return estimate_usage(
            demand, self.plan.share_per_s * parts, averaged_s=DEMAND_S
        )

    def plan_pull(self, *, others: int, denied: bool, now: float) -> float:
        """Returns the tokens to request from another part; 0 for none.

        Args:
            others: Number of other parts.
            denied: Whether a request found no token.
            now: Event loop's time, in seconds.
        """
        if not others or now < self._pull_at:
            return 0.0
        demand = self.find_demand(now=now)
        low = demand * LOW_DEMAND_S
        if not denied and (low < 1 or self.level >= low):
            return 0.0
        wanted = min(self.plan.capacity, max(1.0, demand * PULLED_DEMAND_S))
        return max(0.0, wanted - self.level)

    def record_pull(self, tokens: float, *, others: int, now: float) -> bool:
        """Records what another part gave; pauses if none gives a whole token.

        Returns:
            Whether that part may have more.
        """
        if tokens >= 1 - ROUNDING:
            self._pulls = 0
            return True
        self._pulls += 1
        if self._pulls >= others:
            self._pulls = 0
            gained_per_s = others * self.plan.rate_per_s
            pause_s = max(MIN_PULL_PAUSE_S, 1 / gained_per_s)
            self._pull_at = now + min(pause_s, MAX_PULL_PAUSE_S)
        return False


class QuotaHolder:
    """The buckets at one node, and the holders of all parts near it."""

    def __init__(
        self,
        *,
        host: str,
        data_centre: str,
        data_centres: Collection[str],
        window_s: float,
        overage: float,
        allowance: float,
        now: float,
    ) -> None:
        """Creates a holder without buckets.

        Args:
            host: Address of this node.
            data_centre: Data centre of this node.
            data_centres: All data centres.
            window_s: Length of the windows in which requests are counted.
            overage: Share by which a quota may be exceeded in a window.
            allowance: Requests by which it may be exceeded besides.
            now: Event loop's time, in seconds.
        """
        self._host = host
        self._data_centre = data_centre
        self._data_centres = sorted({data_centre, *data_centres})
        self._window_s = window_s
        self._overage = overage
        self._allowance = allowance
        self._plans: dict[str, PartPlan] = {}
        self._buckets: dict[Part, Bucket] = {}
        # When this node last gave a bucket the tokens of a new holder.
        self._started_at: dict[Part, float] = {}
        self._ranks: dict[Part, list[str]] = {}
        self._alive: frozenset[str] = frozenset({host})
        self._fill_share = 1.0
        self._view_at = now
        self._ticked_at = now
        self._ignore_deposits_until = now
        self._donors: dict[Part, int] = {}

    def set_accounts(
        self, accounts: Iterable[ClientAccount], *, now: float
    ) -> bool:
        """Applies the accounts of a version; returns whether a quota changed.

        Lower limits take effect at once.
        """
        plans = {
            account.name: plan_part(
                account,
                window_s=self._window_s,
                overage=self._overage,
                allowance=self._allowance,
                data_centres=len(self._data_centres),
            )
            for account in accounts
            if account.rate_per_s > 0
        }
        changed = plans != self._plans
        self._plans = plans
        for known in (self._started_at, self._donors, self._ranks):
            for part in [each for each in known if each.account not in plans]:
                del known[part]
        for part, bucket in tuple(self._buckets.items()):
            plan = plans.get(part.account)
            if plan is None or part.shard >= plan.shards:
                del self._buckets[part]
            elif plan != bucket.plan:
                bucket.change_plan(plan, now=now)
        return changed

    def find_plan(self, account: str) -> PartPlan | None:
        """Returns the division of an account's quota; None without one."""
        return self._plans.get(account)

    def find_part(self, account: str) -> Part:
        """Returns the part that this node uses."""
        shards = self._plans[account].shards
        if shards == 1:
            return Part(account, 0)
        digest = hashlib.blake2b(self._host.encode(), digest_size=8).digest()
        return Part(account, int.from_bytes(digest) % shards)

    def rank(self, part: Part) -> list[str]:
        """Returns the near hosts that may hold a part, the holder first."""
        ranked = self._ranks.get(part)
        if ranked is None:
            ranked = rank_hosts(part, self._alive)
            # Other nodes may ask for accounts that are not known here.
            if part.account in self._plans:
                self._ranks[part] = ranked
        return ranked

    def set_view(
        self, alive: frozenset[str], *, known: int, now: float
    ) -> list[Deposit]:
        """Applies which near nodes are alive.

        Args:
            alive: Hosts of the near nodes that are alive, this one included.
            known: Number of near nodes that are known, this one included.
            now: Event loop's time, in seconds.

        Returns:
            Tokens of parts that another node holds from now on.
        """
        share = len(alive) / known
        if alive == self._alive and share == self._fill_share:
            return []
        for bucket in self._buckets.values():
            bucket.refill(now=now)
        if alive != self._alive:
            self._alive, self._view_at = alive, now
            self._ranks.clear()
        self._fill_share = share
        deposits = []
        for part, bucket in tuple(self._buckets.items()):
            if self._holds(part):
                bucket.fill_share = share
                continue
            if bucket.fill_share:
                del self._buckets[part]
                host = self.rank(part)[0]
                deposits.append(Deposit(part, host, bucket.level))
        return deposits

    def tick(self, *, now: float) -> bool:
        """Records that the process runs; returns whether it was paused.

        Other nodes may have replaced the buckets of a paused process, which
        therefore start again.
        """
        paused = now - self._ticked_at > MAX_PAUSE_S
        self._ticked_at = now
        if paused:
            self._ignore_deposits_until = now + IGNORE_DEPOSITS_S
            for part, bucket in self._buckets.items():
                level = min(bucket.level, self._begin(part, bucket.plan, now))
                bucket.refill(now=now)
                bucket.level = level
        return paused

    def open_bucket(self, part: Part, *, now: float) -> Bucket | None:
        """Returns the bucket of a part; None if the account has no quota."""
        self.tick(now=now)
        bucket = self._buckets.get(part)
        if bucket is not None and (
            bucket.fill_share or not self._may_begin(part, now)
        ):
            return bucket
        plan = self._plans.get(part.account)
        if plan is None or part.shard >= plan.shards:
            return None
        level = self._begin(part, plan, now)
        share = 0.0
        if self._holds(part):
            share = self._fill_share
            # It was held, and not used, since these nodes are alive.
            level += (now - self._view_at) * plan.rate_per_s * share
        bucket = Bucket(plan, level=level, fill_share=share, now=now)
        self._buckets[part] = bucket
        return bucket

    def deposit(self, part: Part, tokens: float, *, now: float) -> None:
        """Adds tokens that were sent to this node."""
        bucket = self.open_bucket(part, now=now)
        if bucket is not None and now >= self._ignore_deposits_until:
            bucket.deposit(tokens, now=now)

    def hand_over(self, *, now: float) -> list[Deposit]:
        """Empties all buckets of a process that stops."""
        deposits = []
        for part, bucket in self._buckets.items():
            bucket.refill(now=now)
            heirs = [host for host in self.rank(part) if host != self._host]
            if heirs and bucket.fill_share:
                deposits.append(Deposit(part, heirs[0], bucket.level))
        self._buckets.clear()
        return deposits

    def plan_pull(self, part: Part, *, denied: bool, now: float) -> Pull | None:
        """Returns which other part to ask for tokens, if any."""
        bucket = self._buckets.get(part)
        if bucket is None:
            return None
        others = self._other_parts(part, bucket.plan)
        tokens = bucket.plan_pull(others=len(others), denied=denied, now=now)
        if tokens <= ROUNDING:
            return None
        turn = self._donors.get(part, 0)
        self._donors[part] = turn + 1
        data_centre, shard = others[turn % len(others)]
        demand = bucket.find_demand(now=now)
        return Pull(data_centre, shard, tokens, demand)

    def find_usage(self, bucket: Bucket, *, now: float) -> float:
        """Returns the recent demand for an account relative to its rate."""
        parts = len(self._data_centres) * bucket.plan.shards
        return bucket.find_usage(parts=parts, now=now)

    def finish_pull(self, part: Part, tokens: float, *, now: float) -> None:
        """Adds the tokens of another part; 0 if it gave none."""
        bucket = self._buckets.get(part)
        if bucket is None:
            return
        bucket.deposit(tokens, now=now)
        others = len(self._other_parts(part, bucket.plan))
        if bucket.record_pull(tokens, others=others, now=now):
            # It is asked first the next time.
            self._donors[part] = max(0, self._donors.get(part, 1) - 1)

    def _other_parts(self, part: Part, plan: PartPlan) -> list[tuple[str, int]]:
        near = self._data_centre
        return [
            (data_centre, shard)
            for data_centre in sorted(
                self._data_centres, key=lambda name: name != near
            )
            for shard in range(plan.shards)
            if (data_centre, shard) != (near, part.shard)
        ]

    def _holds(self, part: Part) -> bool:
        return self.rank(part)[0] == self._host

    def _begin(self, part: Part, plan: PartPlan, now: float) -> float:
        """Returns the tokens of a new holder, at most once in a window."""
        if not self._may_begin(part, now):
            return 0.0
        self._started_at[part] = now
        return plan.start

    def _may_begin(self, part: Part, now: float) -> bool:
        started_at = self._started_at.get(part)
        return started_at is None or now - started_at >= self._window_s


@attrs.define
class _Stock:
    tokens: float = 0.0
    expires_at: float = 0.0
    used_per_s: float = 0.0
    used_at: float = 0.0
    refused_until: float = 0.0
    available_at: float = 0.0
    usage: float = 0.0


class TokenStock:
    """Tokens that an entry node has received and not used yet."""

    def __init__(self) -> None:
        self._stocks: dict[str, _Stock] = {}

    def clear(self) -> None:
        """Drops all tokens and refusals."""
        self._stocks.clear()

    def take(self, account: str, *, now: float) -> float | None:
        """Uses a token; returns when it would have expired, None without one.

        Args:
            account: Name of the account.
            now: Event loop's time, in seconds.
        """
        stock = self._stocks.setdefault(account, _Stock(used_at=now))
        elapsed_s = now - stock.used_at
        stock.used_per_s *= math.exp(-elapsed_s / DEMAND_S)
        stock.used_per_s += 1 / DEMAND_S
        stock.used_at = now
        if now >= stock.expires_at or stock.tokens < 1 - ROUNDING:
            return None
        stock.tokens -= 1
        return stock.expires_at

    def find_wanted(self, account: str, *, lifetime_s: float) -> int:
        """Returns the tokens that are likely to be used in half a lifetime."""
        stock = self._stocks.get(account)
        return 0 if stock is None else int(stock.used_per_s * lifetime_s / 2)

    def add(
        self,
        account: str,
        tokens: float,
        *,
        expires_at: float,
        usage: float = 0.0,
        now: float,
    ) -> None:
        """Adds tokens that expire at a time.

        Args:
            account: Name of the account.
            tokens: Tokens for later requests.
            expires_at: Event loop's time at which they expire.
            usage: Recent demand of the account relative to its share.
            now: Event loop's time, in seconds.
        """
        if tokens <= 0 or now >= expires_at:
            return
        stock = self._stocks.setdefault(account, _Stock(used_at=now))
        if stock.tokens <= 0 or now >= stock.expires_at:
            stock.tokens, stock.expires_at = tokens, expires_at
        else:
            stock.tokens += tokens
            stock.expires_at = min(stock.expires_at, expires_at)
        stock.usage = usage

    def find_usage(self, account: str) -> float:
        """Returns the usage that came with the last tokens."""
        stock = self._stocks.get(account)
        return 0.0 if stock is None else stock.usage

    def refuse(
        self, account: str, *, until: float, available_at: float
    ) -> None:
        """Records a refusal of the holder.

        Args:
            account: Name of the account.
            until: Event loop's time until which the holder isn't asked again.
            available_at: Time at which it expects to have a token.
        """
        stock = self._stocks.get(account)
        if stock is not None:
            stock.refused_until = until
            stock.available_at = available_at

    def find_refusal_s(self, account: str, *, now: float) -> float | None:
        """Returns the time until a token is expected; None if unknown.

        It is known for a short time after a refusal of the holder.
        """
        stock = self._stocks.get(account)
        if stock is None or now >= stock.refused_until:
            return None
        return stock.available_at - now
