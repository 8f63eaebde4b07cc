"""Measures duplicate suppression: owner memory and platform requests."""

import collections
import tracemalloc

from bench.figure import Figure
from bench.key_history import History
from bench.slope import Slope, write_slopes
from guavawing.model import parse_address
from guavawing.policy.bound_key import BoundKey
from guavawing.policy.key_table import MAX_ENTRIES, KeyTable
from guavawing.store import publish_document
from guavawing.store.client import open_platform
from guavawing.verdict import Ran, verdict_name
from standins.caller import send_call
from standins.cluster import Fleet, open_fleet, plan_fleet
from standins.documents import make_newsroom_document

COMMAND = "python -m bench keys"
CALLS = 100
HISTORIES = 2_000
EVENTS = 200
NONCE_LENGTH = 12
FINGERPRINT_BYTES = 16


async def run() -> list[Figure]:
    """Measures table entries, random histories and each source of keys."""
    figures = [_measure_entry(), *_measure_histories()]
    plans = plan_fleet(
        data_centres=["bergen"], services=["desk", "feed"], copies=1
    )
    async with open_fleet(plans) as fleet:
        await _publish(fleet)
        for key_source in ("claimed", "asked-for", "none"):
            figures += await _measure_platform(fleet, key_source)
    return figures


def _measure_entry() -> Figure:
    tracemalloc.start()
    table = KeyTable(incarnation=1, now=0.0)
    before, _ = tracemalloc.get_traced_memory()
    for number in range(MAX_ENTRIES):
        nonce = f"{number:0{NONCE_LENGTH}}"
        key = BoundKey("desk-bergen-1", 1, 0, nonce)
        fingerprint = number.to_bytes(FINGERPRINT_BYTES, "big")
        table.begin(key, fingerprint, now=1.0)
        table.finish(key, Ran())
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(table) == MAX_ENTRIES
    size = (after - before) / MAX_ENTRIES
    write_slopes("keys", [Slope("key_entry", size, "bytes", COMMAND)])
    return Figure("key_entry", size, "bytes")


def _measure_histories() -> list[Figure]:
    """Measures verdicts and executions per request under random faults."""
    endings: collections.Counter[str] = collections.Counter()
    most = 0
    for seed in range(HISTORIES):
        history = History(seed)
        history.run(events=EVENTS)
        runs = collections.Counter(number for number, _ in history.executions)
        most = max(most, *runs.values(), 0)
        for submission in history.submissions:
            assert submission.verdict is not None
            endings[verdict_name(submission.verdict)] += 1
    total = endings.total()
    return [
        Figure("histories_most_executions", most, "executions", 1),
        *(
            Figure(f"histories_{name}", endings[name] / total, "share")
            for name in sorted(endings)
        ),
    ]


async def _publish(fleet: Fleet) -> None:
    async with open_platform(parse_address(fleet.platform)) as platform:
        await publish_document(
            platform,
            make_newsroom_document(),
            change_id="bench",
            base_version=0,
            author="bench",
        )
    assert not await fleet.wait_for_version(1)
    assert await fleet.wait_for_serving(len(fleet.nodes))


async def _measure_platform(fleet: Fleet, key_source: str) -> list[Figure]:
    entry = fleet.nodes["feed-bergen-1"].caller
    keys = [""] * CALLS
    if key_source == "claimed":
        keys = [f"own-{number}" for number in range(CALLS)]
    elif key_source == "asked-for":
        url = f"http://{entry}/guavawing/keys?service=desk&count={CALLS}"
        async with fleet.session.post(url) as resp:
            keys = (await resp.json())["keys"]
        assert len(keys) == CALLS, len(keys)
    before = await fleet.get(fleet.platform, "/counters")
    for key in keys:
        outcome = await send_call(
            fleet.session,
            entry,
            service="desk",
            method="POST",
            path="/bulletins",
            key=key,
        )
        assert outcome.verdict == "ran", outcome
    after = await fleet.get(fleet.platform, "/counters")
    return [
        Figure(
            f"platform_{kind}_a_call_key_{key_source}",
            (after[kind] - before[kind]) / len(keys),
            "requests",
        )
        for kind in ("reads", "writes")
    ]
