"""Starts a small fleet of separate processes on loopback."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from typing import Any

import aiohttp
import attrs
import orjson

from standins.caller import Outcome, send_call
from standins.ports import HOST, PortBlock
from standins.relay import Relay

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 45.0
POLL_PERIOD_S = 0.05
# Zone of the platform in the rules of a relay.
PLATFORM_ZONE = "platform"

_SETTINGS = """\
[node]
id = {name}
data_centre = {data_centre}
region = {region}
caller = {caller}
mesh = {mesh}
control = {control}
admin = {admin}
{node_extra}
[target]
service = {service}
address = {target}
[platform]
address = {platform}
{platform_extra}
[membership]
seeds = {seeds}
{membership_extra}
[logs]
file = {log}
level = {log_level}
"""


@attrs.define
class Process:
    """A process of the fleet, stopped by its id.

    Attributes:
        name: What it is called in messages.
        argv: Its command line; empty for a process that is another's.
        proc: The running process, if any.
    """

    name: str
    argv: list[str]
    proc: asyncio.subprocess.Process | None = None

    async def start(self, *, log: pathlib.Path) -> None:
        """Starts the process; its standard error goes to `log`."""
        with log.open("ab") as stream:
            self.proc = await asyncio.create_subprocess_exec(
                *self.argv,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=stream,
                stderr=stream,
            )

    def send(self, sig: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.proc is not None
        with contextlib.suppress(ProcessLookupError):
            self.proc.send_signal(sig)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for the end of the process and returns its exit code."""
        assert self.proc is not None
        async with asyncio.timeout(timeout_s):
            return await self.proc.wait()

    async def kill(self) -> None:
        """Ends the process at once."""
        if self.proc is None or self.proc.returncode is not None:
            return
        self.send(signal.SIGKILL)
        await self.proc.wait()


@attrs.define
class FleetNode:
    """A node, its target and their addresses."""

    name: str
    service: str
    data_centre: str
    region: str
    caller: str
    mesh: str
    control: str
    admin: str
    target: str
    settings: pathlib.Path
    node: Process
    target_process: Process


@attrs.frozen
class RelayRoute:
    """An address of the relay and where it forwards to.

    Attributes:
        listen: Address of the relay.
        to: Where the receiver listens.
        zone: Zone of the receiver.
    """

    listen: str
    to: str
    zone: str

    async def open(self, relay: Relay) -> None:
        """Opens the route for TCP and UDP."""
        listen, to = _split(self.listen), _split(self.to)
        await relay.forward_tcp(listen, to, self.zone)
        await relay.forward_udp(listen, to, self.zone)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


@attrs.define
class Fleet:
    """A platform stand-in and nodes with their targets."""

    folder: pathlib.Path
    platform: str
    platform_process: Process
    nodes: dict[str, FleetNode]
    session: aiohttp.ClientSession
    ports: PortBlock
    relay: Relay | None = None
    routes: list[RelayRoute] = attrs.field(factory=list)

    async def start(self) -> None:
        """Starts every process and waits until the nodes answer."""
        for route in self.routes:
            assert self.relay is not None
            await route.open(self.relay)
        await self.platform_process.start(log=self.folder / "platform.err")
        await self.wait_for_http(self.platform, "/counters")
        for each in self.nodes.values():
            if each.target_process.argv:
                await each.target_process.start(log=self.log_of(each, "target"))
        for each in self.nodes.values():
            await each.node.start(log=self.log_of(each, "node"))
        for each in self.nodes.values():
            await self.wait_for_http(each.admin, "/healthz")

    def log_of(self, node: FleetNode, part: str) -> pathlib.Path:
        """Returns the file for the standard error of a process."""
        return self.folder / f"{node.name}.{part}.err"

    async def stop(self) -> None:
        """Ends every process that is left."""
        for each in self.nodes.values():
            await each.node.kill()
            await each.target_process.kill()
        await self.platform_process.kill()
        if self.relay is not None:
            await self.relay.close()
        self.ports.close()

    async def get(self, address: str, path: str) -> Any:
        """Returns the JSON that a process answers."""
        async with self.session.get(f"http://{address}{path}") as resp:
            resp.raise_for_status()
            return orjson.loads(await resp.read())

    async def post(self, address: str, path: str, tree: Any = None) -> None:
        """Posts JSON to a process."""
        body = orjson.dumps(tree or {})
        async with self.session.post(
            f"http://{address}{path}", data=body
        ) as resp:
            resp.raise_for_status()

    async def call(self, entry: str, **options: Any) -> Outcome:
        """Sends a call through a node; options are those of `send_call`."""
        return await send_call(
            self.session, self.nodes[entry].caller, **options
        )

    async def wait_for_http(self, address: str, path: str) -> None:
        """Waits until a process answers."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                await self.get(address, path)
                return
            except aiohttp.ClientError:
                if time.monotonic() > deadline:
                    raise
            await asyncio.sleep(POLL_PERIOD_S)

    async def run_cli(self, *args: str) -> tuple[int, str, str]:
        """Runs the command line; returns exit code, output and errors."""
        env = {
            **os.environ,
            "GUAVAWING_PLATFORM": self.platform,
            "GUAVAWING_NODE": next(iter(self.nodes.values())).admin,
        }
        proc = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "guavawing",
            *args,
            env=env,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await proc.communicate()
        assert proc.returncode is not None
        return proc.returncode, out.decode(), err.decode()

    async def wait_for_version(
        self,
        version: int,
        names: Sequence[str] = (),
        timeout_s: float = 19.0,
    ) -> list[str]:
        """Waits until nodes enforce a version; returns those that don't."""
        behind = list(names or self.nodes)
        deadline = time.monotonic() + timeout_s
        while behind and time.monotonic() < deadline:
            still = []
            for name in behind:
                status = await self.get(self.nodes[name].admin, "/status")
                if status["version"] < version:
                    still.append(name)
            behind = still
            await asyncio.sleep(POLL_PERIOD_S)
        return behind

    async def wait_for_serving(
        self, count: int, *, timeout_s: float = START_TIMEOUT_S
    ) -> bool:
        """Waits until every node knows `count` serving members."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            counts = []
            for node in self.nodes.values():
                status = await self.get(node.admin, "/status")
                serving = [
                    m
                    for m in status["members"]
                    if m["serving"] and m["state"] == "alive"
                ]
                counts.append(len(serving))
            if all(each == count for each in counts):
                return True
            await asyncio.sleep(POLL_PERIOD_S)
        return False


@attrs.frozen
class NodePlan:
    """Where one node of a fleet stands."""

    name: str
    service: str
    data_centre: str
    region: str


def plan_fleet(
    *, data_centres: Sequence[str], services: Sequence[str], copies: int
) -> list[NodePlan]:
    """Returns `copies` nodes a service in each data centre."""
    return [
        NodePlan(f"{service}-{centre}-{copy}", service, centre, "vestland")
        for centre in data_centres
        for service in services
        for copy in range(1, copies + 1)
    ]


def build_fleet(
    folder: pathlib.Path,
    plans: Sequence[NodePlan],
    session: aiohttp.ClientSession,
    *,
    platform_extra: str = "",
    membership_extra: str = "",
    seeds: int = 3,
    relayed: bool = False,
    shared_target: bool = False,
    log_level: str = "info",
) -> Fleet:
    """Returns a fleet that has not been started yet.

    Args:
        folder: Where settings and logs go.
        plans: The nodes.
        session: HTTP session of the caller.
        platform_extra: More lines of the section [platform].
        membership_extra: More lines of the section [membership].
        seeds: How many nodes serve as seeds.
        relayed: Whether a relay stands between nodes, and between the data
            centres and the platform, so that data centres can be cut off.
            The platform is the zone "platform" of the relay.
        shared_target: Whether all nodes stand beside one target, so that
            measurements of many nodes need half of the processes.
        log_level: Least level that the nodes log.
    """
    ports = PortBlock()
    platform = ports.take()
    process = Process("platform", make_command("standins.platform", platform))
    fleet = Fleet(folder, platform, process, {}, session, ports)
    centres = sorted({plan.data_centre for plan in plans})
    hosts = dict.fromkeys(centres, HOST)
    platforms = dict.fromkeys(centres, platform)
    if relayed:
        hosts = {c: f"127.0.{i}.1" for i, c in enumerate(centres, 1)}
        zones = {host: centre for centre, host in hosts.items()}
        fleet.relay = Relay(lambda host: zones.get(host, PLATFORM_ZONE))
        for centre, host in hosts.items():
            platforms[centre] = ports.take(host)
            fleet.routes.append(
                RelayRoute(platforms[centre], platform, PLATFORM_ZONE)
            )
    addresses = [
        [ports.take(hosts[plan.data_centre]) for _ in range(5)]
        for plan in plans
    ]
    seed_list = ", ".join(entry[2] for entry in addresses[:seeds])
    for plan, entry in zip(plans, addresses, strict=True):
        caller, mesh, control, admin, target = entry
        owns_target = not shared_target or plan is plans[0]
        if shared_target:
            target = addresses[0][4]
        node_extra = ""
        if relayed:
            host = hosts[plan.data_centre]
            listens = {"mesh": ports.take(host), "control": ports.take(host)}
            for name, announced in (("mesh", mesh), ("control", control)):
                node_extra += f"listen_{name} = {listens[name]}\n"
                fleet.routes.append(
                    RelayRoute(announced, listens[name], plan.data_centre)
                )
        settings = folder / f"{plan.name}.ini"
        settings.write_text(
            _SETTINGS.format(
                name=plan.name,
                data_centre=plan.data_centre,
                region=plan.region,
                service=plan.service,
                caller=caller,
                mesh=mesh,
                control=control,
                admin=admin,
                node_extra=node_extra,
                target=target,
                platform=platforms[plan.data_centre],
                platform_extra=platform_extra,
                seeds=seed_list,
                membership_extra=membership_extra,
                log=folder / f"{plan.name}.log",
                log_level=log_level,
            )
        )
        fleet.nodes[plan.name] = FleetNode(
            name=plan.name,
            service=plan.service,
            data_centre=plan.data_centre,
            region=plan.region,
            caller=caller,
            mesh=mesh,
            control=control,
            admin=admin,
            target=target,
            settings=settings,
            node=Process(
                plan.name,
                make_command("guavawing", "node", "--config", str(settings)),
            ),
            target_process=Process(
                f"{plan.name} target",
                make_command("standins.target", target) if owns_target else [],
            ),
        )
    return fleet


def make_command(module: str, *args: str) -> list[str]:
    """Returns the command line that runs a module."""
    return [sys.executable, "-m", module, *args]


@contextlib.contextmanager
def _open_folder() -> Iterator[pathlib.Path]:
    with tempfile.TemporaryDirectory(prefix="guavawing-") as name:
        yield pathlib.Path(name)


@contextlib.asynccontextmanager
async def open_fleet(
    plans: Sequence[NodePlan],
    *,
    make_target: Callable[[FleetNode], list[str]] | None = None,
    **options: Any,
) -> AsyncIterator[Fleet]:
    """Starts a fleet and ends every process of it after use.

    Args:
        plans: The nodes.
        make_target: Returns the command line of the target beside a node, if
            not the stand-in of `standins.target`.
        **options: Those of `build_fleet`.
    """
    timeout = aiohttp.ClientTimeout(total=10.0)
    with _open_folder() as folder:
        # Without a limit, so that calls which wait hold up no others.
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            fleet = build_fleet(folder, plans, session, **options)
            if make_target is not None:
                for node in fleet.nodes.values():
                    node.target_process.argv = make_target(node)
            try:
                await fleet.start()
                yield fleet
            finally:
                await fleet.stop()
