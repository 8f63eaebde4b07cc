"""The state of each member and the rules that change it.

Records and claims of a member are ordered by incarnation, sequence and
state. The state of a member only advances in that order, so late, duplicated
and reordered messages are harmless. Only the member itself increases its
incarnation or sequence, which is how it refutes a claim.
"""

from typing import Any

import attrs

from guavawing.membership.duplicate import DuplicateDetector
from guavawing.membership.health import LocalHealth
from guavawing.membership.member import (
    MAX_INCARNATION,
    MAX_SEQUENCE,
    Member,
    MemberState,
)
from guavawing.membership.message import Claim, SummaryAge
from guavawing.membership.suspicion import Suspicion
from guavawing.membership.table import MemberTable
from guavawing.membership.update_queue import UpdateQueue
from guavawing.model import MemberId

__all__ = ["Roster"]

# How long a stopped member is kept, so that old records of it that are still
# being disseminated do not restore it.
STOPPED_RETENTION_S = 300.0


class Roster:
    """The member table with the rules that change it.

    Attributes:
        table: The newest record of each member.
        pending_updates: Updates to disseminate in this data centre.
        outbound: Updates of this data centre to send to the others.
        health: Estimate of this member's own timeliness.
        new_members: Members of this data centre that were added or returned
            since the detector last cleared the list.
        duplicates: Detects another process with this node's id.
    """

    def __init__(self, me: Member, *, period_s: float) -> None:
        self._me = me
        self._period_s = period_s
        self._suspicions: dict[MemberId, Suspicion] = {}
        self._stopped_at: dict[MemberId, float] = {}
        self.table = MemberTable()
        self.pending_updates = UpdateQueue()
        self.outbound: dict[MemberId, Member | Claim] = {}
        self.health = LocalHealth()
        self.new_members: list[MemberId] = []
        self.duplicates = DuplicateDetector(me.control)
        self._publish_own_record()

    @property
    def me(self) -> Member:
        """This node's own record."""
        return self._me

    def running(self, data_centre: str | None = None) -> list[Member]:
        """Returns the running members of a data centre, without this one.

        Args:
            data_centre: The data centre; None for this node's own.
        """
        return [
            member
            for member in self.table.members_in(
                data_centre or self._me.data_centre
            )
            if member.running and member.id != self._me.id
        ]

    def dead(self) -> list[Member]:
        """Returns the members of this data centre that are marked dead."""
        return [
            member
            for member in self.table.members_in(self._me.data_centre)
            if member.state is MemberState.DEAD
        ]

    def find_claim(self, member_id: MemberId) -> Claim | None:
        """Returns the claim about a member that is not alive, or None."""
        member = self.table.get(member_id)
        if member is None or member.state is MemberState.ALIVE:
            return None
        return self.make_claim(member, member.state)

    def update_own_record(self, **changes: Any) -> None:
        """Changes this node's own record and increments its sequence."""
        me = attrs.evolve(self._me, **changes)
        sequence = me.sequence + 1
        if sequence > MAX_SEQUENCE:
            me = attrs.evolve(me, incarnation=me.incarnation + 1)
            sequence = 0
        self._me = attrs.evolve(me, sequence=sequence)
        self._publish_own_record()

    def apply_record(
        self, record: Member, *, now: float, disseminate: bool
    ) -> None:
        """Applies a record that a member made of itself."""
        if record.id == self._me.id:
            self._check_own_record(record, now)
            return
        known = self.table.get(record.id)
        if known is None and not record.running:
            return
        if not self.table.merge(record):
            return
        self._suspicions.pop(record.id, None)
        self._update_stop_time(record, now)
        if record.running and (known is None or not known.running):
            self._record_new_member(record)
        if disseminate:
            self._disseminate(record, record.data_centre)

    def apply_claim(self, claim: Claim, *, now: float) -> None:
        """Applies a claim about a member."""
        if claim.subject == self._me.id:
            self._check_own_claim(claim)
            return
        known = self.table.get(claim.subject)
        if known is None or claim.version() < known.version():
            return
        local = known.data_centre == self._me.data_centre
        unsuspected = known.state is MemberState.ALIVE or (
            claim.version() > known.version()
        )
        if local and unsuspected and claim.state is MemberState.DEAD:
            # A local member is suspected first, so that it can refute: neither
            # a single faulty peer nor the other side of a healed partition
            # may mark it dead.
            claim = attrs.evolve(claim, state=MemberState.SUSPECT)
        if claim.state is MemberState.SUSPECT and local:
            self._apply_suspicion(known, claim, now)
        else:
            self._merge_claim(known, claim, now)

    def can_confirm(self, member_id: MemberId) -> bool:
        """Returns whether this node can confirm a suspicion."""
        suspicion = self._suspicions.get(member_id)
        return suspicion is not None and suspicion.accepts(self._me.id)

    def suspect(self, member_id: MemberId, *, now: float) -> None:
        """Suspects a running member that did not answer this node."""
        member = self.table.get(member_id)
        if member is not None and member.running:
            claim = self.make_claim(member, MemberState.SUSPECT)
            self.apply_claim(claim, now=now)

    def expire(self, *, now: float) -> None:
        """Marks expired suspects dead; removes members after the retention."""
        for member_id, suspicion in tuple(self._suspicions.items()):
            member = self.table.get(member_id)
            if member is not None and suspicion.deadline <= now:
                claim = self.make_claim(member, MemberState.DEAD)
                self._merge_claim(member, claim, now)
        for member_id, stopped_at in tuple(self._stopped_at.items()):
            if now - stopped_at > STOPPED_RETENTION_S:
                del self._stopped_at[member_id]
                self.table.remove(member_id)

    def handle_stall(self, *, now: float) -> None:
        """Restarts suspicions after a stall of this process.

        Refutations of suspects may be unread in the socket buffer, and queued
        claims about other members are outdated by the length of the stall.
        """
        self.health.record_stall()
        self.pending_updates.drop_claims()
        for suspicion in self._suspicions.values():
            suspicion.restart(now)

    def _publish_own_record(self) -> None:
        self.table.merge(self._me)
        self._disseminate(self._me, self._me.data_centre)

    def _check_own_record(self, record: Member, now: float) -> None:
        if record.version() < self._me.version():
            return
        state = self._me.state
        foreign = attrs.evolve(record, state=state) != self._me
        # A second live process cannot have the same address.
        if foreign and record.control != self._me.control:
            self.duplicates.record_foreign(now=now)
        if foreign or record.state > state:
            self._refute(record.version())

    def _check_own_claim(self, claim: Claim) -> None:
        if claim.version() < self._me.version():
            return
        if self._me.state is MemberState.LEFT:
            return
        self.health.worsen(1)
        self._refute(claim.version())

    def _refute(self, version: tuple[int, int]) -> None:
        if self.duplicates.found:
            # The other process continues with this id.
            return
        incarnation, sequence = version
        if incarnation > self._me.incarnation:
            # From an earlier process with this id while the clock of its VM
            # was ahead, or from a faulty peer.
            incarnation = min(incarnation + 1, MAX_INCARNATION)
        self.update_own_record(
            incarnation=incarnation,
            sequence=max(self._me.sequence, sequence),
        )

    def _apply_suspicion(self, known: Member, claim: Claim, now: float) -> None:
        if known.state > MemberState.SUSPECT and (
            claim.version() == known.version()
        ):
            return
        suspicion = self._suspicions.get(known.id)
        if suspicion is not None and claim.version() == known.version():
            if suspicion.confirm(claim.accuser):
                self._disseminate(claim, known.data_centre)
            return
        members = len(self.running()) + 1
        self._merge_claim(known, claim, now)
        self._suspicions[known.id] = Suspicion(
            claim.accuser, period_s=self._period_s, members=members, now=now
        )

    def _merge_claim(self, known: Member, claim: Claim, now: float) -> None:
        changed = attrs.evolve(
            known,
            incarnation=claim.incarnation,
            sequence=claim.sequence,
            state=claim.state,
        )
        if not self.table.merge(changed):
            return
        self._suspicions.pop(known.id, None)
        self._update_stop_time(changed, now)
        self._disseminate(claim, known.data_centre)

    def _update_stop_time(self, member: Member, now: float) -> None:
        if member.running:
            self._stopped_at.pop(member.id, None)
        else:
            self._stopped_at[member.id] = now

    def _record_new_member(self, member: Member) -> None:
        if member.data_centre == self._me.data_centre:
            self.new_members.append(member.id)

    def make_claim(self, member: Member, state: MemberState) -> Claim:
        """Returns a claim about a member with this node as accuser."""
        return Claim(
            member.id, member.incarnation, member.sequence, state, self._me.id
        )

    def _disseminate(self, update: Member | Claim, data_centre: str) -> None:
        self.pending_updates.add(update)
        if data_centre == self._me.data_centre:
            key = update.id if isinstance(update, Member) else update.subject
            self.outbound[key] = update

    def disseminate_age(self, data_centre: str, age_s: float) -> None:
        """Disseminates the age of a data centre's summary."""
        self.pending_updates.add(SummaryAge(data_centre, int(age_s * 1000)))
