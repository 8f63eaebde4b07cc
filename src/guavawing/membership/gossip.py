"""Membership as one node sees it: probes, rumours and exchanges together."""

import random
from collections.abc import Iterable, Sequence

from guavawing.membership.detector import Detector, Outgoing
from guavawing.membership.duplicate import Rank
from guavawing.membership.exchange import Exchange, SyncSend
from guavawing.membership.member import Member, MemberState
from guavawing.membership.message import (
    ELSEWHERE,
    MAX_DATAGRAM_BYTES,
    Ack,
    Body,
    Claim,
    Datagram,
    Nack,
    Notice,
    Ping,
    PingRequest,
    Push,
    Send,
    SummaryAge,
    SyncPage,
    SyncRequest,
    estimate_bytes,
)
from guavawing.membership.reports import (
    HEAD_BYTES,
    Reports,
    select_changes,
    split_updates,
)
from guavawing.membership.roster import Roster
from guavawing.membership.summary import sample_contacts
from guavawing.membership.update_queue import Update
from guavawing.model import Address, MemberId

__all__ = ["PROBE_PERIOD_S", "TICKS_PER_PERIOD", "Gossip"]

PROBE_PERIOD_S = 1.0
TICKS_PER_PERIOD = 5
FANOUT = 3
# Members that a leaving one tells itself.
LEAVE_FANOUT = 8
# Members of another data centre that a reporter tells of a change.
REMOTE_FANOUT = 2
REMOTE_DATAGRAMS_PER_TICK = 4
# Ticks without the event loop's turn after which the loop is late, and
# probe periods after which this process has stalled.
LATE_TICKS = 3
STALL_PERIODS = 1.5
MS_PER_S = 1000


class Gossip:
    """The membership machine of one node.

    Events come in by method call with the time as `now`; what is to be sent
    comes back. `tick` is due `TICKS_PER_PERIOD` times in a probe period.
    """

    def __init__(
        self,
        me: Member,
        seeds: Iterable[Address],
        rng: random.Random,
        *,
        period_s: float = PROBE_PERIOD_S,
    ) -> None:
        self._rng = rng
        self._period_s = period_s
        self._roster = Roster(me, period_s=period_s)
        self._detector = Detector(self._roster, rng, period_s=period_s)
        others = (seed for seed in seeds if seed != me.control)
        self._exchange = Exchange(self._roster, others, rng)
        self._notice = Notice(0, b"")
        self._seen_at: float | None = None
        self._reports = Reports()
        self.table = self._roster.table

    @property
    def me(self) -> Member:
        """This node's own record."""
        return self._roster.me

    @property
    def joined(self) -> bool:
        """Whether a member of the data centre has told its whole state."""
        return self._exchange.joined

    @property
    def replaced(self) -> bool:
        """Whether another process goes on under this id; never unset.

        This one has to stop: it refutes nothing any more.
        """
        return self._roster.rival.found

    @property
    def rank(self) -> Rank | None:
        """Rank of this process among those under its id; None at first."""
        return self._roster.rival.rank

    @property
    def health_score(self) -> int:
        """How far this node doubts its own timing; 0 if not at all."""
        return self._roster.health.score

    def suspects_duplicate(self, *, now: float) -> bool:
        """Returns whether peers tell of another process under this id."""
        return self._roster.rival.is_suspected(now=now)

    def mark_replaced(self) -> None:
        """Takes the proof that another process goes on under this id."""
        self._roster.rival.found = True

    def summary_age(self, data_centre: str, *, now: float) -> float | None:
        """Returns the age of a summary in seconds; None if never read."""
        return self._exchange.find_age(data_centre, now=now)

    def add_contacts(
        self, data_centre: str, contacts: Iterable[Address]
    ) -> None:
        """Takes addresses at which members of a data centre may be found."""
        self._exchange.add_contacts(data_centre, contacts)

    def set_notice(self, notice: Notice) -> None:
        """Sets the version that the datagrams tell of."""
        self._notice = notice

    def set_target(self, *, serving: bool, slots: int) -> None:
        """Sets whether this node's target takes new calls, and how many."""
        self._roster.update_me(serving=serving, slots=slots)

    def leave(self) -> list[Send]:
        """Tells other members that this node stops."""
        self._roster.update_me(state=MemberState.LEFT, serving=False)
        return self._push_to_some(LEAVE_FANOUT) + self._report()

    def announce(self) -> list[Send]:
        """Tells a few members of this node's news and version at once."""
        sends = self._push_to_some(FANOUT)
        for data_centre in self._other_centres():
            if self._exchange.is_reporter_for(data_centre):
                sends += self._push(data_centre, 1, ())
        return sends

    def tick(self, *, now: float) -> list[Send]:
        """Takes the passing of a tick."""
        self._observe(now)
        if self.me.state is MemberState.LEFT:
            return self._push_to_some(FANOUT) if self._has_news() else []
        self._roster.expire(now=now)
        sends = self._pack(self._detector.tick(now=now))
        sends += self._pack_reads(self._exchange.tick(now=now))
        if self._has_news():
            sends += self._push_to_some(FANOUT)
        return sends + self._report()

    def receive(self, datagram: Datagram, *, now: float) -> list[Send]:
        """Takes a datagram from another member."""
        self._observe(now)
        if datagram.sender == self.me.id:
            return []
        self._detector.hear(now=now)
        self._roster.rival.hear(
            self.me.incarnation, joined=self.joined, now=now
        )
        stopped = self._is_held_dead(datagram.sender)
        self._take_updates(datagram, now)
        if self.me.state is MemberState.LEFT:
            return []
        sends = self._take_body(datagram, now)
        if stopped and not self._is_held_dead(datagram.sender):
            sends += self._meet_again(datagram.sender, now)
        return sends

    def _is_held_dead(self, member_id: MemberId) -> bool:
        member = self.table.get(member_id)
        return member is not None and member.state is MemberState.DEAD

    def _meet_again(self, member_id: MemberId, now: float) -> list[Send]:
        """Takes the return of a member, maybe with all on its side."""
        member = self.table.get(member_id)
        if member is None or member.data_centre != self.me.data_centre:
            return []
        reads = self._exchange.read_from(member.control, now=now)
        return self._pack_reads(reads)

    def _tell_accused(self, records: Iterable[Member]) -> list[Send]:
        """Tells members that the sender holds alive what is held here.

        Only they can refute it, and nobody on their side of a cut may know.
        """
        accused = []
        for record in records:
            known = self.table.get(record.id)
            if known is None or known.version() != record.version():
                continue
            if known.state is MemberState.DEAD:
                accused.append((known.control, known.id, Push()))
        return self._pack(accused)

    def _take_updates(self, datagram: Datagram, now: float) -> None:
        # A joiner, or a reader of a neighbour's state, reads what others
        # know already.
        match datagram.body:
            case SyncPage(data_centre=name):
                spread = self.joined and name != ELSEWHERE
            case _:
                spread = True
        for record in datagram.records:
            self._roster.apply_record(record, now=now, spread=spread)
        for claim in datagram.claims:
            self._roster.take_claim(claim, now=now)
        for age in datagram.ages:
            self._exchange.take_age(
                age.data_centre, age.age_ms / MS_PER_S, now=now
            )

    def _take_body(self, datagram: Datagram, now: float) -> list[Send]:
        sender = datagram.sender
        match datagram.body:
            case Ping() as ping:
                return self._pack(self._detector.answer(ping, sender))
            case PingRequest() as request:
                return self._pack(self._detector.relay(request, now=now))
            case Ack() as ack:
                return self._pack(self._detector.take_ack(ack))
            case Nack() as nack:
                self._detector.take_nack(nack, sender)
                return []
            case SyncRequest() as request:
                answers = self._exchange.answer(request, now=now)
                return self._pack_reads(answers)
            case SyncPage() as page:
                return self._take_page(page, datagram, now)
            case Push():
                return []

    def _take_page(
        self, page: SyncPage, datagram: Datagram, now: float
    ) -> list[Send]:
        member = self.table.get(datagram.sender)
        if member is None:
            return []
        seen = [record.id for record in datagram.records]
        seen += [claim.subject for claim in datagram.claims]
        reads = self._exchange.take_page(page, member, seen, now=now)
        return self._pack_reads(reads) + self._tell_accused(datagram.records)

    def _observe(self, now: float) -> None:
        """Compares the time with the last event to find a late process."""
        last, self._seen_at = self._seen_at, now
        if last is None:
            return
        gap_s = now - last
        if gap_s > STALL_PERIODS * self._period_s:
            self._detector.forget()
            self._roster.distrust_timers(now=now)
            self._exchange.reset_schedule()
        elif gap_s > LATE_TICKS * self._period_s / TICKS_PER_PERIOD:
            self._roster.health.worsen(1)

    def _has_news(self) -> bool:
        return len(self._roster.pending_updates) > 0

    def _other_centres(self) -> list[str]:
        here = self.me.data_centre
        return [name for name in self.table.data_centres() if name != here]

    def _push_to_some(self, count: int) -> list[Send]:
        # Suspects hear of their suspicion with pings. Copies for them would
        # be lost to the others if many have stopped at once.
        trusted = [
            member
            for member in self._roster.running()
            if member.state is MemberState.ALIVE
        ]
        chosen = self._rng.sample(trusted, min(count, len(trusted)))
        return self._pack(
            [(member.control, member.id, Push()) for member in chosen]
        )

    def _report(self) -> list[Send]:
        """Tells other data centres of changes in this one."""
        changes = self._reports.take(self._roster.outbound)
        self._roster.outbound.clear()
        if not changes:
            return []
        sends: list[Send] = []
        members = self.table.members_in(self.me.data_centre)
        for data_centre in self._other_centres():
            if not self._exchange.is_reporter_for(data_centre):
                continue
            sample = sample_contacts(members, data_centre=data_centre)
            told = select_changes(changes, {m.id for m in sample})
            for part in split_updates(told)[:REMOTE_DATAGRAMS_PER_TICK]:
                sends += self._push(data_centre, REMOTE_FANOUT, part)
        return sends

    def _push(
        self, data_centre: str, count: int, updates: Sequence[Update]
    ) -> list[Send]:
        contacts = self._roster.running(data_centre)
        chosen = self._rng.sample(contacts, min(count, len(contacts)))
        datagram = self._make_datagram(Push(), updates)
        return [Send(member.control, datagram) for member in chosen]

    def _pack(self, outgoing: Iterable[Outgoing]) -> list[Send]:
        return [
            Send(address, self._fill(body, receiver, address))
            for address, receiver, body in outgoing
        ]

    def _fill(
        self, body: Body, receiver: MemberId, address: Address
    ) -> Datagram:
        """Returns a datagram with what its receiver should hear.

        A receiver that is suspected or held dead is told so first, since
        only it can refute that. One that is known at another address is
        told the record that is held of its id, maybe of a second process.
        """
        room = MAX_DATAGRAM_BYTES - HEAD_BYTES
        claim = self._roster.describe_claim(receiver)
        updates: list[Update] = []
        if claim is not None:
            updates.append(claim)
            room -= estimate_bytes(claim)
        known = self.table.get(receiver)
        if known is not None and known.control != address:
            updates.append(known)
            room -= estimate_bytes(known)
        if self._has_news():
            members = len(self._roster.running()) + 1
            news = self._roster.pending_updates.take(
                max_bytes=room, members=members
            )
            updates += [update for update in news if update not in updates]
        return self._make_datagram(body, updates)

    def _pack_reads(self, reads: Iterable[SyncSend]) -> list[Send]:
        sends = []
        for read in reads:
            updates: list[Update] = [self.me]
            if read.page is not None:
                updates += read.page.records
                updates += read.page.claims
            else:
                receiver = self.table.find(read.address)
                claim = receiver and self._roster.describe_claim(receiver.id)
                updates += [claim] if claim else []
            datagram = self._make_datagram(read.body, updates)
            sends.append(Send(read.address, datagram))
        return sends

    def _make_datagram(self, body: Body, updates: Iterable[Update]) -> Datagram:
        records: list[Member] = []
        claims: list[Claim] = []
        ages: list[SummaryAge] = []
        for update in updates:
            match update:
                case Member():
                    records.append(update)
                case Claim():
                    claims.append(update)
                case SummaryAge():
                    ages.append(update)
        return Datagram(
            self.me.id,
            body,
            self._notice,
            tuple(records),
            tuple(claims),
            tuple(ages),
        )
