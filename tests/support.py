"""Helpers that several step files share."""

import asyncio
import contextlib
import datetime
import uuid

from hypothesis import given, settings
from hypothesis import strategies as st

from guavawing.config import Document, PolicyTable
from guavawing.model import parse_address
from guavawing.node.messages import CallAttempt
from guavawing.store import Head, fetch_head, publish_document
from guavawing.store.client import open_platform
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason
from standins.cluster import Fleet
from standins.documents import make_newsroom_document
from standins.memory_platform import Fault, MemoryPlatform
from standins.operators import Operator

PUBLISH = {
    "service": "desk",
    "method": "POST",
    "path": "/bulletins",
    "body": b"{}",
}
POLICIES = PolicyTable(
    make_newsroom_document(),
    data_centre="bergen",
    today=datetime.date(2026, 12, 3),
)
# Most requests must succeed, or a session ends before its writes.
FAULT_PLANS = st.lists(
    st.sampled_from([Fault.NONE] * 14 + list(Fault)), min_size=20, max_size=40
)


async def publish(
    fleet: Fleet, document: Document, *, base: int, change_id: str = ""
) -> Head:
    """Publishes a document through the platform of a fleet."""
    async with open_platform(parse_address(fleet.platform)) as platform:
        return await publish_document(
            platform,
            document,
            change_id=change_id or uuid.uuid4().hex,
            base_version=base,
            author="tests",
        )


async def read_newest_version(fleet: Fleet) -> int:
    """Returns the number of the newest version on a fleet's platform."""
    async with open_platform(parse_address(fleet.platform)) as platform:
        return (await fetch_head(platform)).version


def check_examples(count, *strategies, **options):
    """Checks random examples, which are the same in every run."""

    def run_check(check):
        fixed = settings(
            max_examples=count,
            derandomize=True,
            database=None,
            deadline=None,
            **options,
        )
        fixed(given(*strategies)(check))()

    return run_check


def make_json(scalars, *, key_size, max_leaves):
    """Returns a strategy of JSON values.

    Args:
        scalars: Strategy of scalars besides null, booleans and floats.
        key_size: Maximum length of a key.
        max_leaves: Maximum number of scalars in a value.
    """
    return st.recursive(
        st.none() | st.booleans() | st.floats() | scalars,
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=key_size), inner, max_size=3)
        ),
        max_leaves=max_leaves,
    )


@contextlib.contextmanager
def assert_raises(kind, *parts):
    """Checks that the block raises an error whose text has all the parts."""
    messages = []
    try:
        yield messages
    except kind as exc:
        messages.append(str(exc))
        assert all(part in str(exc) for part in parts), exc
    else:
        raise AssertionError(f"no {kind.__name__} was raised")


def make_verdict(text):
    """Returns the verdict with this name and, unless `ran`, this reason."""
    match text.split():
        case ["ran", *_]:
            return Ran()
        case ["not-run", reason]:
            return NotRun(Reason(reason), 0.0)
        case ["may-have-run", reason]:
            return MayHaveRun(Reason(reason))
    raise AssertionError(text)


def interleave_operators(data, store, plans, list_changes, others=()):
    """Interleaves operators, other tasks and late writes at random.

    Args:
        data: Hypothesis data, which chooses the next step.
        store: Store that the operators share; holds the late writes.
        plans: Fault plan of each operator.
        list_changes: Returns the ids of the changes that are accepted.
        others: Generators that run beside the operators.

    Returns:
        The operators.
    """
    operators = [
        Operator(f"op{index}", MemoryPlatform(store, plan))
        for index, plan in enumerate(plans)
    ]
    running = [each.publish_changes(3, 4, list_changes) for each in operators]
    running += others
    while running or store.late_writes:
        steps = len(running) + len(store.late_writes)
        chosen = data.draw(st.integers(0, steps - 1))
        if chosen >= len(running):
            store.apply_late_write(chosen - len(running))
            continue
        try:
            running[chosen].send(None)
        except StopIteration:
            del running[chosen]
    return operators


def open_in_scenario(context, manager):
    """Enters an asynchronous context, which ends with the scenario."""
    opened = context.run(manager.__aenter__())
    context.add_cleanup(
        lambda: context.run(manager.__aexit__(None, None, None))
    )
    return opened


def start_call(context, entry, **options):
    """Starts a call on the loop of the fleet; returns its future."""
    call = context.fleet.call(entry, **options)
    return asyncio.run_coroutine_threadsafe(call, context.loop)


def send(context, entry, **options):
    """Sends a call and stores its outcome in `context.outcome`."""
    context.outcome = start_call(context, entry, **options).result()


async def fetch(context, url):
    """Returns the status and the body of an HTTP response."""
    async with context.fleet.session.get(url) as resp:
        return resp.status, await resp.text()


def read_metrics(context, node):
    """Returns the lines of a node's metrics."""
    url = f"http://{context.fleet.nodes[node].admin}/metrics"
    _, text = context.run(fetch(context, url))
    return text.splitlines()


def set_target_faults(context, name, **faults):
    """Sets the faults of the targets of a service, or of one node's target."""
    for node in context.fleet.nodes.values():
        if name in (node.name, node.service):
            context.run(context.fleet.post(node.target, "/faults", faults))


def set_platform_faults(context, **faults):
    """Sets the faults of the platform of a fleet."""
    address = context.fleet.platform
    context.run(context.fleet.post(address, "/faults", faults))


def make_publish(key, *, left_s=30.0):
    """Returns a publish as an entry node sends it to an owner."""
    return CallAttempt(
        call_id="id",
        policy=POLICIES.get("desk-publish"),
        method="POST",
        path="/bulletins",
        headers=(),
        body=b"",
        deadline=asyncio.get_running_loop().time() + left_s,
        depth=1,
        key=key,
    )
