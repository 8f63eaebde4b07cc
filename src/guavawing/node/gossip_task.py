"""The task that runs the gossip socket and the membership state machine."""

import asyncio
import collections
import contextlib
import itertools
import random
from collections.abc import AsyncIterator, Callable, Sequence
from typing import cast

from guavawing.errors import MessageInvalidError
from guavawing.membership import (
    TICKS_PER_PERIOD,
    Datagram,
    Gossip,
    MemberState,
    Notice,
    PeerLimiter,
    Send,
)
from guavawing.model import Address
from guavawing.node.datagrams import (
    MAX_DATAGRAM_BYTES,
    decode_datagram,
    encode_datagram,
)
from guavawing.node.logs import log
from guavawing.node.metrics import Metrics

__all__ = ["GossipTask", "open_gossip"]

# Jitter of ticks, as a fraction of the time between them.
TICK_JITTER = 0.1
# Ticks between two updates of the gauge of members and the log of deaths.
REPORT_TICKS = 25

NoticeListener = Callable[[str, Notice], None]
# Called with the incarnation of this process and whether it was replaced.
IdentityListener = Callable[[int, bool], None]


class GossipTask(asyncio.DatagramProtocol):
    """Passes datagrams and time to the membership state machine."""

    def __init__(
        self, gossip: Gossip, *, period_s: float, metrics: Metrics
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._gossip = gossip
        self._tick_s = period_s / TICKS_PER_PERIOD
        self._metrics = metrics
        self._transport: asyncio.DatagramTransport | None = None
        self._on_notice: NoticeListener | None = None
        self._on_identity: IdentityListener | None = None
        self._identity: tuple[int, bool] | None = None
        self._limiter = PeerLimiter(now=self._loop.time())
        self._dead: set[str] = set()

    def set_notice_listener(self, on_notice: NoticeListener) -> None:
        """Sets the listener for the versions that other members announce."""
        self._on_notice = on_notice

    def set_identity_listener(self, on_identity: IdentityListener) -> None:
        """Sets the listener for the identity of this process.

        It is called immediately, and before a new incarnation is sent to any
        member. Keys and connections of this node therefore never carry an
        older incarnation than the one that other members have recorded.
        """
        self._on_identity = on_identity
        self._notify_identity()

    def set_notice(self, notice: Notice) -> None:
        """Announces the version in force to random members at once."""
        self._gossip.set_notice(notice)
        self._send(self._gossip.announce())

    def set_target(self, *, serving: bool, slots: int) -> None:
        """Announces a change of the target's state to random members at once.

        Args:
            serving: Whether the target accepts calls.
            slots: Calls that it executes concurrently.
        """
        me = self._gossip.me
        if (me.serving, me.slots) != (serving, slots):
            self._gossip.set_target(serving=serving, slots=slots)
            self._send(self._gossip.announce())

    def leave(self) -> None:
        """Announces to members that this node is leaving."""
        self._send(self._gossip.leave())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the socket."""
        # uvloop's datagram transport does not derive from asyncio's class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles a datagram; drops it if invalid or above a limit."""
        now = self._loop.time()
        if not self._limiter.admit(Address(addr[0], addr[1]), now=now):
            self._metrics.dropped_datagrams.inc({"reason": "rate"})
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            self._metrics.dropped_datagrams.inc({"reason": "size"})
            return
        try:
            datagram = decode_datagram(data)
        except MessageInvalidError:
            self._metrics.dropped_datagrams.inc({"reason": "invalid"})
            return
        self._count("received", datagram.sender, len(data))
        self._send(self._gossip.receive(datagram, now=now))
        self._notify(datagram)

    async def run(self) -> None:
        """Runs the ticks of the state machine until cancelled."""
        for number in itertools.count():
            self._send(self._gossip.tick(now=self._loop.time()))
            if number % REPORT_TICKS == 0:
                self._report_members()
            jitter = random.uniform(-TICK_JITTER, TICK_JITTER)
            await asyncio.sleep(self._tick_s * (1 + jitter))

    def _report_members(self) -> None:
        counts = collections.Counter(m.state for m in self._gossip.table)
        for state in MemberState:
            labels = {"state": state.name.lower()}
            self._metrics.members.set(labels, counts[state])
        dead = {
            member.id
            for member in self._gossip.table
            if member.state is MemberState.DEAD
        }
        for member_id in sorted(dead - self._dead):
            log("info", "death", node=member_id)
        self._dead = dead

    def _notify(self, datagram: Datagram) -> None:
        if self._on_notice is not None and datagram.notice.version:
            self._on_notice(datagram.sender, datagram.notice)

    def _notify_identity(self) -> None:
        identity = (self._gossip.me.incarnation, self._gossip.replaced)
        if self._on_identity is not None and identity != self._identity:
            self._identity = identity
            self._on_identity(*identity)

    def _send(self, sends: Sequence[Send]) -> None:
        self._notify_identity()
        if self._transport is None:
            return
        for send in sends:
            payload = encode_datagram(send.datagram)
            address = (send.address.host, send.address.port)
            self._transport.sendto(payload, address)
            self._count("sent", self._find_id(send.address), len(payload))

    def _find_id(self, address: Address) -> str:
        member = self._gossip.table.find(address)
        return "" if member is None else member.id

    def _count(self, direction: str, member_id: str, size: int) -> None:
        member = self._gossip.table.get(member_id)
        here = self._gossip.me.data_centre
        crossed = member is not None and member.data_centre != here
        labels = {
            "direction": direction,
            "kind": "gossip",
            "cross_data_centre": str(crossed).lower(),
        }
        self._metrics.control_bytes.add(labels, size)


@contextlib.asynccontextmanager
async def open_gossip(
    task: GossipTask, address: Address
) -> AsyncIterator[GossipTask]:
    """Binds the gossip socket and runs the ticks until closed."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: task, local_addr=(address.host, address.port)
    )
    ticks = loop.create_task(task.run())
    try:
        yield task
    finally:
        ticks.cancel()
        transport.close()
