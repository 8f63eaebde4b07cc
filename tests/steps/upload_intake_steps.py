"""Steps that grant and send large bodies on a simulated clock."""

import heapq
import itertools
import random

from behave import given, then, when

from guavawing.traffic.balancer import Balancer
from guavawing.traffic.model import LoadReport, TargetPhase
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.uploads import BodyIntake, BodyRoom, OutgoingBody
from tests.support import assert_raises

LINK_SHARE = 0.9
ONE_WAY_S = 0.001
SMALL_BYTES = 500
SERVICE_S = 0.2


class Link:
    """The inbound link of an owner, in FIFO order."""

    def __init__(self, rate):
        self.rate = rate
        self.free_at = 0.0

    def send(self, size, now):
        """Returns when the bytes have arrived."""
        self.free_at = max(self.free_at, now) + size / self.rate
        return self.free_at


@given("an owner that grants bodies on a link of {rate:d} bytes a second")
def step_owner(context, rate):
    context.rate = rate
    context.intake = BodyIntake(LINK_SHARE * rate)


def run_load(context, sizes, *, granted=True, small_every_s=0.0):
    """Sends bodies over one link; records arrivals and waits."""
    intake, link = context.intake, Link(context.rate)
    senders = [OutgoingBody(size) for size in sizes]
    numbers = itertools.count()
    events = []
    context.arrived, context.waits = {}, []

    def schedule(at, action, *values):
        heapq.heappush(events, (at, next(numbers), action, values))

    def send_grants(now, grants):
        for grant in grants:
            schedule(now + ONE_WAY_S, handle_grant, grant.key, grant.until)

    def handle_grant(now, key, until):
        senders[key].grant(until)
        bounds = senders[key].take(until)
        if bounds is not None:
            size = bounds[1] - bounds[0]
            schedule(link.send(size, now + ONE_WAY_S), handle_part, key, size)

    def handle_part(now, key, size):
        complete, grants = intake.receive(key, size, now=now)
        if complete:
            context.arrived[key] = now
        send_grants(now, grants)

    def send_small(now):
        context.waits.append(link.send(SMALL_BYTES, now) - now)
        if len(context.arrived) < len(sizes):
            schedule(now + small_every_s, send_small)

    for key, size in enumerate(sizes):
        if granted:
            send_grants(0.0, intake.admit(key, size, now=0.0))
        else:
            context.arrived[key] = link.send(size, 0.0)
    if small_every_s:
        schedule(0.0, send_small)
    while events:
        now, _, action, values = heapq.heappop(events)
        action(now, *values)


@when(
    '{count:d} nodes send it bodies of "{sizes}" bytes {how}, and small'
    " messages arrive every {every_s:g} s"
)
def step_mixed(context, count, sizes, how, every_s):
    sizes = itertools.islice(itertools.cycle(map(int, sizes.split())), count)
    run_load(
        context,
        list(sizes),
        granted=how != "without grants",
        small_every_s=every_s,
    )


@when('nodes send it bodies of "{sizes}" bytes at the same time')
def step_bodies(context, sizes):
    context.sizes = [int(size) for size in sizes.split()]
    run_load(context, context.sizes)


@then("no small message waits for more than {seconds:g} s")
def step_waits_little(context, seconds):
    assert max(context.waits) <= seconds, max(context.waits)


@then("some small message waits for more than {seconds:g} s")
def step_waits_long(context, seconds):
    assert max(context.waits) > seconds, max(context.waits)


@then("all bodies have arrived within {seconds:g} s")
def step_arrived(context, seconds):
    assert max(context.arrived.values()) <= seconds, context.arrived


@then('they arrive in the order "{sizes}"')
def step_order(context, sizes):
    keys = sorted(context.arrived, key=context.arrived.__getitem__)
    found = [context.sizes[key] for key in keys]
    assert found == [int(size) for size in sizes.split()], found


def record(context, grants):
    context.granted = {grant.key for grant in grants}


@when('bodies of "{sizes}" bytes are admitted')
def step_admit(context, sizes):
    context.granted = set()
    for key, size in enumerate(sizes.split()):
        grants = context.intake.admit(key, int(size), now=0.0)
        context.granted |= {grant.key for grant in grants}


@when("{seconds:g} s later a body of {size:d} bytes is admitted")
def step_admit_later(context, seconds, size):
    record(context, context.intake.admit(3, size, now=seconds))


@when('body "{key:d}" is dropped')
def step_drop(context, key):
    record(context, context.intake.drop(key, now=0.1))


@then('bodies "{keys}" are granted')
def step_granted(context, keys):
    assert context.granted == {int(key) for key in keys.split()}, (
        context.granted
    )


@then(
    "a body of {size:d} bytes that has {left_s:g} s is refused with at least"
    " {wait_s:g} s to wait"
)
def step_refused(context, size, left_s, wait_s):
    refusal = context.intake.find_refusal(size, left_s=left_s)
    assert refusal.retry_after_s >= wait_s, refusal


@then("a body of {size:d} bytes that has {left_s:g} s is not refused")
def step_not_refused(context, size, left_s):
    assert context.intake.find_refusal(size, left_s=left_s) is None


@then('a part of {size:d} bytes of body "{key:d}" is rejected')
def step_rejected(context, size, key):
    with assert_raises(ValueError, "granted"):
        context.intake.receive(key, size, now=0.1)


@given("a body of {size:d} bytes to send, of which {granted:d} are granted")
def step_outgoing(context, size, granted):
    context.body = OutgoingBody(size)
    context.body.grant(granted)
    context.taken = 0


@when("pieces of {size:d} bytes are taken until there is none")
def step_take(context, size):
    while (bounds := context.body.take(size)) is not None:
        context.taken += bounds[1] - bounds[0]


@then("{size:d} bytes were taken, and it can't have run")
def step_taken(context, size):
    assert (context.taken, context.body.is_sent) == (size, False)


@when("the rest is granted and taken")
def step_rest(context):
    context.body.grant(context.body.size)
    step_take(context, context.body.size)


@then("it may have run")
def step_may_have_run(context):
    assert context.body.is_sent


@given("room for {size:d} bytes of bodies")
def step_room(context, size):
    context.room = BodyRoom(size)


@then('bodies of "{sizes}" bytes get room "{expected}"')
def step_get_room(context, sizes, expected):
    found = [context.room.reserve(int(size)) for size in sizes.split()]
    assert found == [each == "yes" for each in expected.split()], found


@when("the body of {size:d} bytes ends")
def step_room_ends(context, size):
    context.room.release(size)


@given("owners of an upload: {owners}")
def step_owners(context, owners):
    context.owners = []
    for text in owners.split(", "):
        place, node, *_ = text.split()
        [link_wait_s] = [
            float(word) for word in text.split() if word[0].isdigit()
        ]
        view = OwnerView(node, local=place == "own", near=place != "far")
        report = LoadReport(
            TargetPhase.READY, 5, 0, 0, SERVICE_S, link_wait_s=link_wait_s
        )
        view.apply_report(report, now=0.0)
        context.owners.append(view)


@when(
    "an upload that the own link sends in {send_s:g} s is useful for"
    " {useful_s:g} s"
)
def step_choose(context, send_s, useful_s):
    choice = Balancer(random.Random(7)).choose(
        context.owners,
        route="r",
        kind=0,
        bulk=False,
        useful_s=useful_s,
        excluded=(),
        now=0.0,
        send_s=send_s,
    )
    context.chosen = choice.owner.node


@then('it goes to "{node}"')
def step_goes_to(context, node):
    assert context.chosen == node, context.chosen
