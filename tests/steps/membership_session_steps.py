"""Steps that play whole sessions of membership machines."""

from behave import then
from hypothesis import Phase
from hypothesis import strategies as st

from bench.gossip_driver import make_member
from bench.gossip_session import Session
from tests.golden_files import check_golden
from tests.support import check_examples

ACTIONS = st.sampled_from(
    ("kill", "restart", "freeze", "wake", "cut", "heal", "drain", "wait")
)
SESSIONS = st.lists(
    st.tuples(ACTIONS, st.integers(0, 4), st.integers(1, 12)), max_size=14
)


def play(drive, action, name):
    driver, node = drive.driver, drive.node(name)
    match action:
        case "kill":
            driver.kill(node)
        case "restart":
            drive.restart(name)
        case "freeze":
            node.paused = True
        case "wake" if node.paused and node.up:
            driver.resume(node)
        case "cut":
            driver.is_cut = lambda a, b: (a.id == name) != (b.id == name)
        case "heal":
            driver.is_cut = lambda a, b: False
        case "join":
            driver.add(make_member("desk-bergen-4", 4), drive.seeds())
        case "drain" if node.up and not node.paused:
            node.gossip.set_target(serving=False, slots=1)


@then(
    "{count:d} random sessions with losses, duplicates, cuts and restarts hold"
)
def step_random(context, count):
    @check_examples(
        count,
        SESSIONS,
        st.integers(0, 2**32),
        st.sampled_from((0.0, 0.1, 0.3)),
        phases=(Phase.generate,),
    )
    def check(session, seed, loss):
        drive = Session({"bergen": 3, "voss": 2}, seed)
        drive.driver.loss, drive.driver.duplicates = loss, loss
        drive.run(5)
        names = list(drive.driver.nodes)
        for action, number, seconds in session:
            play(drive, action, names[number])
            drive.run(seconds)
        for name in names:
            play(drive, "wake", name)
            if not drive.node(name).up:
                drive.restart(name)
        play(drive, "heal", names[0])
        drive.driver.loss = 0.0
        drive.within(60, drive.all_alive)
        assert not drive.regressions, drive.regressions


WATCHED = "desk-bergen-2"
# What happens, and the seconds for which the session runs on after it.
SESSION_PLAYS = {
    "membership-join": (("join", 1.5),),
    "membership-refutation": (("cut", 20), ("heal", 10)),
    "membership-freeze-return": (("freeze", 20), ("wake", 10)),
}


@then('the session "{name}" equals its golden file')
def step_golden(context, name):
    drive = Session({"bergen": 3}, seed=1)
    drive.run(10)
    lines = []
    drive.driver.trace = lines.append
    for action, seconds in SESSION_PLAYS[name]:
        play(drive, action, WATCHED)
        drive.run(seconds)
    check_golden(name, "".join(f"{line}\n" for line in select_news(lines)))


def select_news(lines):
    """Leaves the events of one member that carry news."""
    event = ""
    for line in lines:
        if not line.startswith(" " * 4):
            event = line
            if "[" in line and f" {WATCHED} " in line:
                yield line
        elif "[" in line and f" {WATCHED} " in event:
            if "[" not in event:
                yield event
                event = f"[ {WATCHED} "
            yield line
