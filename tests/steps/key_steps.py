"""Steps about the key table of an owner and the keyed calls of an entry."""

from behave import given, then, when
from hypothesis import strategies as st

from bench.key_history import History
from guavawing.policy.bound_key import BoundKey
from guavawing.policy.key_table import Begin, KeyTable, Reject, Replay
from guavawing.policy.keyed_call import (
    Ask,
    Bind,
    Conclude,
    KeyedCall,
    KeySource,
)
from guavawing.verdict import (
    MayHaveRun,
    NotRun,
    Ran,
    Reason,
    verdict_name,
)
from tests.golden_files import check_golden
from tests.support import check_examples

INCARNATION = 1


def make_key(name, incarnation=INCARNATION):
    """Returns the key `a0`: nonce a, epoch 0."""
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
    context.session = []
    context.decisions = {}


@when("these events reach it")
def step_events(context):
    for row in context.table:
        now = float(row["at"])
        words = row["event"].split()
        key = make_key(words[1])
        lines = [f"{now:g} {row['event']}"]
        table = context.table_of_keys
        match words:
            case ["begin", name, "of", "another", "incarnation"]:
                other = make_key(name, INCARNATION + 1)
                decision = table.begin(other, b"", now=now)
                lines.append(f"    {describe(decision)}")
            case ["begin", name, request]:
                decision = table.begin(key, request.encode(), now=now)
                context.decisions[name] = decision
                lines.append(f"    {describe(decision)}")
            case ["finish", name, size, "bytes"]:
                table.finish(key, f"answer of {name}", size=int(size))
            case ["release", _]:
                table.release(key)
        lines.append(
            f"    epoch {table.epoch(now=now)}, {len(table)} entries,"
            f" {table.kept_bytes} bytes kept"
        )
        context.session += lines


@then('the session equals the golden file "{name}"')
def step_golden(context, name):
    check_golden(name, "\n".join(context.session) + "\n")


@then('the last decision for "{name}" is not Begin')
def step_not_begin(context, name):
    assert not isinstance(context.decisions[name], Begin)


@given("a call whose key is {source}")
def step_keyed_call(context, source):
    context.key_source = KeySource[source.upper()]


@when('it goes through "{events}"')
def step_go_through(context, events):
    source = context.key_source
    key = make_key("k0") if source is KeySource.BOUND else None
    call = KeyedCall(source, key)
    context.step = call.start()
    for event in events.split(","):
        event, _, times = event.strip().partition("*")
        for _ in range(int(times or 1)):
            assert not isinstance(context.step, Conclude), context.step
            context.step = feed(call, event, context.step)


def feed(call, event, step):
    match event.split():
        case ["minted"]:
            return call.take_minted(make_key("m0"))
        case ["no-owner"]:
            return call.take_no_owner(Reason.NO_TARGET)
        case ["found"]:
            return call.take_found(make_key("f0"))
        case ["found-other"]:
            return call.take_found(make_key("g0"))
        case ["none"]:
            return call.take_found(None)
        case ["bound"]:
            assert isinstance(step, Bind), step
            return call.take_bound(step.key)
        case ["taken"]:
            return call.take_bound(make_key("t0"))
        case ["store-failure"]:
            return call.take_store_failure()
        case ["unsent"]:
            assert isinstance(step, Ask), step
            return call.take_unsent()
        case ["replaced"]:
            return call.take_gone(Reason.OWNER_REPLACED)
        case ["sent"]:
            assert isinstance(step, Ask), step
            call.take_sent()
            return step
        case ["lost"]:
            return call.take_lost()
        case ["deadline"]:
            return Conclude(call.conclude_at_deadline())
        case ["ran"]:
            return call.take_answer(Ran())
        case ["not-run", reason]:
            return call.take_answer(NotRun(Reason(reason), 0.0))
        case ["may-have-run", reason]:
            return call.take_answer(MayHaveRun(Reason(reason)))
    raise AssertionError(event)


@then('it ends with "{verdict}"')
def step_ends(context, verdict):
    assert isinstance(context.step, Conclude), context.step
    found = context.step.verdict
    assert f"{verdict_name(found)} {found.reason}" == verdict, found


# What an entry node says by itself of a call that it has routed by its key.
ENTRY_REFUSALS = (
    Reason.OWNER_UNREACHABLE,
    Reason.OWNER_REPLACED,
    Reason.KEY_EXPIRED,
)


def check_history(history):
    for sending in history.sendings:
        verdict = sending.verdict
        is_refused = isinstance(verdict, NotRun)
        if is_refused and verdict.reason in ENTRY_REFUSALS:
            assert not sending.had_run, verdict
    for request in {sending.request for sending in history.sendings}:
        verdicts = [
            sending.verdict
            for sending in history.sendings
            if sending.request == request
        ]
        runs = [key for number, key in history.executions if number == request]
        assert len(runs) <= 1, (verdicts, runs)
        if any(isinstance(verdict, Ran) for verdict in verdicts):
            assert runs, verdicts
        if all(isinstance(verdict, NotRun) for verdict in verdicts):
            # Every sending was refused: nothing of it may run, then or
            # later, wherever its copies are.
            assert not runs, (verdicts, runs)


@then("{count:d} random histories with second processes keep the rules")
def step_contested(context, count):
    step_histories(context, count, contested=True)


@then("{count:d} random histories keep the rules")
def step_histories(context, count, *, contested=False):
    seen = {"executions": 0, "not-run": 0, "may-have-run": 0, "ran": 0}

    @check_examples(count, st.integers(0, 2**32))
    def check(seed):
        history = History(seed, contested=contested)
        history.run(events=200)
        check_history(history)
        seen["executions"] += len(history.executions)
        for sending in history.sendings:
            seen[verdict_name(sending.verdict)] += 1

    # A check over histories in which nothing happens would prove nothing.
    assert all(number >= count // 4 for number in seen.values()), seen
