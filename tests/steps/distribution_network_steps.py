"""Steps that run distribution state machines in a simulated network."""

import attrs
from behave import given, then, when
from hypothesis import strategies as st

from guavawing.config import compute_digest, decode_document, find_faults
from guavawing.distribution import VersionId
from guavawing.distribution import events as ev
from standins.distribution_network import PLATFORM_ZONE, DistributionNetwork
from tests.golden_files import check_golden
from tests.support import check_examples
from tests.versions import make_invalid_payload, make_payload

ZONES = ("bergen", "voss")
CONVERGENCE_S = 19.0


def check_node(network, last_versions, name, fetcher):
    """Checks the invariants of a node after every step."""
    current = fetcher.current
    number, incarnation = current.number, network.nodes[name].incarnation
    last = last_versions.get((name, incarnation))
    if last == (number, current.digest):
        return
    assert last is None or number > last[0], (name, last, number)
    last_versions[name, incarnation] = (number, current.digest)
    if number == 0:
        return
    # The payload in force is, byte for byte, the one published under this
    # number, and the document in force is the decoded payload.
    assert network.published[number] == current.digest
    assert compute_digest(number, current.payload) == current.digest
    document, expected = current.document, decode_document(current.payload)
    assert document == expected
    assert list(document.routes) == list(expected.routes)
    assert not list(find_faults(document))
    for route in document.routes.values():
        assert route.service in document.services
    assert fetcher.history.size <= 256 * 1024


def make_network(zones, seed, **options):
    last_versions = {}

    def check(name, fetcher):
        check_node(network, last_versions, name, fetcher)

    network = DistributionNetwork(zones, seed=seed, check=check, **options)
    return network


@given("{count:d} connected nodes in each of two data centres")
def step_network(context, count):
    zones = {f"{z}-{i}": z for z in ZONES for i in range(1, count + 1)}
    context.network = make_network(zones, seed=5)
    context.network.publish(make_payload(1))
    step_converged(context)


@when("version {number:d} is published")
def step_publish(context, number):
    version = context.network.publish(make_payload(number))
    assert version.number == number


def announce_repeatedly(network, pause_s, draw_numbers):
    """Announces versions that no peer has to all nodes, periodically."""
    for index, number in enumerate(draw_numbers()):
        for name in network.nodes:
            version = VersionId(number, number.to_bytes(32))
            network.deliver_notice(name, f"peer-{index}", version)
    network.call_after(
        pause_s, lambda: announce_repeatedly(network, pause_s, draw_numbers)
    )


@when("{count:d} peers periodically announce versions that they do not have")
def step_false_notices(context, count):
    rng = context.network.rng
    announce_repeatedly(
        context.network,
        0.1,
        lambda: (rng.randrange(3, 1_000) for _ in range(count)),
    )


@when("1 peer announces one version that it does not have")
def step_false_notice(context):
    announce_repeatedly(context.network, 0.5, lambda: [77])


def cut(network, zone, *others):
    for other in others:
        network.faults.cuts |= {(zone, other), (other, zone)}


@when('"{zone}" is cut off from "{others}" in the simulated network')
def step_cut_network(context, zone, others):
    cut(context.network, zone, *others.split(", "))


@when("the cuts in the simulated network are healed")
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


NODES = {f"{zone}-{i}": zone for zone in ZONES for i in (1, 2, 3)}
EVENTS = (
    "good bad cut platform heal restart freeze thaw false-notice lose damage"
)
SCRIPT = st.lists(
    st.tuples(
        st.sampled_from((0.02, 0.3, 1.0, 3.0)),
        st.sampled_from(EVENTS.split()),
        st.sampled_from(sorted(NODES)),
    ),
    min_size=4,
    max_size=24,
)


def apply_script_action(network, action, name):
    """Applies one action of a script to the network."""
    faults = network.faults
    zone = network.nodes[name].zone
    other = ZONES[1 - ZONES.index(zone)]
    number = len(network.published) + 1
    match action:
        case "good":
            network.publish(make_payload(number))
        case "bad":
            network.publish(make_invalid_payload(number))
        case "cut":
            faults.cuts.add((zone, other))
        case "platform":
            cut(network, zone, PLATFORM_ZONE)
        case "heal":
            faults.cuts.clear()
        case "restart":
            network.restart(name)
        case "freeze":
            network.pause(name)
        case "thaw":
            network.resume(name)
        case "false-notice":
            version = VersionId(number + 10**6, bytes(32))
            network.deliver_notice(name, "peer", version)
        case "lose":
            faults.loss, faults.repeat, faults.jitter_s = 0.3, 0.3, 0.5
        case "damage":
            faults.damage = 0.5


@then("the invariants hold and all nodes converge in {count:d} random runs")
def step_property(context, count):
    @check_examples(count, SCRIPT, st.integers(0, 2**16))
    def check(script, seed):
        network = make_network(NODES, seed)
        network.publish(make_payload(1))
        for pause_s, action, name in script:
            apply_script_action(network, action, name)
            network.run(pause_s)
        network.faults = type(network.faults)()
        for name in NODES:
            network.resume(name)
        newest = network.publish(make_payload(len(network.published) + 1))
        network.run(CONVERGENCE_S)
        versions = network.versions()
        assert set(versions.values()) == {newest.number}, versions


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


@then('the trace of a {script} matches the golden file "{name}"')
def step_golden(context, script, name):
    lines = []

    def log(now, node, event, actions):
        if not actions and not isinstance(event, ev.PayloadReceived):
            # Notices of known versions, and time-outs of answered fetches.
            return
        lines.append(f"{now:8.3f} {node} {describe(event)}")
        lines.extend(f"             {describe(each)}" for each in actions)

    zones = {"bergen-1": "bergen", "bergen-2": "bergen", "voss-1": "voss"}
    network = make_network(zones, seed=11, log=log)
    network.publish(make_payload(1))
    network.run(10.0)
    match script:
        case "publish":
            network.publish(make_payload(2))
        case "bad version":
            network.publish(make_invalid_payload(2))
            network.run(5.0)
            network.publish(make_payload(3))
        case "cut and heal":
            cut(network, "voss", "bergen", PLATFORM_ZONE)
            network.publish(make_payload(2))
            network.run(5.0)
            lines.append(f"{network.now:8.3f} the cut is healed")
            network.faults.cuts.clear()
        case _:
            raise AssertionError(script)
    network.run(10.0)
    check_golden(name, "\n".join(lines) + "\n")
