"""Steps that prune old versions from the platform in memory."""

import datetime
import random

from behave import given, then, when
from hypothesis import strategies as st

from guavawing.config import compute_digest, encode_document
from guavawing.distribution import VersionFetcher, VersionId
from guavawing.distribution import events as ev
from guavawing.errors import PlatformError
from guavawing.store import (
    RetentionRule,
    fetch_head,
    fetch_version,
    format_object_name,
    prune,
    publish_edit,
)
from guavawing.store.client import open_platform
from guavawing.store.versions import CHANGE_TABLE, HISTORY_TABLE
from standins.memory_platform import CrashError, MemoryPlatform, MemoryStore
from standins.operators import NOW, make_changed_document, run, submit
from tests.support import (
    FAULT_PLANS,
    assert_raises,
    check_examples,
    interleave_operators,
)

LONG_AGO = NOW - datetime.timedelta(days=30)
RULE = RetentionRule(days=1.0, last=2, changes_days=1.0)
OPTIONS = {
    "in a dry run": {"dry_run": True},
    "by a clock 90 days ahead": {"now": NOW + datetime.timedelta(days=90)},
}


def make_count_rule(last):
    """Returns a rule that keeps versions by their number alone, at any age."""
    return RetentionRule(days=-1.0, last=last, changes_days=-1.0)


async def run_prune(platform, rule, *, now=NOW, dry_run=False):
    steps = prune(platform, rule, now=now, dry_run=dry_run)
    return [state async for state in steps][-1]


def list_documents(store):
    """Returns the numbers of the versions whose objects exist."""
    rows = store.tables.get(HISTORY_TABLE, {}).values()
    changes = {(row["version"], row["digest"]) for row, _ in rows}
    return sorted(
        version
        for version, digest in changes
        if format_object_name(version, bytes.fromhex(digest)) in store.objects
    )


def make_payload(mark):
    return encode_document(make_changed_document(mark))


def make_object_name(version, mark):
    return format_object_name(
        version, compute_digest(version, make_payload(mark))
    )


@given("{count:d} changes, the last {recent:d} of them within a day")
def step_changes(context, count, recent):
    context.store = MemoryStore()
    for number in range(1, count + 1):
        at = NOW if number > count - recent else LONG_AGO
        platform = MemoryPlatform(context.store)
        outcome = run(submit(platform, f"c{number}", base=number - 1, now=at))
        assert outcome == f"accepted {number}"


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


@given("objects of failed or pending publishes of versions 3, 28 and 31")
def step_orphans(context):
    for version in (3, 28, 31):
        context.store.objects[make_object_name(version, "orphan")] = b""


@when("versions beyond 1 day and the last {last:d} are pruned")
@when("versions beyond 1 day and the last {last:d} are pruned {variant}")
def step_prune(context, last, variant=""):
    changes_days = 1.0 if variant == "with their changes" else 1_000.0
    rule = RetentionRule(days=1.0, last=last, changes_days=changes_days)
    platform = MemoryPlatform(context.store)
    context.store.writes = 0
    options = OPTIONS.get(variant, {})
    context.state = run(run_prune(platform, rule, **options))


class RacingPlatform(MemoryPlatform):
    """Runs another prune before the first removal of changes."""

    other = None

    async def transact(self, writes):
        if len(writes) > 1 and self.other is None:
            self.other = await run_prune(MemoryPlatform(self._store), RULE)
        await super().transact(writes)


@when("another prune runs before a prune removes changes")
def step_prune_overtaken(context):
    platform = RacingPlatform(context.store)
    state = run(run_prune(platform, RULE))
    context.removed = state.changes + platform.other.changes


@then("both prunes together report {count:d} removed changes")
def step_removed(context, count):
    assert context.removed == count, context.removed


@when("the object of version {version:d} is lost")
def step_lose(context, version):
    del context.store.objects[make_object_name(version, f"c{version}")]


@then("{count:d} objects would be removed")
def step_would_remove(context, count):
    assert context.state.objects == count, context.state


@then("documents are kept from version {first:d}")
def step_documents(context, first):
    versions = list_documents(context.store)
    newest = max(len(context.store.tables[CHANGE_TABLE]), *versions)
    assert versions == list(range(first, newest + 1)), versions
    assert len(context.store.objects) == len(versions), context.store.objects


@then("the object of pending version {version:d} exists, and is then deleted")
def step_orphan(context, version):
    del context.store.objects[make_object_name(version, "orphan")]


@then("changes are kept from version {first:d}")
def step_changes_kept(context, first):
    tables = context.store.tables
    versions, changed = (
        sorted(row["version"] for row, _ in tables[name].values())
        for name in (HISTORY_TABLE, CHANGE_TABLE)
    )
    assert versions == list(range(first, max(versions) + 1)), versions
    assert changed == versions, changed


@then('reading version {version:d} fails with "{text}"')
def step_read(context, version, text):
    with assert_raises(PlatformError, text):
        run(fetch_version(MemoryPlatform(context.store), version))


@then('a repeat of the edit of version {version:d} fails with "{text}"')
def step_repeat_edit(context, version, text):
    platform = MemoryPlatform(context.store)
    with assert_raises(PlatformError, text, f"as version {version}"):
        run(
            publish_edit(
                platform, lambda d: d, change_id=f"c{version}", author="ana"
            )
        )


@then("a node with a notice of only version {old:d} proceeds to {new:d}")
def step_far_behind(context, old, new):
    fetcher = VersionFetcher(random.Random(1))

    def receive_notice(number):
        digest = compute_digest(number, make_payload(f"c{number}"))
        version = VersionId(number, digest)
        notice = ev.NoticeReceived(ev.PLATFORM, version, near=False)
        (fetch,) = fetcher.handle(notice, now=0.0)
        assert isinstance(fetch, ev.FetchObject)
        is_kept = format_object_name(number, digest) in context.store.objects
        return fetch.fetch_id, version, is_kept

    fetch_id, _, is_kept = receive_notice(old)
    assert not is_kept
    failed = ev.FetchFailed(fetch_id, ev.FetchFault.WITHHELD)
    fetcher.handle(failed, now=0.0)
    fetch_id, version, is_kept = receive_notice(new)
    assert is_kept
    content = ev.SnapshotContent(make_payload(f"c{new}"))
    arrived = ev.PayloadReceived(fetch_id, version, content)
    (action,) = fetcher.handle(arrived, now=0.0)
    assert isinstance(action, ev.EnforceVersion)


async def prune_often(platform, last):
    """Repeats a prune after each failure, as an operator does."""
    for _ in range(3):
        try:
            await run_prune(platform, make_count_rule(last))
        except (PlatformError, CrashError):
            continue


def check_kept(store, operators, last):
    """Checks that the platform has exactly the versions that must be kept."""
    newest = run(fetch_head(MemoryPlatform(store))).version
    accepted = (v for each in operators for v in each.accepted.values())
    assert max(accepted, default=0) <= newest
    first = max(newest - last + 1, 1)
    for version in range(first, newest + 1):
        run(fetch_version(MemoryPlatform(store), version))
    run(run_prune(MemoryPlatform(store), make_count_rule(last)))
    assert list_documents(store) == list(range(first, newest + 1))
    old = [n for n in store.objects if int(n.split("-")[0]) <= newest]
    assert len(old) == newest - first + 1, old


@then("{count:d} random sessions with prunes keep the required versions")
def step_sessions(context, count):
    plans = st.lists(FAULT_PLANS, min_size=2, max_size=4)
    lasts = st.integers(2, 4)

    @check_examples(count, plans, FAULT_PLANS, lasts, st.data())
    def check(plans, prune_faults, last, data):
        store = MemoryStore()
        pruner = MemoryPlatform(store, prune_faults)
        prunes = [prune_often(pruner, last) for _ in range(2)]
        operators = interleave_operators(data, store, plans, list, prunes)
        check_kept(store, operators, last)
