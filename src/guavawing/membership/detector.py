"""Failure detection by direct and indirect probes, in the manner of SWIM."""

import itertools
import random

from guavawing.membership.member import Member, MemberState
from guavawing.membership.message import Ack, Body, Nack, Ping, PingRequest
from guavawing.membership.prober import Probe, ProbeOrder, RelayedProbe
from guavawing.membership.roster import Roster
from guavawing.model import Address, MemberId

__all__ = ["Detector"]

HELPERS = 3
# Share of the suspects met that are probed again to confirm.
CONFIRMATION_SHARE = 0.5
# Suspects that a probe period tells at most of their suspicion.
MAX_SUSPECTS_TOLD = 3
# Shares of the probe period after which helpers are asked, and after which
# a helper tells that it has no answer.
INDIRECT_SHARE = 0.4
NACK_SHARE = 0.3
# Probe periods between two pings of members held dead.
RETURN_PERIODS = 10.0
JITTER = 0.25
# Relayed probes at a time, against broken peers.
MAX_RELAYED = 64
MAX_FIRST_NUMBER = 2**31

# Receiver's address and id, and what it is sent.
Outgoing = tuple[Address, MemberId, Body]


class Detector:
    """Probes one member a period and accuses it if nobody reaches it."""

    def __init__(
        self, roster: Roster, rng: random.Random, *, period_s: float
    ) -> None:
        self._roster = roster
        self._rng = rng
        self._period_s = period_s
        self._order = ProbeOrder(rng)
        self._numbers = itertools.count(rng.randrange(MAX_FIRST_NUMBER))
        self._probe: Probe | None = None
        self._relayed: dict[int, RelayedProbe] = {}
        self._next_probe_at = 0.0
        self._heard_at = 0.0
        self._next_return_at = 0.0

    def tick(self, *, now: float) -> list[Outgoing]:
        """Takes the passing of time."""
        for member_id in self._roster.newcomers:
            self._order.insert(member_id)
        self._roster.newcomers.clear()
        sends = self._send_nacks(now) + self._probe_stopped(now)
        probe = self._probe
        if probe is not None:
            if now >= probe.ends_at:
                self._fail(probe, now)
            elif probe.helpers is None and now >= probe.indirect_at:
                sends += self._ask_helpers(probe)
        if self._probe is None and now >= self._next_probe_at:
            sends += self._start_probe(now)
        return sends

    def hear(self, *, now: float) -> None:
        """Takes the fact that another member has sent something."""
        self._heard_at = now

    def forget(self) -> None:
        """Drops every probe: this process has stalled."""
        self._probe = None
        self._relayed.clear()

    def answer(self, ping: Ping, sender: MemberId) -> list[Outgoing]:
        """Takes a ping; one for another member is not answered."""
        if ping.subject != self._roster.me.id:
            return []
        return [(ping.reply_to, sender, Ack(ping.number, ping.subject))]

    def relay(self, request: PingRequest, *, now: float) -> list[Outgoing]:
        """Takes a request to probe a member for another one."""
        if len(self._relayed) >= MAX_RELAYED:
            return []
        number = next(self._numbers)
        self._relayed[number] = RelayedProbe(
            request.subject,
            request.number,
            request.reply_to,
            now + NACK_SHARE * self._period_s,
        )
        ping = Ping(number, request.subject, self._roster.me.control)
        return [(request.address, request.subject, ping)]

    def take_ack(self, ack: Ack) -> list[Outgoing]:
        """Takes the answer to a probe, its own or a relayed one."""
        relayed = self._relayed.get(ack.number)
        if relayed is not None and relayed.subject == ack.subject:
            del self._relayed[ack.number]
            passed_on = Ack(relayed.number, ack.subject)
            return [(relayed.reply_to, "", passed_on)]
        probe = self._find_probe(ack.number, ack.subject)
        if probe is not None:
            self._probe = None
            self._roster.health.improve()
        return []

    def take_nack(self, nack: Nack, sender: MemberId) -> None:
        """Takes a helper's word that it lives but has no answer."""
        probe = self._find_probe(nack.number, nack.subject)
        if probe is not None:
            probe.nacks.add(sender)

    def _probe_stopped(self, now: float) -> list[Outgoing]:
        """Pings a member held dead now and then, which can then refute.

        Without it the two parts of a healed cut, each of which holds the
        other dead, would never speak again.
        """
        if now < self._next_return_at:
            return []
        share = self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._next_return_at = now + RETURN_PERIODS * share * self._period_s
        stopped = self._roster.stopped()
        if not stopped:
            return []
        return [self._ping(self._rng.choice(stopped), next(self._numbers))]

    def _find_probe(self, number: int, subject: MemberId) -> Probe | None:
        probe = self._probe
        if probe is None or (probe.number, probe.subject) != (number, subject):
            return None
        return probe

    def _start_probe(self, now: float) -> list[Outgoing]:
        """Pings the next member that is held alive.

        Suspects on the way are told of the suspicion. Most take no turn, so
        that many of them at once don't keep further failures from notice;
        some do, to find whether the first accuser was right.
        """
        period_s = self._period_s * self._roster.health.factor
        self._next_probe_at = now + period_s
        running = [member.id for member in self._roster.running()]
        sends: list[Outgoing] = []
        for _ in range(1 + MAX_SUSPECTS_TOLD):
            member = self._roster.table.get(self._order.pop(running) or "")
            if member is None:
                break
            number = next(self._numbers)
            sends.append(self._ping(member, number))
            if self._takes_turn(member):
                indirect_at = now + INDIRECT_SHARE * period_s
                self._probe = Probe(
                    member.id, number, indirect_at, now + period_s, now
                )
                break
        return sends

    def _takes_turn(self, member: Member) -> bool:
        if member.state is MemberState.ALIVE:
            return True
        if not self._roster.wants_confirmation(member.id):
            return False
        return self._rng.random() < CONFIRMATION_SHARE

    def _ping(self, member: Member, number: int) -> Outgoing:
        ping = Ping(number, member.id, self._roster.me.control)
        return (member.control, member.id, ping)

    def _ask_helpers(self, probe: Probe) -> list[Outgoing]:
        subject = self._roster.table.get(probe.subject)
        others = [
            member
            for member in self._roster.running()
            if member.id != probe.subject and member.state is MemberState.ALIVE
        ]
        helpers = self._rng.sample(others, min(HELPERS, len(others)))
        probe.helpers = tuple(helper.id for helper in helpers)
        if subject is None:
            return []
        request = PingRequest(
            probe.number,
            subject.id,
            subject.control,
            self._roster.me.control,
        )
        return [(helper.control, helper.id, request) for helper in helpers]

    def _fail(self, probe: Probe, now: float) -> None:
        """Accuses the subject, or doubts this node.

        If not even the helpers answered, though others do talk to this node,
        what it sends is more likely lost than what the subject sends. Helpers
        that are suspected by now owe no answer.
        """
        self._probe = None
        asked = probe.helpers or ()
        owing = [helper for helper in asked if self._is_held_alive(helper)]
        silent = [helper for helper in owing if helper not in probe.nacks]
        self._roster.health.worsen(len(silent) if asked else 1)
        unheard = len(owing) > 1 and len(silent) == len(owing)
        if unheard and self._heard_at > probe.started_at:
            return
        self._roster.accuse(probe.subject, now=now)

    def _is_held_alive(self, member_id: MemberId) -> bool:
        member = self._roster.table.get(member_id)
        return member is not None and member.state is MemberState.ALIVE

    def _send_nacks(self, now: float) -> list[Outgoing]:
        sends: list[Outgoing] = []
        for number, relayed in tuple(self._relayed.items()):
            if now < relayed.nack_at:
                continue
            if relayed.nacked:
                del self._relayed[number]
                continue
            relayed.nacked = True
            relayed.nack_at = now + self._period_s
            nack = Nack(relayed.number, relayed.subject)
            sends.append((relayed.reply_to, "", nack))
        return sends
