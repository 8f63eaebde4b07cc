"""Runs the soak test: `python -m soak --seed N [--count N] [--vms N]`."""

import argparse
import asyncio
import pathlib
import random
import shutil
import sys
from collections.abc import Sequence

import aiohttp

from soak.accounts import (
    BOUNDS,
    KEYS,
    find_account_violations,
    make_accounts,
)
from soak.checks import Answer, find_violations, make_upload
from soak.faults import Faults
from standins.vm_fleet import HOST_NAME, Vm, VmFleet, open_vm_fleet

CLIENTS_PER_VM = 3
DEADLINE_MS = 2900
MODES = ("ok",) * 12 + ("slow", "lost", "late", "cut", "shed", "unsigned")
# Answers without end, and the memory that a daemon may use beside them, in MB.
FLOOD_MODES = ("flood",)
MAX_MEMORY_MB = 200
# Requests of 2 s, which come late in a planned stop.
LONG_MODES = ("slower",) * 4
SERVICES = ("desk", "feed")
DATA_CENTRES = ("bergen", "voss")
RECOVERY_S = 6.0
# Fewest requests that are sent and served in a time after the recovery, and
# that time, in seconds. Where clients send long requests, it is extended by the
# time that these take.
MIN_SERVED = 20
SERVED_S = 1.5
LONG_S = 2.0
# Probes request the routes of this many newest versions.
NEWEST_PROBES = 4
ACCOUNTS_TIMEOUT_S = 20.0
# Longer than the log is buffered, in seconds.
FLUSH_S = 0.6
# Interval at which the lateness of this process's event loop is measured, in
# seconds.
LOOP_CHECK_S = 0.05
# Interval at which the memory of the daemons is read, in seconds.
MEMORY_CHECK_S = 0.25


async def main() -> int:
    """Runs the seeds; returns 1 if any violated an invariant."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument("--vms", type=int, default=6, help="number of daemons")
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="duration of the faults"
    )
    parser.add_argument(
        "--uploads", action="store_true", help="also send large bodies"
    )
    parser.add_argument(
        "--accounts",
        action="store_true",
        help="also withdraw keys of client accounts, which have quotas",
    )
    parser.add_argument(
        "--stops",
        action="store_true",
        help="also stop the daemons of a service in turn, with more signals"
        " during the stops, and send requests of 2 s",
    )
    parser.add_argument(
        "--departures",
        action="store_true",
        help="also kill daemons that have acknowledged a departure, and send"
        " late heartbeats to the next process",
    )
    parser.add_argument(
        "--floods",
        action="store_true",
        help="also have targets send bodies in tiny chunks without end",
    )
    parser.add_argument(
        "--logs",
        type=pathlib.Path,
        help="folder that gets the daemons' logs of failed seeds",
    )
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        violations = await run_seed(
            seed,
            options.vms,
            options.seconds,
            uploads=options.uploads,
            accounts=options.accounts,
            stops=options.stops,
            floods=options.floods,
            departures=options.departures,
            logs=options.logs,
        )
        failed += bool(violations)
        print(f"seed {seed}: {'FAILED' if violations else 'ok'}", flush=True)
        for line in violations[:20]:
            print(f"  {line}")
    print(f"seeds: {options.count - failed} passed, {failed} failed")
    return int(failed > 0)


async def run_seed(
    seed: int,
    vms: int,
    seconds: float,
    *,
    earlier_kinds: bool = False,
    uploads: bool = False,
    accounts: bool = False,
    stops: bool = False,
    floods: bool = False,
    departures: bool = False,
    logs: pathlib.Path | None = None,
) -> list[str]:
    """Runs one seed; returns one line per violation, then the fault log.

    Args:
        seed: Seed of all choices.
        vms: Number of VMs.
        seconds: Duration of the faults.
        earlier_kinds: See `Faults`.
        uploads: Whether clients also send large bodies.
        accounts: Whether clients send keys of client accounts.
        stops: Whether the daemons of a service are also stopped in turn, and
            clients also send requests of 2 s.
        departures: Whether daemons are also killed after departures.
        floods: Whether targets also send bodies without end.
        logs: Folder that gets the daemons' logs if the seed fails.
    """
    rng = random.Random(seed)
    modes = MODES + LONG_MODES * stops + FLOOD_MODES * floods
    plan = [
        (
            f"vm{number}",
            DATA_CENTRES[number % 2],
            SERVICES[number // 2 % 2],
        )
        for number in range(vms)
    ]
    answers: list[Answer] = []
    loop = asyncio.get_running_loop()
    bounds = BOUNDS if accounts else {}
    async with open_vm_fleet(plan, relayed=True, bounds=bounds) as fleet:
        if uploads:
            fleet.kinds = (*fleet.kinds, "upload")
        fleet.publish_probe(1)
        await asyncio.sleep(2.0)
        faults = Faults(fleet, rng, earlier_kinds, stops, departures)
        if accounts:
            fleet.accounts = make_accounts()
            await faults.publish(next(iter(fleet.vms.values())))
            await _wait_for_version(fleet, faults.version)
        loop_check = LoopCheck()
        peaks_mb: dict[str, float] = {}
        check_tasks = [
            loop.create_task(loop_check.run()),
            loop.create_task(_watch_memory(fleet, peaks_mb)),
        ]
        clients = [
            loop.create_task(
                _run_client(
                    fleet,
                    vm,
                    random.Random(f"{seed} {n}"),
                    answers,
                    modes,
                )
            )
            for vm in fleet.vms.values()
            for n in range(CLIENTS_PER_VM)
        ]
        await faults.run(loop.time() + seconds)
        recovered_at = loop.time() + RECOVERY_S
        served_s = SERVED_S + (LONG_S if stops else 0.0)
        await asyncio.sleep(RECOVERY_S + served_s)
        for task in (*clients, *check_tasks):
            task.cancel()
        await asyncio.gather(*clients, *check_tasks, return_exceptions=True)
        violations = find_violations(fleet, faults, answers)
        violations += [
            f"{name} used {used_mb:.0f} MB"
            for name, used_mb in peaks_mb.items()
            if used_mb > MAX_MEMORY_MB
        ]
        if accounts:
            await asyncio.sleep(FLUSH_S)
            violations += find_account_violations(fleet, faults, answers)
        served = sum(
            a.status == 200 for a in answers if a.sent_at > recovered_at
        )
        if served < MIN_SERVED:
            violations.append(
                f"only {served} calls served after all faults had ended"
            )
        if violations:
            violations.append(
                "clients, targets and store late by up to"
                f" {loop_check.late_s:.1f} s"
            )
            violations += [f"fault: {line}" for line in faults.fault_log]
            if logs is not None:
                await asyncio.sleep(FLUSH_S)
                _copy_logs(fleet, logs / str(seed))
        return violations


class LoopCheck:
    """Lateness of the event loop that runs clients, targets and the store.

    Attributes:
        late_s: Longest lateness of a timer, in seconds.
    """

    def __init__(self) -> None:
        self.late_s = 0.0

    async def run(self) -> None:
        """Measures until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + LOOP_CHECK_S
            await asyncio.sleep(LOOP_CHECK_S)
            self.late_s = max(self.late_s, loop.time() - due_at)


async def _watch_memory(fleet: VmFleet, peaks_mb: dict[str, float]) -> None:
    """Keeps the peak memory of each daemon, of all its processes."""
    while True:
        for vm in fleet.vms.values():
            used_mb = vm.process.read_peak_memory_mb()
            peaks_mb[vm.name] = max(peaks_mb.get(vm.name, 0.0), used_mb)
        await asyncio.sleep(MEMORY_CHECK_S)


def _copy_logs(fleet: VmFleet, folder: pathlib.Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for vm in fleet.vms.values():
        shutil.copy(vm.log, folder)


async def _wait_for_version(fleet: VmFleet, version: int) -> None:
    """Waits until the version is in force at all daemons."""
    async with asyncio.timeout(ACCOUNTS_TIMEOUT_S):
        for vm in fleet.vms.values():
            while not any(
                record["message_type"] == "version-in-force"
                and record["version"] == version
                for record in vm.read_log()
            ):
                await asyncio.sleep(0.1)


async def _run_client(
    fleet: VmFleet,
    vm: Vm,
    rng: random.Random,
    answers: list[Answer],
    modes: Sequence[str],
) -> None:
    """Runs a client that keeps its connection while the daemon runs."""
    loop = asyncio.get_running_loop()
    connector = aiohttp.TCPConnector(limit=1)
    async with aiohttp.ClientSession(connector=connector) as http:
        while True:
            kind = rng.choice((*fleet.kinds, "unsafe", "probe"))
            probe = rng.choice(fleet.probes[-NEWEST_PROBES:])
            path = f"/{rng.choice(SERVICES)}/{kind}/{rng.choice(modes)}"
            if kind == "probe":
                path = f"/since-{probe}/ok"
            request_id = f"{vm.name}-{rng.getrandbits(48):x}"
            key = rng.choice(list(KEYS)) if fleet.accounts else ""
            sent_at, process = loop.time(), vm.process.starts
            status, body = await send_request(
                http, vm, kind, path, request_id, key
            )
            answers.append(
                Answer(
                    vm.name,
                    process,
                    request_id,
                    kind,
                    probe,
                    status,
                    body,
                    sent_at,
                    loop.time(),
                    key,
                )
            )
            await asyncio.sleep(rng.uniform(0, 0.03) if status > 0 else 0.2)


async def send_request(
    http: aiohttp.ClientSession,
    vm: Vm,
    kind: str,
    path: str,
    request_id: str,
    key: str = "",
) -> tuple[int, bytes]:
    """Sends one request; returns its status and body, see `Answer`."""
    headers = {
        "Host": HOST_NAME,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(DEADLINE_MS),
    }
    if key:
        headers["Authorization"] = f"Token {key}"
    method = "POST" if kind in ("unsafe", "upload") else "GET"
    data = b"some body" if kind == "unsafe" else None
    if kind == "upload":
        data = make_upload(request_id)
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
            async with http.request(
                method, vm.url + path, headers=headers, data=data
            ) as resp:
                return resp.status, await resp.read()
    except aiohttp.ClientConnectorError:
        # Connection refused: the request was not sent.
        return -1, b""
    except (aiohttp.ClientError, TimeoutError):
        return 0, b""


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
