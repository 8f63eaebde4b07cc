"""Faults from outside the daemons, drawn by a seed."""

import asyncio
import contextlib
import random
import signal

import aiohttp
import attrs

from standins.relay import Rule
from standins.vm_fleet import STORE_ZONE, Vm, VmFleet

__all__ = ["Faults"]

# Seconds that a fault lasts, and until the next one begins.
LENGTH_S = (0.2, 2.5)
PAUSE_S = (0.0, 0.6)
RESTART_S = (0.0, 0.5)
OK = 200


@attrs.define
class Faults:
    """Draws faults and undoes them.

    Attributes:
        fleet: What they strike.
        rng: Draws them.
        version: Newest version written.
        struck: Times at which unplanned faults struck VMs, by their names.
        planned: When a planned stop began last, by VM.
        acked: When a target's leaving was acknowledged, by its id.
        told: What was done, for the report of a failure.
    """

    fleet: VmFleet
    rng: random.Random
    version: int = 1
    struck: dict[str, list[float]] = attrs.field(factory=dict)
    planned: dict[str, float] = attrs.field(factory=dict)
    acked: dict[str, float] = attrs.field(factory=dict)
    told: list[str] = attrs.field(factory=list)

    async def run(self, ends_at: float) -> None:
        """Strikes until a time, then waits until everything is undone."""
        loop = asyncio.get_running_loop()
        running: set[asyncio.Task[None]] = set()
        kinds = [
            self.kill,
            self.stop,
            self.freeze,
            self.drain_target,
            self.publish,
            self.publish,
            self.lose_store,
            self.refuse_store,
            self.delay,
            self.silence,
            self.abort_connections,
        ]
        while loop.time() < ends_at:
            kind = self.rng.choice(kinds)
            vm = self.rng.choice(list(self.fleet.vms.values()))
            self.told.append(f"{loop.time():.2f} {kind.__name__} {vm.name}")
            running.add(loop.create_task(kind(vm)))
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        await asyncio.gather(*running)

    def _note(self, vm: Vm) -> None:
        now = asyncio.get_running_loop().time()
        self.struck.setdefault(vm.name, []).append(now)

    async def _last(self) -> None:
        await asyncio.sleep(self.rng.uniform(*LENGTH_S))

    async def _restart(self, vm: Vm) -> None:
        assert vm.process.proc is not None
        await vm.process.proc.wait()
        await asyncio.sleep(self.rng.uniform(*RESTART_S))
        if vm.process.proc.returncode is not None:
            await self.fleet.start(vm)

    async def kill(self, vm: Vm) -> None:
        """Kills a daemon; it starts again."""
        if vm.busy:
            return
        vm.busy = True
        self._note(vm)
        await vm.process.kill()
        await self._restart(vm)
        self._note(vm)
        vm.busy = False

    async def stop(self, vm: Vm) -> None:
        """Stops a daemon as planned; it starts again."""
        if vm.busy:
            return
        vm.busy = True
        self.planned[vm.name] = asyncio.get_running_loop().time()
        vm.process.send(signal.SIGTERM)
        await self._restart(vm)
        vm.busy = False

    async def freeze(self, vm: Vm) -> None:
        """Stops and continues a daemon."""
        if vm.busy:
            return
        vm.busy = True
        self._note(vm)
        vm.process.send(signal.SIGSTOP)
        await self._last()
        vm.process.send(signal.SIGCONT)
        self._note(vm)
        vm.busy = False

    async def drain_target(self, vm: Vm) -> None:
        """Replaces a target: it leaves, and another one takes its address."""
        if vm.draining:
            return
        vm.draining, vm.target.healthy = True, False
        loop = asyncio.get_running_loop()
        old = vm.target.id
        with contextlib.suppress(aiohttp.ClientError):
            # A daemon that is down acknowledges nothing.
            if await self.fleet.send_heartbeat(vm) == OK:
                self.acked[old] = loop.time()
        await asyncio.sleep(2.5)
        vm.target.id = f"{old}+"
        vm.born += 1
        vm.sequence = 0
        vm.draining, vm.target.healthy = False, True
        self._note(vm)

    async def publish(self, vm: Vm) -> None:
        """Writes a new version."""
        self.version += self.rng.randint(1, 3)
        self.fleet.publish_probe(self.version)

    async def lose_store(self, vm: Vm) -> None:
        """Takes the store away, or makes it lose answers or history."""
        faults = self.fleet.store.faults
        match self.rng.randrange(3):
            case 0:
                faults.down = True
                await self._last()
                faults.down = False
            case 1:
                faults.lose_replies += 1
            case 2:
                faults.history_lost = True

    async def refuse_store(self, vm: Vm) -> None:
        """Makes the store turn a VM away."""
        self.fleet.store.faults.refused.add(vm.host)
        await self._last()
        self.fleet.store.faults.refused.discard(vm.host)

    async def delay(self, vm: Vm) -> None:
        """Delays what a target sends."""
        await self._rule(f"target {vm.host}", vm.host, Rule(delay_s=0.05))

    async def silence(self, vm: Vm) -> None:
        """Holds back one direction to a target or the store."""
        zone = self.rng.choice([STORE_ZONE, f"target {vm.host}"])
        ends = [vm.host, zone]
        self.rng.shuffle(ends)
        await self._rule(ends[0], ends[1], Rule(cut=True))

    async def _rule(self, sender: str, receiver: str, rule: Rule) -> None:
        assert self.fleet.relay is not None
        self.fleet.relay.rules[sender, receiver] = rule
        await self._last()
        self.fleet.relay.rules.pop((sender, receiver), None)

    async def abort_connections(self, vm: Vm) -> None:
        """Breaks all connections through the relay."""
        assert self.fleet.relay is not None
        for each in self.fleet.vms.values():
            self._note(each)
        self.fleet.relay.abort_connections()
