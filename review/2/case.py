"""A target in trouble sends bodies without end instead of answers."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    Answer,
    CannotRunError,
    Client,
    Fleet,
    Record,
    has_trouble,
    limit_memory,
    open_fleet,
    run_case,
)

PLAN = [
    ("a1", "vestland-a", "desk"),
    ("b1", "vestland-b", "feed"),
    ("c1", "vestland-c", "desk"),
]
# Size of the chunks of a body without end.
CHUNK_BYTES = 2
TROUBLE_S = 5.0
# Clients of each service; one of each sends a request each 50 ms.
CLIENTS, PERIOD_S = 30, 1.5
# Deadlines of `bulletin-publish` and of `script-read`.
DEADLINES_MS = {"POST": 2_500, "GET": 2_000}
# Requests of kept connections that LOST allows to be cut.
ALLOWED = 3


async def call_on(
    client: Client,
    method: str,
    path: str,
    answers: list[Answer],
    stop: asyncio.Event,
) -> None:
    """Sends a request each `PERIOD_S` on a kept connection."""
    loop = asyncio.get_running_loop()
    while not stop.is_set():
        next_at = loop.time() + PERIOD_S
        answer = await client.send(
            method, path, deadline_ms=DEADLINES_MS[method], quiet=True
        )
        answers.append(answer)
        await asyncio.sleep(max(0.2, next_at - loop.time()))


async def run(record: Record) -> bool:
    """Returns whether LOST held."""
    async with open_fleet(record, PLAN) as opened:
        fleet: Fleet = opened
        await fleet.wait_ready()
        await asyncio.sleep(4)
        vm = fleet.vms["c1"]
        peaks = {name: [0.0] for name in fleet.vms}
        for each in fleet.vms.values():
            fleet.spawn(limit_memory(each, record, peaks[each.name]))
        stop = asyncio.Event()
        desk: list[Answer] = []
        feed: list[Answer] = []
        tasks = []
        for _ in range(CLIENTS):
            for method, path, answers in (
                ("POST", "/desk/unsafe/ms=90", desk),
                ("GET", "/feed/safe/ms=300", feed),
            ):
                call = call_on(Client(vm, record), method, path, answers, stop)
                tasks.append(asyncio.ensure_future(call))
            await asyncio.sleep(PERIOD_S / CLIENTS)
        await asyncio.sleep(3)
        if sum(each.whole for each in feed) < CLIENTS:
            raise CannotRunError("requests were not served before the trouble")
        if has_trouble():
            record.write("trouble", target="c1", chunk_bytes=CHUNK_BYTES)
            fleet.targets["c1"].endless_chunk = CHUNK_BYTES
        await asyncio.sleep(TROUBLE_S)
        fleet.targets["c1"].endless_chunk = 0
        await asyncio.sleep(3)
        stop.set()
        await asyncio.gather(*tasks)
        passed_on = {run["id"] for run in fleet.targets["b1"].runs}
        cut = [
            each.request_id
            for each in feed
            if not each.status
            and each.request_id in passed_on
            and each.ended_at - each.sent_at < DEADLINES_MS["GET"] / 1000
        ]
        record.write(
            "summary",
            peak_mb={name: round(peak[0], 1) for name, peak in peaks.items()},
            ends={each.name: each.ends for each in fleet.vms.values()},
            feed_answered=sum(each.whole for each in feed),
            feed_longest_s=round(
                max(each.ended_at - each.sent_at for each in feed), 2
            ),
            feed_passed_on_and_cut=cut,
        )
        return len(cut) <= ALLOWED


run_case(FOLDER, run)
