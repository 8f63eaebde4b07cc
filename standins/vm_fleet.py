"""VMs of the platform on loopback: a store, targets, and real daemons."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Iterable

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
# Slow enough that a large answer takes some pieces.
LINK_MBPS = 40.0
SLOTS = 4
HOST_NAME = "calls.example"


@attrs.define(eq=False)
class Vm:
    """One VM: a target, its heartbeats and the daemon beside it."""

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
    busy: bool = False
    sequence: int = 0
    born: int = 1000

    @property
    def url(self) -> str:
        """Where clients of this VM send requests to."""
        return f"http://{self.host}:{OUTBOUND}"

    def read_log(self) -> list[dict[str, object]]:
        """Returns the records that the daemon has written."""
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


@attrs.define(eq=False)
class VmFleet:
    """A store and VMs.

    Attributes:
        store: The store.
        vms: The VMs by name.
        http: Client session of the tests.
        relay: What stands before the store and the targets, if anything.
        probes: Versions that came with a route of their own.
    """

    store: PlatformStandIn
    vms: dict[str, Vm]
    http: aiohttp.ClientSession
    relay: Relay | None = None
    probes: list[int] = attrs.field(factory=list)

    def publish(self, version: int, **changes: object) -> None:
        """Writes a configuration as the operator does."""
        document = make_document(version, **changes)
        self.store.tables.put("op", "config", json.dumps(document).encode())

    def publish_probe(self, version: int) -> None:
        """Writes a version with one more route: `/since-VERSION/`."""
        self.probes.append(version)
        routes = make_document(version)["routes"]
        assert isinstance(routes, dict)
        for each in self.probes:
            routes[f"since-{each}"] = {
                **routes["desk-safe"],
                "prefix": f"/since-{each}/",
            }
        self.publish(version, routes=routes)

    async def start(self, vm: Vm) -> None:
        """Starts the daemon of a VM."""
        await vm.process.start(log=vm.log)

    async def stop(self, vm: Vm, sig: signal.Signals) -> None:
        """Sends a signal to the daemon of a VM."""
        vm.process.send(sig)

    async def send_heartbeat(self, vm: Vm) -> int:
        """Sends one heartbeat; returns the status of its answer."""
        vm.sequence += 1
        body = {
            "address": f"{vm.host}:{TARGET}",
            "born": vm.born,
            "info": {
                "service": vm.service,
                "version": "v1",
                "zone": vm.data_centre,
                "slots": SLOTS,
            },
            "status": {
                "state": "draining" if vm.draining else "ready",
                "sequence": vm.sequence,
                "coldRemainingMs": 0,
            },
        }
        url = f"http://{vm.host}:{CONTROL}/-/Instances.Heartbeat/{vm.target.id}"
        async with self.http.post(url, json=body) as resp:
            await resp.read()
            return resp.status

    async def deregister(self, vm: Vm) -> int:
        """Says that a target leaves; returns the status of the answer."""
        path = f"-/Instances.Deregister/{vm.target.id}"
        url = f"http://{vm.host}:{CONTROL}/{path}"
        async with self.http.post(url) as resp:
            await resp.read()
            return resp.status

    async def is_ready(self, vm: Vm) -> bool:
        """Returns whether a daemon says that it is ready."""
        url = f"http://{vm.host}:{READY}/-/ready"
        try:
            async with self.http.get(url) as resp:
                await resp.read()
                return resp.status == 200
        except aiohttp.ClientError:
            return False


def make_document(version: int, **changes: object) -> dict[str, object]:
    """Returns a configuration with a route of each kind and service."""
    routes = {}
    for service in ("desk", "feed"):
        for kind in ("safe", "unsafe"):
            routes[f"{service}-{kind}"] = {
                "host": HOST_NAME,
                "prefix": f"/{service}/{kind}/",
                "type": kind,
                "timeoutMs": 2500,
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


def _make_settings(
    vm_name: str, host: str, dc: str, service: str, store: str
) -> str:
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
    }
    return "".join(f"{name}={value}\n" for name, value in lines.items())


@contextlib.asynccontextmanager
async def open_vm_fleet(
    plan: Iterable[tuple[str, str, str]], *, relayed: bool = False
) -> AsyncIterator[VmFleet]:
    """Starts a store, targets and daemons on loopback until closed.

    Args:
        plan: Name, data centre and service of each VM.
        relayed: Whether a relay stands before the store and each target. The
            zones of its rules are the addresses of the VMs, `STORE_ZONE`, and
            for the target of a VM `target` before its address.
    """
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
                _make_settings(name, host, dc, service, store_address)
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
            fleet.vms[name] = vm
            await fleet.start(vm)
            stack.push_async_callback(process.kill)
            task = asyncio.get_running_loop().create_task(_beat(fleet, vm))
            stack.callback(task.cancel)
        yield fleet


async def _beat(fleet: VmFleet, vm: Vm) -> None:
    while True:
        if vm.sends_heartbeats:
            with contextlib.suppress(aiohttp.ClientError):
                await fleet.send_heartbeat(vm)
        await asyncio.sleep(HEARTBEAT_S)
