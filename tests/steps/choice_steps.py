"""Steps that drive the choice of owners."""

import collections
import random

from behave import given, then, when
from hypothesis import strategies

from bench import measure_choice
from guavawing.policy.choice import Candidate, Chooser, LoadReport
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason
from tests.support import check_examples

FAILED = MayHaveRun(Reason.TARGET_BROKE)
OUTCOMES = {
    "fail": FAILED,
    "refuse": NotRun(Reason.QUEUE_FULL, 0.5),
    "serve": Ran(),
    "time out": MayHaveRun(Reason.TARGET_TIMEOUT),
}


def make_report(running=0, *, draining=False):
    return LoadReport(10, running, 0, draining=draining, key_epoch=0)


def make_owner(number, *, local=True, slots=10):
    return Candidate(f"owner-{number}", 1, local=local, slots=slots)


def choose_many(context, count, now, **options):
    """Chooses owners for concurrent calls, which end after the last choice."""
    chosen = []
    for _ in range(count):
        owner = context.chooser.choose(context.owners, now=now, **options)
        context.chooser.start(owner)
        chosen.append(owner)
    for owner in chosen:
        context.chooser.finish(owner, now=now)
    return chosen


@given("{local:d} local and {remote:d} remote owners of {slots:d} slots")
def step_owners(context, local, remote, slots):
    context.chooser = Chooser(random.Random(4))
    context.owners = [
        make_owner(number, local=number <= local, slots=slots)
        for number in range(1, local + remote + 1)
    ]
    context.chooser.choose(context.owners, now=0.0)


@when("at {now:g} s owner {number:d} reports that it drains")
@when("at {now:g} s owner {number:d} reports {running:d} running calls")
def step_report(context, now, number, running=None):
    load = make_report(running or 0, draining=running is None)
    context.chooser.report(context.owners[number - 1], load, now=now)


@when(
    "at {now:g} s owners {first:d} to {last:d} {end} {count:d} calls after"
    " {elapsed:g} s"
)
def step_end_calls(context, now, first, last, end, count, elapsed):
    for owner in context.owners[first - 1 : last]:
        for _ in range(count):
            context.chooser.start(owner)
            context.chooser.finish(
                owner,
                now=now,
                verdict=OUTCOMES[end],
                elapsed_s=elapsed,
                list_peers=lambda: context.owners,
            )


@when("a local owner {number:d} is added at {now:g} s")
def step_add_owner(context, number, now):
    context.owners.append(make_owner(number))
    context.chooser.choose(context.owners, now=now)


@then(
    "at {now:g} s owner {number:d} gets {low:d} to {high:d} calls of {count:d}"
)
def step_calls_between(context, now, number, low, high, count):
    chosen = choose_many(context, count, now)
    got = chosen.count(context.owners[number - 1])
    assert low <= got <= high, got


@then("at {now:g} s only {where:w} owners get calls of {count:d}")
@then("at {now:g} s {spill} only {where:w} owners get calls of {count:d}")
def step_only(context, now, where, count, spill=""):
    chosen = choose_many(context, count, now, spill=not spill)
    local = where == "local"
    assert all(owner.local is local for owner in chosen), chosen


@then("at {now:g} s exactly {count:d} owners are ejected")
def step_ejected(context, now, count):
    ejected = [
        o for o in context.owners if context.chooser.is_ejected(o, now=now)
    ]
    assert len(ejected) == count, ejected


def find_subset(entry_id, owners):
    chooser = Chooser(random.Random(4), entry_id=entry_id)
    return {chooser.choose(owners, now=0.0).id for _ in range(400)}


@then(
    "each of {entries:d} entry nodes uses {size:d} of {count:d} owners, evenly"
)
def step_subsets(context, entries, size, count):
    owners = [make_owner(number) for number in range(count)]
    uses = collections.Counter()
    for number in range(entries):
        subset = find_subset(f"entry-{number}", owners)
        assert len(subset) == size, len(subset)
        uses.update(subset)
    mean = entries * size / count
    assert max(uses.values()) <= 3 * mean, uses
    assert len(uses) == count, len(uses)


@then("the removal of an owner changes a subset by one owner at most")
def step_subset_stays(context):
    owners = [make_owner(number) for number in range(100)]
    before = find_subset("entry-1", owners)
    for leaving in owners[:20]:
        rest = [owner for owner in owners if owner != leaving]
        after = find_subset("entry-1", rest)
        assert len(after - before) <= 1, after - before


@then("at a load of {load:g} the baselines serve fewer calls with a higher p99")
def step_baselines(context, load):
    trials = {name: run_trial(name, load) for name in measure_choice.CHOOSERS}
    mesh = trials.pop("mesh")
    for name, trial in trials.items():
        assert mesh.served_share() > trial.served_share(), name
        assert mesh.p99_ms() < trial.p99_ms(), name


def run_trial(name, load=0.7, **options):
    make = measure_choice.CHOOSERS[name]
    return measure_choice.run_trial(make, load, duration_s=8.0, **options)


@then(
    "a slow target that reports itself idle gets less than half of a fair share"
)
def step_underreported_load(context):
    trial = run_trial("mesh", slow_underreports_load=True)
    done = {
        target.id: target.work_done_s / measure_choice.SLOW_FACTOR
        if target.id == "slow"
        else target.work_done_s
        for target in trial.targets
    }
    fair = sum(done.values()) / len(done)
    assert done["slow"] < fair / 2, done


@then("a target that fails at once breaks less than 1 in {count:d} calls")
def step_broken(context, count):
    trial = run_trial("mesh", with_broken=True)
    calls = trial.model.calls
    broken = [c for c in calls if c.verdict == FAILED]
    assert len(broken) * count < len(calls), (len(broken), len(calls))


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["choose", "choose", "end", "report"]),
        strategies.integers(0, 7),
        strategies.floats(0.0, 1.0),
    ),
    max_size=100,
)
VERDICTS = (OUTCOMES["serve"], FAILED, OUTCOMES["refuse"], None)


@then("random events never violate an invariant of the choice")
def step_property(context):
    @check_examples(300, EVENTS, strategies.integers(1, 8))
    def check(events, count):
        chooser = Chooser(random.Random(4))
        owners = [make_owner(n, local=n % 3 > 0) for n in range(count)]
        draining_until = dict.fromkeys(owners, -1.0)
        running, now = [], 0.0
        for kind, number, step_s in events:
            now += step_s
            owner = owners[number % count]
            match kind:
                case "choose":
                    excluded = {owner.id} if number % 2 else set()
                    chosen = chooser.choose(owners, excluded=excluded, now=now)
                    usable = [
                        each
                        for each in owners
                        if each.id not in excluded
                        and draining_until[each] < now
                    ]
                    assert (chosen is None) == (not usable)
                    if chosen is not None:
                        assert chosen in usable
                        chooser.start(chosen)
                        running.append(chosen)
                case "end" if running:
                    ended = running.pop(number % len(running))
                    chooser.finish(
                        ended,
                        now=now,
                        verdict=VERDICTS[number % 4],
                        elapsed_s=step_s,
                        list_peers=lambda: owners,
                    )
                case "report":
                    draining = number == 7
                    load = make_report(number, draining=draining)
                    chooser.report(owner, load, now=now)
                    draining_until[owner] = now + 3.0 if draining else -1.0
            ejected = sum(chooser.is_ejected(o, now=now) for o in owners)
            assert ejected <= (max(1, count // 3) if count > 1 else 0)
