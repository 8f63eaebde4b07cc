"""Steps that prune old versions from the platform in memory."""

import datetime
import random

from behave import given, then, when
from hypothesis import strategies as st

from guavawing.config import compute_digest, encode_document
from guavawing.distribution import Learner, VersionId
from guavawing.distribution.events import (
    PLATFORM,
    FetchFailed,
    FetchFault,
    FetchObject,
    NoticeHeard,
    PayloadArrived,
    PutInForce,
    SnapshotContent,
)
from guavawing.errors import PlatformError
from guavawing.platform import (
    RetentionRule,
    fetch_head,
    fetch_version,
    name_object,
    prune,
    publish_edit,
)
from guavawing.platform.client import open_platform
from guavawing.platform.versions import CHANGE_TABLE, HISTORY_TABLE
from standins.memory_platform import (
    CrashError,
    Fault,
    MemoryPlatform,
    MemoryStore,
)
from standins.operators import (
    NOW,
    Operator,
    make_changed_document,
    run,
    submit,
)
from tests.support import check_examples

LONG_AGO = NOW - datetime.timedelta(days=30)
FOREVER_DAYS = 1_000.0
# Makes every version old enough, so that only their number keeps them.
NO_DAYS = -1.0
RULE = RetentionRule(days=1.0, last=2, changes_days=1.0)


async def carry_out(platform, rule, *, now=NOW, dry_run=False):
    steps = prune(platform, rule, now=now, dry_run=dry_run)
    return [state async for state in steps][-1]


def prune_store(context, last, *, changes_days=FOREVER_DAYS, **options):
    rule = RetentionRule(
        days=1.0, last=last, changes_days=max(changes_days, 1.0)
    )
    return run(carry_out(MemoryPlatform(context.store), rule, **options))


def list_documents(store):
    """Returns the numbers of the versions whose objects are there."""
    rows = store.tables.get(HISTORY_TABLE, {}).values()
    changes = {(row["version"], row["digest"]) for row, _ in rows}
    return sorted(
        version
        for version, digest in changes
        if name_object(version, bytes.fromhex(digest)) in store.objects
    )


def make_payload(mark):
    return encode_document(make_changed_document(mark))


def name_of(version, mark):
    return name_object(version, compute_digest(version, make_payload(mark)))


@given("{count:d} changes, the last {recent:d} of them within a day")
def step_changes(context, count, recent):
    context.store = MemoryStore()
    for number in range(1, count + 1):
        at = NOW if number > count - recent else LONG_AGO
        told = run(
            submit(
                MemoryPlatform(context.store),
                f"c{number}",
                base=number - 1,
                now=at,
            )
        )
        assert told == f"accepted {number}"


@given(
    "{count:d} versions that were published {days:d} days ago, and one of today"
)
def step_versions(context, count, days):
    now = datetime.datetime.now(datetime.UTC)
    long_ago = now - datetime.timedelta(days=days)

    async def publish_all():
        async with open_platform(context.platform) as platform:
            for number in range(count + 1):
                at = now if number == count else long_ago
                change = f"c{number + 1}"
                await submit(platform, change, base=number, now=at)

    context.run(publish_all())


@given("version {old:d} is published again as version {new:d}")
def step_again(context, old, new):
    document = make_changed_document(f"c{old}")
    platform = MemoryPlatform(context.store)
    run(submit(platform, f"c{new}", document, base=new - 1))


@given("objects of publishes that ended before versions 3, 28 and 31")
def step_orphans(context):
    for version in (3, 28, 31):
        context.store.objects[name_of(version, "orphan")] = b""


@when("versions are pruned that are neither of 1 day nor of the last {last:d}")
def step_prune(context, last):
    prune_store(context, last)


@when(
    "versions and changes are pruned that are neither of 1 day nor of the"
    " last {last:d}"
)
def step_prune_changes(context, last):
    prune_store(context, last, changes_days=1.0)


class RacingPlatform(MemoryPlatform):
    """Lets another prune remove the changes first."""

    other = None

    async def transact(self, writes):
        if len(writes) > 1 and self.other is None:
            self.other = await carry_out(MemoryPlatform(self._store), RULE)
        await super().transact(writes)


@when("a prune is overtaken by another one before it removes changes")
def step_prune_overtaken(context):
    platform = RacingPlatform(context.store)
    state = run(carry_out(platform, RULE))
    context.removed = state.changes + platform.other.changes


@then("both together tell {count:d} changes removed")
def step_removed(context, count):
    assert context.removed == count, context.removed


@when("versions are pruned by a clock that is {days:d} days ahead")
def step_prune_ahead(context, days):
    prune_store(context, 2, now=NOW + datetime.timedelta(days=days))


@when(
    "a dry run prunes versions that are neither of 1 day nor of the last"
    " {last:d}"
)
def step_dry_run(context, last):
    context.store.writes = 0
    context.state = prune_store(context, last, dry_run=True)


@when("the object of version {version:d} is lost")
def step_lose(context, version):
    del context.store.objects[name_of(version, f"c{version}")]


@then("{count:d} objects would go and the platform saw no write")
def step_would_go(context, count):
    assert context.state.objects == count, context.state
    assert context.store.writes == 0


@then("documents are kept from version {first:d}")
def step_documents(context, first):
    versions = list_documents(context.store)
    newest = len(context.store.tables[CHANGE_TABLE])
    newest = max(newest, *versions)
    assert versions == list(range(first, newest + 1)), versions
    assert len(context.store.objects) == len(versions), context.store.objects


@then(
    "documents are kept from version {first:d} beside the object before"
    " version {version:d}"
)
def step_documents_beside(context, first, version):
    del context.store.objects[name_of(version, "orphan")]
    step_documents(context, first)


@then("changes are kept from version {first:d}")
def step_changes_kept(context, first):
    tables = context.store.tables
    versions = [row["version"] for row, _ in tables[HISTORY_TABLE].values()]
    assert sorted(versions) == list(range(first, max(versions) + 1)), versions
    assert {row["version"] for row, _ in tables[CHANGE_TABLE].values()} == {
        *versions
    }


@then("a repeated prune writes nothing")
def step_repeat(context):
    context.store.writes = 0
    prune_store(context, 2)
    assert context.store.writes == 0, context.store.writes


@then('reading version {version:d} says "{text}"')
def step_read(context, version, text):
    try:
        run(fetch_version(MemoryPlatform(context.store), version))
    except PlatformError as exc:
        assert text in str(exc), exc
    else:
        raise AssertionError("the version was read")


@then('a repeat of the edit of version {version:d} says "{text}"')
def step_repeat_edit(context, version, text):
    edit = publish_edit(
        MemoryPlatform(context.store),
        lambda document: document,
        change_id=f"c{version}",
        author="ana",
    )
    try:
        run(edit)
    except PlatformError as exc:
        assert text in str(exc) and f"as version {version}" in str(exc), exc
    else:
        raise AssertionError("the edit was taken for the accepted one")


@then(
    "a node that has heard of version {old:d} only goes on to version {new:d}"
)
def step_far_behind(context, old, new):
    learner = Learner(random.Random(1))
    version = VersionId(old, compute_digest(old, make_payload(f"c{old}")))
    notice = NoticeHeard(PLATFORM, version, near=False)
    (fetch,) = learner.handle(notice, now=0.0)
    assert isinstance(fetch, FetchObject)
    assert name_object(old, version.digest) not in context.store.objects
    failed = FetchFailed(fetch.fetch_id, FetchFault.WITHHELD)
    learner.handle(failed, now=0.0)
    payload = make_payload(f"c{new}")
    newest = VersionId(new, compute_digest(new, payload))
    notice = NoticeHeard(PLATFORM, newest, near=False)
    (fetch,) = learner.handle(notice, now=0.0)
    assert name_object(new, newest.digest) in context.store.objects
    arrived = PayloadArrived(fetch.fetch_id, newest, SnapshotContent(payload))
    (action,) = learner.handle(arrived, now=0.0)
    assert isinstance(action, PutInForce)


async def prune_often(platform, last):
    """Starts a prune again after each failure, as an operator does."""
    rule = RetentionRule(days=NO_DAYS, last=last, changes_days=NO_DAYS)
    for _ in range(3):
        try:
            await carry_out(platform, rule)
        except (PlatformError, CrashError):
            continue


def check_kept(store, operators, last):
    """Compares what the platform holds with what has to be kept."""
    head = run(fetch_head(MemoryPlatform(store)))
    newest = head.version
    accepted = (v for each in operators for v in each.accepted.values())
    assert max(accepted, default=0) <= newest
    for version in range(max(newest - last + 1, 1), newest + 1):
        run(fetch_version(MemoryPlatform(store), version))
    rule = RetentionRule(days=NO_DAYS, last=last, changes_days=NO_DAYS)
    run(carry_out(MemoryPlatform(store), rule))
    first = max(newest - last + 1, 1)
    assert list_documents(store) == list(range(first, newest + 1))
    old = [n for n in store.objects if int(n.split("-")[0]) <= newest]
    assert len(old) == newest - first + 1, old


@then(
    "{count:d} random sessions with prunes keep every version that is to be"
    " kept"
)
def step_sessions(context, count):
    # Most requests have to be served for a session to come to the writes.
    faults = st.lists(
        st.sampled_from([Fault.NONE] * 14 + list(Fault)),
        min_size=20,
        max_size=40,
    )
    plans = st.lists(faults, min_size=2, max_size=4)
    lasts = st.integers(2, 4)

    @check_examples(count, plans, faults, lasts, st.data())
    def check(plans, prune_faults, last, data):
        store = MemoryStore()
        operators = [
            Operator(f"op{index}", MemoryPlatform(store, plan))
            for index, plan in enumerate(plans)
        ]
        running = [each.work(3, 4, list) for each in operators]
        pruner = MemoryPlatform(store, prune_faults)
        running += [prune_often(pruner, last) for _ in range(2)]
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
        check_kept(store, operators, last)
