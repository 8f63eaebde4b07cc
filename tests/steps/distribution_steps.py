"""Steps that drive one distribution machine, its answers and its polls."""

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
def step_learner(context, number=0):
    context.learner = VersionFetcher(random.Random(1))
    context.now = 0.0
    context.actions = []
    context.fetches = {}
    if number:
        step_notice(context, "platform", f"version {number}")
        step_fetch_brings(context, "platform", f"version {number}")
    assert context.learner.current.number == number


def list_fetches(context):
    """Returns source and id of each fetch that was just started."""
    kinds = (ev.PullFromPeer, ev.FetchObject)
    return [
        (getattr(action, "peer", "platform"), action.fetch_id)
        for action in context.actions
        if isinstance(action, kinds)
    ]


def feed(context, event):
    context.actions = context.learner.handle(event, now=context.now)
    context.fetches.update(list_fetches(context))


def make_named(what):
    """Returns the version and the payload that words tell of."""
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
    version, _ = make_named(what)
    feed(context, ev.NoticeReceived(source, version, near=not away))


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.now += seconds
    feed(context, ev.Tick())


@when('the fetch of "{source}" brings {what}')
def step_fetch_brings(context, source, what):
    fetch_id = context.fetches[source]
    match what.split():
        case ["only", "the", "name", "of", *named]:
            version, _ = make_named(" ".join(named))
            event = ev.PayloadReceived(fetch_id, version, ev.NoContent())
        case ["a", "delta", "of", "version", "1", "to", *named]:
            version, _ = make_named(" ".join(named))
            content = ev.DeltaContent(make_version(1), b"")
            event = ev.PayloadReceived(fetch_id, version, content)
        case ["no", "answer", *_]:
            event = ev.FetchFailed(fetch_id, ev.FetchFault.UNREACHABLE)
        case ["later,", "ask", other]:
            event = ev.FetchFailed(fetch_id, ev.FetchFault.BUSY, 1.0, other)
        case _:
            version, payload = make_named(what)
            content = ev.SnapshotContent(payload)
            event = ev.PayloadReceived(fetch_id, version, content)
    feed(context, event)


@then("nobody is asked")
@then('"{peer}" is asked')
def step_asked(context, peer=""):
    asked = [source for source, _ in list_fetches(context)]
    assert asked == ([peer] if peer else []), context.actions


@then("version {number:d} is in force")
def step_current(context, number):
    found = context.learner.current.number
    assert found == number, found


@then('the fault "{fault}" is reported')
def step_fault(context, fault):
    found = [a.fault for a in context.actions if hasattr(a, "fault")]
    assert found == [fault], context.actions


@then("the next wake is at most {seconds:g} s away")
def step_next_wake(context, seconds):
    wake_at = context.learner.next_wake()
    assert wake_at is not None
    assert context.now < wake_at <= context.now + seconds, wake_at


@then('a rejection names "{part}"')
def step_rejection(context, part):
    messages = context.learner.rejections.values()
    assert any(part in message for message in messages), messages
    reports = [a for a in context.actions if hasattr(a, "message")]
    assert len(reports) == 1, context.actions


@when("a peer that has version {base:d} pulls from it")
def step_pull(context, base):
    context.responder = PullResponder(random.Random(1), limit=2)
    learner = context.learner
    context.answer = context.responder.begin(
        "puller", make_version(base), learner.current, learner.history
    )


@then("the answer is a {kind}")
def step_answer(context, kind):
    expected = {"delta": "SendDelta", "snapshot": "SendSnapshot"}[kind]
    assert type(context.answer).__name__ == expected, context.answer


@then("the third pull at once is sent on to one that was served")
def step_third_pull(context):
    current = context.learner.current
    newest = VersionId(current.number, current.digest)
    responder, history = context.responder, context.learner.history
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


@when("{few:d} and {many:d} fresh nodes start at once and meet nobody")
def step_start_all(context, few, many):
    context.loads = {
        nodes: measure_storm(
            nodes, centres=12, answered=False, published=True, seed=20
        )
        for nodes in (few, many)
    }


@then("{nodes:d} make at most {reads:d} reads and {writes:d} writes a second")
def step_start_bounded(context, nodes, reads, writes):
    (few, less), (many, more) = context.loads.items()
    share = (nodes - many) / (many - few)
    for name, bound in (("all_reads", reads), ("writes", writes)):
        count = getattr(more, name)
        expected = count + (count - getattr(less, name)) * share
        assert 0 < expected <= bound, (name, expected)


def find_reads(schedule, seconds):
    """Returns when a node that awaits members for 200 s reads."""
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


@then("every 0.5 to 1.5 s once it knows that it is alone")
def step_alone(context):
    # The pauses between draws are those of every node; each draw is a read.
    for reads in context.reads:
        assert reads[-10:] == list(range(200, 210)), reads


@then("a node that fails to read waits {least:g} to {most:g} s")
def step_backoff(context, least, most):
    *_, schedule = make_schedules(3)
    for _ in range(5):
        schedule.record_read(succeeded=False)
    pauses = [schedule.draw_pause() for _ in range(100)]
    assert least <= min(pauses) and max(pauses) <= most, pauses
    schedule.record_read(succeeded=True)
    assert schedule.draw_pause() <= 1.5
