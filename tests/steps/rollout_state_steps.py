"""Steps about what a state of a roll-out allows."""

from random import Random

import attrs
from behave import given, then, when

from guavawing.errors import MessageInvalidError
from guavawing.sidecar.rollout_messages import (
    StateMessage,
    decode_counts,
    decode_state,
    encode_counts,
    encode_state,
)
from guavawing.traffic.durations import BUCKETS
from guavawing.traffic.model import LoadReport, RolloutOrder, TargetPhase
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.rollout_counts import OwnerCounts
from guavawing.traffic.rollout_state import (
    Group,
    RolloutPhase,
    RolloutState,
    RolloutView,
)

NOW = 100.0
SLOTS = 4
ROLL_BACK_S = 5.0
STATES = {
    "closing": {"share": 1.0, "closing": True},
    "halted": {"share": 0.3, "halted": True},
    "completed": {"share": 1.0, "phase": RolloutPhase.COMPLETED},
    "rolled_back": {"phase": RolloutPhase.ROLLED_BACK},
}


def make_owners(releases):
    owners = []
    for number, release in enumerate(releases.split()):
        owner = OwnerView(f"10.0.0.{number}", local=False, near=True)
        report = LoadReport(
            TargetPhase.READY,
            SLOTS,
            0,
            0,
            0.0,
            release=release.replace("?", ""),
        )
        owner.apply_report(report, now=NOW)
        owners.append(owner)
    return owners


@given('owners of "desk" with the releases "{releases}"')
def step_owners(context, releases):
    context.owners = make_owners(releases)
    context.now = NOW
    context.view = RolloutView(roll_back_s=ROLL_BACK_S)
    context.view.select(context.owners, Group.ANY, now=NOW)


@when('owners of "desk" have the releases "{releases}"')
def step_replaced(context, releases):
    context.owners = make_owners(releases)
    context.now += 1.0


@given('the state of order {number:d} to "{release}" with {state}')
def step_state(context, number, release, state):
    word, _, share = state.partition(" ")
    fields = {"share": float(share)} if word == "share" else STATES[word]
    context.state = RolloutState(
        RolloutOrder("desk", release, 14.0, number),
        era=1,
        version=5,
        decider="10.0.0.9",
        **fields,
    )
    context.view.apply(context.state, confirmed_at=NOW, now=NOW)


@when("it was confirmed {seconds:g} s ago")
def step_confirmed(context, seconds):
    context.now = context.view.confirmed_at + seconds


@when("a state of order {number:d}, era {era:d}, version {version:d} arrives")
def step_arrives(context, number, era, version):
    state = RolloutState(
        RolloutOrder("desk", "v2", 14.0, number),
        era=era,
        version=version,
        share=0.3,
    )
    context.adopted = context.view.apply(
        state, confirmed_at=context.now, now=context.now
    )


@then("it is {result}")
def step_result(context, result):
    assert context.adopted is (result == "adopted"), context.view.state


def pick(context, *, failed_new=False, rng=None):
    """Returns the releases that a request uses first."""
    groups = context.view.pick_groups(
        (rng or Random(1)).random(), failed_new=failed_new, now=context.now
    )
    owners = context.view.select(context.owners, groups[0], now=context.now)
    return [owner.report.release for owner in owners]


@then("{count:d} of 100 requests may use the new targets")
def step_share(context, count):
    rng = Random(1)
    found = sum("v2" in pick(context, rng=rng) for _ in range(10_000)) / 100
    assert abs(found - count) < 2, found


@then('a request that a new target has failed uses "{releases}"')
def step_failed(context, releases):
    for _ in range(20):
        found = pick(context, failed_new=True)
        assert found == releases.split(), found


@then('a request uses "{releases}" first')
def step_uses(context, releases):
    found = pick(context)
    assert found == releases.split(), found


@given("the node has found the order at its start")
def step_found(context):
    context.view.binding = False


@then('a request uses "" first')
def step_uses_none(context):
    found = pick(context)
    assert not found, found


@then('a request uses targets of unknown release before those of "v2"')
def step_uses_unknown(context):
    found = pick(context)
    assert found == ["", ""], found


@then('{seconds:g} s later a request may use "{releases}"')
def step_may_use(context, seconds, releases):
    context.now += seconds
    groups = context.view.pick_groups(
        Random(1).random(), failed_new=False, now=context.now
    )
    found = [
        owner.report.release or "?"
        for owner in context.view.select(
            context.owners, groups[-1], now=context.now
        )
    ]
    assert found == releases.split(), found


@then('{seconds:g} s later a request uses "{releases}" first')
def step_uses_later(context, seconds, releases):
    context.now += seconds
    step_uses(context, releases)


@then('an owner with "{release}" {admits} an attempt for ""')
def step_admits_any(context, release, admits):
    step_admits(context, release, admits, "")


@then('an owner with "{release}" {admits} an attempt for "{asked}"')
def step_admits(context, release, admits, asked):
    found = context.view.admits(release, asked, now=context.now)
    assert found is (admits == "admits"), found


@then("its datagram and that of counts are decoded to the same")
def step_encoded(context):
    message = StateMessage(
        attrs.evolve(context.state, avoided=("v0",)), 7.5, 0.25
    )
    assert decode_state(encode_state(message)) == message
    context.counts = OwnerCounts(
        "desk", 1, "v2", 77, 3, True, SLOTS, False,
        {"read": tuple(range(BUCKETS + 1))}, {"read": (4, 7)},
    )  # fmt: skip
    assert decode_counts(encode_counts(context.counts)) == context.counts


@then("datagrams that are cut short are reported as unreadable")
def step_cut(context):
    state = encode_state(StateMessage(context.state, 7.5, 0.25))
    counts = encode_counts(context.counts)
    for payload, decode in ((state, decode_state), (counts, decode_counts)):
        for size in range(1, len(payload)):
            try:
                decode(payload[:size])
            except MessageInvalidError:
                continue
            raise AssertionError(f"{size} of {len(payload)} bytes were read")
