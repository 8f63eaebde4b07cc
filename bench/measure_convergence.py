"""Measures convergence time, control traffic, processor time and memory.

Fleets of node processes are measured at several sizes, one after another, and
simulated state machines at the sizes of data centres. Bytes are those sent and
received in datagrams and connections, without IP, UDP and TCP headers. Reads
of the platform's head are counted by the platform. The figures are written to
bench/slopes/distribution.json.
"""

import asyncio
import pathlib
import random
import re
import statistics
import time
import uuid
from collections.abc import AsyncIterator

import attrs
import orjson

from bench.figure import Figure
from bench.process_usage import ProcessUsage, read_usage
from guavawing.config import Document, encode_document
from guavawing.distribution import PullResponder, VersionHistory, VersionId
from guavawing.distribution.applier import Version
from guavawing.distribution.delta import read_index
from guavawing.model import parse_address
from guavawing.node.channel import CountingServer, SourceChannel
from guavawing.proto.control_grpc import ControlBase, ControlStub
from guavawing.proto.control_pb2 import PullReply, PullRequest
from guavawing.store import publish_document
from guavawing.store.client import open_platform
from standins.cluster import Fleet, open_fleet, plan_fleet
from standins.distribution_network import DistributionNetwork
from standins.documents import make_fleet_document, make_newsroom_document

SLOPES = pathlib.Path(__file__).parent / "slopes" / "distribution.json"
COMMAND = "python -m bench convergence"
COUNTS = (6, 12, 24, 48)
LARGE_COUNTS = (12, 24)
# Number of services that the product is designed for.
SERVICES = 820
# Data centres, nodes in each, share of notices sent to other data centres.
MACHINES = (
    (1, 150, 0.0),
    (1, 1_250, 0.0),
    (12, 100, 11 / 12),
    (12, 100, 0.1),
    (12, 100, 0.01),
)
CENTRES = ("bergen", "voss", "floro")
SETTLE_S = 4.0
IDLE_S = 8.0
# 17,000 changes per day are one every 5.08 s.
CHANGE_PERIOD_S = 5.08
CHANGES = 5
CONVERGENCE_BOUND_S = 19.0
BYTES_BOUND = 2_000.0
PROCESSOR_BOUND = 2.4
MEMORY_BOUND_MB = 64.0
_BYTES = re.compile(
    r'guavawing_control_bytes_total\{cross_data_centre="(\w+)",'
    r'direction="(\w+)",kind="(\w+)"\} (\d+)'
)


@attrs.frozen
class Sample:
    """Cumulative resource usage of all nodes of a fleet.

    Attributes:
        at: Time of the sample, in seconds.
        usage: Usage by node.
        bytes_by_kind: Bytes of all nodes by kind and by whether they were
            sent between data centres.
        reads: Reads of the platform's tables and objects.
    """

    at: float
    usage: dict[str, ProcessUsage]
    bytes_by_kind: dict[tuple[str, str], int]
    reads: int


def change_document(document: Document, turn: int) -> Document:
    """Returns `document` with one route changed."""
    name = sorted(document.routes)[turn % len(document.routes)]
    route = attrs.evolve(document.routes[name], deadline_ms=2_000 + turn)
    return attrs.evolve(document, routes=document.routes | {name: route})


async def take_sample(fleet: Fleet) -> Sample:
    """Reads the counters of every node and of the platform."""
    usage = {}
    totals: dict[tuple[str, str], int] = {}
    for name, node in fleet.nodes.items():
        assert node.node.proc is not None
        usage[name] = read_usage(node.node.proc.pid)
        async with fleet.session.get(f"http://{node.admin}/metrics") as resp:
            text = await resp.text()
        for crossed, _, kind, value in _BYTES.findall(text):
            key = (kind, crossed)
            totals[key] = totals.get(key, 0) + int(value)
    counters = await fleet.get(fleet.platform, "/counters")
    return Sample(time.monotonic(), usage, totals, counters["reads"])


async def publish(fleet: Fleet, document: Document, base: int) -> float:
    """Publishes a version; returns the wall-clock time of its acceptance."""
    async with open_platform(parse_address(fleet.platform)) as platform:
        await publish_document(
            platform,
            document,
            change_id=uuid.uuid4().hex,
            base_version=base,
            author="bench",
        )
    return time.time()


def read_times(fleet: Fleet) -> dict[int, list[float]]:
    """Returns the times at which nodes applied each version, from logs."""
    times: dict[int, list[float]] = {}
    for name in fleet.nodes:
        log = (fleet.folder / f"{name}.log").read_bytes()
        entries = [orjson.loads(line) for line in log.splitlines()]
        applies = [e for e in entries if e.get("action_type") == "apply"]
        numbers = {
            entry["task_uuid"]: entry["version"]
            for entry in applies
            if entry["action_status"] == "started"
        }
        for entry in applies:
            if entry.get("applied"):
                number = numbers[entry["task_uuid"]]
                times.setdefault(number, []).append(entry["timestamp"])
    return times


async def measure_fleet(
    count: int, document: Document, label: str
) -> AsyncIterator[Figure]:
    """Measures one fleet: idle, then with a change every 5.08 s."""
    copies = count // len(CENTRES)
    plans = plan_fleet(
        data_centres=CENTRES,
        services=sorted(document.services)[:1],
        copies=copies,
    )
    async with open_fleet(plans, shared_target=True) as fleet:
        await publish(fleet, document, 0)
        behind = await fleet.wait_for_version(1)
        assert not behind, behind
        await asyncio.sleep(SETTLE_S)
        before = await take_sample(fleet)
        await asyncio.sleep(IDLE_S)
        idle = await take_sample(fleet)
        accepted = {}
        for turn in range(1, CHANGES + 1):
            changed = change_document(document, turn)
            accepted[turn + 1] = await publish(fleet, changed, turn)
            await asyncio.sleep(CHANGE_PERIOD_S)
        behind = await fleet.wait_for_version(CHANGES + 1)
        assert not behind, behind
        busy = await take_sample(fleet)
        times = read_times(fleet)
    delays = [
        at - start
        for version, start in accepted.items()
        for at in times[version]
    ]
    assert len(delays) == count * CHANGES, (len(delays), count)
    prefix = f"{label}-{count}"
    median = statistics.median(delays)
    yield Figure(f"{prefix}-convergence-p50", median, "s")
    yield Figure(
        f"{prefix}-convergence-max", max(delays), "s", CONVERGENCE_BOUND_S
    )
    for figure in compare(f"{prefix}-idle", before, idle):
        yield figure
    for figure in compare(f"{prefix}-changing", idle, busy):
        yield figure


def compare(prefix: str, old: Sample, new: Sample) -> list[Figure]:
    """Returns the usage between two samples, per node and second."""
    seconds = new.at - old.at
    scale = 1 / (seconds * len(new.usage))
    moved = {
        key: (value - old.bytes_by_kind.get(key, 0)) * scale
        for key, value in new.bytes_by_kind.items()
    }
    crossed = sum(v for (_, cross), v in moved.items() if cross == "true")
    shares = [
        100 * (usage.processor_s - old.usage[name].processor_s) / seconds
        for name, usage in new.usage.items()
    ]
    usages = new.usage.values()
    resident = max(usage.resident_mb for usage in usages)
    total = sum(moved.values())
    pulled = sum(v for (kind, _), v in moved.items() if kind != "gossip")
    mean_share = statistics.mean(shares)
    reads = (new.reads - old.reads) / seconds
    return [
        Figure(f"{prefix}-bytes", total, "B/s", BYTES_BOUND),
        Figure(f"{prefix}-bytes-not-gossip", pulled, "B/s"),
        Figure(f"{prefix}-bytes-across", crossed, "B/s"),
        Figure(f"{prefix}-processor", mean_share, "%", PROCESSOR_BOUND),
        Figure(f"{prefix}-processor-max", max(shares), "%", PROCESSOR_BOUND),
        Figure(f"{prefix}-resident-max", resident, "MB", MEMORY_BOUND_MB),
        Figure(
            f"{prefix}-resident-peak",
            max(usage.peak_mb for usage in usages),
            "MB",
        ),
        Figure(f"{prefix}-platform-reads", reads, "1/s"),
    ]


class _PullServer(ControlBase):
    """Answers every pull with a delta of 200 bytes."""

    async def Pull(self, stream: object) -> None:  # noqa: N802
        await stream.recv_message()  # type: ignore[attr-defined]
        reply = PullReply(version=9, digest=bytes(32), delta=bytes(200))
        await stream.send_message(reply)  # type: ignore[attr-defined]


async def measure_pulls() -> AsyncIterator[Figure]:
    """Measures the bytes of a pull on a new and on a reused connection."""
    address = parse_address("127.0.0.1:32100")
    total = 0

    def count(direction: str, size: int) -> None:
        nonlocal total
        total += size

    server = CountingServer([_PullServer()], on_bytes=lambda *_: None)
    await server.start(address.host, address.port)
    channel = SourceChannel(
        address, source=address.host, on_bytes=count, limit=2**20
    )
    request = PullRequest(base_version=8, base_digest=bytes(32), puller="n")
    try:
        await ControlStub(channel).Pull(request)
        await asyncio.sleep(0.1)
        yield Figure("pull-new-connection", total, "B")
        total = 0
        await ControlStub(channel).Pull(request)
        await asyncio.sleep(0.1)
        yield Figure("pull-used-connection", total, "B")
    finally:
        channel.close()
        server.close()
        await server.wait_closed()


def measure_snapshot(document: Document) -> list[Figure]:
    """Measures the sizes of a snapshot and of a delta."""
    payload = encode_document(document)
    version = Version(2, bytes(32), read_index(payload) or payload, document)
    answer = PullResponder(random.Random(1)).begin(
        "n", VersionId(1, b""), version, VersionHistory()
    )
    size = len(answer.data)  # type: ignore[union-attr]
    return [
        Figure("large-payload", len(payload), "B"),
        Figure("large-snapshot-sent", size, "B"),
    ]


def measure_machines(
    zones: int, nodes: int, far_share: float = 0.0
) -> list[Figure]:
    """Measures the cost of one version with simulated state machines.

    Args:
        zones: Number of data centres.
        nodes: Nodes in each.
        far_share: Share of notices sent to other data centres.
    """
    places = {
        f"{zone}-{index}": f"zone-{zone}"
        for zone in range(zones)
        for index in range(nodes)
    }
    network = DistributionNetwork(places, seed=3, far_share=far_share)
    document = make_newsroom_document()
    network.publish(encode_document(document))
    network.run(30.0)
    assert set(network.versions().values()) == {1}
    delays: list[float] = []
    network.counts.clear()
    for turn in range(1, CHANGES + 1):
        start = network.now
        network.publish(encode_document(change_document(document, turn)))
        network.run(CHANGE_PERIOD_S * 3)
        assert set(network.versions().values()) == {turn + 1}
        delays += [at - start for at in network.in_force_at.values()]
    counts = network.counts
    each = 1 / (CHANGES * len(places))
    seconds = CHANGES * CHANGE_PERIOD_S * 3
    pulls = counts["pulls-near"] + counts["pulls-far"]
    prefix = f"machines-{zones}x{nodes}"
    if far_share:
        prefix += f"-far-{far_share:.2g}"
    sent = counts["bytes-near"] + counts["bytes-far"]
    return [
        Figure(f"{prefix}-convergence-p50", statistics.median(delays), "s"),
        Figure(
            f"{prefix}-convergence-max", max(delays), "s", CONVERGENCE_BOUND_S
        ),
        Figure(f"{prefix}-pulls", pulls * each, "1/version/node"),
        Figure(
            f"{prefix}-pulls-across",
            counts["pulls-far"] / (CHANGES * zones),
            "1/version/zone",
        ),
        Figure(f"{prefix}-content", sent * each, "B/version/node"),
        Figure(f"{prefix}-snapshots", counts["snapshots"] * each, "1/v/node"),
        Figure(f"{prefix}-busy", counts["fault-busy"] * each, "1/v/node"),
        Figure(f"{prefix}-objects", counts["objects"] / CHANGES, "1/version"),
        Figure(f"{prefix}-reads", counts["reads"] / seconds, "1/s"),
    ]


async def run() -> list[Figure]:
    """Runs every measurement and writes the slopes."""
    small, large = (
        make_newsroom_document(),
        make_fleet_document(services=SERVICES),
    )
    figures = [each async for each in measure_pulls()]
    figures += measure_snapshot(large)
    for zones, nodes, far_share in MACHINES:
        figures += measure_machines(zones, nodes, far_share)
    for count in COUNTS:
        figures += [each async for each in measure_fleet(count, small, "small")]
    for count in LARGE_COUNTS:
        figures += [each async for each in measure_fleet(count, large, "large")]
    write_slopes(figures)
    return figures


def write_slopes(figures: list[Figure]) -> None:
    """Writes the figures that docs/CAPACITY.md is computed from."""
    entries = [
        {
            "name": figure.name,
            "value": float(f"{figure.value:.4g}"),
            "unit": figure.unit,
            "command": COMMAND,
        }
        for figure in figures
    ]
    SLOPES.parent.mkdir(exist_ok=True)
    SLOPES.write_bytes(
        orjson.dumps(entries, option=orjson.OPT_INDENT_2) + b"\n"
    )
