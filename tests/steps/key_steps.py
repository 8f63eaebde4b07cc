"""Steps about the key table of an owner and the keyed calls of an entry."""

import itertools
import random

from behave import given, then, when
from hypothesis import given as given_example
from hypothesis import settings
from hypothesis import strategies as st

from guavawing.policy.bound_key import BoundKey
from guavawing.policy.key_table import Begin, Join, KeyTable, Reject, Replay
from guavawing.policy.keyed_call import (
    Ask,
    Bind,
    Conclude,
    KeyedCall,
    KeySource,
    LookUp,
    Mint,
)
from guavawing.verdict import (
    MayHaveRun,
    NotRun,
    Ran,
    Reason,
    verdict_name,
)
from tests.golden_files import check_golden

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
            return call.take_bound(step.key, mine=True)
        case ["taken"]:
            return call.take_bound(make_key("t0"), mine=False)
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


class Owner:
    """An owner process over the real key table, and its target."""

    def __init__(self, name, incarnation, executions):
        self.name = name
        self.incarnation = incarnation
        self.executions = executions
        self.table = KeyTable(incarnation=incarnation, now=0.0, max_entries=4)
        self.waiting = {}
        self.nonces = itertools.count(1)

    def mint(self, now):
        epoch = self.table.epoch(now=now)
        nonce = str(next(self.nonces))
        return BoundKey(self.name, self.incarnation, epoch, nonce)

    def take(self, copy, now, accepts):
        """Takes a copy; `accepts` is whether admission gives it a slot."""
        key = copy.key
        decision = self.table.begin(key, b"", now=now)
        match decision:
            case Begin() if accepts:
                self.executions.append((copy.request, key))
                self.waiting[key] = [copy]
            case Begin():
                self.table.release(key)
                copy.answer = NotRun(Reason.QUEUE_FULL, 0.0)
            case Join():
                self.waiting[key].append(copy)
            case Replay(answer=answer):
                copy.answer = answer
            case Reject(verdict=verdict):
                copy.answer = verdict

    def finish(self, key, answer):
        self.table.finish(key, answer)
        for copy in self.waiting.pop(key):
            copy.answer = answer


class Copy:
    """A frame under way; whoever sent it may have given up on it."""

    def __init__(self, request, key, call):
        self.request = request
        self.key = key
        self.call = call
        self.answer = None


class Call:
    """One sending of a request, at one entry node."""

    def __init__(self, request, source):
        self.request = request
        self.machine = KeyedCall(source)
        self.step = self.machine.start()
        self.copy = None
        self.read = None
        self.verdict = None
        self.attempts = 1


class History:
    """Owners, a table of claims and callers, driven by random choices.

    Every event of the world is one choice: a call makes its next step, a
    copy is delivered at last, an answer arrives or is lost, an execution
    ends, an owner is replaced, time passes.
    """

    def __init__(self, rng):
        self.rng = rng
        self.now = 0.0
        self.executions = []
        self.owners = {
            name: Owner(name, 1, self.executions) for name in ("x", "y")
        }
        self.claims = {}
        self.calls = []
        self.copies = []

    def run(self, events):
        for request in range(3):
            minted = self.rng.random() < 0.3
            source = KeySource.MINTED if minted else KeySource.CLAIMED
            # A claimed request is sent again while the first is under way.
            sendings = 1 if minted else self.rng.randint(1, 3)
            self.calls += [Call(request, source) for _ in range(sendings)]
        for _ in range(events):
            self.now += self.rng.choice(
                (0.0, 0.0, 0.1, 1.0, 1.0, 1.0, 1.0, 90.0)
            )
            self.rng.choice(
                (
                    self.advance,
                    self.advance,
                    self.advance,
                    self.deliver,
                    self.deliver,
                    self.answer,
                    self.answer,
                    self.answer,
                    self.lose,
                    self.finish,
                    self.finish,
                    self.replace,
                )
            )()
        for call in self.calls:
            if isinstance(call.step, Conclude):
                call.verdict = call.step.verdict
            if call.verdict is None:
                self.end(call, call.machine.conclude_at_deadline())
        # Copies that are still in sockets reach their owners at last.
        while self.copies:
            self.deliver()
        self.check()

    def pick(self, items):
        items = list(items)
        return self.rng.choice(items) if items else None

    def advance(self):
        ready = (
            call
            for call in self.calls
            if call.verdict is None and call.copy is None
        )
        call = self.pick(ready)
        if call is None:
            return
        has_ended = isinstance(call.step, Conclude)
        if not has_ended and self.rng.random() < 0.02:
            self.end(call, call.machine.conclude_at_deadline())
            return
        machine = call.machine
        match call.step:
            case LookUp():
                if self.rng.random() < 0.1:
                    call.step = machine.take_store_failure()
                    return
                call.read = self.claims.get(call.request)
                key = None if call.read is None else call.read[0]
                call.step = machine.take_found(key)
            case Mint():
                if self.rng.random() < 0.2:
                    call.step = machine.take_no_owner(Reason.NO_TARGET)
                    return
                key = self.pick(self.owners.values()).mint(self.now)
                call.step = machine.take_minted(key)
            case Bind(key=key, released=released):
                self.bind(call, key, released)
            case Ask(key=key):
                self.ask(call, key)
            case Conclude(verdict=verdict):
                is_final = isinstance(verdict, NotRun) and call.attempts < 3
                if is_final and verdict.reason is not Reason.KEY_REUSED:
                    call.attempts += 1
                    call.step = machine.retry()
                else:
                    self.end(call, verdict)

    def bind(self, call, key, released):
        row = self.claims.get(call.request)
        expected = call.read if released else None
        if row == expected:
            revision = 0 if row is None else row[1] + 1
            self.claims[call.request] = (key, revision)
        if self.rng.random() < 0.1:
            call.step = call.machine.take_store_failure()
            return
        call.read = self.claims[call.request]
        bound = call.read[0]
        call.step = call.machine.take_bound(bound, mine=bound == key)

    def ask(self, call, key):
        owner = self.owners[key.owner]
        if owner.incarnation != key.incarnation and self.rng.random() < 0.5:
            call.step = call.machine.take_gone(Reason.OWNER_REPLACED)
        elif self.rng.random() < 0.2:
            call.step = call.machine.take_unsent()
        else:
            call.machine.take_sent()
            call.copy = Copy(call.request, key, call)
            self.copies.append(call.copy)

    def deliver(self):
        copy = self.pick(self.copies)
        if copy is None:
            return
        self.copies.remove(copy)
        accepts = self.rng.random() < 0.7
        self.owners[copy.key.owner].take(copy, self.now, accepts)

    def answer(self):
        done = (
            call
            for call in self.calls
            if call.copy is not None and call.copy.answer is not None
        )
        call = self.pick(done)
        if call is not None:
            verdict, call.copy = call.copy.answer, None
            call.step = call.machine.take_answer(verdict)

    def lose(self):
        waiting = (call for call in self.calls if call.copy is not None)
        call = self.pick(waiting)
        if call is not None and self.rng.random() < 0.4:
            call.copy = None
            call.step = call.machine.take_lost()

    def finish(self):
        owner = self.pick(self.owners.values())
        key = self.pick(owner.waiting)
        if key is not None:
            broke = MayHaveRun(Reason.TARGET_BROKE)
            owner.finish(key, self.rng.choice((Ran(), broke)))

    def replace(self):
        if self.rng.random() < 0.1:
            old = self.pick(self.owners.values())
            self.owners[old.name] = Owner(
                old.name, old.incarnation + 1, self.executions
            )

    def end(self, call, verdict):
        call.verdict = verdict
        call.copy = None

    def check(self):
        for request in {call.request for call in self.calls}:
            calls = [call for call in self.calls if call.request == request]
            runs = [key for name, key in self.executions if name == request]
            assert len(runs) <= 1, (request, runs)
            verdicts = [call.verdict for call in calls]
            if any(isinstance(verdict, Ran) for verdict in verdicts):
                assert runs, verdicts
            if all(isinstance(verdict, NotRun) for verdict in verdicts):
                # Every sending was refused: nothing of it may run, then or
                # later, wherever its copies are.
                assert not runs, (verdicts, runs)


@then("{count:d} random histories keep the rules")
def step_histories(context, count):
    seen = {"executions": 0, "not-run": 0, "may-have-run": 0, "ran": 0}

    @settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )
    @given_example(st.integers(0, 2**32))
    def check(seed):
        history = History(random.Random(seed))
        history.run(events=200)
        seen["executions"] += len(history.executions)
        for call in history.calls:
            seen[verdict_name(call.verdict)] += 1

    check()
    # A check over histories in which nothing happens would prove nothing.
    assert all(number >= count // 4 for number in seen.values()), seen
