"""Exchange of full state: joining, repair, and summaries of data centres.

Each exchange is driven by the requester with one page in flight, so that a
lost page costs one timeout and a slow requester delays no other member. The
answering side is stateless and limits its pages per second.
"""

import random
from collections.abc import Iterable, Sequence

import attrs

from guavawing.membership.member import Member, MemberState
from guavawing.membership.message import (
    MAX_DATAGRAM_BYTES,
    OTHER_DATA_CENTRES,
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
# A joining member receives few records of others that join at the same time, so
# its first repairs are due earlier than later ones.
FIRST_REPAIR_S = 2.0
REPAIR_PERIOD_S = 30.0
SUMMARY_PERIOD_S = 10.0
# Age of a summary above which its renewal is disseminated.
DISSEMINATED_AGE_S = 60.0
# Age above which a summary is read in full, since the other data centre may
# have removed members that stopped meanwhile.
FULL_READ_AGE_S = 150.0
MAX_AGE_S = 30 * 86_400.0
PAGES_PER_S = 20.0
PAGE_BURST = 40.0
# Maximum pages of one reading; a whole fleet needs fewer.
MAX_PAGES = 2_000
# Space reserved in a page for its header, besides the sender's own record.
PAGE_HEADER_BYTES = 300
JITTER = 0.25
# Share of the readings of a summary that use contacts from the seed rows, which
# restores the view when all known members have stopped.
CONTACT_SHARE = 0.2


@attrs.frozen
class SyncSend:
    """Action: send a request or a page.

    Attributes:
        address: Address of the receiver.
        body: The request or the header of the page.
        page: The page itself, for a `SyncPage`.
    """

    address: Address
    body: SyncRequest | SyncPage
    page: Page | None = None


@attrs.define
class _Reading:
    """State of reading the records of a data centre.

    Attributes:
        address: Address to which requests are sent.
        full: Whether every record is read.
        times_out_at: When the requested page times out, in seconds.
        cursor: Position of the requested page.
        pages: Number of pages read so far.
        seen: Members read so far.
    """

    address: Address
    full: bool
    times_out_at: float
    cursor: int = 0
    pages: int = 0
    seen: set[MemberId] = attrs.field(factory=set)


class Exchange:
    """Schedules reads of records from other members and answers theirs."""

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
        """Sets addresses at which members of a data centre may be found."""
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

    def apply_age(self, data_centre: str, age_s: float, *, now: float) -> None:
        """Applies the age of a summary as received from another member."""
        if data_centre not in self._roster.table.data_centres():
            return
        fresh_at = now - min(age_s, MAX_AGE_S)
        known = self._fresh_at.get(data_centre)
        if known is None or fresh_at - known > DISSEMINATED_AGE_S / 2:
            self._fresh_at[data_centre] = fresh_at
            self._roster.disseminate_age(data_centre, age_s)

    def tick(self, *, now: float) -> list[SyncSend]:
        """Handles due timers; returns the requests to send."""
        own_data_centre = self._roster.me.data_centre
        for data_centre, reading in tuple(self._readings.items()):
            if now >= reading.times_out_at:
                del self._readings[data_centre]
        sends = (
            self._read_own(now) if self._is_due(own_data_centre, now) else []
        )
        if self.joined and self._is_due(OTHER_DATA_CENTRES, now):
            sends += self._read_from_neighbour(now)
        known = {*self._roster.table.data_centres(), *self._contacts}
        for data_centre in sorted(known):
            if data_centre != own_data_centre and self._is_due(
                data_centre, now
            ):
                sends += self._read_summary(data_centre, now)
        return sends

    def reset_schedule(self) -> None:
        """Cancels all readings and makes the next ones due at once."""
        self._readings.clear()
        self._due_at.clear()

    def read_from(self, address: Address, *, now: float) -> list[SyncSend]:
        """Reads the state of a member that is no longer marked dead."""
        own_data_centre = self._roster.me.data_centre
        if own_data_centre in self._readings:
            return []
        return [self._start_reading(own_data_centre, address, now, full=False)]

    def handle_request(
        self, request: SyncRequest, *, now: float
    ) -> list[SyncSend]:
        """Answers a request unless the rate limit is exceeded."""
        if not self._acquire_page_token(now):
            return []
        members = self._list_for(request)
        page = build_page(
            members,
            cursor=request.cursor,
            digests=request.digests,
            max_bytes=self._page_capacity_bytes(),
            sender=self._roster.me.id,
        )
        body = SyncPage(request.data_centre, page.next_cursor)
        sends = [SyncSend(request.reply_to, body, page)]
        if page.records or not request.digests:
            return sends
        # The requester may have records that this member lacks.
        if compute_digests(members) != request.digests:
            sends += self._read_back(request, now)
        return sends

    def handle_page(
        self,
        page: SyncPage,
        sender: Member,
        seen: Iterable[MemberId],
        *,
        now: float,
    ) -> list[SyncSend]:
        """Handles a page whose records have already been merged."""
        reading = self._readings.get(page.data_centre)
        if reading is None:
            return []
        reading.seen.update(seen)
        reading.pages += 1
        if page.next_cursor:
            # A joining member sends requests to two members and continues
            # with the first to answer. Other pages that do not advance, or
            # too many pages, come from a faulty peer.
            advances = page.next_cursor > reading.cursor
            if not advances or reading.pages > MAX_PAGES:
                return []
            reading.address = sender.control
            return [self._request_page(page.data_centre, page.next_cursor, now)]
        del self._readings[page.data_centre]
        if sender.data_centre == page.data_centre:
            self._finish_reading(page.data_centre, reading, now)
        return []

    def is_reporter_for(self, data_centre: str) -> bool:
        """Returns whether this member exchanges summaries with it."""
        running = (member.id for member in self._roster.running())
        return is_reporter(self._roster.me.id, running, data_centre)

    def _is_due(self, data_centre: str, now: float) -> bool:
        if data_centre in self._readings:
            return False
        return now >= self._due_at.get(data_centre, now)

    def _delay(self, mean_s: float) -> float:
        return mean_s * self._rng.uniform(1 - JITTER, 1 + JITTER)

    def _read_own(self, now: float) -> list[SyncSend]:
        own_data_centre = self._roster.me.data_centre
        if not self.joined:
            return self._join(now)
        self._due_at[own_data_centre] = now + self._delay(self._repair_s)
        self._repair_s = min(2 * self._repair_s, REPAIR_PERIOD_S)
        running = self._roster.running()
        contacts: Sequence[Address | Member] = running
        # About one member per repair period reads from a seed, which rejoins
        # a partitioned data centre.
        if self._rng.random() < 1 / (len(running) + 1):
            contacts = self._seeds or running
        if not contacts:
            return []
        address = self._choose(contacts)
        return [self._start_reading(own_data_centre, address, now, full=False)]

    def _join(self, now: float) -> list[SyncSend]:
        own_data_centre = self._roster.me.data_centre
        self._due_at[own_data_centre] = now + self._delay(self._join_retry_s)
        self._join_retry_s = min(2 * self._join_retry_s, MAX_JOIN_RETRY_S)
        addresses = [m.control for m in self._roster.running()] or self._seeds
        count = min(JOIN_CONTACTS, len(addresses))
        chosen = self._rng.sample(addresses, count)
        sends = [
            self._start_reading(own_data_centre, address, now, full=True)
            for address in chosen
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
        full = age is None or age > FULL_READ_AGE_S
        address = self._choose(contacts)
        return [self._start_reading(data_centre, address, now, full=full)]

    def _choose(self, contacts: Sequence[Address | Member]) -> Address:
        contact = self._rng.choice(contacts)
        return contact.control if isinstance(contact, Member) else contact

    def _read_back(self, request: SyncRequest, now: float) -> list[SyncSend]:
        if request.data_centre != self._roster.me.data_centre:
            return []
        return self.read_from(request.reply_to, now=now)

    def _read_from_neighbour(self, now: float) -> list[SyncSend]:
        """Reads records of the other data centres from a neighbour.

        Only reporters read from the other data centres directly.
        """
        self._due_at[OTHER_DATA_CENTRES] = now + self._delay(2 * self._repair_s)
        neighbours = self._roster.running()
        if not neighbours:
            return []
        address = self._choose(neighbours)
        return [
            self._start_reading(OTHER_DATA_CENTRES, address, now, full=False)
        ]

    def _list_other_data_centres(self) -> list[Member]:
        own_data_centre = self._roster.me.data_centre
        return [
            m for m in self._roster.table if m.data_centre != own_data_centre
        ]

    def _list_known(self, data_centre: str) -> list[Member]:
        if data_centre == OTHER_DATA_CENTRES:
            return self._list_other_data_centres()
        return self._roster.table.members_in(data_centre)

    def _start_reading(
        self, data_centre: str, address: Address, now: float, *, full: bool
    ) -> SyncSend:
        self._readings[data_centre] = _Reading(address, full, now)
        return self._request_page(data_centre, 0, now)

    def _request_page(
        self, data_centre: str, cursor: int, now: float
    ) -> SyncSend:
        reading = self._readings[data_centre]
        reading.cursor = cursor
        reading.times_out_at = now + PAGE_TIMEOUT_S
        members = self._list_known(data_centre)
        digests = () if reading.full else compute_digests(members)
        body = SyncRequest(
            data_centre, cursor, digests, self._roster.me.control
        )
        return SyncSend(reading.address, body)

    def _list_for(self, request: SyncRequest) -> list[Member]:
        members = self._list_known(request.data_centre)
        requester = self._roster.table.find(request.reply_to)
        if request.data_centre == OTHER_DATA_CENTRES:
            own_data_centre = self._roster.me.data_centre
            near = (
                requester is not None
                and requester.data_centre == own_data_centre
            )
            return members if near else []
        if requester is None or requester.data_centre == request.data_centre:
            return members
        return sample_contacts(members, data_centre=requester.data_centre)

    def _finish_reading(
        self, data_centre: str, reading: _Reading, now: float
    ) -> None:
        own_data_centre = self._roster.me.data_centre
        if data_centre == own_data_centre:
            self.joined = True
            return
        age = self.find_age(data_centre, now=now)
        self._fresh_at[data_centre] = now
        if age is None or age > DISSEMINATED_AGE_S:
            self._roster.disseminate_age(data_centre, 0.0)
        if not reading.full:
            return
        for member in self._roster.running(data_centre):
            if member.id not in reading.seen and member.serving:
                self._mark_dead(member, now)

    def _mark_dead(self, member: Member, now: float) -> None:
        claim = self._roster.make_claim(member, MemberState.DEAD)
        self._roster.apply_claim(claim, now=now)

    def _page_capacity_bytes(self) -> int:
        head_bytes = PAGE_HEADER_BYTES + estimate_bytes(self._roster.me)
        return MAX_DATAGRAM_BYTES - head_bytes

    def _acquire_page_token(self, now: float) -> bool:
        passed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._pages_left = min(
            PAGE_BURST, self._pages_left + passed * PAGES_PER_S
        )
        if self._pages_left < 1:
            return False
        self._pages_left -= 1
        return True
