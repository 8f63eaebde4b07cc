"""Steps that drive one distribution machine, its answers and its polls."""

import itertools
import random

import attrs
from behave import given, then, when

from bench.seed_storm import measure_storm
from guavawing.distribution import Learner, PollSchedule, VersionId
from guavawing.distribution import events as ev
from guavawing.distribution.responder import AskLater, PullResponder
from tests.versions import make_bad_payload, make_payload, make_version


@given("a node that enforces version {number:d}")
def step_learner(context, number):
    context.learner = Learner(random.Random(1))
    context.now = 0.0
    context.actions = []
    context.fetches = {}
    if number:
        version = make_version(number)
        feed(context, ev.NoticeHeard(ev.PLATFORM, version))
        answer(context, "platform", version, make_payload(number))
    assert context.learner.current.number == number


@given("a node without a version")
def step_fresh(context):
    step_learner(context, 0)


def feed(context, event):
    context.actions = context.learner.handle(event, now=context.now)
    for action in context.actions:
        match action:
            case ev.PullFromPeer(fetch_id=fetch_id, peer=peer):
                context.fetches[peer] = fetch_id
            case ev.FetchObject(fetch_id=fetch_id):
                context.fetches["platform"] = fetch_id


def answer(context, source, version, payload):
    fetch_id = context.fetches[source]
    content = ev.SnapshotContent(payload)
    feed(context, ev.PayloadArrived(fetch_id, version, content))


@when('"{peer}" announces version {number:d}')
def step_notice(context, peer, number):
    source = ev.PLATFORM if peer == "platform" else peer
    feed(context, ev.NoticeHeard(source, make_version(number)))


def rename_version(old, new):
    """Returns the name of a version with the number of another."""
    return attrs.evolve(make_version(old), number=new)


@when('"{peer}" announces the document of version {old:d} as version {new:d}')
def step_rename_notice(context, peer, old, new):
    feed(context, ev.NoticeHeard(peer, rename_version(old, new)))


@when(
    'the fetch of "{source}" gives the document of version {old:d} as version'
    " {new:d}"
)
def step_fetch_brings_renamed(context, source, old, new):
    answer(context, source, rename_version(old, new), make_payload(old))


@when('"{peer}" announces bad version {number:d}')
def step_bad_notice(context, peer, number):
    version = make_version(number, make_bad_payload(number))
    feed(context, ev.NoticeHeard(peer, version))


@when('"{peer}" of another data centre announces version {number:d}')
def step_far_notice(context, peer, number):
    feed(context, ev.NoticeHeard(peer, make_version(number), near=False))


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.now += seconds
    feed(context, ev.Tick())


@when('the fetch of "{source}" brings {what}')
def step_fetch_brings(context, source, what):
    fetch_id = context.fetches[source]
    kind, _, number = what.rpartition(" ")
    match kind:
        case "version":
            payload = make_payload(int(number))
            answer(context, source, make_version(int(number)), payload)
        case "a damaged version":
            answer(context, source, make_version(int(number)), b"{}")
        case "a bad version":
            payload = make_bad_payload(int(number))
            version = make_version(int(number), payload)
            answer(context, source, version, payload)
        case "only the name of version":
            version = make_version(int(number))
            event = ev.PayloadArrived(fetch_id, version, ev.NoContent())
            feed(context, event)
        case "a delta of version 1 to version":
            content = ev.DeltaContent(make_version(1), b"")
            version = make_version(int(number))
            feed(context, ev.PayloadArrived(fetch_id, version, content))
        case "no answer in":
            feed(context, ev.FetchFailed(fetch_id, ev.FetchFault.UNREACHABLE))
        case "later, ask":
            event = ev.FetchFailed(fetch_id, ev.FetchFault.BUSY, 1.0, number)
            feed(context, event)
        case _:
            raise AssertionError(what)


@then('"{peer}" is asked')
def step_asked(context, peer):
    asked = []
    for action in context.actions:
        match action:
            case ev.PullFromPeer(peer=name):
                asked.append(name)
            case ev.FetchObject():
                asked.append("platform")
    assert asked == [peer], context.actions


@then("nobody is asked")
def step_nobody_asked(context):
    kinds = (ev.PullFromPeer, ev.FetchObject)
    assert not any(isinstance(a, kinds) for a in context.actions)


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
    context.answer = context.responder.begin(
        "puller",
        make_version(base),
        context.learner.current,
        context.learner.history,
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
    assert isinstance(later, AskLater), later
    assert later.ask_instead == "puller"
    assert later.retry_after_s > 0


@then(
    "{live:d} nodes that were {before:d} make {least:g} to {most:g}"
    " reads a second"
)
def step_reads(context, live, before, least, most):
    schedules = [
        PollSchedule(random.Random(i), period_s=1.0, now=0.0)
        for i in range(live)
    ]
    reads = 0
    seconds = 60
    for second in range(2 * seconds):
        nodes = before if second < seconds else live
        due = [
            schedule.is_due(
                now=100.0 + second, live_nodes=nodes, has_version=True
            )
            for schedule in schedules
        ]
        reads += sum(due) if second >= seconds else 0
    assert least <= reads / seconds <= most, reads / seconds


@when(
    "{few:d} and {many:d} nodes without a version start at once and meet nobody"
)
def step_start_all(context, few, many):
    context.loads = {
        nodes: measure_storm(
            nodes, centres=12, answered=False, published=True, seed=20
        )
        for nodes in (few, many)
    }


@then(
    "{nodes:d} would make at most {reads:d} reads and {writes:d} writes in"
    " one second"
)
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
    context.reads = [
        find_reads(PollSchedule(random.Random(i), period_s=1.0, now=0.0), 210)
        for i in range(100)
    ]
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
    schedule = PollSchedule(random.Random(2), period_s=1.0, now=0.0)
    for _ in range(5):
        schedule.record_read(succeeded=False)
    pauses = [schedule.draw_pause() for _ in range(100)]
    assert least <= min(pauses) and max(pauses) <= most, pauses
    schedule.record_read(succeeded=True)
    assert schedule.draw_pause() <= 1.5
