"""Summaries of a data centre for the others, and who exchanges them."""

from collections.abc import Iterable

import xxhash

from guavawing.membership.member import Member
from guavawing.model import MemberId

__all__ = ["CONTACTS_PER_SERVICE", "is_reporter", "sample_contacts"]

# Serving targets of one service that another data centre is told of.
CONTACTS_PER_SERVICE = 8
# Members of a data centre that exchange with one other data centre.
REPORTERS = 3


def _score(member_id: MemberId, key: str) -> int:
    return int(xxhash.xxh64_intdigest(f"{key}/{member_id}".encode()))


def is_reporter(
    member_id: MemberId, running: Iterable[MemberId], data_centre: str
) -> bool:
    """Returns whether a member exchanges summaries with a data centre.

    Rendezvous hashing picks the same few members at every node that knows
    the same members. Where views differ, a few more do the same work, which
    is harmless, and a member's death moves only its own share.
    """
    own = _score(member_id, data_centre)
    above = sum(1 for other in running if _score(other, data_centre) > own)
    return above < REPORTERS


def sample_contacts(
    members: Iterable[Member], *, data_centre: str
) -> list[Member]:
    """Returns the members that a summary for a data centre holds.

    All stopped ones are held, so that the other side hears of them.
    """
    groups: dict[str, list[Member]] = {}
    sample = []
    for member in members:
        if not member.running:
            sample.append(member)
        elif member.serving:
            groups.setdefault(member.service, []).append(member)
    for group in groups.values():
        if len(group) > CONTACTS_PER_SERVICE:
            group.sort(key=lambda m: _score(m.id, data_centre), reverse=True)
        sample += group[:CONTACTS_PER_SERVICE]
    return sample
