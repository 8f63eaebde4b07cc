"""Steps that drive the key table of an owner and the keyed calls of a node."""

import collections

from behave import given, then, when
from hypothesis import strategies as st

from bench.key_history import History
from guavawing.policy import keyed_call as steps
from guavawing.policy.bound_key import BoundKey
from guavawing.policy.key_table import Begin, KeyTable, Reject, Replay
from guavawing.verdict import NotRun, Ran, Reason, verdict_name
from tests.golden_files import check_golden
from tests.support import check_examples, make_verdict

INCARNATION = 1


def make_key(name, incarnation=INCARNATION):
    """Returns a key by its name; `a0` has nonce a and epoch 0."""
    return BoundKey("owner", incarnation, int(name[1:]), name[0])


def describe(decision):
    name = type(decision).__name__
    match decision:
        case Reject(verdict=verdict):
            return f"{name} {verdict_name(verdict)} {verdict.reason}"
        case Replay(answer=answer):
            return f"{name} {answer}"
    return name


@given("a key table with room for {entries:d} entries and {size:d} bytes")
def step_table(context, entries, size):
    context.table_of_keys = KeyTable(
        incarnation=INCARNATION,
        now=0.0,
        max_entries=entries,
        max_kept_bytes=size,
    )
    context.trace = []
    context.decisions = {}


@when("it handles these events")
def step_events(context):
    for row in context.table:
        now = float(row["at"])
        words = row["event"].split()
        key = make_key(words[1])
        context.trace.append(f"{now:g} {row['event']}")
        table = context.table_of_keys
        match words:
            case ["begin", name, request, *other]:
                if other:
                    key = make_key(name, INCARNATION + 1)
                decision = table.begin(key, request.encode(), now=now)
                context.decisions[name] = decision
                context.trace.append(f"    {describe(decision)}")
            case ["finish", name, size, "bytes"]:
                table.finish(key, f"answer of {name}", size=int(size))
            case ["release", _]:
                table.release(key)
        context.trace.append(
            f"    epoch {table.epoch(now=now)}, {len(table)} entries,"
            f" {table.kept_bytes} bytes kept"
        )


@then('the trace matches the golden file "{name}"')
def step_golden(context, name):
    check_golden(name, "\n".join(context.trace) + "\n")


@then('the last decision for "{name}" is not Begin')
def step_not_begin(context, name):
    assert not isinstance(context.decisions[name], Begin)


@given("a call whose key is {source}")
def step_keyed_call(context, source):
    context.key_source = steps.KeySource[source.upper()]


@when('it handles the events "{events}"')
def step_apply_events(context, events):
    source = context.key_source
    key = make_key("k0") if source is steps.KeySource.BOUND else None
    call = steps.KeyedCall(source, key)
    context.step = call.start()
    for event in events.split(","):
        event, _, times = event.strip().partition("*")
        for _ in range(int(times or 1)):
            assert not isinstance(context.step, steps.Conclude), context.step
            context.step = apply_event(call, event, context.step)


# Applies an event to a call, given the step that the call has requested.
EVENTS = {
    "minted": lambda call, _: call.on_key_minted(make_key("m0")),
    "no-owner": lambda call, _: call.on_no_owner(Reason.NO_TARGET),
    "found": lambda call, _: call.on_claim_read(make_key("f0")),
    "found-other": lambda call, _: call.on_claim_read(make_key("g0")),
    "none": lambda call, _: call.on_claim_read(None),
    "bound": lambda call, step: call.on_claim_written(step.key),
    "taken": lambda call, _: call.on_claim_written(make_key("t0")),
    "store-failure": lambda call, _: call.on_store_failure(),
    "unsent": lambda call, _: call.on_copy_unsent(),
    "replaced": lambda call, _: call.on_owner_gone(Reason.OWNER_REPLACED),
    "sent": lambda call, step: call.on_copy_sent() or step,
    "lost": lambda call, _: call.on_connection_lost(),
    "deadline": lambda call, _: steps.Conclude(call.conclude_at_deadline()),
}
EXPECTED_STEPS = {
    "bound": steps.WriteClaim,
    "unsent": steps.SendCopy,
    "sent": steps.SendCopy,
}


def apply_event(call, event, step):
    assert isinstance(step, EXPECTED_STEPS.get(event, object)), step
    if event in EVENTS:
        return EVENTS[event](call, step)
    return call.on_answer(make_verdict(event))


@then('it concludes with "{verdict}"')
def step_conclusion(context, verdict):
    assert isinstance(context.step, steps.Conclude), context.step
    found = context.step.verdict
    assert f"{verdict_name(found)} {found.reason}" == verdict, found


# Reasons that an entry node itself gives for a call that it has routed by key.
ENTRY_REFUSALS = (
    Reason.OWNER_UNREACHABLE,
    Reason.OWNER_REPLACED,
    Reason.KEY_EXPIRED,
)


def check_history(history):
    for submission in history.submissions:
        verdict = submission.verdict
        is_refused = isinstance(verdict, NotRun)
        if is_refused and verdict.reason in ENTRY_REFUSALS:
            assert not submission.had_executed, verdict
    submissions = collections.defaultdict(list)
    for submission in history.submissions:
        submissions[submission.request].append(submission.verdict)
    for request, verdicts in submissions.items():
        runs = [key for number, key in history.executions if number == request]
        assert len(runs) <= 1, (verdicts, runs)
        if any(isinstance(verdict, Ran) for verdict in verdicts):
            assert runs, verdicts
        if all(isinstance(verdict, NotRun) for verdict in verdicts):
            # Every sending was refused, so no copy of the request may be
            # executed at any time.
            assert not runs, (verdicts, runs)


@then("{count:d} random histories keep the invariants")
@then("{count:d} random histories with {processes} keep the invariants")
def step_histories(context, count, processes=""):
    counts = collections.Counter()

    @check_examples(count, st.integers(0, 2**32))
    def check(seed):
        history = History(seed, contested=processes == "second processes")
        history.run(events=200)
        check_history(history)
        counts["executions"] += len(history.executions)
        for submission in history.submissions:
            counts[verdict_name(submission.verdict)] += 1

    # Ensures that the histories contain executions and every kind of verdict.
    for kind in ("executions", "not-run", "may-have-run", "ran"):
        assert counts[kind] >= count // 4, counts
