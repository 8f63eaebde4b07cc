"""Quotas of client accounts, held over the whole fleet.

Answers accounts that send more than they may from many nodes at once, and many
small accounts whose requests arrive at any node. The quota of an account is
divided into parts, one or more for each data centre. The token bucket of a part
is at one node, its holder. Tokens are subtracted before they are sent, so that
lost messages and late ones never add any.

`now` is the event loop's time in seconds.
"""

import hashlib
from collections.abc import Collection, Iterable

import attrs

from guavawing.traffic.model import ClientAccount
from guavawing.traffic.quota_bucket import ROUNDING, Bucket
from guavawing.traffic.quota_parts import (
    Part,
    PartPlan,
    plan_part,
    rank_hosts,
)

__all__ = ["Deposit", "Pull", "QuotaHolder"]

# Pause of a process after which its buckets may have been replaced, in seconds.
MAX_PAUSE_S = 1.0
# Time for which deposits are ignored after a pause, in seconds.
IGNORE_DEPOSITS_S = 0.2


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
