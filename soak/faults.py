"""Random injection of external faults into a VM fleet."""

import asyncio
import contextlib
import math
import random
import signal
from collections.abc import Iterator

import aiohttp
import attrs

from standins.relay import Rule
from standins.vm_fleet import STORE_ZONE, Vm, VmFleet

__all__ = ["Faults"]

# Ranges of the duration of a fault, of the pause before the next fault, and of
# the delay of a restart, in seconds.
DURATION_S = (0.2, 2.5)
PAUSE_S = (0.0, 0.6)
RESTART_S = (0.0, 0.5)
# Ranges of the time for which a target names a limit, of the time for which it
# states its departure, and of the age of the copy that the store is restored
# from, in seconds.
LIMITED_S = (4.0, 8.0)
LEAVING_S = (3.0, 5.0)
COPY_AGE_S = (0.3, 2.0)
# Range of the time from a departure to the arrival of an earlier heartbeat.
LATE_HEARTBEAT_S = (1.0, 5.0)
# Ranges of the time between the stops of a service's daemons, and from SIGTERM
# to a second signal, in seconds.
STOP_GAP_S = (0.0, 1.5)
SECOND_SIGNAL_S = (0.0, 5.0)
# Time for which a stopping daemon is paused, in seconds.
PAUSED_S = (0.05, 0.5)
# Time for which a store that is restored is away, in seconds.
RESTORE_S = 0.3
LIMITS = ("0", "2", "5", "20")
OK = 200


@attrs.frozen
class NamedLimit:
    """A limit that a target has named.

    Attributes:
        target_id: Id of the target.
        per_s: Requests per second.
        from_s: Event loop time at which it began to name it, in seconds.
        until_s: Time at which it ended.
    """

    target_id: str
    per_s: float
    from_s: float
    until_s: float


@attrs.define
class Disturbance:
    """Span in which a VM, or all of them, may learn of versions late.

    Attributes:
        vm: Name of the VM; empty for all.
        from_s: Event loop time of its start, in seconds.
        until_s: Time of its end.
    """

    vm: str
    from_s: float
    until_s: float = math.inf


@attrs.define
class Faults:
    """Injects random faults and reverts them.

    Attributes:
        fleet: Fleet into which faults are injected.
        rng: Random generator of all choices.
        earlier_kinds: Whether only the kinds of fault are injected that
            existed when seeds up to 98 were recorded; with others the same
            seed draws another sequence.
        stops: Whether most faults are planned stops of several daemons.
        departures: Whether daemons are also killed when they have acknowledged
            a departure.
        version: Newest version published.
        unplanned_at: Start and end times of unplanned faults, by VM.
        planned_stop_at: Time of the last planned stop, by VM.
        drain_acked_at: Time at which the drain of a target was acknowledged,
            by target id.
        restoring: Whether the store is being restored from a copy.
        overwriting: Whether what is written to the store now is overwritten
            at the end of its restoration.
        withdrawn_at: Time at which a version without a key was acknowledged,
            by key of a client account.
        limits: Limits that targets have named.
        leaving_at: Time from which the answers of a target state that it
            leaves, by target id.
        published_at: Time at which a version was acknowledged, by version.
        disturbances: Spans in which versions may be late.
        fault_log: Injected faults, for the report of a failed seed.
    """

    fleet: VmFleet
    rng: random.Random
    earlier_kinds: bool = False
    stops: bool = False
    departures: bool = False
    version: int = 1
    unplanned_at: dict[str, list[float]] = attrs.field(factory=dict)
    planned_stop_at: dict[str, float] = attrs.field(factory=dict)
    drain_acked_at: dict[str, float] = attrs.field(factory=dict)
    restoring: bool = False
    overwriting: bool = False
    withdrawn_at: dict[str, float] = attrs.field(factory=dict)
    limits: list[NamedLimit] = attrs.field(factory=list)
    leaving_at: dict[str, float] = attrs.field(factory=dict)
    published_at: dict[int, float] = attrs.field(factory=dict)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    fault_log: list[str] = attrs.field(factory=list)

    async def run(self, ends_at: float) -> None:
        """Injects faults until a time and waits until all are reverted."""
        loop = asyncio.get_running_loop()
        running: set[asyncio.Task[None]] = set()
        kinds = [
            self.kill,
            self.stop,
            self.pause,
            self.drain_target,
            self.publish,
            self.publish,
            self.fail_store,
            self.refuse_store,
            self.delay,
            self.block_direction,
            self.abort_connections,
        ]
        if not self.earlier_kinds:
            kinds += [
                self.name_limit,
                self.state_departure,
                self.restore_store,
                self.silence_connections,
            ]
        if self.departures:
            kinds += [self.lose_departure] * 4
        if self.stops:
            kinds += [self.stop_service] * 8
        if self.fleet.accounts:
            kinds += [self.withdraw_key] * 3
        while loop.time() < ends_at:
            kind = self.rng.choice(kinds)
            vm = self.rng.choice(list(self.fleet.vms.values()))
            self.fault_log.append(
                f"{loop.time():.2f} {kind.__name__} {vm.name}"
            )
            running.add(loop.create_task(kind(vm)))
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        await asyncio.gather(*running)

    @contextlib.contextmanager
    def _disturb(self, vm: str = "") -> Iterator[None]:
        """Records a disturbance of a VM, or of all, that lasts as the block."""
        loop = asyncio.get_running_loop()
        disturbance = Disturbance(vm, loop.time())
        self.disturbances.append(disturbance)
        try:
            yield
        finally:
            disturbance.until_s = loop.time()

    def _record_unplanned_fault(self, vm: Vm) -> None:
        now = asyncio.get_running_loop().time()
        self.unplanned_at.setdefault(vm.name, []).append(now)

    async def _sleep_fault_duration(self) -> None:
        await asyncio.sleep(self.rng.uniform(*DURATION_S))

    async def _restart(self, vm: Vm) -> None:
        assert vm.process.proc is not None
        await vm.process.proc.wait()
        await asyncio.sleep(self.rng.uniform(*RESTART_S))
        if vm.process.proc.returncode is not None:
            await self.fleet.start(vm)

    async def kill(self, vm: Vm) -> None:
        """Kills and restarts a daemon."""
        if vm.fault_active:
            return
        vm.fault_active = True
        await self._kill_and_restart(vm)

    async def _kill_and_restart(self, vm: Vm) -> None:
        """Kills a daemon, and ends its fault when it is started again."""
        self._record_unplanned_fault(vm)
        with self._disturb(vm.name):
            await vm.process.kill()
            await self._restart(vm)
        self._record_unplanned_fault(vm)
        vm.fault_active = False

    async def stop(self, vm: Vm) -> None:
        """Stops a daemon with SIGTERM and restarts it."""
        if vm.fault_active:
            return
        vm.fault_active = True
        self.planned_stop_at[vm.name] = asyncio.get_running_loop().time()
        with self._disturb(vm.name):
            vm.process.send(signal.SIGTERM)
            await self._restart(vm)
        vm.fault_active = False

    async def stop_service(self, vm: Vm) -> None:
        """Stops the daemons of a service in turn; the stops may overlap."""
        async with asyncio.TaskGroup() as group:
            for each in self.fleet.vms.values():
                if each.service != vm.service:
                    continue
                if not each.fault_active:
                    group.create_task(self.stop(each))
                    group.create_task(self._send_second_signal(each))
                await asyncio.sleep(self.rng.uniform(*STOP_GAP_S))

    async def _send_second_signal(self, vm: Vm) -> None:
        """Signals a daemon that stops; others get no signal."""
        starts = vm.process.starts
        await asyncio.sleep(self.rng.uniform(*SECOND_SIGNAL_S))
        assert vm.process.proc is not None
        stopping = vm.process.starts == starts
        if not stopping or vm.process.proc.returncode is not None:
            return
        match self.rng.randrange(4):
            case 0:
                vm.process.send(signal.SIGTERM)
            case 1:
                self._record_unplanned_fault(vm)
                vm.process.send(signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(*PAUSED_S))
                vm.process.send(signal.SIGCONT)
                self._record_unplanned_fault(vm)
            case 2:
                self._record_unplanned_fault(vm)
                vm.process.send(signal.SIGKILL)

    async def pause(self, vm: Vm) -> None:
        """Pauses a daemon with SIGSTOP and resumes it."""
        if vm.fault_active:
            return
        vm.fault_active = True
        self._record_unplanned_fault(vm)
        with self._disturb(vm.name):
            vm.process.send(signal.SIGSTOP)
            await self._sleep_fault_duration()
            vm.process.send(signal.SIGCONT)
        self._record_unplanned_fault(vm)
        vm.fault_active = False

    async def drain_target(self, vm: Vm) -> None:
        """Drains a target and replaces it by another one at its address."""
        if vm.draining or vm.target.leaving:
            return
        vm.draining, vm.target.healthy = True, False
        loop = asyncio.get_running_loop()
        old = vm.target.id
        with contextlib.suppress(aiohttp.ClientError):
            # A daemon that is down does not acknowledge the drain.
            if await self.fleet.send_heartbeat(vm) == OK:
                self.drain_acked_at[old] = loop.time()
        await asyncio.sleep(2.5)
        self._replace_target(vm)

    def _replace_target(self, vm: Vm) -> None:
        vm.target.id += "+"
        vm.target.limit = vm.target.leaving = ""
        vm.born += 1
        vm.sequence = 0
        vm.draining, vm.target.healthy = False, True
        self._record_unplanned_fault(vm)

    async def lose_departure(self, vm: Vm) -> None:
        """Kills a daemon that has acknowledged a departure.

        A heartbeat from before the departure reaches its next process.
        """
        if vm.draining or vm.target.leaving or vm.fault_active:
            return
        vm.fault_active, vm.sends_heartbeats = True, False
        loop = asyncio.get_running_loop()
        late, old = self.fleet.make_heartbeat(vm), vm.target.id
        vm.draining, vm.target.healthy = True, False
        announce = self.rng.choice(
            (self.fleet.deregister, self.fleet.send_heartbeat)
        )
        with contextlib.suppress(aiohttp.ClientError):
            if await announce(vm) == OK:
                self.drain_acked_at[old] = loop.time()
        await self._kill_and_restart(vm)
        await asyncio.sleep(self.rng.uniform(*LATE_HEARTBEAT_S))
        with contextlib.suppress(aiohttp.ClientError):
            await self.fleet.send_heartbeat(vm, late)
        await asyncio.sleep(self.rng.uniform(*LEAVING_S))
        self._replace_target(vm)
        vm.sends_heartbeats = True

    async def state_departure(self, vm: Vm) -> None:
        """Makes a target leave that says so only in its answers."""
        if vm.draining or vm.target.leaving:
            return
        # Its heartbeats go on as ready.
        loop = asyncio.get_running_loop()
        self.leaving_at[vm.target.id] = loop.time()
        vm.target.leaving, vm.target.healthy = "1", False
        await asyncio.sleep(self.rng.uniform(*LEAVING_S))
        self._replace_target(vm)

    async def name_limit(self, vm: Vm) -> None:
        """Makes a target name a limit for a time."""
        if vm.target.limit or vm.target.leaving or vm.draining:
            return
        loop = asyncio.get_running_loop()
        target_id, from_s = vm.target.id, loop.time()
        limit = vm.target.limit = self.rng.choice(LIMITS)
        await asyncio.sleep(self.rng.uniform(*LIMITED_S))
        if vm.target.id != target_id:
            # Its successor names no limit.
            return
        vm.target.limit = ""
        self.limits.append(
            NamedLimit(target_id, float(limit), from_s, loop.time())
        )

    async def restore_store(self, vm: Vm) -> None:
        """Restores the store from a copy; the operator writes again."""
        store = self.fleet.store
        if self.restoring:
            return
        self.restoring = True
        copy = store.tables.copy()
        await asyncio.sleep(self.rng.uniform(*COPY_AGE_S))
        with self._disturb():
            store.faults.down = self.overwriting = True
            newest = store.tables.get("op", "config")
            store.tables.restore(copy)
            await asyncio.sleep(RESTORE_S)
            store.faults.down = False
            store.tables.put("op", "config", newest)
        self.restoring = self.overwriting = False

    async def publish(self, vm: Vm) -> None:
        """Publishes a new version."""
        self.version += self.rng.randint(1, 3)
        self.fleet.publish_probe(self.version)
        if not self.overwriting:
            self.published_at[self.version] = asyncio.get_running_loop().time()

    async def withdraw_key(self, vm: Vm) -> None:
        """Publishes a version without one key of an account with several."""
        if self.fleet.store.faults.down or self.overwriting:
            # The store acknowledges nothing.
            return
        keys = [
            (account, key)
            for account in self.fleet.accounts.values()
            if len(account["apiKeys"]) > 1
            for key in account["apiKeys"]
        ]
        if not keys:
            return
        account, key = self.rng.choice(keys)
        account["apiKeys"].remove(key)
        await self.publish(vm)
        self.withdrawn_at[key] = asyncio.get_running_loop().time()

    async def fail_store(self, vm: Vm) -> None:
        """Makes the store unavailable, or lose one reply or its history."""
        faults = self.fleet.store.faults
        with self._disturb():
            match self.rng.randrange(3):
                case 0:
                    faults.down = True
                    await self._sleep_fault_duration()
                    faults.down = False
                case 1:
                    faults.lose_replies += 1
                case 2:
                    faults.history_lost = True

    async def refuse_store(self, vm: Vm) -> None:
        """Makes the store refuse the requests of a VM."""
        with self._disturb():
            self.fleet.store.faults.refused.add(vm.host)
            await self._sleep_fault_duration()
            self.fleet.store.faults.refused.discard(vm.host)

    async def delay(self, vm: Vm) -> None:
        """Delays traffic from a target to its VM."""
        await self._apply_rule(f"target {vm.host}", vm.host, Rule(delay_s=0.05))

    async def block_direction(self, vm: Vm) -> None:
        """Blocks one direction between a VM and its target or the store."""
        zone = self.rng.choice([STORE_ZONE, f"target {vm.host}"])
        endpoints = [vm.host, zone]
        self.rng.shuffle(endpoints)
        with self._disturb(vm.name):
            await self._apply_rule(endpoints[0], endpoints[1], Rule(cut=True))

    async def _apply_rule(self, sender: str, receiver: str, rule: Rule) -> None:
        assert self.fleet.relay is not None
        self.fleet.relay.rules[sender, receiver] = rule
        await self._sleep_fault_duration()
        self.fleet.relay.rules.pop((sender, receiver), None)

    async def abort_connections(self, vm: Vm) -> None:
        """Aborts all connections through the relay."""
        assert self.fleet.relay is not None
        for each in self.fleet.vms.values():
            self._record_unplanned_fault(each)
        with self._disturb():
            self.fleet.relay.abort_connections()

    async def silence_connections(self, vm: Vm) -> None:
        """Makes all open connections through the relay fall silent."""
        assert self.fleet.relay is not None
        zones = [STORE_ZONE]
        for each in self.fleet.vms.values():
            self._record_unplanned_fault(each)
            zones.append(f"target {each.host}")
        with self._disturb():
            self.fleet.relay.silence_connections(*zones)
