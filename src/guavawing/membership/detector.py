"""Failure detection by direct and indirect probes, after SWIM."""

import itertools
import random

from guavawing.membership.member import Member, MemberState
from guavawing.membership.message import Ack, Body, Nack, Ping, PingRequest
from guavawing.membership.prober import Probe, ProbeOrder, RelayedProbe
from guavawing.membership.roster import Roster
from guavawing.model import Address, MemberId

__all__ = ["Detector"]

HELPERS = 3
# Probability of probing a suspect to confirm the suspicion.
CONFIRMATION_SHARE = 0.5
# Maximum number of suspects pinged per probe period to notify them.
MAX_SUSPECTS_NOTIFIED = 3
# Fractions of the probe period after which ping requests are sent to helpers,
# and after which a helper without an answer sends a `Nack`.
INDIRECT_SHARE = 0.4
NACK_SHARE = 0.3
# Probe periods between two pings of members marked dead.
DEAD_PING_PERIODS = 10.0
JITTER = 0.25
# Maximum number of concurrent relayed probes; bounds the load of faulty peers.
MAX_RELAYED = 64
MAX_FIRST_NUMBER = 2**31

# Address and id of the receiver, and the message.
Outgoing = tuple[Address, MemberId, Body]


class Detector:
    """Probes one member per period and suspects it if all probes fail."""

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
        self._last_receipt_at = 0.0
        self._next_dead_ping_at = 0.0

    def tick(self, *, now: float) -> list[Outgoing]:
        """Handles due timers; returns the messages to send."""
        for member_id in self._roster.new_members:
            self._order.insert(member_id)
        self._roster.new_members.clear()
        sends = self._send_nacks(now) + self._ping_dead_member(now)
        probe = self._probe
        if probe is not None:
            if now >= probe.ends_at:
                self._handle_failure(probe, now)
            elif probe.helpers is None and now >= probe.indirect_at:
                sends += self._send_ping_requests(probe)
        if self._probe is None and now >= self._next_probe_at:
            sends += self._start_probe(now)
        return sends

    def record_receipt(self, *, now: float) -> None:
        """Records when a datagram of another member was received."""
        self._last_receipt_at = now

    def cancel_probes(self) -> None:
        """Cancels all probes after a stall of this process."""
        self._probe = None
        self._relayed.clear()

    def handle_ping(self, ping: Ping, sender: MemberId) -> list[Outgoing]:
        """Answers a ping unless it is for another member."""
        if ping.subject != self._roster.me.id:
            return []
        return [(ping.reply_to, sender, Ack(ping.number, ping.subject))]

    def handle_ping_request(
        self, request: PingRequest, *, now: float
    ) -> list[Outgoing]:
        """Probes a member on behalf of another one."""
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

    def handle_ack(self, ack: Ack) -> list[Outgoing]:
        """Handles the answer to an own or a relayed probe."""
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

    def handle_nack(self, nack: Nack, sender: MemberId) -> None:
        """Records that a helper is alive but has no answer."""
        probe = self._find_probe(nack.number, nack.subject)
        if probe is not None:
            probe.nacks.add(sender)

    def _ping_dead_member(self, now: float) -> list[Outgoing]:
        """Pings a member marked dead at intervals, so that it can refute.

        Otherwise the two sides of a healed partition, which have marked each
        other dead, would never reconnect.
        """
        if now < self._next_dead_ping_at:
            return []
        share = self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._next_dead_ping_at = (
            now + DEAD_PING_PERIODS * share * self._period_s
        )
        dead = self._roster.dead()
        if not dead:
            return []
        return [self._ping(self._rng.choice(dead), next(self._numbers))]

    def _find_probe(self, number: int, subject: MemberId) -> Probe | None:
        probe = self._probe
        if probe is None or (probe.number, probe.subject) != (number, subject):
            return None
        return probe

    def _start_probe(self, now: float) -> list[Outgoing]:
        """Pings the next member and starts its probe.

        Suspects in between are pinged, which notifies them of the suspicion,
        but most are not probed: many suspects at once must not delay the
        detection of further failures. Some are probed to confirm or refute
        the suspicion.
        """
        period_s = self._period_s * self._roster.health.factor
        self._next_probe_at = now + period_s
        running = [member.id for member in self._roster.running()]
        sends: list[Outgoing] = []
        for _ in range(1 + MAX_SUSPECTS_NOTIFIED):
            member = self._roster.table.get(self._order.pop(running) or "")
            if member is None:
                break
            number = next(self._numbers)
            sends.append(self._ping(member, number))
            if self._should_probe(member):
                indirect_at = now + INDIRECT_SHARE * period_s
                self._probe = Probe(
                    member.id, number, indirect_at, now + period_s, now
                )
                break
        return sends

    def _should_probe(self, member: Member) -> bool:
        if member.state is MemberState.ALIVE:
            return True
        if not self._roster.can_confirm(member.id):
            return False
        return self._rng.random() < CONFIRMATION_SHARE

    def _ping(self, member: Member, number: int) -> Outgoing:
        ping = Ping(number, member.id, self._roster.me.control)
        return (member.control, member.id, ping)

    def _send_ping_requests(self, probe: Probe) -> list[Outgoing]:
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

    def _handle_failure(self, probe: Probe, now: float) -> None:
        """Suspects the subject, unless this node is more likely at fault.

        If no helper answered although this node receives datagrams of others,
        its own datagrams are probably lost. No answer is expected from helpers
        that are suspected meanwhile.
        """
        self._probe = None
        asked = probe.helpers or ()
        expected = [helper for helper in asked if self._is_marked_alive(helper)]
        silent = [helper for helper in expected if helper not in probe.nacks]
        self._roster.health.worsen(len(silent) if asked else 1)
        all_silent = len(expected) > 1 and len(silent) == len(expected)
        if all_silent and self._last_receipt_at > probe.started_at:
            return
        self._roster.suspect(probe.subject, now=now)

    def _is_marked_alive(self, member_id: MemberId) -> bool:
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
