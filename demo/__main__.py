"""Runs the demo; exits with a non-zero status if a check fails."""

import asyncio
import collections
import contextlib
import itertools
import pathlib
import statistics
import sys
import time
import uuid

import attrs

from guavawing.config import encode_document
from standins.caller import Outcome, send_call
from standins.cluster import Fleet, open_fleet, plan_fleet
from standins.documents import make_newsroom_document
from standins.records import count_executions

DATA_CENTRES = ("bergen", "voss", "floro")
SERVICES = ("desk", "feed")
COPIES = 2
READS = 200
KEYED_CALLS = 50
LATENCY_SAMPLES = 200
CONCURRENT_CALLS = 16


@attrs.define
class Report:
    """Measurements and failed checks of the demo."""

    version: int = 0
    behind: list[str] = attrs.field(factory=list)
    outcomes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    executions: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    direct_ms: list[float] = attrs.field(factory=list)
    mesh_ms: list[float] = attrs.field(factory=list)
    problems: list[str] = attrs.field(factory=list)


async def publish(fleet: Fleet, report: Report) -> None:
    """Publishes a configuration and an exception with the CLI."""
    path = fleet.folder / "fleet.json"
    path.write_bytes(encode_document(make_newsroom_document()))
    await run_step(fleet, report, "config", "publish", str(path))
    await run_step(
        fleet, report, "exception", "add", "slow-archive",
        "--service", "desk", "--setting", "deadline_ms", "--value", "20000",
        "--reason", "the archive is moved this month", "--owner", "desk team",
    )  # fmt: skip
    report.version = 2
    report.behind = await fleet.wait_for_version(report.version)
    if report.behind:
        report.problems.append(f"nodes behind: {report.behind}")
    if not await fleet.wait_for_serving(len(fleet.nodes)):
        report.problems.append("not all targets were announced to every node")


async def run_step(fleet: Fleet, report: Report, *args: str) -> None:
    """Runs a CLI command; records a problem if it fails."""
    code, _, err = await fleet.run_cli(*args)
    if code:
        report.problems.append(f"{' '.join(args[:2])}: exit code {code}: {err}")


async def send_calls(fleet: Fleet, report: Report) -> None:
    """Sends reads and keyed publishes while one target is drained."""
    entries = itertools.cycle(node.caller for node in fleet.nodes.values())
    limit = asyncio.Semaphore(CONCURRENT_CALLS)

    async def read(entry: str, number: int) -> None:
        service, path = SERVICES[number % 2], "/packages/1"
        async with limit:
            outcome = await send_call(
                fleet.session,
                entry,
                service=service,
                path=path,
                headers={"X-Work-Ms": "2"},
            )
        record_outcome(report, "read", outcome)

    async def write(entry: str) -> None:
        key = uuid.uuid4().hex
        async with limit:
            outcome = await send_call(
                fleet.session,
                entry,
                service="desk",
                method="POST",
                path="/bulletins",
                key=key,
                body=b"{}",
                headers={"X-Work-Ms": "2"},
            )
        record_outcome(report, "publish", outcome)

    drained = next(iter(fleet.nodes.values()))
    calls = [read(next(entries), number) for number in range(READS)]
    calls += [write(next(entries)) for _ in range(KEYED_CALLS)]
    tasks = [asyncio.ensure_future(call) for call in calls]
    await asyncio.sleep(0.05)
    await run_step(fleet, report, "drain", "--node", drained.admin)
    await asyncio.gather(*tasks)


def record_outcome(report: Report, kind: str, outcome: Outcome) -> None:
    """Counts an outcome; records a problem unless the call was served."""
    report.outcomes[f"{kind}: {outcome.verdict} {outcome.reason}"] += 1
    if outcome.verdict != "ran" or outcome.status != 200:
        report.problems.append(f"{kind} failed: {outcome}")


async def check_executions(fleet: Fleet, report: Report) -> None:
    """Checks that the targets executed each key exactly once."""
    counts = await count_executions(fleet)
    report.executions.update(str(count) for count in counts.values())
    if any(count != 1 for count in counts.values()):
        report.problems.append("a key was not executed exactly once")
    if len(counts) != KEYED_CALLS:
        report.problems.append(
            f"{len(counts)} keys were executed, expected {KEYED_CALLS}"
        )


async def measure_latency(fleet: Fleet, report: Report) -> None:
    """Measures the latency of alternating direct and mesh calls."""
    node = list(fleet.nodes.values())[-1]
    for _ in range(LATENCY_SAMPLES):
        direct = await send_call(fleet.session, node.target, service="feed")
        report.direct_ms.append(direct.elapsed_s * 1000)
        mesh = await send_call(
            fleet.session, node.caller, service="feed", path="/packages/1"
        )
        report.mesh_ms.append(mesh.elapsed_s * 1000)


def print_report(report: Report, elapsed_s: float) -> None:
    """Prints the results and problems."""
    print(f"version in force          {report.version}, behind: "
          f"{', '.join(report.behind) or 'none'}")  # fmt: skip
    for name, count in sorted(report.outcomes.items()):
        print(f"calls  {name:<18} {count}")
    for times, keys in sorted(report.executions.items()):
        print(f"keys executed {times} time(s)   {keys}")
    for label, samples in (
        ("direct", report.direct_ms),
        ("mesh", report.mesh_ms),
    ):
        p50, p99 = statistics.median(samples), sorted(samples)[-3]
        print(f"latency {label:<8}          p50 {p50:.2f} ms p99 {p99:.2f} ms")
    print(f"elapsed                   {elapsed_s:.1f} s")
    for problem in report.problems:
        print(f"problem: {problem}", file=sys.stderr)


async def run() -> int:
    """Runs the demo; returns its exit code."""
    start = time.monotonic()
    report = Report()
    plans = plan_fleet(
        data_centres=DATA_CENTRES, services=SERVICES, copies=COPIES
    )
    async with open_fleet(plans) as fleet:
        await publish(fleet, report)
        if not report.problems:
            await send_calls(fleet, report)
            await check_executions(fleet, report)
            await measure_latency(fleet, report)
        if report.problems:
            print_error_output(fleet.folder)
    if report.mesh_ms:
        print_report(report, time.monotonic() - start)
    else:
        print(*report.problems, sep="\n", file=sys.stderr)
    return 1 if report.problems else 0


def print_error_output(folder: pathlib.Path) -> None:
    """Prints the last standard error output of each process."""
    for path in sorted(folder.glob("*.err")):
        text = path.read_text()
        if text:
            print(f"--- {path.name}\n{text[-2000:]}", file=sys.stderr)


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(asyncio.run(run()))
    sys.exit(130)
