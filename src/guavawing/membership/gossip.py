"""Membership at one node: probes, dissemination and full-state exchange."""

import random
from collections.abc import Iterable, Sequence

from guavawing.membership.detector import Detector, Outgoing
from guavawing.membership.duplicate import Rank
from guavawing.membership.exchange import Exchange, SyncSend
from guavawing.membership.member import Member, MemberState
from guavawing.membership.message import (
    MAX_DATAGRAM_BYTES,
    OTHER_DATA_CENTRES,
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
    HEADER_BYTES,
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
# Members to which a leaving member sends its record.
LEAVE_FANOUT = 8
# Members of another data centre to which a reporter sends a change.
REMOTE_FANOUT = 2
REMOTE_DATAGRAMS_PER_TICK = 4
# Time between two events above which the event loop is late, in ticks, and
# above which this process has stalled, in probe periods.
LATE_TICKS = 3
STALL_PERIODS = 1.5
MS_PER_S = 1000


class Gossip:
    """The membership state machine of one node.

    Each event is a method call with the current time as `now`, which returns
    the datagrams to send. `tick` is due `TICKS_PER_PERIOD` times per probe
    period.
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
        self._last_event_at: float | None = None
        self._reports = Reports()
        self.table = self._roster.table

    @property
    def me(self) -> Member:
        """This node's own record."""
        return self._roster.me

    @property
    def joined(self) -> bool:
        """Whether the full state of a member of the data centre was read."""
        return self._exchange.joined

    @property
    def replaced(self) -> bool:
        """Whether another process continues with this id; never reset.

        This process must stop: it no longer refutes claims.
        """
        return self._roster.duplicates.found

    @property
    def rank(self) -> Rank | None:
        """Rank of this process among those with its id; None at first."""
        return self._roster.duplicates.rank

    @property
    def health_score(self) -> int:
        """Local health score of this node; 0 if healthy."""
        return self._roster.health.score

    def suspects_duplicate(self, *, now: float) -> bool:
        """Returns whether records of another process with this id arrive."""
        return self._roster.duplicates.is_suspected(now=now)

    def mark_replaced(self) -> None:
        """Records proof that another process continues with this id."""
        self._roster.duplicates.found = True

    def summary_age(self, data_centre: str, *, now: float) -> float | None:
        """Returns the age of a summary in seconds; None if never read."""
        return self._exchange.find_age(data_centre, now=now)

    def add_contacts(
        self, data_centre: str, contacts: Iterable[Address]
    ) -> None:
        """Sets addresses at which members of a data centre may be found."""
        self._exchange.add_contacts(data_centre, contacts)

    def set_notice(self, notice: Notice) -> None:
        """Sets the version announced by datagrams."""
        self._notice = notice

    def set_target(self, *, serving: bool, slots: int) -> None:
        """Sets whether this node's target accepts new calls, and its slots."""
        self._roster.update_own_record(serving=serving, slots=slots)

    def leave(self) -> list[Send]:
        """Announces to other members that this node stops."""
        self._roster.update_own_record(state=MemberState.LEFT, serving=False)
        return self._push_to_random(LEAVE_FANOUT) + self._report()

    def announce(self) -> list[Send]:
        """Sends pending updates and the notice to `FANOUT` members at once."""
        sends = self._push_to_random(FANOUT)
        for data_centre in self._other_data_centres():
            if self._exchange.is_reporter_for(data_centre):
                sends += self._push(data_centre, 1, ())
        return sends

    def tick(self, *, now: float) -> list[Send]:
        """Handles a tick; returns the datagrams to send."""
        self._check_timing(now)
        if self.me.state is MemberState.LEFT:
            return self._push_to_random(FANOUT) if self._has_updates() else []
        self._roster.expire(now=now)
        sends = self._pack(self._detector.tick(now=now))
        sends += self._pack_reads(self._exchange.tick(now=now))
        if self._has_updates():
            sends += self._push_to_random(FANOUT)
        return sends + self._report()

    def receive(self, datagram: Datagram, *, now: float) -> list[Send]:
        """Handles a datagram from another member."""
        self._check_timing(now)
        if datagram.sender == self.me.id:
            return []
        self._detector.record_receipt(now=now)
        self._roster.duplicates.record_receipt(
            self.me.incarnation, joined=self.joined, now=now
        )
        stopped = self._is_marked_dead(datagram.sender)
        self._apply_updates(datagram, now)
        if self.me.state is MemberState.LEFT:
            return []
        sends = self._handle_body(datagram, now)
        if stopped and not self._is_marked_dead(datagram.sender):
            sends += self._handle_return(datagram.sender, now)
        return sends

    def _is_marked_dead(self, member_id: MemberId) -> bool:
        member = self.table.get(member_id)
        return member is not None and member.state is MemberState.DEAD

    def _handle_return(self, member_id: MemberId, now: float) -> list[Send]:
        """Reads the state of a returned member after a healed partition."""
        member = self.table.get(member_id)
        if member is None or member.data_centre != self.me.data_centre:
            return []
        reads = self._exchange.read_from(member.control, now=now)
        return self._pack_reads(reads)

    def _notify_accused(self, records: Iterable[Member]) -> list[Send]:
        """Sends the claim to members that are marked dead only here.

        Only they can refute it, and the claim may not have reached their side
        of a partition.
        """
        accused = []
        for record in records:
            known = self.table.get(record.id)
            if known is None or known.version() != record.version():
                continue
            if known.state is MemberState.DEAD:
                accused.append((known.control, known.id, Push()))
        return self._pack(accused)

    def _apply_updates(self, datagram: Datagram, now: float) -> None:
        # Records read while joining, or of other data centres from a neighbour,
        # are already known in this data centre.
        match datagram.body:
            case SyncPage(data_centre=name):
                disseminate = self.joined and name != OTHER_DATA_CENTRES
            case _:
                disseminate = True
        for record in datagram.records:
            self._roster.apply_record(record, now=now, disseminate=disseminate)
        for claim in datagram.claims:
            self._roster.apply_claim(claim, now=now)
        for age in datagram.ages:
            self._exchange.apply_age(
                age.data_centre, age.age_ms / MS_PER_S, now=now
            )

    def _handle_body(self, datagram: Datagram, now: float) -> list[Send]:
        sender = datagram.sender
        match datagram.body:
            case Ping() as ping:
                return self._pack(self._detector.handle_ping(ping, sender))
            case PingRequest() as request:
                return self._pack(
                    self._detector.handle_ping_request(request, now=now)
                )
            case Ack() as ack:
                return self._pack(self._detector.handle_ack(ack))
            case Nack() as nack:
                self._detector.handle_nack(nack, sender)
                return []
            case SyncRequest() as request:
                answers = self._exchange.handle_request(request, now=now)
                return self._pack_reads(answers)
            case SyncPage() as page:
                return self._handle_page(page, datagram, now)
            case Push():
                return []

    def _handle_page(
        self, page: SyncPage, datagram: Datagram, now: float
    ) -> list[Send]:
        member = self.table.get(datagram.sender)
        if member is None:
            return []
        seen = [record.id for record in datagram.records]
        seen += [claim.subject for claim in datagram.claims]
        reads = self._exchange.handle_page(page, member, seen, now=now)
        return self._pack_reads(reads) + self._notify_accused(datagram.records)

    def _check_timing(self, now: float) -> None:
        """Detects late timers and stalls by the time since the last event."""
        last, self._last_event_at = self._last_event_at, now
        if last is None:
            return
        gap_s = now - last
        if gap_s > STALL_PERIODS * self._period_s:
            self._detector.cancel_probes()
            self._roster.handle_stall(now=now)
            self._exchange.reset_schedule()
        elif gap_s > LATE_TICKS * self._period_s / TICKS_PER_PERIOD:
            self._roster.health.worsen(1)

    def _has_updates(self) -> bool:
        return len(self._roster.pending_updates) > 0

    def _other_data_centres(self) -> list[str]:
        own_data_centre = self.me.data_centre
        return [
            name
            for name in self.table.data_centres()
            if name != own_data_centre
        ]

    def _push_to_random(self, count: int) -> list[Send]:
        # Suspects are notified by pings. If many members have stopped at once,
        # copies of updates sent to suspects would be lost for the others.
        alive = [
            member
            for member in self._roster.running()
            if member.state is MemberState.ALIVE
        ]
        chosen = self._rng.sample(alive, min(count, len(alive)))
        return self._pack(
            [(member.control, member.id, Push()) for member in chosen]
        )

    def _report(self) -> list[Send]:
        """Sends changes in this data centre to the others."""
        changes = self._reports.tick(self._roster.outbound)
        self._roster.outbound.clear()
        if not changes:
            return []
        sends: list[Send] = []
        members = self.table.members_in(self.me.data_centre)
        for data_centre in self._other_data_centres():
            if not self._exchange.is_reporter_for(data_centre):
                continue
            sample = sample_contacts(members, data_centre=data_centre)
            relevant = select_changes(changes, {m.id for m in sample})
            for part in split_updates(relevant)[:REMOTE_DATAGRAMS_PER_TICK]:
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
        """Returns a datagram with the updates for its receiver.

        The claim about a receiver that is suspected or marked dead comes
        first, since only the receiver can refute it. If the receiver's id is
        known at another address, that record is added: it may be of a second
        process.
        """
        room = MAX_DATAGRAM_BYTES - HEADER_BYTES
        claim = self._roster.find_claim(receiver)
        updates: list[Update] = []
        if claim is not None:
            updates.append(claim)
            room -= estimate_bytes(claim)
        known = self.table.get(receiver)
        if known is not None and known.control != address:
            updates.append(known)
            room -= estimate_bytes(known)
        if self._has_updates():
            members = len(self._roster.running()) + 1
            selected = self._roster.pending_updates.select(
                max_bytes=room, members=members
            )
            updates += [update for update in selected if update not in updates]
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
                claim = receiver and self._roster.find_claim(receiver.id)
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
