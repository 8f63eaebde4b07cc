"""Full-state exchange: digests by bucket and pages of records.

Records are ordered by a hash of their id; a bucket is a range of hashes. Two
members compare the digests of all buckets and exchange only the buckets that
differ, page by page. Each page is one datagram.
"""

import heapq
from collections.abc import Iterable, Sequence

import attrs
import xxhash

from guavawing.membership.member import Member
from guavawing.membership.message import (
    CLAIM_OVERHEAD_BYTES,
    Claim,
    estimate_bytes,
)
from guavawing.model import MemberId

__all__ = ["BUCKETS", "Page", "build_page", "compute_digests"]

BUCKETS = 64
BUCKET_SHIFT = 26


@attrs.frozen
class Page:
    """Part of the records of a data centre.

    Attributes:
        records: Records of running members.
        claims: Claims about stopped members.
        next_cursor: Position of the next page; 0 after the last one.
    """

    records: tuple[Member, ...]
    claims: tuple[Claim, ...]
    next_cursor: int


def find_position(member_id: MemberId) -> int:
    """Returns the position of a member in the order of pages, from 0."""
    return int(xxhash.xxh32_intdigest(member_id.encode()))


def compute_digests(members: Iterable[Member]) -> tuple[int, ...]:
    """Returns a digest of the running members of each bucket.

    Suspicions are excluded: they expire without an exchange.
    """
    digests = [0] * BUCKETS
    for member in members:
        if not member.running:
            continue
        bucket = find_position(member.id) >> BUCKET_SHIFT
        text = f"{member.id}/{member.incarnation}/{member.sequence}"
        digests[bucket] ^= xxhash.xxh32_intdigest(text.encode(), seed=1)
    return tuple(digests)


def build_page(
    members: Iterable[Member],
    *,
    cursor: int,
    digests: Sequence[int],
    max_bytes: int,
    sender: MemberId,
) -> Page:
    """Returns the records from `cursor` on that fit in one datagram.

    Args:
        members: All records that may be sent.
        cursor: Position of the first record.
        digests: Digests of the requester; empty to send every record.
        max_bytes: Maximum size of the page.
        sender: Accuser in the claims of the page.
    """
    members = tuple(members)
    ours = compute_digests(members) if digests else ()
    candidates = (
        (position, member)
        for member in members
        if (position := find_position(member.id)) >= cursor
        and (not digests or _differs(position, ours, digests))
    )
    # At most the number that can fit and the next one (claims are smaller than
    # records): memory for a list of the whole fleet would stay resident.
    first = heapq.nsmallest(
        max_bytes // CLAIM_OVERHEAD_BYTES + 2,
        candidates,
        key=lambda item: (item[0], item[1].id),
    )
    records: list[Member] = []
    claims: list[Claim] = []
    for position, member in first:
        update = _describe(member, sender)
        max_bytes -= estimate_bytes(update)
        if max_bytes < 0 and (records or claims):
            return Page(tuple(records), tuple(claims), position)
        if isinstance(update, Claim):
            claims.append(update)
        else:
            records.append(update)
    return Page(tuple(records), tuple(claims), 0)


def _differs(position: int, ours: Sequence[int], theirs: Sequence[int]) -> bool:
    bucket = position >> BUCKET_SHIFT
    return ours[bucket] != theirs[bucket]


def _describe(member: Member, sender: MemberId) -> Member | Claim:
    if member.running:
        return attrs.evolve(member, state=member.state.ALIVE)
    return Claim(
        member.id, member.incarnation, member.sequence, member.state, sender
    )
