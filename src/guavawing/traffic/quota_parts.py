"""Parts of the quota of a client account, and which node holds each of them.

`now` is the event loop's time in seconds.
"""

import hashlib
import math
from collections.abc import Iterable
from typing import NamedTuple

import attrs

from guavawing.traffic.model import ClientAccount

__all__ = ["Part", "PartPlan", "plan_part", "rank_hosts"]

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
# Nodes that are asked for a token of a part, in this order.
RANKED_HOSTS = 3


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
