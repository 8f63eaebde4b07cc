"""A relay that cuts, delays and drops traffic between data centres.

Every node announces an address of the relay, which forwards to the address
where the node really listens. The relay learns the data centre of a sender
from its loopback address, so one rule holds for one direction between two
data centres. Cut traffic is held back, not refused: a connection hangs, as
it does when packets are lost.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable

import attrs

CHUNK_BYTES = 65_536
POLL_PERIOD_S = 0.01


@attrs.frozen
class Rule:
    """What happens to traffic in one direction.

    Attributes:
        cut: Whether nothing passes.
        delay_s: Time added one way, in seconds.
        loss: Share of datagrams that are dropped.
    """

    cut: bool = False
    delay_s: float = 0.0
    loss: float = 0.0


PASS = Rule()
CUT = Rule(cut=True)


@attrs.define
class Relay:
    """Forwards TCP and UDP by rules that tests change.

    Attributes:
        zone_of: Returns the name of the zone of an IP address.
        rules: Rules by the zones of sender and receiver.
        bytes_between: Bytes forwarded by the zones of sender and receiver.
    """

    zone_of: Callable[[str], str]
    rules: dict[tuple[str, str], Rule] = attrs.field(factory=dict)
    bytes_between: dict[tuple[str, str], int] = attrs.field(factory=dict)
    rng: random.Random = attrs.field(factory=lambda: random.Random(7))
    _servers: list[asyncio.Server] = attrs.field(factory=list)
    _transports: list[asyncio.DatagramTransport] = attrs.field(factory=list)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def cut(self, sender: str, receiver: str) -> None:
        """Holds back everything from one zone to another."""
        self.rules[sender, receiver] = CUT

    def cut_both(self, one: str, other: str) -> None:
        """Holds back everything between two zones."""
        self.cut(one, other)
        self.cut(other, one)

    def abort_connections(self) -> None:
        """Breaks every connection."""
        for task in tuple(self._tasks):
            task.cancel()

    def heal(self) -> None:
        """Lets everything pass."""
        self.rules.clear()

    def rule(self, sender: str, receiver: str) -> Rule:
        """Returns the rule for a direction."""
        return self.rules.get((sender, receiver), PASS)

    async def forward_tcp(
        self, listen: tuple[str, int], to: tuple[str, int], zone: str
    ) -> None:
        """Forwards connections to a listener that stands in `zone`."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            sender = self.zone_of(writer.get_extra_info("peername")[0])
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            try:
                await self._wait_until_passing(sender, zone)
                far_reader, far_writer = await asyncio.open_connection(*to)
                await self._join(
                    (reader, far_writer, sender, zone),
                    (far_reader, writer, zone, sender),
                )
            except OSError:
                pass
            except asyncio.CancelledError:
                # `hang_up` or `close`; asyncio's streams would log it.
                writer.transport.abort()
            finally:
                self._tasks.discard(task)
                writer.close()

        self._servers.append(await asyncio.start_server(serve, *listen))

    async def forward_udp(
        self, listen: tuple[str, int], to: tuple[str, int], zone: str
    ) -> None:
        """Forwards datagrams to a socket that stands in `zone`."""
        (
            transport,
            _,
        ) = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _DatagramRelay(self, to, zone), local_addr=listen
        )
        self._transports.append(transport)

    async def close(self) -> None:
        """Closes every socket."""
        for server in self._servers:
            server.close()
        for transport in self._transports:
            transport.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def count(self, sender: str, receiver: str, size: int) -> None:
        """Counts bytes that were forwarded."""
        key = (sender, receiver)
        self.bytes_between[key] = self.bytes_between.get(key, 0) + size

    async def _wait_until_passing(self, sender: str, receiver: str) -> None:
        while self.rule(sender, receiver).cut:
            await asyncio.sleep(POLL_PERIOD_S)

    async def _join(self, *directions: tuple[object, ...]) -> None:
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
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                rule = self.rule(sender, receiver)
                if rule.delay_s:
                    await asyncio.sleep(rule.delay_s)
                await self._wait_until_passing(sender, receiver)
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
        sender = relay.zone_of(addr[0])
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
