"""Steps that publish documents, to the platform in memory or over HTTP."""

import asyncio
import datetime

import attrs
from behave import given, then, when
from hypothesis import strategies as st

from guavawing.config import compute_digest, encode_document
from guavawing.errors import PlatformDataInvalidError
from guavawing.store import (
    fetch_document,
    fetch_head,
    fetch_history,
    format_object_name,
    publish_document,
    publish_edit,
)
from guavawing.store.client import Write, open_platform
from guavawing.store.versions import HISTORY_TABLE
from standins.documents import make_exception, make_newsroom_document
from standins.memory_platform import Fault, MemoryPlatform, MemoryStore
from standins.operators import (
    NOW,
    describe_result,
    make_changed_document,
    run,
    run_interleaved,
    submit,
)
from standins.platform import Faults, PlatformStandIn, open_stand_in
from tests.golden_files import check_golden
from tests.support import (
    FAULT_PLANS,
    assert_raises,
    check_examples,
    interleave_operators,
    open_in_scenario,
)

TIMEOUT_S = 1.0
PREPARED = "prepared"


def add_exception(document, name, **fields):
    entries = {**document.exceptions, name: make_exception(**fields)}
    return attrs.evolve(document, exceptions=entries)


def make_document(what):
    if what == "another document":
        return make_changed_document("other")
    fields = {
        "a fault": {"setting": "colour"},
        "a number beyond 64 bits": {"value": 2**70},
        "an ended exception": {"ends": NOW.date().replace(year=2026)},
        "no fault": {},
    }
    return add_exception(make_newsroom_document(), "x", **fields[what])


def get_store(context):
    if not hasattr(context, "store"):
        context.store = MemoryStore()
        context.faults = []
    return context.store


def perform(context, operate):
    """Runs an operation on the platform of the scenario."""

    async def perform_over_http():
        async with open_platform(
            context.platform, timeout_s=TIMEOUT_S
        ) as platform:
            return await operate(platform)

    if hasattr(context, "platform"):
        return context.run(perform_over_http())
    store = get_store(context)
    faults, context.faults = context.faults, []
    return context.run(operate(MemoryPlatform(store, faults)))


def publish(context, change, document=None, **options):
    context.outcome = perform(
        context, lambda p: submit(p, change, document, **options)
    )


@when('changes "{changes}" are published, each based on the one before')
def step_publish_series(context, changes):
    async def operate(platform):
        pairs, base = [], 0
        for change in changes.split():
            head = await publish_document(
                platform,
                make_changed_document(change),
                change_id=change,
                base_version=base,
                author="ana",
                now=NOW,
            )
            pairs.append((head, await fetch_head(platform)))
            # Writes to other tables also advance the revision counter.
            await platform.transact([Write("seeds", change, {}, None)])
            base = head.version
        return pairs

    context.heads = perform(context, operate)


@then("each publish returned the revision of the platform's head")
def step_revisions(context):
    for returned, stored in context.heads:
        assert returned == stored, (returned, stored)


def read_history(store):
    rows = sorted(store.tables.get(HISTORY_TABLE, {}).items())
    return [value for _, (value, _) in rows]


@given("a platform")
def step_platform(context):
    context.standin = PlatformStandIn()
    manager = open_stand_in(context.standin)
    context.platform = open_in_scenario(context, manager)


@given("the platform has the faults {faults:Json}")
def step_set_faults(context, faults):
    context.standin.faults = Faults(**faults)


@when("the platform has no faults")
def step_no_faults(context):
    context.standin.faults = Faults()


@given("the requests of the publisher have the outcomes {plan}")
def step_faults(context, plan):
    get_store(context)
    served, *names = plan.split(" then ")
    context.faults = [Fault.NONE] * int(served.split()[0])
    for name in names:
        repeats = 9 if name == "refused" else 1
        context.faults += [Fault[name.upper().replace(" ", "_")]] * repeats


@when('change "{change}" is published')
@when('change "{change}" is published again without faults')
def step_publish(context, change):
    publish(context, change)


@when(
    'change "{change}" is published again and the late write is applied after'
    " its first request"
)
def step_publish_crossing(context, change):
    coroutine = submit(MemoryPlatform(context.store), change)
    coroutine.send(None)
    coroutine.send(None)
    step_late(context)
    context.outcome = run(coroutine)


@when("the late writes are applied")
def step_late(context):
    while context.store.late_writes:
        context.store.apply_late_write()


@when('an edit "{change}" adds exception "{name}"')
def step_edit(context, change, name):
    if not read_history(get_store(context)):
        publish(context, PREPARED)

    def edit(document):
        return add_exception(document, name, data_centre=name)

    options = {"change_id": change, "author": "ana", "now": NOW}
    context.outcome = perform(
        context, lambda p: describe_result(publish_edit(p, edit, **options))
    )


@when('change "{change}" from base {base:d} is published with {what}')
def step_publish_with(context, change, base, what):
    publish(context, change, make_document(what), base=base)


@given('change "{change}" was published with an exception that has ended since')
def step_published_ended(context, change):
    earlier = NOW - datetime.timedelta(days=400)
    publish(context, change, make_document("an ended exception"), now=earlier)


@when("the {what} is damaged")
def step_damage(context, what):
    store = context.store
    if what == "head":
        store.tables["config-head"]["head"] = ({"version": "one"}, 2)
    else:
        store.objects = dict.fromkeys(store.objects, b"{}")


@then('reading the newest document fails with "{text}"')
def step_read_damaged(context, text):
    with assert_raises(PlatformDataInvalidError, text):
        perform(context, fetch_document)


@then('the outcome for the publisher is "{outcome}"')
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@then('the history contains "{changes}"')
@then('the history contains ""')
def step_history(context, changes=""):
    history = perform(context, lambda p: fetch_history(p, limit=1000))[::-1]
    held = [c.change_id for c in history if c.change_id != PREPARED]
    assert held == changes.split(), held
    numbers = [change.version for change in history]
    assert numbers == list(range(1, len(history) + 1)), numbers


@then("the platform has received {count:d} writes")
def step_writes(context, count):
    assert context.store.writes == count, context.store.writes


@when("{count:d} operators publish from version 0 at the same time")
def step_race(context, count):
    names = [f"change-{index}" for index in range(count)]

    async def race(platform):
        outcomes = await asyncio.gather(*(submit(platform, n) for n in names))
        return dict(zip(names, outcomes, strict=True))

    context.outcomes = perform(context, race)


@then("{accepted:d} change is accepted and {conflicts:d} conflicts name it")
def step_race_end(context, accepted, conflicts):
    history = perform(context, lambda p: fetch_history(p, limit=1000))
    assert len(history) == accepted, history
    winner = history[0].change_id
    assert context.outcomes.pop(winner) == "accepted 1"
    outcomes = list(context.outcomes.values())
    assert outcomes == [f"conflict {winner} 1"] * conflicts, outcomes


@when("{count:d} operators retry their publishes until accepted")
def step_many(context, count):
    answers = {}

    async def publish_until_accepted(platform, change):
        outcome = ""
        while not outcome.startswith("accepted"):
            base = (await fetch_head(platform)).version
            outcome = await submit(platform, change, base=base)
            assert outcome.split()[0] in ("accepted", "conflict"), outcome
        answers[int(outcome.split()[1])] = change

    async def publish_all(platform):
        names = (f"change-{index}" for index in range(count))
        await asyncio.gather(
            *(publish_until_accepted(platform, name) for name in names)
        )

    perform(context, publish_all)
    context.expected = " ".join(answers[v] for v in sorted(answers))


@then("the history contains each change once, in the order of acceptance")
def step_each_once(context):
    step_history(context, context.expected)


@given("a history of {count:d} changes")
def step_long_history(context, count):
    document = make_newsroom_document()
    platform = MemoryPlatform(get_store(context))
    for number in range(count):
        run(submit(platform, f"c{number}", document, base=number))


@then("the newest {count:d} changes are read with {reads:d} reads")
def step_read_history(context, count, reads):
    store = context.store
    before = store.reads
    changes = perform(context, lambda p: fetch_history(p, limit=count))
    assert store.reads - before == reads, store.reads - before
    last = len(read_history(store))
    numbers = [change.version for change in changes]
    assert numbers == list(range(last, last - count, -1)), numbers


def check_session(store, operators):
    """Compares the history with the outcomes that every operator got."""
    rows = read_history(store)
    versions = {row["change_id"]: row["version"] for row in rows}
    assert len(versions) == len(rows), rows
    assert [row["version"] for row in rows] == list(range(1, len(rows) + 1))
    for row in rows:
        digest = bytes.fromhex(row["digest"])
        assert format_object_name(row["version"], digest) in store.objects, row
    for operator in operators:
        assert not operator.wrongly_denied, operator.wrongly_denied
        for change, version in operator.accepted.items():
            assert versions.get(change) == version, (change, version, rows)
        for change, (other, version) in operator.conflicts.items():
            assert change not in versions, (change, rows)
            assert versions.get(other) == version, (other, rows)
    head, _ = run(fetch_document(MemoryPlatform(store)))
    assert head.version == len(rows)


@then("the history and the outcomes agree in {count:d} random sessions")
def step_sessions(context, count):
    plans = st.lists(FAULT_PLANS, min_size=2, max_size=5)

    @check_examples(count, plans, st.data())
    def check(plans, data):
        store = MemoryStore()

        def list_changes():
            return [row["change_id"] for row in read_history(store)]

        operators = interleave_operators(data, store, plans, list_changes)
        check_session(store, operators)


@then("the trace of publishing matches its golden file")
def step_golden(context):
    lines = []
    store = MemoryStore()

    def publish_in_turn(title, changes, base, faults=()):
        lines.append(f"{title}: {', '.join(changes)} from version {base}")

        def start(change):
            log = lambda line: lines.append(f"    {change}: {line}")  # noqa: E731
            platform = MemoryPlatform(store, faults, log)
            return submit(platform, change, base=base)

        outcomes = run_interleaved(
            {change: start(change) for change in changes}
        )
        lines.extend(
            f"    {name} told: {text}" for name, text in outcomes.items()
        )

    served = [Fault.NONE] * 3
    publish_in_turn("publish", ["spring"], 0)
    publish_in_turn("race", ["ana", "bo"], 1)
    publish_in_turn("read again and publish", ["bo-again"], 2)
    publish_in_turn("platform down", ["outage"], 3, [Fault.REFUSED])
    publish_in_turn(
        "down after the object", ["outage"], 3, [*served, Fault.REFUSED]
    )
    lost = [*served, Fault.LOST_REPLY, Fault.REFUSED]
    publish_in_turn("reply lost, then down", ["outage"], 3, lost)
    publish_in_turn("repeat under the same change id", ["outage"], 3)
    lines.append("history")
    for change in run(fetch_history(MemoryPlatform(store), limit=10)):
        lines.append(f"    version {change.version}: {change.change_id}")
    text = "\n".join(lines) + "\n"
    # Digests depend on the encoding of the document, which is tested elsewhere.
    versions = {"spring": 1, "ana": 2, "bo": 2, "bo-again": 3, "outage": 4}
    for change, version in versions.items():
        payload = encode_document(make_changed_document(change))
        digest = compute_digest(version, payload).hex()[:8]
        text = text.replace(digest, f"of {change}")
    check_golden("publishing", text)
