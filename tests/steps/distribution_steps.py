"""Steps that drive the distribution machine without processes."""

import collections
import copy
import itertools
import json
import random

import attrs
import hypothesis
import orjson
from behave import given, then, when
from hypothesis import strategies as st

from guavawing.config import (
    check_change,
    check_document,
    compute_digest,
    decode_document,
    encode_document,
    find_faults,
)
from guavawing.config.document import Route
from guavawing.distribution import Learner, PollSchedule, VersionId
from guavawing.distribution import delta as deltas
from guavawing.distribution import events as ev
from guavawing.distribution.keeper import Applied, Rejected, VersionKeeper
from guavawing.distribution.patch import patch_document
from guavawing.distribution.responder import AskLater, PullResponder
from guavawing.errors import ConfigInvalidError
from standins.documents import make_fleet_document, make_newsroom_document
from standins.learners import PLATFORM_ZONE, LearnerNetwork
from tests.golden_files import check_golden

ZONES = ("bergen", "voss")
CONVERGENCE_S = 19.0


def make_payload(number):
    """Returns the payload of a good version."""
    document = make_newsroom_document()
    defaults = attrs.evolve(
        document.defaults, deadline_ms=1_000 + number % 10_000
    )
    # Each version adds an entry, takes one away and changes one.
    routes = {
        f"extra-{index}": Route(
            "desk", "GET", f"/extra/{index}/{number % 3}", idempotent=True
        )
        for index in ((number + step) % 5 for step in range(3))
    }
    document = attrs.evolve(
        document, defaults=defaults, routes=routes | document.routes
    )
    return encode_document(document)


def make_bad_payload(number):
    """Returns a payload with a route to a service that is missing."""
    document = make_newsroom_document()
    route = Route(f"missing-{number}", "GET", "/", idempotent=True)
    routes = document.routes | {"astray": route}
    return encode_document(attrs.evolve(document, routes=routes))


def make_version(number, payload=None):
    payload = payload or make_payload(number)
    return VersionId(number, compute_digest(number, payload))


class Invariants:
    """What holds at every node after every step."""

    def __init__(self):
        self.last = {}
        self.network = None

    def check(self, name, learner):
        current = learner.current
        number, life = current.number, self.network.nodes[name].life
        last = self.last.get((name, life))
        if last == (number, current.digest):
            return
        assert last is None or number > last[0], (name, last, number)
        self.last[name, life] = (number, current.digest)
        if number == 0:
            return
        # In force whole: it is, byte for byte, what was published under
        # this number, and the document in force is what the bytes say.
        assert self.network.published[number] == current.digest
        assert compute_digest(number, current.payload) == current.digest
        expected = decode_document(current.payload)
        assert current.document == expected
        assert list(current.document.routes) == list(expected.routes)
        assert not list(find_faults(current.document))
        for route in current.document.routes.values():
            assert route.service in current.document.services
        assert learner.history.size <= 256 * 1024


def open_network(zones, seed, log=None):
    invariants = Invariants()
    options = {} if log is None else {"log": log}
    network = LearnerNetwork(
        zones, seed=seed, check=invariants.check, **options
    )
    invariants.network = network
    return network


# One learner.


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


# Several learners.


@given("{count:d} joined nodes in each of two data centres")
def step_network(context, count):
    zones = {f"{z}-{i}": z for z in ZONES for i in range(1, count + 1)}
    context.network = open_network(zones, seed=5)
    context.network.publish(make_payload(1))
    step_converged(context)


@when("version {number:d} is published")
def step_publish(context, number):
    version = context.network.publish(make_payload(number))
    assert version.number == number


@when("a bad version {number:d} is published")
def step_publish_bad(context, number):
    version = context.network.publish(make_bad_payload(number))
    assert version.number == number


@when("{count:d} peers announce numbers that they have not, all the time")
def step_liars(context, count):
    network = context.network

    def lie():
        for index in range(count):
            number = network.rng.randrange(3, 1_000)
            version = VersionId(number, number.to_bytes(32))
            for name in network.nodes:
                network.tell(name, f"liar-{index}", version)
        network._at(0.1, lie)

    lie()


@when("1 peer announces one number that it has not")
def step_one_lie(context):
    network = context.network

    def lie():
        for name in network.nodes:
            network.tell(name, "liar", VersionId(77, bytes(32)))
        network._at(0.5, lie)

    lie()


@when('"{zone}" is cut off from "{others}" in memory')
def step_cut_network(context, zone, others):
    for other in others.split(", "):
        context.network.faults.cuts |= {(zone, other), (other, zone)}


@when("the cuts in memory are healed")
def step_heal_network(context):
    context.network.faults.cuts.clear()


@when("{seconds:g} simulated seconds pass")
def step_run_network(context, seconds):
    context.network.run(seconds)


@when('"{name}" starts again')
def step_restart_in_memory(context, name):
    context.network.restart(name)


@then("every node has the newest version within 19 simulated seconds")
def step_converged(context):
    network = context.network
    newest = len(network.published)
    network.run(CONVERGENCE_S)
    versions = network.versions()
    assert set(versions.values()) == {newest}, versions


@then('the nodes of "{zone}" have version {number:d}')
def step_zone_version(context, zone, number):
    network = context.network
    for name, found in network.versions().items():
        if network.nodes[name].zone == zone:
            assert found == number, (name, found)


@then("at most {count:d} objects were read")
def step_objects(context, count):
    assert context.network.counts["objects"] <= count, context.network.counts


# The property.

NODES = {f"{zone}-{i}": zone for zone in ZONES for i in (1, 2, 3)}
EVENTS = (
    "good",
    "bad",
    "cut",
    "platform",
    "heal",
    "restart",
    "freeze",
    "thaw",
    "lie",
    "lose",
    "damage",
)
SCRIPT = st.lists(
    st.tuples(
        st.sampled_from((0.02, 0.3, 1.0, 3.0)),
        st.sampled_from(EVENTS),
        st.sampled_from(sorted(NODES)),
    ),
    min_size=4,
    max_size=24,
)


def play(network, action, name):
    """Makes one thing happen."""
    faults = network.faults
    zone = network.nodes[name].zone
    other = ZONES[1 - ZONES.index(zone)]
    number = len(network.published) + 1
    match action:
        case "good":
            network.publish(make_payload(number))
        case "bad":
            network.publish(make_bad_payload(number))
        case "cut":
            faults.cuts.add((zone, other))
        case "platform":
            faults.cuts |= {(zone, PLATFORM_ZONE), (PLATFORM_ZONE, zone)}
        case "heal":
            faults.cuts.clear()
        case "restart":
            network.restart(name)
        case "freeze":
            network.freeze(name)
        case "thaw":
            network.thaw(name)
        case "lie":
            version = VersionId(number + 10**6, bytes(32))
            network.tell(name, "liar", version)
        case "lose":
            faults.loss, faults.repeat, faults.jitter_s = 0.3, 0.3, 0.5
        case "damage":
            faults.damage = 0.5


@then("the invariants hold and all agree in {count:d} random runs")
def step_property(context, count):
    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=count
    )
    @hypothesis.given(script=SCRIPT, seed=st.integers(0, 2**16))
    def check(script, seed):
        network = open_network(NODES, seed)
        network.publish(make_payload(1))
        for pause_s, action, name in script:
            play(network, action, name)
            network.run(pause_s)
        network.faults = type(network.faults)()
        for name in NODES:
            network.thaw(name)
        newest = network.publish(make_payload(len(network.published) + 1))
        network.run(CONVERGENCE_S)
        versions = network.versions()
        assert set(versions.values()) == {newest.number}, versions

    check()


# Deltas.

SECTION = st.dictionaries(st.sampled_from("abcd"), st.integers(0, 3))
TREE = st.dictionaries(st.sampled_from("pqr"), SECTION | st.integers(0, 2))


@then("a chain of deltas makes the same bytes in {count:d} random trees")
def step_delta_property(context, count):
    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=count
    )
    @hypothesis.given(trees=st.lists(TREE, min_size=2, max_size=5))
    def check(trees):
        total = deltas.Delta()
        for old, new in itertools.pairwise(trees):
            total = deltas.compose_deltas(
                total, deltas.compute_delta(deltas.index_entries(old), new)
            )
        sent = deltas.decode_delta(deltas.encode_delta(total))
        index = deltas.patch_index(deltas.index_entries(trees[0]), sent)
        assert deltas.encode_index(index) == deltas.encode_tree(trees[-1])

    check()


SCALAR = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(st.characters(exclude_categories=()), max_size=3)
)
JSON = st.recursive(
    SCALAR,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=2), inner, max_size=3)
    ),
    max_leaves=12,
)
ENTRIES = st.dictionaries(
    st.text(max_size=2), st.dictionaries(st.text(max_size=2), st.integers(0, 9))
)


@then("{count:d} random payloads are read as their trees are")
def step_payload_property(context, count):
    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=count
    )
    @hypothesis.given(
        tree=st.dictionaries(st.text(max_size=2), JSON | ENTRIES, max_size=4)
    )
    def check_any(tree):
        # What json writes is not always what orjson writes, or reads.
        payload = json.dumps(tree, separators=(",", ":")).encode()
        index = deltas.read_index(payload)
        if index is not None:
            read = orjson.loads(payload)
            assert deltas.encode_tree(read) == payload
            assert index == deltas.index_entries(read)

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=count
    )
    @hypothesis.given(
        tree=st.dictionaries(st.text(max_size=2), ENTRIES, min_size=1)
    )
    def check_entries(tree):
        payload = deltas.encode_tree(tree)
        assert deltas.read_index(payload) == deltas.index_entries(tree)

    check_any()
    check_entries()


@then("a large document and its faults are those of the whole payload")
def step_large_document(context):
    payload = encode_document(make_fleet_document(services=100))
    keeper = VersionKeeper()
    assert keeper.apply(1, compute_digest(1, payload), payload) == Applied(
        keeper.current
    )
    expected = decode_document(payload)
    assert keeper.current.document == expected
    for name in ("services", "routes", "exceptions"):
        got = getattr(keeper.current.document, name)
        assert list(got) == list(getattr(expected, name))
    tree = orjson.loads(payload)
    del tree["routes"]["service-0000-route-0"]["service"]
    tree["routes"]["service-0099-route-2"]["more"] = 1
    broken = deltas.encode_tree(tree)
    try:
        decode_document(broken)
    except ConfigInvalidError as exc:
        message = str(exc)
    result = keeper.apply(2, compute_digest(2, broken), broken)
    assert result == Rejected(2, message, permanent=True), result


LIMITS = st.builds(
    lambda slots, more: {"slots": slots, "connections": slots + more},
    st.sampled_from((2, 10, 11)),
    st.sampled_from((-1, 0, 100)),
)
EDITED = {
    "routes": st.fixed_dictionaries(
        {
            "service": st.sampled_from(("desk", "feed", "none")),
            "http_method": st.sampled_from(("GET", "PUT", "get")),
            "path_prefix": st.sampled_from(("/", "/a", "/7", "a")),
            "idempotent": st.booleans(),
        },
        optional={"deadline_ms": st.sampled_from((0, 5))},
    ),
    "services": st.fixed_dictionaries(
        {"limit_class": st.sampled_from(("small", "large"))},
        optional={"queue_limit": st.sampled_from((-1, 5))},
    ),
    "exceptions": st.fixed_dictionaries(
        {
            "service": st.sampled_from(("desk", "feed")),
            "setting": st.sampled_from(("slots", "deadline_ms")),
            "value": st.sampled_from((0, 5, 20)),
            "reason": st.sampled_from(("r", "")),
            "owner": st.just("o"),
        },
        optional={"route": st.sampled_from(("desk-read", "a"))},
    ),
    "limit_classes": LIMITS,
    # Only without its capacity can a class be missed by its services alone.
    "capacity limit_classes": st.none(),
}
EDIT = st.sampled_from(sorted(EDITED)).flatmap(
    lambda section: st.tuples(
        st.just(section),
        st.sampled_from(
            ("a", "b", "c c", "small", "large", "desk", "feed", "desk-read")
        ),
        st.none() | EDITED[section],
    )
)


def make_crowded_tree():
    """Returns a document with as many PUT routes as a service may have."""
    tree = orjson.loads(encode_document(make_newsroom_document()))
    for number in range(100):
        tree["routes"][f"put-{number}"] = {
            "service": "desk",
            "http_method": "PUT",
            "path_prefix": f"/{number}",
            "idempotent": True,
        }
    return tree


@then("the check of what changed agrees in {count:d} random deltas")
def step_check_property(context, count):
    base = make_crowded_tree()
    index = deltas.index_entries(base)
    before = decode_document(deltas.encode_tree(base))
    seen = collections.Counter()

    def find(check, *documents):
        try:
            check(*documents)
        except ConfigInvalidError as exc:
            return exc.faults
        return ()

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=count
    )
    @hypothesis.given(edits=st.lists(EDIT, min_size=1, max_size=3))
    def check(edits):
        tree = copy.deepcopy(base)
        for section, name, value in edits:
            for part in section.split():
                tree[part].pop(name, None)
            if value is not None:
                tree[section][name] = value
        delta = deltas.compute_delta(index, tree)
        document = patch_document(
            before, delta, deltas.patch_index(index, delta)
        )
        whole = find(check_document, document)
        assert find(check_change, document, before) == whole
        seen[bool(whole)] += 1

    check()
    assert min(seen[True], seen[False]) > count // 10, seen


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


# Polling.


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


@then("a node that fails to read waits {least:g} to {most:g} s")
def step_backoff(context, least, most):
    schedule = PollSchedule(random.Random(2), period_s=1.0, now=0.0)
    for _ in range(5):
        schedule.record_read(succeeded=False)
    pauses = [schedule.draw_pause() for _ in range(100)]
    assert least <= min(pauses) and max(pauses) <= most, pauses
    schedule.record_read(succeeded=True)
    assert schedule.draw_pause() <= 1.5


# Golden sessions.


def describe(value):
    """Returns a value on one line, with short digests and payloads."""
    if isinstance(value, bytes):
        return value.hex()[:6] if len(value) == 32 else "..."
    if isinstance(value, VersionId):
        return f"{value.number}/{describe(value.digest)}"
    if attrs.has(type(value)):
        fields = attrs.asdict(value, recurse=False)
        if fields.pop("document", None) is not None:
            del fields["content"]
            fields["payload"] = value.payload
        parts = [f"{k}={describe(v)}" for k, v in fields.items()]
        return f"{type(value).__name__}({', '.join(parts)})"
    return str(value) or "platform"


@then('the session of a {script} is that of the golden file "{name}"')
def step_golden(context, script, name):
    lines = []

    def log(now, node, event, actions):
        if not actions and not isinstance(event, ev.PayloadArrived):
            # Notices of what is known, and time-outs of answered fetches.
            return
        lines.append(f"{now:8.3f} {node} {describe(event)}")
        lines.extend(f"             {describe(each)}" for each in actions)

    zones = {"bergen-1": "bergen", "bergen-2": "bergen", "voss-1": "voss"}
    network = open_network(zones, seed=11, log=log)
    network.publish(make_payload(1))
    network.run(10.0)
    match script:
        case "publish":
            network.publish(make_payload(2))
        case "bad version":
            network.publish(make_bad_payload(2))
            network.run(5.0)
            network.publish(make_payload(3))
        case "cut and heal":
            network.faults.cuts |= {
                (sender, receiver)
                for sender in ("bergen", "voss", PLATFORM_ZONE)
                for receiver in ("bergen", "voss", PLATFORM_ZONE)
                if "voss" in (sender, receiver) and sender != receiver
            }
            network.publish(make_payload(2))
            network.run(5.0)
            lines.append(f"{network.now:8.3f} the cut is healed")
            network.faults.cuts.clear()
        case _:
            raise AssertionError(script)
    network.run(10.0)
    check_golden(name, "\n".join(lines) + "\n")
