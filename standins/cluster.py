"""Builds and starts a small fleet of separate processes on loopback."""

import contextlib
import pathlib
import tempfile
from collections.abc import (
    AsyncIterator,
    Callable,
    Iterator,
    Mapping,
    Sequence,
)
from typing import Any

import aiohttp
import attrs

from standins.fleet import Fleet, FleetNode, RelayRoute
from standins.ports import HOST, PortBlock
from standins.process import Process, make_command
from standins.relay import Relay

__all__ = [
    "Fleet",
    "FleetNode",
    "NodePlan",
    "Process",
    "build_fleet",
    "make_command",
    "open_fleet",
    "plan_fleet",
]

# Zone of the platform in the rules of the relay.
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


@attrs.frozen
class NodePlan:
    """Name, service and location of one node."""

    name: str
    service: str
    data_centre: str
    region: str


def plan_fleet(
    *, data_centres: Sequence[str], services: Sequence[str], copies: int
) -> list[NodePlan]:
    """Returns plans with `copies` nodes per service and data centre."""
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
    """Creates a fleet and its settings files without starting it.

    Args:
        folder: Directory of settings and log files.
        plans: The nodes.
        session: HTTP session used for calls.
        platform_extra: Additional lines of the section [platform].
        membership_extra: Additional lines of the section [membership].
        seeds: Number of nodes listed as seeds.
        relayed: Whether traffic between nodes, and between data centres and
            the platform, goes through a relay, so that data centres can be
            partitioned. The platform is the zone "platform" of the relay.
        shared_target: Whether all nodes use one target, which halves the
            number of processes in measurements of many nodes.
        log_level: Minimum log level of the nodes.
    """
    ports = PortBlock()
    platform = ports.allocate()
    process = Process("platform", make_command("standins.platform", platform))
    fleet = Fleet(folder, platform, process, {}, session, ports)
    zones = _make_zones(fleet, plans, relayed=relayed)
    for plan in plans:
        zone = zones[plan.data_centre]
        fleet.nodes[plan.name] = _make_node(fleet, plan, zone.host)
    nodes = list(fleet.nodes.values())
    if shared_target:
        _share_target(nodes)
    options = {
        "platform_extra": platform_extra,
        "membership_extra": membership_extra,
        "seeds": ", ".join(node.control for node in nodes[:seeds]),
        "log_level": log_level,
    }
    for node in nodes:
        options["platform"] = zones[node.data_centre].platform
        options["node_extra"] = (
            _add_relay_routes(fleet, node) if relayed else ""
        )
        _write_settings(fleet, node, options)
    return fleet


@attrs.frozen
class _Zone:
    """Listen host and platform address of the processes of a data centre."""

    host: str
    platform: str


def _make_zones(
    fleet: Fleet, plans: Sequence[NodePlan], *, relayed: bool
) -> dict[str, _Zone]:
    centres = sorted({plan.data_centre for plan in plans})
    if not relayed:
        return dict.fromkeys(centres, _Zone(HOST, fleet.platform))
    zones = {}
    for number, centre in enumerate(centres, 1):
        host = f"127.0.{number}.1"
        zones[centre] = zone = _Zone(host, fleet.ports.allocate(host))
        route = RelayRoute(zone.platform, fleet.platform, PLATFORM_ZONE)
        fleet.routes.append(route)
    names = {zone.host: centre for centre, zone in zones.items()}
    fleet.relay = Relay(lambda host: names.get(host, PLATFORM_ZONE))
    return zones


def _make_node(fleet: Fleet, plan: NodePlan, host: str) -> FleetNode:
    caller, mesh, control, admin, target = (
        fleet.ports.allocate(host) for _ in range(5)
    )
    settings = fleet.folder / f"{plan.name}.ini"
    argv = make_command("guavawing", "node", "--config", str(settings))
    target_argv = make_command("standins.target", target)
    return FleetNode(
        **attrs.asdict(plan),
        caller=caller,
        mesh=mesh,
        control=control,
        admin=admin,
        target=target,
        settings=settings,
        node=Process(plan.name, argv),
        target_process=Process(f"{plan.name} target", target_argv),
    )


def _share_target(nodes: Sequence[FleetNode]) -> None:
    """Makes all nodes use the target of the first one."""
    for node in nodes[1:]:
        node.target = nodes[0].target
        node.target_process.argv = []


def _add_relay_routes(fleet: Fleet, node: FleetNode) -> str:
    """Adds routes for the announced addresses of a node.

    Returns:
        Settings lines with the addresses on which the node listens.
    """
    lines = ""
    for name, announced in (("mesh", node.mesh), ("control", node.control)):
        host, _, _ = announced.rpartition(":")
        listen = fleet.ports.allocate(host)
        lines += f"listen_{name} = {listen}\n"
        route = RelayRoute(announced, listen, node.data_centre)
        fleet.routes.append(route)
    return lines


def _write_settings(
    fleet: Fleet, node: FleetNode, options: Mapping[str, str]
) -> None:
    fields = attrs.asdict(node, recurse=False)
    log = fleet.folder / f"{node.name}.log"
    node.settings.write_text(_SETTINGS.format(**fields, **options, log=log))


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
    """Starts a fleet and kills its processes on exit.

    Args:
        plans: The nodes.
        make_target: Returns the command line of the target of a node; by
            default the stand-in in `standins.target`.
        **options: Options of `build_fleet`.
    """
    timeout = aiohttp.ClientTimeout(total=10.0)
    with _open_folder() as folder:
        # Unlimited, because pending calls must not delay others.
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
