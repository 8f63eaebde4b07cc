"""VMs of the platform on loopback: store, targets and sidecar daemons."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Iterable, Mapping
from types import MappingProxyType
from typing import Any

import aiohttp
import attrs

from standins.platform import PlatformStandIn, open_stand_in
from standins.process import Process
from standins.relay import Relay
from standins.vm_target import VmTarget, open_vm_target

ROOT = pathlib.Path(__file__).parent.parent
TARGET, INBOUND, OUTBOUND, READY, CONTROL = range(8145, 8150)
INTERNAL = (7380, 7395)
RELAY_PORT, RELAYED_TARGET = 8150, 8151
STORE_ZONE = "store"
HEARTBEAT_S = 0.5
GRACE_S = 6
# Slow enough that a large answer is sent in several pieces.
LINK_MBPS = 40.0
SLOTS = 4
# Time limit of the routes, in seconds.
ROUTE_LIMIT_S = 2.5
HOST_NAME = "calls.example"
DATA_CENTRES = ("bergen", "voss")
KINDS = ("safe", "unsafe")
ROLLOUT_BOUNDS = {
    "exposureShare": 0.1,
    "exposureSlack": 50,
    "rollbackMs": 5000,
}


@attrs.define(eq=False)
class Vm:
    """One VM with its target and sidecar daemon.

    Attributes:
        name: Name of the VM.
        host: Its IP address.
        data_centre: Its data centre.
        service: Service of the target.
        target: The target.
        process: Process of the daemon.
        settings: Settings file of the daemon.
        log: File with the log and the standard error of the daemon.
        draining: Whether heartbeats report the target as draining.
        sends_heartbeats: Whether heartbeats are sent periodically.
        fault_active: Whether a fault of the process is in progress.
        sequence: Sequence number of the last heartbeat.
        release: Release of the target as sent in heartbeats.
        born: Start of the target's process as sent in heartbeats, in
            milliseconds; higher for a replacement.
    """

    name: str
    host: str
    data_centre: str
    service: str
    target: VmTarget
    process: Process
    settings: pathlib.Path
    log: pathlib.Path
    draining: bool = False
    sends_heartbeats: bool = True
    fault_active: bool = False
    sequence: int = 0
    release: str = "v1"
    born: int = 1000

    @property
    def url(self) -> str:
        """URL to which clients on this VM send requests."""
        return f"http://{self.host}:{OUTBOUND}"

    def read_log(self) -> list[dict[str, object]]:
        """Returns the log records of the daemon."""
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


@attrs.define(eq=False)
class VmFleet:
    """A running store and VMs.

    Attributes:
        store: The store.
        vms: The VMs by name.
        http: HTTP session of the tests.
        relay: Relay in front of the store and the targets, if any.
        probes: Versions that each introduced a probe route.
        kinds: Kinds of route of each service.
        accounts: Client accounts of the versions with probe routes.
    """

    store: PlatformStandIn
    vms: dict[str, Vm]
    http: aiohttp.ClientSession
    relay: Relay | None = None
    probes: list[int] = attrs.field(factory=list)
    kinds: tuple[str, ...] = KINDS
    accounts: dict[str, dict[str, Any]] = attrs.field(factory=dict)

    def publish(self, version: int, **changes: object) -> None:
        """Writes a configuration document to the store."""
        document = make_document(version, **changes)
        self.store.tables.put("op", "config", json.dumps(document).encode())

    def publish_probe(self, version: int) -> None:
        """Writes a version that adds the probe route `/since-VERSION/`.

        A daemon serves that route only once it enforces that version or a
        later one.
        """
        self.probes.append(version)
        routes = make_document(version, kinds=self.kinds)["routes"]
        assert isinstance(routes, dict)
        for each in self.probes:
            routes[f"since-{each}"] = {
                **routes["desk-safe"],
                "prefix": f"/since-{each}/",
            }
        changes = {"tenants": self.accounts} if self.accounts else {}
        self.publish(version, routes=routes, **changes)

    async def start(self, vm: Vm) -> None:
        """Starts the daemon of a VM."""
        await vm.process.start(log=vm.log)

    async def stop(self, vm: Vm, sig: signal.Signals) -> None:
        """Sends a signal to the daemon of a VM."""
        vm.process.send(sig)

    def make_heartbeat(self, vm: Vm) -> dict[str, object]:
        """Returns the next heartbeat of a target, as it is now."""
        vm.sequence += 1
        return {
            "address": f"{vm.host}:{TARGET}",
            "born": vm.born,
            "info": {
                "service": vm.service,
                "version": vm.release,
                "zone": vm.data_centre,
                "slots": SLOTS,
            },
            "status": {
                "state": "draining" if vm.draining else "ready",
                "sequence": vm.sequence,
                "coldRemainingMs": 0,
            },
        }

    async def send_heartbeat(
        self, vm: Vm, heartbeat: dict[str, object] | None = None
    ) -> int:
        """Sends one heartbeat; returns the response status.

        Args:
            vm: VM of the target.
            heartbeat: An earlier heartbeat, which is late; None for the next.
        """
        body = self.make_heartbeat(vm) if heartbeat is None else heartbeat
        url = f"http://{vm.host}:{CONTROL}/-/Instances.Heartbeat/{vm.target.id}"
        async with self.http.post(url, json=body) as resp:
            await resp.read()
            return resp.status

    async def deregister(self, vm: Vm) -> int:
        """Deregisters a target; returns the response status."""
        path = f"-/Instances.Deregister/{vm.target.id}"
        url = f"http://{vm.host}:{CONTROL}/{path}"
        async with self.http.post(url, json={"born": vm.born}) as resp:
            await resp.read()
            return resp.status

    async def is_ready(self, vm: Vm) -> bool:
        """Returns whether the ready endpoint of a daemon returns 200."""
        url = f"http://{vm.host}:{READY}/-/ready"
        try:
            async with self.http.get(url) as resp:
                await resp.read()
                return resp.status == 200
        except aiohttp.ClientError:
            return False


def make_document(
    version: int, *, kinds: Iterable[str] = KINDS, **changes: object
) -> dict[str, object]:
    """Returns a configuration with a route of each kind per service."""
    routes = {}
    for service in ("desk", "feed"):
        for kind in kinds:
            routes[f"{service}-{kind}"] = {
                "host": HOST_NAME,
                "prefix": f"/{service}/{kind}/",
                "type": kind,
                "timeoutMs": int(ROUTE_LIMIT_S * 1000),
                "targetLatencyMs": 1500,
                "priority": 1,
                "service": service,
                "maxAttempts": 2,
            }
    spec = {"healthCheckPath": "/health", "maxConnections": 110}
    document = {
        "version": version,
        "routes": routes,
        "services": {"desk": spec, "feed": spec},
        "limits": {"idleTimeoutMs": 15000, "headerTimeoutMs": 3000},
    }
    return document | changes


def make_settings(
    vm_name: str,
    host: str,
    dc: str,
    service: str,
    store: str,
    bounds: Mapping[str, object] = MappingProxyType({}),
) -> str:
    """Returns the settings file of a VM.

    Args:
        vm_name: Name of the VM.
        host: Its IP address.
        dc: Its data centre.
        service: Service of its target.
        store: Address of the store.
        bounds: Time limits besides the usual ones.
    """
    lines = {
        "self.node": vm_name,
        "self.ip": host,
        "self.zone": dc,
        "self.limits.linkMbps": LINK_MBPS,
        "self.service": service,
        "self.appAddr": f"{host}:{TARGET}",
        "network.listen.inbound": f"{host}:{INBOUND}",
        "network.listen.outbound": f"{host}:{OUTBOUND}",
        "network.listen.ready": f"{host}:{READY}",
        "network.listen.control": f"{host}:{CONTROL}",
        "network.internalPorts": f"{INTERNAL[0]},{INTERNAL[1]}",
        "platform.heartbeatMs": int(HEARTBEAT_S * 1000),
        "platform.platform.address": store,
        "terms.bounds.drainMs": 2000,
        "terms.bounds.graceS": GRACE_S,
        "terms.bounds.configApplyMs": 2000,
        "terms.bounds.retryBudgetRatio": 0.2,
        "terms.bounds.retryBudgetSlack": 56,
        **{f"network.zones.{name}": name for name in DATA_CENTRES},
    }
    lines |= {f"terms.bounds.{name}": each for name, each in bounds.items()}
    return "".join(f"{name}={value}\n" for name, value in lines.items())


@contextlib.asynccontextmanager
async def open_vm_fleet(
    plan: Iterable[tuple[str, str, str]],
    *,
    relayed: bool = False,
    bounds: Mapping[str, object] = MappingProxyType({}),
    releases: Mapping[str, str] | None = None,
) -> AsyncIterator[VmFleet]:
    """Runs a store, targets and daemons on loopback.

    Args:
        plan: Name, data centre and service of each VM.
        relayed: Whether a relay forwards connections to the store and the
            targets. The zones of its rules are the IP addresses of the VMs,
            `STORE_ZONE`, and `target IP` for the target of a VM.
        bounds: Time limits in the settings besides the usual ones.
        releases: Releases of targets by VM; the settings then have terms of
            roll-outs.
    """
    if releases is not None:
        bounds = {**ROLLOUT_BOUNDS, **bounds}
    net = f"127.{10 + os.getpid() % 200}"
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        store = PlatformStandIn()
        await enter(open_stand_in(store, host=f"{net}.0.1"))
        connector = aiohttp.TCPConnector(limit=0, force_close=False)
        http = await enter(aiohttp.ClientSession(connector=connector))
        fleet = VmFleet(store, {}, http)
        fleet.publish(1)
        store_address = store.address
        if relayed:
            fleet.relay = Relay(lambda host: host)
            stack.push_async_callback(fleet.relay.close)
            store_address = f"{net}.0.2:{RELAY_PORT}"
            store_host, store_port = store.address.split(":")
            await fleet.relay.forward_tcp(
                (f"{net}.0.2", RELAY_PORT),
                (store_host, int(store_port)),
                STORE_ZONE,
            )
        failed: set[str] = set()
        for number, (name, dc, service) in enumerate(plan, 1):
            host = f"{net}.1.{number}"
            path = pathlib.Path(folder) / f"{name}.conf"
            path.write_text(
                make_settings(name, host, dc, service, store_address, bounds)
            )
            target = VmTarget(f"i-{name}", failed=failed)
            port = TARGET
            if fleet.relay is not None:
                port = RELAYED_TARGET
                await fleet.relay.forward_tcp(
                    (host, TARGET), (host, port), f"target {host}"
                )
            await enter(open_vm_target(target, host, port))
            process = Process(
                name,
                [sys.executable, str(ROOT / "deploy" / "sidecar.py")],
                env={**os.environ, "GUAVAWING_SETTINGS": str(path)},
            )
            vm = Vm(
                name,
                host,
                dc,
                service,
                target,
                process,
                path,
                pathlib.Path(folder) / f"{name}.log",
            )
            vm.release = (releases or {}).get(name, vm.release)
            fleet.vms[name] = vm
            await fleet.start(vm)
            stack.push_async_callback(process.kill)
            task = asyncio.get_running_loop().create_task(
                _send_heartbeats(fleet, vm)
            )
            stack.callback(task.cancel)
        yield fleet


async def _send_heartbeats(fleet: VmFleet, vm: Vm) -> None:
    while True:
        if vm.sends_heartbeats:
            with contextlib.suppress(aiohttp.ClientError):
                await fleet.send_heartbeat(vm)
        await asyncio.sleep(HEARTBEAT_S)
