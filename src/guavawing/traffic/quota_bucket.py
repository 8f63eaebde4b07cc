"""Token bucket of one part of a client account's quota.

`now` is the event loop's time in seconds.
"""

import math

from guavawing.traffic.fair_share import estimate_usage
from guavawing.traffic.quota_parts import PartPlan

__all__ = ["DEMAND_S", "ROUNDING", "Bucket"]

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
# Tolerance for rounding, in tokens.
ROUNDING = 1e-6


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
