"""Exchange of full state: joining, repair, and summaries of data centres.

Every exchange is driven by the asker, one page in flight, so that a lost
page costs one timeout and a slow asker slows nobody down. The answering side
keeps no state and bounds its pages a second.
"""

import random
from collections.abc import Iterable, Sequence

import attrs

from guavawing.membership.member import Member, MemberState
from guavawing.membership.message import (
    ELSEWHERE,
    MAX_DATAGRAM_BYTES,
    SyncPage,
    SyncRequest,
    estimate_bytes,
)
from guavawing.membership.roster import Roster
from guavawing.membership.summary import is_reporter, sample_contacts
from guavawing.membership.sync import (
    Page,
    build_page,
    compute_digests,
)
from guavawing.model import Address, MemberId

__all__ = ["Exchange", "SyncSend"]

JOIN_RETRY_S = 1.0
MAX_JOIN_RETRY_S = 8.0
JOIN_CONTACTS = 2
PAGE_TIMEOUT_S = 1.0
# A member that joins hears little of others that join at the same time, so
# its first repairs follow soon.
FIRST_REPAIR_S = 2.0
REPAIR_PERIOD_S = 30.0
SUMMARY_PERIOD_S = 10.0
# Age of a summary from which members tell each other of a fresh one.
AGE_SPREAD_S = 60.0
# Age from which a summary is read whole, since the other side may have
# forgotten members that stopped meanwhile.
FULL_READ_AGE_S = 150.0
MAX_AGE_S = 30 * 86_400.0
PAGES_PER_S = 20.0
PAGE_BURST = 40.0
# Pages of one reading; a whole fleet takes fewer.
MAX_PAGES = 2_000
# Room that a page keeps for its head, beside the sender's own record.
PAGE_HEAD_BYTES = 300
JITTER = 0.25
# Share of the readings of a summary that go to contacts from the seed rows,
# which mends a view in which every known member is gone.
CONTACT_SHARE = 0.2


@attrs.frozen
class SyncSend:
    """Action: send a request or a page.

    Attributes:
        address: Where it goes.
        body: The request or the head of the page.
        page: The page itself, for a `SyncPage`.
    """

    address: Address
    body: SyncRequest | SyncPage
    page: Page | None = None


@attrs.define
class _Reading:
    """Records of a data centre that are being read.

    Attributes:
        address: Where requests go.
        whole: Whether every record is read.
        times_out_at: When the page asked for is given up, in seconds.
        cursor: Position of the page asked for.
        pages: Pages read so far.
        seen: Members read so far.
    """

    address: Address
    whole: bool
    times_out_at: float
    cursor: int = 0
    pages: int = 0
    seen: set[MemberId] = attrs.field(factory=set)


class Exchange:
    """Decides when to read which records from whom, and answers others."""

    def __init__(
        self, roster: Roster, seeds: Iterable[Address], rng: random.Random
    ) -> None:
        self._roster = roster
        self._rng = rng
        self._seeds = list(seeds)
        self._contacts: dict[str, list[Address]] = {}
        self._readings: dict[str, _Reading] = {}
        self._fresh_at: dict[str, float] = {}
        self._due_at: dict[str, float] = {}
        self._join_retry_s = JOIN_RETRY_S
        self._repair_s = FIRST_REPAIR_S
        self._pages_left = PAGE_BURST
        self._refilled_at = 0.0
        self.joined = False

    def add_contacts(
        self, data_centre: str, contacts: Iterable[Address]
    ) -> None:
        """Takes addresses at which members of a data centre may be found."""
        if data_centre != self._roster.me.data_centre:
            self._contacts[data_centre] = list(contacts)
            return
        self._add_seeds(contacts)

    def _add_seeds(self, seeds: Iterable[Address]) -> None:
        known = {*self._seeds, self._roster.me.control}
        new = [seed for seed in seeds if seed not in known]
        self._seeds += dict.fromkeys(new)
        if new and not self.joined:
            self._due_at.pop(self._roster.me.data_centre, None)
            self._readings.pop(self._roster.me.data_centre, None)

    def find_age(self, data_centre: str, *, now: float) -> float | None:
        """Returns the age of a summary in seconds; None if never read."""
        fresh_at = self._fresh_at.get(data_centre)
        return None if fresh_at is None else now - fresh_at

    def take_age(self, data_centre: str, age_s: float, *, now: float) -> None:
        """Takes word of how old another member's summary is."""
        if data_centre not in self._roster.table.data_centres():
            return
        fresh_at = now - min(age_s, MAX_AGE_S)
        known = self._fresh_at.get(data_centre)
        if known is None or fresh_at - known > AGE_SPREAD_S / 2:
            self._fresh_at[data_centre] = fresh_at
            self._roster.spread_age(data_centre, age_s)

    def tick(self, *, now: float) -> list[SyncSend]:
        """Takes the passing of time."""
        here = self._roster.me.data_centre
        for data_centre, reading in tuple(self._readings.items()):
            if now >= reading.times_out_at:
                del self._readings[data_centre]
        sends = self._read_own(now) if self._is_due(here, now) else []
        if self.joined and self._is_due(ELSEWHERE, now):
            sends += self._read_elsewhere(now)
        known = {*self._roster.table.data_centres(), *self._contacts}
        for data_centre in sorted(known):
            if data_centre != here and self._is_due(data_centre, now):
                sends += self._read_summary(data_centre, now)
        return sends

    def reset_schedule(self) -> None:
        """Has the state of this data centre read again at once."""
        self._readings.clear()
        self._due_at.clear()

    def read_from(self, address: Address, *, now: float) -> list[SyncSend]:
        """Compares states with a member that was held dead and is not."""
        here = self._roster.me.data_centre
        if here in self._readings:
            return []
        return [self._open(here, address, now, whole=False)]

    def answer(self, request: SyncRequest, *, now: float) -> list[SyncSend]:
        """Takes a request; it gets no answer above the bounded rate."""
        if not self._take_page_token(now):
            return []
        members = self._list_for(request)
        page = build_page(
            members,
            cursor=request.cursor,
            digests=request.digests,
            max_bytes=self._find_page_room(),
            sender=self._roster.me.id,
        )
        body = SyncPage(request.data_centre, page.next_cursor)
        sends = [SyncSend(request.reply_to, body, page)]
        if page.records or not request.digests:
            return sends
        # The asker may hold what this side lacks.
        if compute_digests(members) != request.digests:
            sends += self._read_back(request, now)
        return sends

    def take_page(
        self,
        page: SyncPage,
        sender: Member,
        seen: Iterable[MemberId],
        *,
        now: float,
    ) -> list[SyncSend]:
        """Takes a page whose records were merged before."""
        reading = self._readings.get(page.data_centre)
        if reading is None:
            return []
        reading.seen.update(seen)
        reading.pages += 1
        if page.next_cursor:
            # A joiner asks two members and goes on with the first. Pages
            # that don't advance otherwise, or don't end, are a broken peer's.
            advances = page.next_cursor > reading.cursor
            if not advances or reading.pages > MAX_PAGES:
                return []
            reading.address = sender.control
            return [self._ask(page.data_centre, page.next_cursor, now)]
        del self._readings[page.data_centre]
        if sender.data_centre == page.data_centre:
            self._finish(page.data_centre, reading, now)
        return []

    def is_reporter_for(self, data_centre: str) -> bool:
        """Returns whether this member exchanges with a data centre."""
        running = (member.id for member in self._roster.running())
        return is_reporter(self._roster.me.id, running, data_centre)

    def _is_due(self, data_centre: str, now: float) -> bool:
        if data_centre in self._readings:
            return False
        return now >= self._due_at.get(data_centre, now)

    def _delay(self, mean_s: float) -> float:
        return mean_s * self._rng.uniform(1 - JITTER, 1 + JITTER)

    def _read_own(self, now: float) -> list[SyncSend]:
        here = self._roster.me.data_centre
        if not self.joined:
            return self._join(now)
        self._due_at[here] = now + self._delay(self._repair_s)
        self._repair_s = min(2 * self._repair_s, REPAIR_PERIOD_S)
        running = self._roster.running()
        contacts: Sequence[Address | Member] = running
        # All members together call on a seed now and then, which mends a
        # data centre that fell into parts.
        if self._rng.random() < 1 / (len(running) + 1):
            contacts = self._seeds or running
        if not contacts:
            return []
        address = self._choose(contacts)
        return [self._open(here, address, now, whole=False)]

    def _join(self, now: float) -> list[SyncSend]:
        here = self._roster.me.data_centre
        self._due_at[here] = now + self._delay(self._join_retry_s)
        self._join_retry_s = min(2 * self._join_retry_s, MAX_JOIN_RETRY_S)
        addresses = [m.control for m in self._roster.running()] or self._seeds
        count = min(JOIN_CONTACTS, len(addresses))
        chosen = self._rng.sample(addresses, count)
        sends = [
            self._open(here, address, now, whole=True) for address in chosen
        ]
        return sends

    def _read_summary(self, data_centre: str, now: float) -> list[SyncSend]:
        self._due_at[data_centre] = now + self._delay(SUMMARY_PERIOD_S)
        contacts: Sequence[Address | Member] = self._roster.running(data_centre)
        if not contacts or self._rng.random() < CONTACT_SHARE:
            contacts = self._contacts.get(data_centre, contacts)
        if not contacts or not self.is_reporter_for(data_centre):
            return []
        age = self.find_age(data_centre, now=now)
        whole = age is None or age > FULL_READ_AGE_S
        address = self._choose(contacts)
        return [self._open(data_centre, address, now, whole=whole)]

    def _choose(self, contacts: Sequence[Address | Member]) -> Address:
        contact = self._rng.choice(contacts)
        return contact.control if isinstance(contact, Member) else contact

    def _read_back(self, request: SyncRequest, now: float) -> list[SyncSend]:
        if request.data_centre != self._roster.me.data_centre:
            return []
        return self.read_from(request.reply_to, now=now)

    def _read_elsewhere(self, now: float) -> list[SyncSend]:
        """Compares what is known of other data centres with a neighbour.

        Only reporters read from the other data centres themselves.
        """
        self._due_at[ELSEWHERE] = now + self._delay(2 * self._repair_s)
        neighbours = self._roster.running()
        if not neighbours:
            return []
        address = self._choose(neighbours)
        return [self._open(ELSEWHERE, address, now, whole=False)]

    def _list_elsewhere(self) -> list[Member]:
        here = self._roster.me.data_centre
        return [m for m in self._roster.table if m.data_centre != here]

    def _list_known(self, data_centre: str) -> list[Member]:
        if data_centre == ELSEWHERE:
            return self._list_elsewhere()
        return self._roster.table.members_in(data_centre)

    def _open(
        self, data_centre: str, address: Address, now: float, *, whole: bool
    ) -> SyncSend:
        self._readings[data_centre] = _Reading(address, whole, now)
        return self._ask(data_centre, 0, now)

    def _ask(self, data_centre: str, cursor: int, now: float) -> SyncSend:
        reading = self._readings[data_centre]
        reading.cursor = cursor
        reading.times_out_at = now + PAGE_TIMEOUT_S
        members = self._list_known(data_centre)
        digests = () if reading.whole else compute_digests(members)
        body = SyncRequest(
            data_centre, cursor, digests, self._roster.me.control
        )
        return SyncSend(reading.address, body)

    def _list_for(self, request: SyncRequest) -> list[Member]:
        members = self._list_known(request.data_centre)
        asker = self._roster.table.find(request.reply_to)
        if request.data_centre == ELSEWHERE:
            here = self._roster.me.data_centre
            near = asker is not None and asker.data_centre == here
            return members if near else []
        if asker is None or asker.data_centre == request.data_centre:
            return members
        return sample_contacts(members, data_centre=asker.data_centre)

    def _finish(self, data_centre: str, reading: _Reading, now: float) -> None:
        here = self._roster.me.data_centre
        if data_centre == here:
            self.joined = True
            return
        age = self.find_age(data_centre, now=now)
        self._fresh_at[data_centre] = now
        if age is None or age > AGE_SPREAD_S:
            self._roster.spread_age(data_centre, 0.0)
        if not reading.whole:
            return
        for member in self._roster.running(data_centre):
            if member.id not in reading.seen and member.serving:
                self._drop(member, now)

    def _drop(self, member: Member, now: float) -> None:
        claim = self._roster.make_claim(member, MemberState.DEAD)
        self._roster.take_claim(claim, now=now)

    def _find_page_room(self) -> int:
        head_bytes = PAGE_HEAD_BYTES + estimate_bytes(self._roster.me)
        return MAX_DATAGRAM_BYTES - head_bytes

    def _take_page_token(self, now: float) -> bool:
        passed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._pages_left = min(
            PAGE_BURST, self._pages_left + passed * PAGES_PER_S
        )
        if self._pages_left < 1:
            return False
        self._pages_left -= 1
        return True
