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
        options["node_extra"] = _relay_node(fleet, node) if relayed else ""
        _write_settings(fleet, node, options)
    return fleet


@attrs.frozen
class _Zone:
    """Where the processes of a data centre listen and find the platform."""

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
        zones[centre] = zone = _Zone(host, fleet.ports.take(host))
        route = RelayRoute(zone.platform, fleet.platform, PLATFORM_ZONE)
        fleet.routes.append(route)
    names = {zone.host: centre for centre, zone in zones.items()}
    fleet.relay = Relay(lambda host: names.get(host, PLATFORM_ZONE))
    return zones


def _make_node(fleet: Fleet, plan: NodePlan, host: str) -> FleetNode:
    caller, mesh, control, admin, target = (
        fleet.ports.take(host) for _ in range(5)
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
    """Puts all nodes beside the target of the first one."""
    for node in nodes[1:]:
        node.target = nodes[0].target
        node.target_process.argv = []


def _relay_node(fleet: Fleet, node: FleetNode) -> str:
    """Routes what a node announces; returns the settings of its listeners."""
    lines = ""
    for name, announced in (("mesh", node.mesh), ("control", node.control)):
        host, _, _ = announced.rpartition(":")
        listen = fleet.ports.take(host)
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
