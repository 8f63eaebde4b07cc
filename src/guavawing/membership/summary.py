"""Summaries of a data centre for the others, and its reporters."""

from collections.abc import Iterable

import xxhash

from guavawing.membership.member import Member
from guavawing.model import MemberId

__all__ = ["CONTACTS_PER_SERVICE", "is_reporter", "sample_contacts"]

# Serving targets of one service in the summary for another data centre.
CONTACTS_PER_SERVICE = 8
# Members of a data centre that exchange summaries with one other data centre.
REPORTERS = 3


def _score(member_id: MemberId, key: str) -> int:
    return int(xxhash.xxh64_intdigest(f"{key}/{member_id}".encode()))


def is_reporter(
    member_id: MemberId, running: Iterable[MemberId], data_centre: str
) -> bool:
    """Returns whether a member exchanges summaries with a data centre.

    Rendezvous hashing selects the same `REPORTERS` members at all nodes with
    equal member tables. If the tables differ, additional members do the same
    work, which is harmless. If a member stops, only its share is reassigned.
    """
    own = _score(member_id, data_centre)
    above = sum(1 for other in running if _score(other, data_centre) > own)
    return above < REPORTERS


def sample_contacts(
    members: Iterable[Member], *, data_centre: str
) -> list[Member]:
    """Returns the members in the summary for a data centre.

    All stopped members are included, so that the other data centre removes
    them too.
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
