"""Measures the latency and processor time that the mesh adds to a call.

Direct calls and calls through the mesh alternate in one run at a low rate, so
that other load on the machine affects all of them alike. A call takes one hop
when the entry node's own target serves it, and two hops otherwise. A fourth
path has two hops over bare relays without any decisions, which gives the cost
of the libraries alone.
"""

import contextlib
import os
import pathlib
from collections.abc import AsyncIterator

import attrs
from hdrh.histogram import HdrHistogram

from bench.figure import Figure
from bench.peer_process import run_peer
from bench.slope import Slope, write_slopes
from guavawing.config import encode_document
from standins.caller import send_call
from standins.cluster import Fleet, FleetNode, open_fleet, plan_fleet
from standins.documents import make_newsroom_document

COMMAND = "python -m bench latency"
CALLS = 3_000
WARM_UP_CALLS = 200
BODY_BYTES = 512
HIGHEST_US = 10_000_000
SIGNIFICANT_DIGITS = 3
# Stated objective: at most 1 ms added to a call at the 99th percentile.
ADDED_P99_MS = 1.0


@attrs.frozen
class Path:
    """A path to the target and the latencies measured on it."""

    name: str
    address: str
    histogram: HdrHistogram

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile of the latency, in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000


async def run() -> list[Figure]:
    """Measures added latency and processor time per call."""
    plans = plan_fleet(
        data_centres=("bergen",), services=("desk", "feed"), copies=1
    )
    async with open_fleet(plans) as fleet:
        await publish_first_version(fleet)
        owner = fleet.nodes["feed-bergen-1"]
        entry = fleet.nodes["desk-bergen-1"]
        async with open_bare_relay(fleet, owner.target) as relay:
            paths = [
                make_path("direct", owner.target),
                make_path("one_hop", owner.caller),
                make_path("two_hops", entry.caller),
                make_path("bare", relay.address),
            ]
            pids = (read_pid(entry), read_pid(owner), *relay.pids)
            await send_in_turn(fleet, paths, WARM_UP_CALLS)
            for path in paths:
                path.histogram.reset()
            before = [read_processor_time(pid) for pid in pids]
            await send_in_turn(fleet, paths, CALLS)
            after = [read_processor_time(pid) for pid in pids]
            resident_mb = read_resident_mb(owner)
    spent_us = [
        (end - start) / CALLS * 1e6
        for start, end in zip(before, after, strict=True)
    ]
    entry_us = spent_us[0]
    # The owner serves the calls of two paths.
    owner_us = spent_us[1] / 2
    figures = report_latency(paths)
    added = [
        Slope(each.name.partition(".")[2], each.value, "ms", COMMAND)
        for each in figures
        if each.name.endswith("_added_p99")
    ]
    write_slopes(
        "calls",
        (
            *added,
            Slope("entry_processor", entry_us, "us/call", COMMAND),
            Slope("owner_processor", owner_us, "us/call", COMMAND),
            Slope("resident", resident_mb, "MB/node", COMMAND),
        ),
    )
    return [
        *figures,
        Figure("latency.entry_processor", entry_us, "us/call"),
        Figure("latency.owner_processor", owner_us, "us/call"),
        Figure("latency.bare_entry_processor", spent_us[2], "us/call"),
        Figure("latency.bare_owner_processor", spent_us[3], "us/call"),
        Figure("latency.resident", resident_mb, "MB"),
    ]


async def publish_first_version(fleet: Fleet) -> None:
    """Publishes the newsroom document and waits until it is in force."""
    path = fleet.folder / "fleet.json"
    path.write_bytes(encode_document(make_newsroom_document()))
    code, _, err = await fleet.run_cli("config", "publish", str(path))
    if code:
        raise RuntimeError(err)
    behind = await fleet.wait_for_version(1)
    if behind or not await fleet.wait_for_serving(len(fleet.nodes)):
        raise RuntimeError(f"the fleet is not ready: {behind}")


@attrs.frozen
class BareRelay:
    """Two running relay processes.

    Attributes:
        address: Address for requests of callers.
        pids: Process ids of the entry side and the owner side.
    """

    address: str
    pids: tuple[int, int]


@contextlib.asynccontextmanager
async def open_bare_relay(
    fleet: Fleet, target: str
) -> AsyncIterator[BareRelay]:
    """Runs both relay processes for the duration of the context."""
    owner, entry = fleet.ports.allocate(), fleet.ports.allocate()
    async with (
        run_relay("owner", owner, target) as owner_pid,
        run_relay("entry", entry, owner) as entry_pid,
    ):
        yield BareRelay(entry, (entry_pid, owner_pid))


def run_relay(
    role: str, address: str, peer: str
) -> contextlib.AbstractAsyncContextManager[int]:
    """Runs one relay process within the context; yields its process id."""
    host, _, port = address.rpartition(":")
    return run_peer(
        "bench.bare_relay", role, host, port, str(peer), listens=address
    )


def make_path(name: str, address: str) -> Path:
    """Returns a path without samples."""
    return Path(name, address, HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS))


async def send_in_turn(fleet: Fleet, paths: list[Path], calls: int) -> None:
    """Sends `calls` calls on each path, alternating between paths."""
    for _ in range(calls):
        for path in paths:
            outcome = await send_call(
                fleet.session,
                path.address,
                service="feed",
                path="/packages/1",
                headers={"X-Answer-Bytes": str(BODY_BYTES)},
            )
            if outcome.status != 200:
                raise RuntimeError(f"{path.name}: {outcome}")
            path.histogram.record_value(int(outcome.elapsed_s * 1e6))


def report_latency(paths: list[Path]) -> list[Figure]:
    """Returns latencies, and those added to the direct call by each path."""
    direct = paths[0]
    figures = []
    for path in paths:
        for percentile in (50, 99):
            name = f"latency.{path.name}_p{percentile}"
            value = path.percentile_ms(percentile)
            figures.append(Figure(name, value, "ms"))
    for path in paths[1:]:
        added = path.percentile_ms(99) - direct.percentile_ms(99)
        name = f"latency.{path.name}_added_p99"
        # The bound applies to the mesh and not to its baseline.
        bound = None if path.name == "bare" else ADDED_P99_MS
        figures.append(Figure(name, added, "ms", bound))
    return figures


def read_pid(node: FleetNode) -> int:
    """Returns the process id of a node."""
    assert node.node.proc is not None
    return node.node.proc.pid


def read_resident_mb(node: FleetNode) -> float:
    """Returns the resident memory of a node's process, in MB."""
    path = pathlib.Path(f"/proc/{read_pid(node)}/statm")
    pages = int(path.read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def read_processor_time(pid: int) -> float:
    """Returns the processor time of a process, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) / 1e9
