"""Steps that publish through the platform in memory."""

import datetime

import attrs
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from guavawing.config import ExceptionEntry, compute_digest, encode_document
from guavawing.errors import (
    ChangeIdReusedError,
    ConfigInvalidError,
    ConflictingChangeError,
    InvalidArgumentError,
    PlatformDataInvalidError,
    PlatformUnavailableError,
    PlatformWriteUnknownError,
)
from guavawing.platform import (
    fetch_document,
    fetch_head,
    fetch_history,
    publish_document,
    publish_edit,
)
from guavawing.platform.versions import HISTORY_TABLE
from standins.documents import make_newsroom_document
from standins.memory_platform import (
    CrashError,
    Fault,
    MemoryPlatform,
    MemoryStore,
)
from tests.golden_files import check_golden

NOW = datetime.datetime(2027, 3, 1, 12, tzinfo=datetime.UTC)
FAULTS = {
    "refused": [Fault.REFUSED] * 9,
    "lost reply": [Fault.LOST_REPLY],
    "dropped": [Fault.DROPPED],
    "late": [Fault.LATE],
    "crash": [Fault.CRASH],
}
PREPARED = "prepared"


def run(coroutine):
    """Runs a coroutine that only pauses, without an event loop."""
    while True:
        try:
            coroutine.send(None)
        except StopIteration as stop:
            return stop.value


def make_document(mark):
    """Returns a document that differs by `mark`."""
    document = make_newsroom_document()
    deadline = 1_000 + int.from_bytes(compute_digest(mark.encode())[:2])
    defaults = attrs.evolve(document.defaults, deadline_ms=deadline)
    return attrs.evolve(document, defaults=defaults)


def make_exception(ends=None, **fields):
    fields = {"setting": "queue_limit", "value": 9} | fields
    return ExceptionEntry(
        service="desk", reason="r", owner="o", ends=ends, **fields
    )


async def attempt(operation):
    """Awaits an operation; returns what its operator is told."""
    try:
        return f"accepted {(await operation).version}"
    except ConflictingChangeError as exc:
        return f"conflict {exc.change_id} {exc.version}"
    except PlatformUnavailableError:
        return "unavailable"
    except PlatformWriteUnknownError:
        return "unknown"
    except CrashError:
        return "crash"
    except ChangeIdReusedError:
        return "change id used"
    except ConfigInvalidError:
        return "invalid config"
    except InvalidArgumentError:
        return "invalid argument"


def get_store(context):
    if not hasattr(context, "store"):
        context.store = MemoryStore()
        context.faults = []
    return context.store


def take_platform(context):
    """Returns a platform whose first requests meet the planned faults."""
    store = get_store(context)
    faults, context.faults = context.faults, []
    return MemoryPlatform(store, faults)


def submit(platform, change, document=None, base=0, now=NOW):
    return publish_document(
        platform,
        document or make_document(change),
        change_id=change,
        base_version=base,
        author="ana",
        now=now,
    )


def list_history(store):
    rows = sorted(store.tables.get(HISTORY_TABLE, {}).items())
    return [value for _, (value, _) in rows]


@given("the platform meets the publisher's requests with {plan}")
def step_faults(context, plan):
    get_store(context)
    if plan == "nothing":
        return
    served, *kinds = plan.split(" then ")
    context.faults = [Fault.NONE] * int(served.split()[0])
    for kind in kinds:
        context.faults += FAULTS[kind]


@when('change "{change}" is published')
@when('change "{change}" is published again without faults')
def step_publish(context, change):
    platform = take_platform(context)
    context.told = run(attempt(submit(platform, change)))


@when(
    'change "{change}" is published again and the late write arrives after'
    " its first request"
)
def step_publish_crossing(context, change):
    coroutine = attempt(submit(take_platform(context), change))
    coroutine.send(None)
    coroutine.send(None)
    step_late(context)
    context.told = run(coroutine)


@when("the late writes arrive")
def step_late(context):
    while context.store.late:
        context.store.deliver_late()


@when('change "{change}" is published with another document')
def step_publish_other(context, change):
    platform = take_platform(context)
    context.told = run(
        attempt(submit(platform, change, make_document("other")))
    )


@when('an edit "{change}" adds exception "{name}"')
def step_edit(context, change, name):
    def edit(document):
        # Each exception is at a place of its own.
        entry = make_exception(data_centre=name)
        assert name not in document.exceptions
        return attrs.evolve(
            document, exceptions={**document.exceptions, name: entry}
        )

    if not list_history(get_store(context)):
        document = make_newsroom_document()
        run(submit(MemoryPlatform(context.store), PREPARED, document))
    told = run(
        attempt(
            publish_edit(
                take_platform(context),
                edit,
                change_id=change,
                author="ana",
                now=NOW,
            )
        )
    )
    kind, _, version = told.partition(" ")
    # Versions are counted from the prepared one.
    context.told = (
        f"accepted {int(version) - 1}" if kind == "accepted" else told
    )


@when(
    'change "{change}" from base {base:d} is published with the same ended'
    " exception"
)
@when('change "{change}" from base {base:d} is published with {what}')
def step_publish_with(context, change, base, what="an ended exception"):
    document = make_document(change)
    match what:
        case "a fault":
            entries = {"x": make_exception(setting="colour")}
        case "a number beyond 64 bits":
            entries = {"x": make_exception(value=2**70)}
        case "an ended exception":
            entries = {"x": make_exception(NOW.date().replace(year=2026))}
        case _:
            entries = {}
    document = attrs.evolve(document, exceptions=entries)
    platform = take_platform(context)
    context.told = run(attempt(submit(platform, change, document, base)))


@given('change "{change}" was published with an exception that has ended since')
def step_published_ended(context, change):
    ends = NOW.date().replace(year=2026)
    document = attrs.evolve(
        make_document(change), exceptions={"x": make_exception(ends)}
    )
    earlier = NOW.replace(year=2025)
    run(submit(take_platform(context), change, document, now=earlier))


@when("the {what} is damaged")
def step_damage(context, what):
    store = context.store
    if what == "head":
        store.tables["config-head"]["head"] = ({"version": "one"}, 2)
    else:
        (name,) = store.objects
        store.objects[name] = b"{}"


@then('reading the newest document says "{text}"')
def step_read_damaged(context, text):
    try:
        run(fetch_document(MemoryPlatform(context.store)))
    except PlatformDataInvalidError as exc:
        assert text in str(exc), exc
    else:
        raise AssertionError("the damage was not seen")


@then('the publisher is told "{told}"')
def step_told(context, told):
    assert context.told == told, context.told


@then('the history holds "{changes}"')
@then('the history holds ""')
def step_history(context, changes=""):
    rows = list_history(context.store)
    held = [row["change_id"] for row in rows if row["change_id"] != PREPARED]
    assert held == changes.split(), held
    numbers = [row["version"] for row in rows]
    assert numbers == list(range(1, len(rows) + 1)), numbers


@then("the platform saw {count:d} writes")
def step_writes(context, count):
    assert context.store.writes == count, context.store.writes


@when("{count:d} operators publish from version 0 at the same time")
def step_race(context, count):
    store = get_store(context)
    names = [f"change-{index}" for index in range(count)]
    running = {
        name: attempt(submit(MemoryPlatform(store), name)) for name in names
    }
    context.answers = {}
    while running:
        for name, coroutine in list(running.items()):
            try:
                coroutine.send(None)
            except StopIteration as stop:
                context.answers[name] = stop.value
                del running[name]


@then("{accepted:d} change is accepted and {conflicts:d} conflicts name it")
def step_race_end(context, accepted, conflicts):
    (row,) = list_history(context.store)
    winner = row["change_id"]
    assert context.answers.pop(winner) == "accepted 1"
    told = list(context.answers.values())
    assert told == [f"conflict {winner} 1"] * conflicts, told


@given("a history of {count:d} changes")
def step_long_history(context, count):
    platform = take_platform(context)
    document = make_newsroom_document()
    for number in range(count):
        run(submit(platform, f"c{number}", document, number))


@then("the newest {count:d} changes are read with {reads:d} reads")
@then("all {count:d} changes are read with {reads:d} reads")
def step_read_history(context, count, reads):
    store = context.store
    before = store.reads
    changes = run(fetch_history(MemoryPlatform(store), limit=count))
    assert store.reads - before == reads, store.reads - before
    numbers = [change.version for change in changes]
    last = len(list_history(store))
    assert numbers == list(range(last, last - count, -1)), numbers


class Operator:
    """Publishes one change after another, as an operator would."""

    def __init__(self, name, store, faults):
        self.name = name
        self.store = store
        self.platform = MemoryPlatform(store, faults)
        self.accepted = {}
        self.conflicts = {}

    async def work(self, changes, attempts):
        for number in range(changes):
            change = f"{self.name}-{number}"
            head = await self.read_head(attempts)
            if head is None:
                return
            await self.repeat(change, head.version, attempts)

    async def read_head(self, attempts):
        for _ in range(attempts):
            try:
                return await fetch_head(self.platform)
            except (PlatformUnavailableError, CrashError):
                continue
        return None

    async def repeat(self, change, base, attempts):
        in_doubt = False
        for _ in range(attempts):
            told = await attempt(submit(self.platform, change, base=base))
            kind, *rest = told.split()
            if kind == "accepted":
                self.accepted[change] = int(rest[0])
                return
            if kind == "conflict":
                self.conflicts[change] = rest
                return
            assert kind in ("unavailable", "unknown", "crash"), told
            in_doubt |= kind != "unavailable"
            if not in_doubt:
                held = [row["change_id"] for row in list_history(self.store)]
                assert change not in held, "told unavailable, but published"


def check_session(store, operators):
    """Compares the history with what every operator was told."""
    rows = list_history(store)
    versions = {row["change_id"]: row["version"] for row in rows}
    assert len(versions) == len(rows), rows
    assert [row["version"] for row in rows] == list(range(1, len(rows) + 1))
    assert all(row["digest"] in store.objects for row in rows)
    for operator in operators:
        for change, version in operator.accepted.items():
            assert versions.get(change) == version, (change, version, rows)
        for change, (other, version) in operator.conflicts.items():
            assert change not in versions, (change, rows)
            assert versions.get(other) == int(version), (other, rows)
    head, _ = run(fetch_document(MemoryPlatform(store)))
    assert head.version == len(rows)


@then("{count:d} random sessions keep the history and the answers true")
def step_sessions(context, count):
    # Most requests have to be served for a session to come to the writes.
    faults = st.lists(
        st.sampled_from([Fault.NONE] * 14 + list(Fault)),
        min_size=20,
        max_size=40,
    )

    @settings(
        derandomize=True, database=None, deadline=None, max_examples=count
    )
    @given_any(st.lists(faults, min_size=2, max_size=5), st.data())
    def check(plans, data):
        store = MemoryStore()
        operators = [
            Operator(f"op{index}", store, plan)
            for index, plan in enumerate(plans)
        ]
        running = [operator.work(3, 4) for operator in operators]
        while running or store.late:
            steps = len(running) + len(store.late)
            chosen = data.draw(st.integers(0, steps - 1))
            if chosen >= len(running):
                store.deliver_late(chosen - len(running))
                continue
            try:
                running[chosen].send(None)
            except StopIteration:
                del running[chosen]
        check_session(store, operators)

    check()


@then("the session of publishing matches its golden file")
def step_golden(context):
    lines = []
    store = MemoryStore()

    def log(line):
        lines.append(f"    {line}")

    def play(title, change, base, faults=()):
        lines.append(f"{title}: change {change} from version {base}")
        platform = MemoryPlatform(store, faults, log)
        told = run(attempt(submit(platform, change, base=base)))
        lines.append(f"    told: {told}")

    def play_race(changes, base):
        lines.append(f"race: changes {', '.join(changes)} from version {base}")
        running = {}
        for change in changes:
            note = lambda line, change=change: log(f"{change}: {line}")  # noqa: E731
            platform = MemoryPlatform(store, (), note)
            running[change] = attempt(submit(platform, change, base=base))
        while running:
            for change, coroutine in list(running.items()):
                try:
                    coroutine.send(None)
                except StopIteration as stop:
                    log(f"{change} told: {stop.value}")
                    del running[change]

    served = [Fault.NONE]
    play("publish", "spring", 0)
    play_race(["ana", "bo"], 1)
    play("re-read and publish", "bo-again", 2)
    play("platform down", "outage", 3, [Fault.REFUSED])
    play("down after the object", "outage", 3, [*served * 3, Fault.REFUSED])
    play(
        "reply lost, then down",
        "outage",
        3,
        [*served * 3, Fault.LOST_REPLY, Fault.REFUSED],
    )
    play("repeat under the same change id", "outage", 3)
    lines.append("history")
    for change in run(fetch_history(MemoryPlatform(store), limit=10)):
        log(f"version {change.version}: {change.change_id}")
    # Digests depend on the document's encoding, which has tests of its own.
    names = {
        compute_digest(encode_document(make_document(c))).hex()[:8]: c
        for c in ("spring", "ana", "bo", "bo-again", "outage")
    }
    text = "\n".join(lines) + "\n"
    for digest, change in names.items():
        text = text.replace(digest, f"of {change}")
    check_golden("publishing", text)
