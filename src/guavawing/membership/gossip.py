"""Gossip between members: heartbeats, records and version notices."""

import random
from collections.abc import Iterable

import attrs

from guavawing.membership.member import Member, MemberState
from guavawing.membership.message import Datagram, Notice, Send
from guavawing.membership.table import MemberTable
from guavawing.model import Address, MemberId

__all__ = ["Gossip"]

FANOUT = 2
RECORDS_PER_DATAGRAM = 12
DEAD_AFTER_S = 5.0
FORGET_AFTER_S = 60.0


class Gossip:
    """Membership as one node sees it.

    The member raises its own sequence with every tick, so a record that
    stays the same for `DEAD_AFTER_S` belongs to a member that has stopped.
    """

    def __init__(
        self, me: Member, seeds: Iterable[Address], rng: random.Random
    ) -> None:
        self._me = me
        self._seeds = tuple(seeds)
        self._rng = rng
        self._heard_at: dict[MemberId, float] = {}
        self._notice = Notice(0, b"")
        self.table = MemberTable()
        self.table.merge(me)

    @property
    def me(self) -> Member:
        """This node's own record."""
        return self._me

    def set_notice(self, notice: Notice) -> None:
        """Sets the version that the datagrams tell of."""
        self._notice = notice

    def set_target(self, *, serving: bool, slots: int) -> None:
        """Sets whether this node's target takes new calls, and how many."""
        self._update_me(serving=serving, slots=slots)

    def leave(self) -> list[Send]:
        """Tells other members that this node stops."""
        self._update_me(state=MemberState.LEFT, serving=False)
        return self._send_to_some(len(self.table), reply_wanted=False)

    def announce(self) -> list[Send]:
        """Tells a few members of this node's version at once."""
        return self._send_to_some(FANOUT, reply_wanted=False)

    def tick(self, *, now: float) -> list[Send]:
        """Takes the passing of one gossip period."""
        if self._me.state is MemberState.ALIVE:
            self._update_me()
        self._judge_silence(now)
        sends = self._send_to_some(FANOUT, reply_wanted=True)
        if len(self.table) == 1 or self._rng.random() < 1 / len(self.table):
            sends += self._send_to_seeds()
        return sends

    def receive(self, datagram: Datagram, *, now: float) -> list[Send]:
        """Takes a datagram from another member."""
        for record in datagram.records:
            self._take_record(record, now)
        sender = self.table.get(datagram.sender)
        if not datagram.reply_wanted or sender is None:
            return []
        return [Send(sender.control, self._make_datagram(reply_wanted=False))]

    def _take_record(self, record: Member, now: float) -> None:
        if record.id == self._me.id:
            self._refute(record)
            return
        if self.table.merge(record):
            self._heard_at[record.id] = now

    def _refute(self, record: Member) -> None:
        if record.precedence() <= self._me.precedence():
            return
        self._update_me(
            incarnation=max(self._me.incarnation, record.incarnation),
            sequence=max(self._me.sequence, record.sequence),
        )

    def _judge_silence(self, now: float) -> None:
        for member in self.table:
            if member.id == self._me.id:
                continue
            silence_s = now - self._heard_at.get(member.id, now)
            if silence_s > FORGET_AFTER_S:
                self.table.remove(member.id)
                continue
            alive = member.state is MemberState.ALIVE
            if alive and silence_s > DEAD_AFTER_S:
                dead = attrs.evolve(member, state=MemberState.DEAD)
                self.table.merge(dead)

    def _update_me(self, **changes: object) -> None:
        changes["sequence"] = (
            max(self._me.sequence, int(str(changes.get("sequence", 0)))) + 1
        )
        self._me = attrs.evolve(self._me, **changes)  # type: ignore[arg-type]
        self.table.merge(self._me)

    def _send_to_some(self, count: int, *, reply_wanted: bool) -> list[Send]:
        others = [
            member
            for member in self.table
            if member.id != self._me.id and member.state is MemberState.ALIVE
        ]
        chosen = self._rng.sample(others, min(count, len(others)))
        datagram = self._make_datagram(reply_wanted=reply_wanted)
        return [Send(member.control, datagram) for member in chosen]

    def _send_to_seeds(self) -> list[Send]:
        datagram = self._make_datagram(reply_wanted=True)
        return [
            Send(seed, datagram)
            for seed in self._seeds
            if seed != self._me.control
        ]

    def _make_datagram(self, *, reply_wanted: bool) -> Datagram:
        others = [m for m in self.table if m.id != self._me.id]
        count = min(RECORDS_PER_DATAGRAM, len(others))
        records = (self._me, *self._rng.sample(others, count))
        return Datagram(self._me.id, records, self._notice, reply_wanted)
