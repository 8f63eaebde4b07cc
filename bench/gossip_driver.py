"""Drives membership machines with a clock of its own and lossy delivery.

It schedules ticks and datagrams and nothing else: the machines are the real
ones, and every datagram passes through the real codec when bytes are
counted.
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
# Every datagram tells of a version, so bytes are counted with one.
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
    """Returns the record of a node as it starts."""
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
    """A machine with its place in the drive.

    Attributes:
        gossip: The machine.
        up: Whether the process runs.
        paused: Whether it is stopped by a signal; datagrams then wait.
        lag_s: How late it handles every event.
        inbox_lag_s: How late it handles datagrams, beside that.
        run: Raised by each start, so that events of an old process lapse.
        sent_bytes: Bytes sent, headers counted.
        sent: Datagrams sent.
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
    """Runs machines to a time, by an explicit seed.

    Attributes:
        now: The time, in seconds.
        loss: Share of the datagrams that is lost.
        duplicates: Share of the datagrams that comes twice.
        is_cut: Whether a datagram between two nodes is dropped.
        largest: Bytes of the largest datagram, if bytes are counted.
        trace: Takes a line for each event; None for none.
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
        """Starts a process; one of the same id and address is replaced.

        One of the same id at another address goes on, but `nodes` names the
        new one.
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
        """Lets every node of a data centre know all others beforehand."""
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
        """Carries out what a machine asked for outside of an event."""
        self._carry_out(node, sends)

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Runs an action after a delay."""
        entry = (self.now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def kill(self, node: Node) -> None:
        """Ends the process without a word."""
        node.up = False
        node.run += 1

    def resume(self, node: Node) -> None:
        """Lets a paused process run again; its datagrams come first."""
        node.paused = False
        waiting, node.buffer = node.buffer, []
        for datagram in waiting:
            self._receive(node, datagram)

    def run(self, duration_s: float) -> None:
        """Runs for a time."""
        end = self.now + duration_s
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(
        self, holds: Callable[[], bool], *, timeout_s: float, step_s: float
    ) -> float | None:
        """Runs until a condition holds; returns after what time it did."""
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
            self._note(node, "tick", sends)
            self._carry_out(node, sends)
        self._schedule_tick(node)

    def _carry_out(self, node: Node, sends: Sequence[Send]) -> None:
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
            self._note(node, f"receives {describe(message)}", sends)
        self._carry_out(node, sends)

    def _note(self, node: Node, event: str, sends: Sequence[Send]) -> None:
        if self.trace is None or (event == "tick" and not sends):
            return
        self.trace(f"{self.now:7.3f} {node.id} {event}")
        for send in sends:
            receiver = self._by_address.get(send.address)
            name = str(send.address) if receiver is None else receiver.id
            self.trace(f"    to {name}: {describe(send.datagram)}")


def describe(datagram: object) -> str:
    """Returns a datagram as readable text."""
    body = datagram.body  # type: ignore[attr-defined]
    words = [type(body).__name__]
    if hasattr(body, "subject"):
        words.append(body.subject)
    if hasattr(body, "next_cursor"):
        words.append("last" if not body.next_cursor else "more")
    for record in datagram.records:  # type: ignore[attr-defined]
        words.append(
            f"[{record.id} {record.incarnation}.{record.sequence}"
            f" {record.state.name.lower()}"
            f"{' serving' if record.serving else ''}]"
        )
    for claim in datagram.claims:  # type: ignore[attr-defined]
        words.append(
            f"[{claim.subject} {claim.incarnation}.{claim.sequence}"
            f" {claim.state.name.lower()} says {claim.accuser}]"
        )
    return " ".join(words)
