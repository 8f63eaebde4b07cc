"""Simulates a network of membership state machines.

The driver has a simulated clock and schedules only ticks and datagrams, which
it may lose, duplicate and delay. The state machines are those of production,
and every datagram passes through the production codec when bytes are counted.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Sequence

import attrs

from guavawing.membership import (
    TICKS_PER_PERIOD,
    Gossip,
    Listeners,
    Member,
    MemberState,
    Notice,
    Send,
)
from guavawing.model import Address
from guavawing.node.datagrams import decode_datagram, encode_datagram

__all__ = ["GossipDriver", "Node", "make_member"]

HEADER_BYTES = 28
SOCKET_BUFFER_DATAGRAMS = 150
LOCAL_DELAY_S = 0.001
REMOTE_DELAY_S = 0.005
TICK_JITTER = 0.1
# Every datagram carries a version notice, so byte counts include one.
NOTICE = Notice(17_000, bytes(range(32)))


def make_member(
    name: str,
    number: int,
    *,
    data_centre: str = "bergen",
    service: str = "desk",
    incarnation: int = 1,
    serving: bool = True,
) -> Member:
    """Returns the initial record of a node."""
    host = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    return Member(
        id=name,
        incarnation=incarnation,
        sequence=0,
        state=MemberState.ALIVE,
        data_centre=data_centre,
        region="vestland",
        service=service,
        host=host,
        listeners=Listeners.share(
            *(Address(host, port) for port in (7401, 7402, 7403))
        ),
        slots=10,
        serving=serving,
    )


@attrs.define(eq=False)
class Node:
    """A state machine with its simulated process.

    Attributes:
        gossip: The membership state machine.
        up: Whether the process runs.
        paused: Whether the process is stopped by a signal; datagrams are then
            buffered.
        lag_s: Delay before every event is handled, in seconds.
        inbox_lag_s: Additional delay of datagrams, in seconds.
        run: Run number; events scheduled for an earlier run are dropped.
        sent_bytes: Bytes sent, IP and UDP headers included.
        sent: Number of datagrams sent.
    """

    gossip: Gossip
    up: bool = True
    paused: bool = False
    lag_s: float = 0.0
    inbox_lag_s: float = 0.0
    run: int = 0
    buffer: list[bytes | Send] = attrs.field(factory=list)
    sent_bytes: int = 0
    sent: int = 0

    @property
    def id(self) -> str:
        """Id of the member."""
        return self.gossip.me.id


class GossipDriver:
    """Runs membership state machines in simulated time.

    Attributes:
        now: Simulated time, in seconds.
        loss: Share of datagrams that are lost.
        duplicates: Share of datagrams that are delivered twice.
        is_cut: Whether a datagram between two nodes is dropped.
        largest: Size of the largest datagram in bytes, if bytes are counted.
        trace: Called with a line for each event; None disables it.
    """

    def __init__(
        self, seed: int, *, encoded: bool = False, period_s: float = 1.0
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = 0.0
        self.duplicates = 0.0
        self.is_cut: Callable[[Node, Node], bool] = lambda _a, _b: False
        self.nodes: dict[str, Node] = {}
        self.largest = 0
        self.trace: Callable[[str], None] | None = None
        self._period_s = period_s
        self._encoded = encoded
        self._by_address: dict[Address, Node] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def add(self, member: Member, seeds: Iterable[Address] = ()) -> Node:
        """Starts a process; replaces one of the same id and address.

        A process of the same id at another address keeps running, but `nodes`
        then holds the new one.
        """
        gossip = Gossip(
            member,
            seeds,
            random.Random(self.rng.random()),
            period_s=self._period_s,
        )
        gossip.set_notice(NOTICE)
        old = self.nodes.get(member.id)
        if old is not None and old.gossip.me.control == member.control:
            old.up = False
        node = Node(gossip)
        self.nodes[member.id] = node
        self._by_address[member.control] = node
        self._schedule_tick(node, first=True)
        return node

    def connect_all(self) -> None:
        """Fills each node's table with all members of its data centre."""
        groups: dict[str, list[Member]] = {}
        for node in self.nodes.values():
            groups.setdefault(node.gossip.me.data_centre, []).append(
                node.gossip.me
            )
        for node in self.nodes.values():
            roster = node.gossip._roster
            for member in groups[node.gossip.me.data_centre]:
                roster.apply_record(member, now=self.now, disseminate=False)
            roster.pending_updates._queue.clear()
            roster.outbound.clear()
            node.gossip._exchange.joined = True

    def call(self, node: Node, sends: Sequence[Send]) -> None:
        """Sends datagrams that a machine returned outside of an event."""
        self._perform(node, sends)

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay."""
        entry = (self.now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def kill(self, node: Node) -> None:
        """Ends the process without an announcement."""
        node.up = False
        node.run += 1

    def resume(self, node: Node) -> None:
        """Resumes a paused process; buffered datagrams are handled first."""
        node.paused = False
        waiting, node.buffer = node.buffer, []
        for datagram in waiting:
            self._receive(node, datagram)

    def run(self, duration_s: float) -> None:
        """Advances the simulation by `duration_s`."""
        end = self.now + duration_s
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(
        self, holds: Callable[[], bool], *, timeout_s: float, step_s: float
    ) -> float | None:
        """Runs until a condition holds; returns the seconds taken, or None."""
        start = self.now
        while not holds():
            if self.now - start >= timeout_s:
                return None
            self.run(step_s)
        return self.now - start

    def _schedule_tick(self, node: Node, *, first: bool = False) -> None:
        tick_s = self._period_s / TICKS_PER_PERIOD
        share = self.rng.uniform(1 - TICK_JITTER, 1 + TICK_JITTER)
        if first:
            share = self.rng.random()
        run = node.run
        self.at(tick_s * share + node.lag_s, lambda: self._tick(node, run))

    def _tick(self, node: Node, run: int) -> None:
        if not node.up or node.run != run:
            return
        if not node.paused:
            sends = node.gossip.tick(now=self.now)
            self._trace(node, "tick", sends)
            self._perform(node, sends)
        self._schedule_tick(node)

    def _perform(self, node: Node, sends: Sequence[Send]) -> None:
        for send in sends:
            datagram: bytes | Send = send
            if self._encoded:
                datagram = encode_datagram(send.datagram)
                self.largest = max(self.largest, len(datagram))
                node.sent_bytes += HEADER_BYTES + len(datagram)
            node.sent += 1
            receiver = self._by_address.get(send.address)
            if receiver is None or self.is_cut(node, receiver):
                continue
            copies = 1 + (self.rng.random() < self.duplicates)
            for _ in range(copies):
                if self.rng.random() < self.loss:
                    continue
                self._deliver(node, receiver, datagram)

    def _deliver(
        self, node: Node, receiver: Node, datagram: bytes | Send
    ) -> None:
        here = node.gossip.me.data_centre
        there = receiver.gossip.me.data_centre
        delay_s = LOCAL_DELAY_S if here == there else REMOTE_DELAY_S
        delay_s *= self.rng.uniform(0.5, 2.0)
        run = receiver.run
        self.at(
            delay_s + receiver.lag_s + receiver.inbox_lag_s,
            lambda: self._arrive(receiver, run, datagram),
        )

    def _arrive(self, node: Node, run: int, datagram: bytes | Send) -> None:
        if not node.up or node.run != run:
            return
        if not node.paused:
            self._receive(node, datagram)
        elif len(node.buffer) < SOCKET_BUFFER_DATAGRAMS:
            node.buffer.append(datagram)

    def _receive(self, node: Node, datagram: bytes | Send) -> None:
        if isinstance(datagram, bytes):
            message = decode_datagram(datagram)
        else:
            message = datagram.datagram
        sends = node.gossip.receive(message, now=self.now)
        if self.trace is not None:
            self._trace(node, f"receives {describe(message)}", sends)
        self._perform(node, sends)

    def _trace(self, node: Node, event: str, sends: Sequence[Send]) -> None:
        if self.trace is None or (event == "tick" and not sends):
            return
        self.trace(f"{self.now:7.3f} {node.id} {event}")
        for send in sends:
            receiver = self._by_address.get(send.address)
            name = str(send.address) if receiver is None else receiver.id
            self.trace(f"    to {name}: {describe(send.datagram)}")


def describe(datagram: object) -> str:
    """Returns a readable summary of a datagram."""
    body = datagram.body  # type: ignore[attr-defined]
    parts = [type(body).__name__]
    if hasattr(body, "subject"):
        parts.append(body.subject)
    if hasattr(body, "next_cursor"):
        parts.append("last" if not body.next_cursor else "more")
    for record in datagram.records:  # type: ignore[attr-defined]
        parts.append(
            f"[{record.id} {record.incarnation}.{record.sequence}"
            f" {record.state.name.lower()}"
            f"{' serving' if record.serving else ''}]"
        )
    for claim in datagram.claims:  # type: ignore[attr-defined]
        parts.append(
            f"[{claim.subject} {claim.incarnation}.{claim.sequence}"
            f" {claim.state.name.lower()} says {claim.accuser}]"
        )
    return " ".join(parts)
