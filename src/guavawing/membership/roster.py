"""The roster: what is believed of each member, and when it changes.

Records and claims of a member are ordered by incarnation, sequence and
state. The roster only moves up in that order, so that deliveries that are
late, doubled or out of order are harmless. Only the member itself raises its
incarnation or sequence, which is how it refutes a claim.
"""

from typing import Any

import attrs

from guavawing.membership.duplicate import RivalDetector
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
from guavawing.membership.update_queue import RumourQueue
from guavawing.model import MemberId

__all__ = ["Roster"]

# How long a stopped member is remembered, so that old records of it that
# still travel don't bring it back.
FORGET_AFTER_S = 300.0


class Roster:
    """The member table with the rules that change it.

    Attributes:
        table: The newest record of each member.
        rumours: Updates to pass on inside the data centre.
        outbound: Updates of this data centre to tell the others of.
        health: How far this member trusts its own timing.
        newcomers: Members of this data centre that became known or returned
            since the owner last emptied the list.
        rival: Whether another process may run under this node's id.
    """

    def __init__(self, me: Member, *, period_s: float) -> None:
        self._me = me
        self._period_s = period_s
        self._suspicions: dict[MemberId, Suspicion] = {}
        self._stopped_at: dict[MemberId, float] = {}
        self.table = MemberTable()
        self.pending_updates = RumourQueue()
        self.outbound: dict[MemberId, Member | Claim] = {}
        self.health = LocalHealth()
        self.newcomers: list[MemberId] = []
        self.rival = RivalDetector(me.control)
        self._publish_me()

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

    def stopped(self) -> list[Member]:
        """Returns the members of this data centre that are held dead."""
        return [
            member
            for member in self.table.members_in(self._me.data_centre)
            if member.state is MemberState.DEAD
        ]

    def describe_claim(self, member_id: MemberId) -> Claim | None:
        """Returns what is held against a member, or None."""
        member = self.table.get(member_id)
        if member is None or member.state is MemberState.ALIVE:
            return None
        return self.make_claim(member, member.state)

    def update_me(self, **changes: Any) -> None:
        """Changes this node's own record and raises its sequence."""
        me = attrs.evolve(self._me, **changes)
        sequence = me.sequence + 1
        if sequence > MAX_SEQUENCE:
            me = attrs.evolve(me, incarnation=me.incarnation + 1)
            sequence = 0
        self._me = attrs.evolve(me, sequence=sequence)
        self._publish_me()

    def apply_record(self, record: Member, *, now: float, spread: bool) -> None:
        """Takes a record that a member made of itself."""
        if record.id == self._me.id:
            self._check_own_record(record, now)
            return
        known = self.table.get(record.id)
        if known is None and not record.running:
            return
        if not self.table.merge(record):
            return
        self._suspicions.pop(record.id, None)
        self._note_life(record, now)
        if record.running and (known is None or not known.running):
            self._note_newcomer(record)
        if spread:
            self._spread(record, record.data_centre)

    def take_claim(self, claim: Claim, *, now: float) -> None:
        """Takes a claim about a member."""
        if claim.subject == self._me.id:
            self._check_own_claim(claim)
            return
        known = self.table.get(claim.subject)
        if known is None or claim.version() < known.version():
            return
        local = known.data_centre == self._me.data_centre
        sudden = known.state is MemberState.ALIVE or (
            claim.version() > known.version()
        )
        if local and sudden and claim.state is MemberState.DEAD:
            # Nobody dies here without a chance to refute: neither one
            # broken peer nor the other side of a healed cut decides alone.
            claim = attrs.evolve(claim, state=MemberState.SUSPECT)
        if claim.state is MemberState.SUSPECT and local:
            self._suspect(known, claim, now)
        else:
            self._apply_claim(known, claim, now)

    def wants_confirmation(self, member_id: MemberId) -> bool:
        """Returns whether this node's word on a suspect would count."""
        suspicion = self._suspicions.get(member_id)
        return suspicion is not None and suspicion.wants(self._me.id)

    def accuse(self, member_id: MemberId, *, now: float) -> None:
        """Takes this node's own finding that a member does not answer."""
        member = self.table.get(member_id)
        if member is not None and member.running:
            claim = self.make_claim(member, MemberState.SUSPECT)
            self.take_claim(claim, now=now)

    def expire(self, *, now: float) -> None:
        """Holds suspects dead whose time is over; forgets stopped members."""
        for member_id, suspicion in tuple(self._suspicions.items()):
            member = self.table.get(member_id)
            if member is not None and suspicion.deadline <= now:
                claim = self.make_claim(member, MemberState.DEAD)
                self._apply_claim(member, claim, now)
        for member_id, stopped_at in tuple(self._stopped_at.items()):
            if now - stopped_at > FORGET_AFTER_S:
                del self._stopped_at[member_id]
                self.table.remove(member_id)

    def distrust_timers(self, *, now: float) -> None:
        """Takes a stall of this process: its timers prove nothing.

        The suspects' refutations may wait unread in the socket, and what
        was to be said of others is old by the length of the stall.
        """
        self.health.distrust()
        self.pending_updates.drop_claims()
        for suspicion in self._suspicions.values():
            suspicion.restart(now)

    def _publish_me(self) -> None:
        self.table.merge(self._me)
        self._spread(self._me, self._me.data_centre)

    def _check_own_record(self, record: Member, now: float) -> None:
        if record.version() < self._me.version():
            return
        state = self._me.state
        foreign = attrs.evolve(record, state=state) != self._me
        # A second process that lives can't have the same address.
        if foreign and record.control != self._me.control:
            self.rival.take_foreign_record(now=now)
        if foreign or record.state > state:
            self._rise_above(record.version())

    def _check_own_claim(self, claim: Claim) -> None:
        if claim.version() < self._me.version():
            return
        if self._me.state is MemberState.LEFT:
            return
        self.health.worsen(1)
        self._rise_above(claim.version())

    def _rise_above(self, version: tuple[int, int]) -> None:
        if self.rival.found:
            # The id is the other process's now.
            return
        incarnation, sequence = version
        if incarnation > self._me.incarnation:
            # Made by an earlier process of this id, when the wall clock of
            # its VM was ahead, or by a broken peer.
            incarnation = min(incarnation + 1, MAX_INCARNATION)
        self.update_me(
            incarnation=incarnation,
            sequence=max(self._me.sequence, sequence),
        )

    def _suspect(self, known: Member, claim: Claim, now: float) -> None:
        if known.state > MemberState.SUSPECT and (
            claim.version() == known.version()
        ):
            return
        suspicion = self._suspicions.get(known.id)
        if suspicion is not None and claim.version() == known.version():
            if suspicion.confirm(claim.accuser):
                self._spread(claim, known.data_centre)
            return
        members = len(self.running()) + 1
        self._apply_claim(known, claim, now)
        self._suspicions[known.id] = Suspicion(
            claim.accuser, period_s=self._period_s, members=members, now=now
        )

    def _apply_claim(self, known: Member, claim: Claim, now: float) -> None:
        changed = attrs.evolve(
            known,
            incarnation=claim.incarnation,
            sequence=claim.sequence,
            state=claim.state,
        )
        if not self.table.merge(changed):
            return
        self._suspicions.pop(known.id, None)
        self._note_life(changed, now)
        self._spread(claim, known.data_centre)

    def _note_life(self, member: Member, now: float) -> None:
        if member.running:
            self._stopped_at.pop(member.id, None)
        else:
            self._stopped_at[member.id] = now

    def _note_newcomer(self, member: Member) -> None:
        if member.data_centre == self._me.data_centre:
            self.newcomers.append(member.id)

    def make_claim(self, member: Member, state: MemberState) -> Claim:
        """Returns a claim of this node about a member."""
        return Claim(
            member.id, member.incarnation, member.sequence, state, self._me.id
        )

    def _spread(self, update: Member | Claim, data_centre: str) -> None:
        self.pending_updates.add(update)
        if data_centre == self._me.data_centre:
            key = update.id if isinstance(update, Member) else update.subject
            self.outbound[key] = update

    def spread_age(self, data_centre: str, age_s: float) -> None:
        """Passes on the age of a data centre's summary."""
        self.pending_updates.add(SummaryAge(data_centre, int(age_s * 1000)))
