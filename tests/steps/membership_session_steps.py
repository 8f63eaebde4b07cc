"""Steps that run scripted and random sessions of membership machines."""

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


def apply_action(session, action, name):
    driver, node = session.driver, session.node(name)
    match action:
        case "kill":
            driver.kill(node)
        case "restart":
            session.restart(name)
        case "freeze":
            node.paused = True
        case "wake" if node.paused and node.up:
            driver.resume(node)
        case "cut":
            driver.is_cut = lambda a, b: (a.id == name) != (b.id == name)
        case "heal":
            driver.is_cut = lambda a, b: False
        case "join":
            driver.add(make_member("desk-bergen-4", 4), session.seeds())
        case "drain" if node.up and not node.paused:
            node.gossip.set_target(serving=False, slots=1)


@then(
    "{count:d} random sessions with losses, duplicates, cuts and restarts"
    " converge"
)
def step_random(context, count):
    @check_examples(
        count,
        SESSIONS,
        st.integers(0, 2**32),
        st.sampled_from((0.0, 0.1, 0.3)),
        phases=(Phase.generate,),
    )
    def check(actions, seed, loss):
        session = Session({"bergen": 3, "voss": 2}, seed)
        session.driver.loss, session.driver.duplicates = loss, loss
        session.run(5)
        names = list(session.driver.nodes)
        for action, number, seconds in actions:
            apply_action(session, action, names[number])
            session.run(seconds)
        for name in names:
            apply_action(session, "wake", name)
            if not session.node(name).up:
                session.restart(name)
        apply_action(session, "heal", names[0])
        session.driver.loss = 0.0
        session.within(60, session.all_alive)
        assert not session.regressions, session.regressions


WATCHED = "desk-bergen-2"
# Actions, each with the seconds for which the session then runs.
SESSION_SCRIPTS = {
    "membership-join": (("join", 1.5),),
    "membership-refutation": (("cut", 20), ("heal", 10)),
    "membership-freeze-return": (("freeze", 20), ("wake", 10)),
}


@then('the trace of "{name}" matches its golden file')
def step_golden(context, name):
    session = Session({"bergen": 3}, seed=1)
    session.run(10)
    lines = []
    session.driver.trace = lines.append
    for action, seconds in SESSION_SCRIPTS[name]:
        apply_action(session, action, WATCHED)
        session.run(seconds)
    check_golden(name, "".join(f"{line}\n" for line in select_updates(lines)))


def select_updates(lines):
    """Selects the events of one member that contain membership updates."""
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
