"""A sidecar is killed after it has acknowledged a deregistration."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    CannotRunError,
    Client,
    Fleet,
    Record,
    has_trouble,
    open_fleet,
    run_case,
)

PLAN = [
    ("a1", "vestland-a", "desk"),
    ("b1", "vestland-b", "desk"),
    ("c1", "vestland-c", "feed"),
]
# `drainMs` and `contactMs` of the settings.
DRAIN_S, CONTACT_S = 2.0, 3.0
# Delay of the last heartbeat.
LATE_S = 3.0
CLIENTS = 4


async def read_on(client: Client, stop: asyncio.Event) -> None:
    """Sends one request after the other on a kept connection."""
    while not stop.is_set():
        answer = await client.send("GET", "/desk/safe/ms=40", quiet=True)
        await asyncio.sleep(0.05 if answer.whole else 0.3)


async def run(record: Record) -> bool:
    """Returns whether DRAIN held."""
    async with open_fleet(record, PLAN) as opened:
        fleet: Fleet = opened
        await fleet.wait_ready()
        await asyncio.sleep(4)
        stop = asyncio.Event()
        readers = [
            asyncio.ensure_future(
                read_on(Client(fleet.vms["c1"], record), stop)
            )
            for _ in range(CLIENTS)
        ]
        await asyncio.sleep(2)
        vm, target = fleet.vms["a1"], fleet.targets["a1"]
        target.beating = False
        # It is sent now, and takes `LATE_S` on its way.
        late = target.make_heartbeat()
        record.write("heartbeat-sent", target=target.id, body=late.decode())
        asyncio.get_running_loop().call_later(
            LATE_S,
            lambda: asyncio.ensure_future(target.say("Heartbeat", late)),
        )
        await asyncio.sleep(0.1)
        target.leaving = True
        body = b'{"born":%d}' % target.born
        status = await target.say("Deregister", body)
        left_at = record.now()
        if has_trouble():
            record.write("kill", vm=vm.name)
            vm.send(signal.SIGKILL)
        if status != 200:
            raise CannotRunError("the deregistration was not acknowledged")
        await asyncio.sleep(LATE_S + 8)
        stop.set()
        await asyncio.gather(*readers)
        # Both machines are in touch from then on.
        counted_from = max(left_at + DRAIN_S, vm.started_at + CONTACT_S)
        after = [
            round(run["began"] - left_at, 2)
            for run in target.runs
            if run["began"] > counted_from
        ]
        record.write(
            "summary",
            counted_from=round(counted_from - left_at, 2),
            runs=len(target.runs),
            runs_of_other=len(fleet.targets["b1"].runs),
            runs_after_drain=after,
        )
        return not after


run_case(FOLDER, run)
