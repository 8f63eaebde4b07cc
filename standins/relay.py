"""Relay that blocks, delays and drops traffic between data centres.

Nodes announce addresses of the relay, which forwards to the addresses on which
they listen. The relay derives the data centre of a sender from its loopback
IP address, so that each rule applies to one direction between two data
centres. Blocked TCP traffic is held back instead of refused: connections hang,
as they do when packets are lost.
"""

import asyncio
import collections
import contextlib
import random
from collections.abc import Callable

import attrs

CHUNK_BYTES = 65_536
POLL_PERIOD_S = 0.01


@attrs.frozen
class Rule:
    """Treatment of traffic in one direction.

    Attributes:
        cut: Whether all traffic is blocked.
        delay_s: Added one-way delay, in seconds.
        loss: Fraction of datagrams that are dropped.
    """

    cut: bool = False
    delay_s: float = 0.0
    loss: float = 0.0


PASS = Rule()
CUT = Rule(cut=True)


@attrs.define
class Relay:
    """Forwards TCP and UDP according to rules that tests change.

    Attributes:
        get_zone: Returns the zone of an IP address.
        rules: Rules by zone of sender and zone of receiver.
        forwarded_bytes: Bytes forwarded, by the same pairs.
        rng: Random generator for datagram loss.
    """

    get_zone: Callable[[str], str]
    rules: dict[tuple[str, str], Rule] = attrs.field(factory=dict)
    forwarded_bytes: dict[tuple[str, str], int] = attrs.field(factory=dict)
    rng: random.Random = attrs.field(factory=lambda: random.Random(7))
    _servers: list[asyncio.Server] = attrs.field(factory=list)
    _transports: list[asyncio.DatagramTransport] = attrs.field(factory=list)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    # Number of times that the connections to a zone have fallen silent.
    _silences: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def cut(self, sender: str, receiver: str) -> None:
        """Blocks traffic from one zone to another."""
        self.rules[sender, receiver] = CUT

    def cut_both(self, one: str, other: str) -> None:
        """Blocks traffic between two zones in both directions."""
        self.cut(one, other)
        self.cut(other, one)

    def abort_connections(self) -> None:
        """Aborts all relayed connections."""
        for task in tuple(self._tasks):
            task.cancel()

    def silence_connections(self, *zones: str) -> None:
        """Drops further bytes of open connections to zones, without a reset."""
        self._silences.update(zones)

    def heal(self) -> None:
        """Removes all rules."""
        self.rules.clear()

    def rule(self, sender: str, receiver: str) -> Rule:
        """Returns the rule for a direction."""
        return self.rules.get((sender, receiver), PASS)

    async def forward_tcp(
        self, listen: tuple[str, int], to: tuple[str, int], zone: str
    ) -> None:
        """Forwards connections to a listener in `zone`."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            sender = self.get_zone(writer.get_extra_info("peername")[0])
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            try:
                await self._wait_until_passing(sender, zone)
                (
                    upstream_reader,
                    upstream_writer,
                ) = await asyncio.open_connection(*to)
                await self._forward_both_ways(
                    (reader, upstream_writer, sender, zone),
                    (upstream_reader, writer, zone, sender),
                )
            except OSError:
                pass
            except asyncio.CancelledError:
                # By `abort_connections` or `close`. Not raised again, because
                # asyncio streams would log it.
                writer.transport.abort()
            finally:
                self._tasks.discard(task)
                writer.close()

        self._servers.append(await asyncio.start_server(serve, *listen))

    async def forward_udp(
        self, listen: tuple[str, int], to: tuple[str, int], zone: str
    ) -> None:
        """Forwards datagrams to a socket in `zone`."""
        (
            transport,
            _,
        ) = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _DatagramRelay(self, to, zone), local_addr=listen
        )
        self._transports.append(transport)

    async def close(self) -> None:
        """Closes all sockets."""
        for server in self._servers:
            server.close()
        for transport in self._transports:
            transport.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def count(self, sender: str, receiver: str, size: int) -> None:
        """Adds to the forwarded bytes of a direction."""
        key = (sender, receiver)
        self.forwarded_bytes[key] = self.forwarded_bytes.get(key, 0) + size

    def _count_silences(self, sender: str, receiver: str) -> int:
        return self._silences[sender] + self._silences[receiver]

    async def _wait_until_passing(self, sender: str, receiver: str) -> None:
        while self.rule(sender, receiver).cut:
            await asyncio.sleep(POLL_PERIOD_S)

    async def _forward_both_ways(self, *directions: tuple[object, ...]) -> None:
        pumps = [
            asyncio.ensure_future(self._pump(*direction))  # type: ignore
            for direction in directions
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            for _, writer, _, _ in directions:
                writer.close()  # type: ignore[attr-defined]

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sender: str,
        receiver: str,
    ) -> None:
        silences = self._count_silences(sender, receiver)
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                if silences != self._count_silences(sender, receiver):
                    continue
                rule = self.rule(sender, receiver)
                if rule.delay_s:
                    await asyncio.sleep(rule.delay_s)
                await self._wait_until_passing(sender, receiver)
                if silences != self._count_silences(sender, receiver):
                    continue
                self.count(sender, receiver, len(data))
                writer.write(data)
                await writer.drain()


class _DatagramRelay(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, to: tuple[str, int], zone: str) -> None:
        self._relay = relay
        self._to = to
        self._zone = zone

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        relay = self._relay
        sender = relay.get_zone(addr[0])
        rule = relay.rule(sender, self._zone)
        if rule.cut or relay.rng.random() < rule.loss:
            return
        relay.count(sender, self._zone, len(data))
        asyncio.get_running_loop().call_later(
            rule.delay_s,
            self._transport.sendto,  # type: ignore[attr-defined]
            data,
            self._to,
        )
