"""A running fleet of separate processes on loopback."""

import asyncio
import os
import pathlib
import sys
import time
from collections.abc import Sequence
from typing import Any

import aiohttp
import attrs
import orjson

from standins.caller import Outcome, send_call
from standins.ports import PortBlock
from standins.process import Process
from standins.relay import Relay

START_TIMEOUT_S = 20.0
POLL_PERIOD_S = 0.05


@attrs.define
class FleetNode:
    """A node and its target: addresses and processes."""

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
    """Forwarding rule of the relay for one address.

    Attributes:
        listen: Address on which the relay listens.
        to: Address on which the receiver listens.
        zone: Zone of the receiver.
    """

    listen: str
    to: str
    zone: str

    async def open(self, relay: Relay) -> None:
        """Starts forwarding TCP and UDP."""
        listen, to = _split_address(self.listen), _split_address(self.to)
        await relay.forward_tcp(listen, to, self.zone)
        await relay.forward_udp(listen, to, self.zone)


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


@attrs.define
class Fleet:
    """Processes of a platform stand-in, nodes and targets."""

    folder: pathlib.Path
    platform: str
    platform_process: Process
    nodes: dict[str, FleetNode]
    session: aiohttp.ClientSession
    ports: PortBlock
    relay: Relay | None = None
    routes: list[RelayRoute] = attrs.field(factory=list)

    async def start(self) -> None:
        """Starts all processes and waits until the nodes are healthy."""
        for route in self.routes:
            assert self.relay is not None
            await route.open(self.relay)
        await self.platform_process.start(log=self.folder / "platform.err")
        await self.wait_for_http(self.platform, "/counters")
        for each in self.nodes.values():
            if each.target_process.argv:
                await each.target_process.start(
                    log=self.get_log_path(each, "target")
                )
        for name in self.nodes:
            await self.start_node(name)
        for each in self.nodes.values():
            await self.wait_for_http(each.admin, "/healthz")

    async def start_node(self, name: str) -> None:
        """Starts the process of a node without waiting for readiness."""
        node = self.nodes[name]
        await node.node.start(log=self.get_log_path(node, "node"))

    def get_log_path(self, node: FleetNode, part: str) -> pathlib.Path:
        """Returns the file that receives the standard error of a process."""
        return self.folder / f"{node.name}.{part}.err"

    async def stop(self) -> None:
        """Kills all running processes and closes the relay."""
        for each in self.nodes.values():
            await each.node.kill()
            await each.target_process.kill()
        await self.platform_process.kill()
        if self.relay is not None:
            await self.relay.close()
        self.ports.close()

    async def get(self, address: str, path: str) -> Any:
        """Sends a GET request and returns the decoded JSON response."""
        async with self.session.get(f"http://{address}{path}") as resp:
            resp.raise_for_status()
            return orjson.loads(await resp.read())

    async def post(self, address: str, path: str, tree: Any = None) -> None:
        """Sends a POST request with a JSON body."""
        body = orjson.dumps(tree or {})
        async with self.session.post(
            f"http://{address}{path}", data=body
        ) as resp:
            resp.raise_for_status()

    async def delete(self, address: str, path: str) -> None:
        """Sends a DELETE request."""
        async with self.session.delete(f"http://{address}{path}") as resp:
            resp.raise_for_status()

    async def call(self, entry: str, **options: Any) -> Outcome:
        """Sends a call through an entry node with options of `send_call`."""
        return await send_call(
            self.session, self.nodes[entry].caller, **options
        )

    async def wait_for_http(self, address: str, path: str) -> None:
        """Waits until a process responds to a GET request.

        Raises:
            aiohttp.ClientError: If it does not within `START_TIMEOUT_S`.
        """
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
        """Runs guavawing; returns exit code, standard output and error."""
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
        """Waits until nodes enforce a version.

        Returns:
            Names of the nodes that are still behind after the timeout.
        """
        behind = list(names or self.nodes)
        deadline = time.monotonic() + timeout_s
        while behind and time.monotonic() < deadline:
            remaining = []
            for name in behind:
                status = await self.get(self.nodes[name].admin, "/status")
                if status["version"] < version:
                    remaining.append(name)
            behind = remaining
            await asyncio.sleep(POLL_PERIOD_S)
        return behind

    async def wait_for_serving(
        self, count: int, *, timeout_s: float = START_TIMEOUT_S
    ) -> bool:
        """Waits until every node lists `count` alive serving members.

        Returns:
            Whether that happened within the timeout.
        """
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
