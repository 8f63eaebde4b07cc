"""Measures membership: times, bytes, processor time, memory, platform load.

The production state machines run in the simulated network. Processor time is
that of the whole simulation, codec and driver included, and is therefore an
upper bound. The platform load is that of the production joiner, extrapolated
to the whole fleet from two node counts. The figures are written to
bench/slopes/membership.json.
"""

import asyncio
import gc
import pathlib
import random
import statistics
import time
import tracemalloc

import attrs
import orjson

from bench.figure import Figure
from bench.gossip_driver import GossipDriver, Node, make_member
from bench.seed_storm import StormLoad, measure_storm
from guavawing.membership import MemberState, MemberTable
from guavawing.membership.message import Datagram, Notice, Push
from guavawing.node.datagrams import decode_datagram, encode_datagram

__all__ = ["run"]

SLOPES = pathlib.Path(__file__).parent / "slopes" / "membership.json"
COMMAND = "python -m bench membership"
SEED = 20
SERVICES = 820
COUNTS = (12, 48, 200)
LARGE_COUNT = 1_250
CENTRES = 12
NODES_PER_CENTRE = 12
FLEET = 15_000
FIRST_START_MS = 1_796_000_000_000
STORMS = (1_500, 3_000)
IDLE_S = 60.0
LARGE_IDLE_S = 4.0
DEATHS = 8
STEP_S = 0.1
MAX_BYTES_PER_S = 2_000.0
MAX_CORE_SHARE = 0.024
MAX_MEMORY_BYTES = 64 * 2**20
MAX_READS_PER_S = 2_000.0
MAX_WRITES_PER_S = 300.0
MAX_DRAIN_S = 3.0


async def run() -> list[Figure]:
    """Returns every figure and writes the slopes."""
    figures: list[Figure] = []
    for count in COUNTS:
        figures += _measure_group(count)
    figures += _measure_large()
    figures += _measure_mass_restart()
    figures += _measure_centres()
    figures += _measure_false_deaths()
    figures += _measure_memory()
    figures += await asyncio.to_thread(_measure_storms)
    _write_slopes(figures)
    return figures


def _build(count: int, *, encoded: bool) -> GossipDriver:
    driver = GossipDriver(SEED, encoded=encoded)
    for number in range(count):
        service = f"service-{number % max(1, count // 10)}"
        member = make_member(
            f"desk-bergen-{number}", number + 1, service=service
        )
        driver.add(member)
    driver.connect_all()
    return driver


def _measure_group(count: int) -> list[Figure]:
    driver = _build(count, encoded=True)
    sent, core = _measure_idle(driver, IDLE_S)
    avoided = []
    dead = []
    for number in range(DEATHS):
        if number >= count // 2:
            break
        times = _measure_death(driver, f"desk-bergen-{number}")
        avoided.append(times[0])
        dead.append(times[1])
    drain = _measure_drain(driver, f"desk-bergen-{count - 1}")
    return [
        Figure(f"idle_sent_{count}", sent, "bytes/s", MAX_BYTES_PER_S / 2),
        Figure(f"idle_core_{count}", core, "cores", MAX_CORE_SHARE),
        Figure(f"avoided_p50_{count}", statistics.median(avoided), "s"),
        Figure(f"avoided_max_{count}", max(avoided), "s"),
        Figure(f"dead_max_{count}", max(dead), "s"),
        Figure(f"drain_spread_{count}", drain, "s", MAX_DRAIN_S),
    ]


def _measure_idle(driver: GossipDriver, seconds: float) -> tuple[float, float]:
    """Returns bytes sent and cores used, both per node and second."""
    driver.run(2.0)
    before = sum(node.sent_bytes for node in driver.nodes.values())
    started = time.process_time()
    driver.run(seconds)
    core_s = time.process_time() - started
    sent = sum(node.sent_bytes for node in driver.nodes.values()) - before
    total_s = seconds * len(driver.nodes)
    return sent / total_s, core_s / total_s


def _live(driver: GossipDriver) -> list[Node]:
    return [node for node in driver.nodes.values() if node.up]


def _wait(driver: GossipDriver, name: str, least: MemberState) -> float:
    def holds() -> bool:
        members = (node.gossip.table.get(name) for node in _live(driver))
        return all(m is None or m.state >= least for m in members)

    took = driver.run_until(holds, timeout_s=300.0, step_s=STEP_S)
    assert took is not None, f"{name} is still recorded below {least.name}"
    return took


def _measure_death(driver: GossipDriver, name: str) -> tuple[float, float]:
    """Kills a node; returns when all suspect it and when all record its death.

    Both times are in seconds after the kill.
    """
    driver.kill(driver.nodes[name])
    avoided = _wait(driver, name, MemberState.SUSPECT)
    return avoided, avoided + _wait(driver, name, MemberState.DEAD)


def _measure_drain(driver: GossipDriver, name: str) -> float:
    node = driver.nodes[name]
    node.gossip.set_target(serving=False, slots=10)
    driver.call(node, node.gossip.announce())

    def holds() -> bool:
        members = (each.gossip.table.get(name) for each in _live(driver))
        return all(m is None or not m.serving for m in members)

    took = driver.run_until(holds, timeout_s=60.0, step_s=STEP_S)
    return float("inf") if took is None else took


def _measure_large() -> list[Figure]:
    driver = _build(LARGE_COUNT, encoded=True)
    sent, core = _measure_idle(driver, LARGE_IDLE_S)
    drain = _measure_drain(driver, f"desk-bergen-{LARGE_COUNT - 1}")
    driver.kill(driver.nodes["desk-bergen-1"])
    avoided = _wait(driver, "desk-bergen-1", MemberState.SUSPECT)
    count = LARGE_COUNT
    return [
        Figure(f"idle_sent_{count}", sent, "bytes/s", MAX_BYTES_PER_S / 2),
        Figure(f"idle_core_{count}", core, "cores", MAX_CORE_SHARE),
        Figure(f"drain_spread_{count}", drain, "s", MAX_DRAIN_S),
        Figure(f"avoided_once_{count}", avoided, "s"),
    ]


def _measure_mass_restart() -> list[Figure]:
    """Measures a group of which half is killed at once and restarted."""
    count = COUNTS[-1]
    driver = _build(count, encoded=True)
    driver.run(2.0)
    killed = list(driver.nodes.values())[1::2]
    seeds = [node.gossip.me.control for node in driver.nodes.values()][:5:2]
    for node in killed:
        driver.kill(node)
    for node in killed:
        _wait(driver, node.id, MemberState.SUSPECT)
    avoided_at = driver.now - 2.0
    before = sum(node.sent_bytes for node in driver.nodes.values())
    for node in killed:
        before -= node.sent_bytes
        me = attrs.evolve(node.gossip.me, incarnation=2, sequence=0)
        driver.add(me, seeds)

    def holds() -> bool:
        mine = [node.gossip.me for node in driver.nodes.values()]
        return all(
            node.gossip.table.get(me.id) == me
            for node in driver.nodes.values()
            for me in mine
        )

    back = driver.run_until(holds, timeout_s=300.0, step_s=0.5)
    sent = sum(node.sent_bytes for node in driver.nodes.values()) - before
    return [
        Figure(f"half_killed_avoided_{count}", avoided_at, "s"),
        Figure(
            f"half_back_known_{count}",
            float("inf") if back is None else back,
            "s",
        ),
        Figure(f"half_back_sent_{count}", sent / count, "bytes"),
    ]


def _measure_centres() -> list[Figure]:
    """Measures data centres that hold summaries of each other."""
    driver = GossipDriver(SEED, encoded=True)
    seeds = []
    for centre in range(CENTRES):
        for copy in range(NODES_PER_CENTRE):
            member = make_member(
                f"desk-c{centre}-{copy}",
                centre * NODES_PER_CENTRE + copy + 1,
                data_centre=f"c{centre}",
                service=f"service-{copy % 4}",
            )
            driver.add(member, seeds[:3])
            seeds.append(member.control)
    driver.run(90.0)
    known = min(len(n.gossip.table) for n in driver.nodes.values())
    sent, core = _measure_idle(driver, 20.0)
    drain = _measure_drain(driver, "desk-c5-5")
    total = CENTRES * NODES_PER_CENTRE
    return [
        Figure("centres_known_least", known, "members", total, at_least=True),
        Figure("centres_idle_sent", sent, "bytes/s", MAX_BYTES_PER_S / 2),
        Figure("centres_idle_core", core, "cores", MAX_CORE_SHARE),
        Figure("centres_drain_spread", drain, "s", MAX_DRAIN_S),
    ]


def _measure_false_deaths() -> list[Figure]:
    """Counts false deaths while other members are slow or paused."""
    driver = _build(48, encoded=False)
    rng = random.Random(SEED)
    slow = rng.sample(sorted(driver.nodes), 12)
    for name in slow[:6]:
        driver.nodes[name].lag_s = 2.0
    wrong: set[tuple[str, str]] = set()
    for second in range(180):
        for name in slow[6:]:
            node = driver.nodes[name]
            if second % 9 == 0:
                node.paused = True
            elif second % 9 == 4:
                driver.resume(node)
        driver.run(1.0)
        wrong |= _find_wrong(driver, set(slow))
    return [Figure("false_deaths_48_12_slow", len(wrong), "deaths", 0)]


def _find_wrong(driver: GossipDriver, slow: set[str]) -> set[tuple[str, str]]:
    return {
        (node.id, member.id)
        for node in driver.nodes.values()
        for member in node.gossip.table
        if member.state is MemberState.DEAD and member.id not in slow
    }


def _measure_memory() -> list[Figure]:
    """Measures the memory of a table of decoded records."""
    datagrams = [encode_datagram(_make_update(n)) for n in range(FLEET)]
    gc.collect()
    tracemalloc.start()
    table = MemberTable()
    for payload in datagrams:
        # Decoded records share fewer objects than records made in process.
        table.merge(*decode_datagram(payload).records)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return [
        Figure("table_bytes_per_member", size / FLEET, "bytes"),
        Figure(f"table_bytes_{FLEET}", size, "bytes", MAX_MEMORY_BYTES),
    ]


def _make_update(number: int) -> Datagram:
    centre = number // LARGE_COUNT
    member = make_member(
        f"desk-c{centre}-{number}",
        number,
        data_centre=f"c{centre}",
        service=f"service-{number % SERVICES}",
    )
    # Incarnations are start times in ms, so each one is a separate int object.
    record = attrs.evolve(
        member, incarnation=FIRST_START_MS + number, sequence=1
    )
    return Datagram(member.id, Push(), Notice(0, b""), records=(record,))


def _measure_storms() -> list[Figure]:
    """Measures platform load while nodes start, with and without peers."""
    figures = []
    for name, answered, published in (
        ("answered", True, False),
        ("lonely", False, False),
        ("lonely_published", False, True),
    ):
        loads = [
            measure_storm(
                count,
                centres=CENTRES,
                answered=answered,
                published=published,
                seed=SEED,
            )
            for count in STORMS
        ]
        figures += _extrapolate(name, loads)
    return figures


def _extrapolate(name: str, loads: list[StormLoad]) -> list[Figure]:
    reads = _find_slope([load.reads for load in loads])
    all_reads = _find_slope([load.all_reads for load in loads])
    writes = _find_slope([load.writes for load in loads])
    rest = FLEET - STORMS[-1]
    return [
        Figure(f"storm_{name}_reads_slope", reads, "reads/s per node"),
        Figure(f"storm_{name}_writes_slope", writes, "writes/s per node"),
        Figure(
            f"storm_{name}_reads_{FLEET}",
            loads[-1].reads + reads * rest,
            "reads/s",
            MAX_READS_PER_S,
        ),
        Figure(
            f"storm_{name}_all_reads_{FLEET}",
            loads[-1].all_reads + all_reads * rest,
            "reads/s",
            MAX_READS_PER_S,
        ),
        Figure(
            f"storm_{name}_writes_{FLEET}",
            loads[-1].writes + writes * rest,
            "writes/s",
            MAX_WRITES_PER_S,
        ),
    ]


def _find_slope(values: list[int]) -> float:
    return (values[-1] - values[0]) / (STORMS[-1] - STORMS[0])


def _write_slopes(figures: list[Figure]) -> None:
    entries = [
        {
            "name": figure.name,
            "value": float(f"{figure.value:.6g}"),
            "unit": figure.unit,
            "command": COMMAND,
        }
        for figure in figures
    ]
    SLOPES.parent.mkdir(exist_ok=True)
    SLOPES.write_bytes(
        orjson.dumps(entries, option=orjson.OPT_INDENT_2) + b"\n"
    )
