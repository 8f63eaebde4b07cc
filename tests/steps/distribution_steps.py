"""Steps that drive a version fetcher, a pull responder and a poll schedule."""

import itertools
import random

import attrs
from behave import given, then, when

from bench.seed_storm import measure_storm
from guavawing.distribution import PollSchedule, VersionFetcher, VersionId
from guavawing.distribution import events as ev
from guavawing.distribution.responder import PullResponder, RetryLater
from tests.versions import make_invalid_payload, make_payload, make_version


@given("a node without a version")
@given("a node that enforces version {number:d}")
def step_fetcher(context, number=0):
    context.fetcher = VersionFetcher(random.Random(1))
    context.now = 0.0
    context.actions = []
    context.fetches = {}
    if number:
        step_notice(context, "platform", f"version {number}")
        step_fetch_returns(context, "platform", f"version {number}")
    assert context.fetcher.current.number == number


def list_fetches(context):
    """Returns source and id of each fetch that was just started."""
    kinds = (ev.PullFromPeer, ev.FetchObject)
    return [
        (getattr(action, "peer", "platform"), action.fetch_id)
        for action in context.actions
        if isinstance(action, kinds)
    ]


def handle_event(context, event):
    context.actions = context.fetcher.handle(event, now=context.now)
    context.fetches.update(list_fetches(context))


def parse_version(what):
    """Returns the version and the payload that a step text describes."""
    *kind, number = what.split()
    number = int(number)
    payload = make_payload(number)
    match kind:
        case ["version"]:
            return make_version(number), payload
        case ["a", "damaged", "version"]:
            return make_version(number), b"{}"
        case ["a", "bad", "version"]:
            payload = make_invalid_payload(number)
            return make_version(number, payload), payload
        case ["the", "document", "of", "version", old, "as", "version"]:
            version = make_version(int(old))
            return attrs.evolve(version, number=number), make_payload(int(old))
    raise AssertionError(what)


@when('"{peer}" announces {what}')
@when('"{peer}" {away} announces {what}')
def step_notice(context, peer, what, away=""):
    source = ev.PLATFORM if peer == "platform" else peer
    version, _ = parse_version(what)
    handle_event(context, ev.NoticeReceived(source, version, near=not away))


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.now += seconds
    handle_event(context, ev.Tick())


@when('the fetch from "{source}" returns {what}')
def step_fetch_returns(context, source, what):
    fetch_id = context.fetches[source]
    match what.split():
        case ["only", "the", "id", "of", *named]:
            version, _ = parse_version(" ".join(named))
            event = ev.PayloadReceived(fetch_id, version, ev.NoContent())
        case ["a", "delta", "of", "version", "1", "to", *named]:
            version, _ = parse_version(" ".join(named))
            content = ev.DeltaContent(make_version(1), b"")
            event = ev.PayloadReceived(fetch_id, version, content)
        case ["no", "answer", *_]:
            event = ev.FetchFailed(fetch_id, ev.FetchFault.UNREACHABLE)
        case ["busy,", "ask", other]:
            event = ev.FetchFailed(fetch_id, ev.FetchFault.BUSY, 1.0, other)
        case _:
            version, payload = parse_version(what)
            content = ev.SnapshotContent(payload)
            event = ev.PayloadReceived(fetch_id, version, content)
    handle_event(context, event)


@then("no fetch is started")
@then('a fetch from "{peer}" is started')
def step_fetch_started(context, peer=""):
    sources = [source for source, _ in list_fetches(context)]
    assert sources == ([peer] if peer else []), context.actions


@then("version {number:d} is in force")
def step_current(context, number):
    found = context.fetcher.current.number
    assert found == number, found


@then('the fault "{fault}" is reported')
def step_fault(context, fault):
    found = [a.fault for a in context.actions if hasattr(a, "fault")]
    assert found == [fault], context.actions


@then("the next wake-up is at most {seconds:g} s away")
def step_next_wake(context, seconds):
    wake_at = context.fetcher.next_wake()
    assert wake_at is not None
    assert context.now < wake_at <= context.now + seconds, wake_at


@then('a rejection contains "{part}"')
def step_rejection(context, part):
    messages = context.fetcher.rejections.values()
    assert any(part in message for message in messages), messages
    reports = [a for a in context.actions if hasattr(a, "message")]
    assert len(reports) == 1, context.actions


@when("a peer that has version {base:d} pulls from it")
def step_pull(context, base):
    context.responder = PullResponder(random.Random(1), limit=2)
    fetcher = context.fetcher
    context.answer = context.responder.begin(
        "puller", make_version(base), fetcher.current, fetcher.history
    )


@then("the answer is a {kind}")
def step_answer(context, kind):
    expected = {"delta": "SendDelta", "snapshot": "SendSnapshot"}[kind]
    assert type(context.answer).__name__ == expected, context.answer


@then("the third concurrent pull is redirected to a peer that was served")
def step_third_pull(context):
    current = context.fetcher.current
    newest = VersionId(current.number, current.digest)
    responder, history = context.responder, context.fetcher.history
    responder.end("puller", sent=newest)
    for name in ("one", "two"):
        responder.begin(name, make_version(1), current, history)
    later = responder.begin("three", make_version(1), current, history)
    assert isinstance(later, RetryLater), later
    assert later.ask_instead == "puller"
    assert later.retry_after_s > 0


def make_schedules(count):
    return [
        PollSchedule(random.Random(i), period_s=1.0, now=0.0)
        for i in range(count)
    ]


@then("{live:d} of {before:d} nodes make {least:g} to {most:g} reads a second")
def step_reads(context, live, before, least, most):
    schedules = make_schedules(live)
    seconds = 60

    def count_reads(start, nodes):
        return sum(
            schedule.is_due(now=now, live_nodes=nodes, has_version=True)
            for now in range(start, start + seconds)
            for schedule in schedules
        )

    count_reads(100, before)
    reads = count_reads(100 + seconds, live)
    assert least <= reads / seconds <= most, reads / seconds


@when("{few:d} and {many:d} fresh nodes start at once and find no members")
def step_start_all(context, few, many):
    context.loads = {
        nodes: measure_storm(
            nodes, centres=12, answered=False, published=True, seed=20
        )
        for nodes in (few, many)
    }


@then(
    "{nodes:d} nodes make at most {reads:d} reads and {writes:d} writes a"
    " second"
)
def step_start_bounded(context, nodes, reads, writes):
    (few, less), (many, more) = context.loads.items()
    share = (nodes - many) / (many - few)
    for name, bound in (("all_reads", reads), ("writes", writes)):
        count = getattr(more, name)
        expected = count + (count - getattr(less, name)) * share
        assert 0 < expected <= bound, (name, expected)


def find_reads(schedule, seconds):
    """Returns when a node reads that awaits members for the first 200 s."""
    return [
        second
        for second in range(seconds)
        if schedule.is_due(
            now=float(second),
            live_nodes=1,
            has_version=False,
            awaits_members=second < 200,
        )
    ]


@then("a node that awaits members reads first after {least:d} to {most:d} s")
def step_awaiting(context, least, most):
    context.reads = [find_reads(each, 210) for each in make_schedules(100)]
    assert all(least <= r[0] <= most for r in context.reads), context.reads


@then("again after {least:d} to {most:d} s")
def step_awaiting_again(context, least, most):
    for reads in context.reads:
        early = [second for second in reads if second < 200]
        gaps = [b - a for a, b in itertools.pairwise(early)]
        assert gaps and min(gaps) >= least and max(gaps) <= most, reads


@then("every 0.5 to 1.5 s once it stops awaiting members")
def step_alone(context):
    # The pauses between polls are as for any node; every poll leads to a read.
    for reads in context.reads:
        assert reads[-10:] == list(range(200, 210)), reads


@then("a node whose reads fail pauses for {least:g} to {most:g} s")
def step_backoff(context, least, most):
    *_, schedule = make_schedules(3)
    for _ in range(5):
        schedule.record_read(succeeded=False)
    pauses = [schedule.draw_interval() for _ in range(100)]
    assert least <= min(pauses) and max(pauses) <= most, pauses
    schedule.record_read(succeeded=True)
    assert schedule.draw_interval() <= 1.5
