"""Sessions of the decisions on requests, written line by line."""

from random import Random

from guavawing.model import Address
from guavawing.traffic.balancer import Balancer, OwnerView
from guavawing.traffic.model import (
    Departure,
    LoadReport,
    TargetPhase,
    TargetReport,
)
from guavawing.traffic.slot_queue import (
    Admit,
    Queued,
    Refuse,
    SlotQueue,
    Waiter,
)
from guavawing.traffic.target_state import TargetState

__all__ = ["SESSIONS"]

ADDRESS = Address("10.0.0.7", 80)


def play_departure():
    """A target leaves while the process beside it is started again."""
    state = TargetState("desk", ADDRESS)
    lines = []

    def note(now, event, changed):
        lines.append(
            f"{now:.1f} {event}: {'changed' if changed else 'same'},"
            f" target {state.target_id or '-'}"
            f" {state.phase.name.lower()} slots {state.slots}"
        )

    def beat(now, target_id, born_ms, sequence, *, draining=False):
        report = TargetReport(
            target_id, "desk", ADDRESS, 5, draining, sequence, 0.0, born_ms
        )
        word = "draining" if draining else "ready"
        event = f"heartbeat {target_id} born {born_ms} #{sequence} {word}"
        note(now, event, state.apply_report(report, now=now))

    note(0.2, "health check i-1", state.apply_probe("i-1"))
    note(0.3, "a peer knows 9 slots", state.apply_peer_slots(9))
    beat(0.5, "i-1", 1000, 7)
    beat(1.0, "i-1", 1000, 8, draining=True)
    beat(1.2, "i-1", 1000, 6)
    state = TargetState("desk", ADDRESS)
    lines.append("the process starts again")
    known = Departure("i-1", 1000)
    note(
        2.0,
        "a peer knows that i-1 leaves",
        state.apply_known_departure(known, now=2.0),
    )
    note(2.2, "health check i-1", state.apply_probe("i-1"))
    beat(2.5, "i-1", 1000, 9)
    note(3.0, "departure of i-2", state.apply_departure("i-2", now=3.0))
    note(3.1, "health check i-2", state.apply_probe("i-2"))
    beat(3.2, "i-2", 2000, 4)
    beat(8.5, "i-2", 9000, 1)
    return lines


def play_full_target():
    """Requests of three priorities meet a target of two slots."""
    queue = SlotQueue()
    queue.slots, queue.service_s = 2, 0.1
    lines = []

    def note(now, decision):
        match decision:
            case Admit(id=number):
                text = f"{number} runs"
            case Queued(id=number, start_by=start_by):
                text = f"{number} waits until {start_by:.3f}"
            case Refuse(id=number, verdict=verdict):
                after_s = verdict.retry_after_s
                text = f"{number} refused {verdict.reason}, {after_s:.3f} s"
        lines.append(f"{now:.3f} {text}; refused {queue.refused_share:.4f}")

    arrivals = [
        (0.000, 2, False, 0.5),
        (0.010, 2, False, 0.5),
        (0.020, 2, False, 0.5),
        (0.030, 2, True, 0.0),
        (0.040, 1, False, 0.4),
        (0.050, 0, False, 0.3),
        (0.060, 2, False, 0.3),
        (0.070, 2, False, 0.2),
    ]
    for number, (now, priority, late, useful_s) in enumerate(arrivals, 1):
        waiter = Waiter(
            number, priority, late, now + 2.0, now + useful_s, False
        )
        note(now, queue.offer(waiter, now=now))
    for number, now in ((1, 0.11), (2, 0.12), (6, 0.2), (5, 0.21)):
        lines.append(f"{now:.3f} {number} ends")
        for admit in queue.finish(number, now=now):
            note(now, admit)
    return lines


def play_choice():
    """A data centre fills up, and its work goes elsewhere."""
    balancer = Balancer(Random(3))
    views = [
        OwnerView("own", local=True, near=True),
        OwnerView("near", local=False, near=True),
        OwnerView("far", local=False, near=False),
    ]
    lines = []

    def choose(now, event, *, size=500):
        balancer.observe_size(f"r{size}", size)
        choice = balancer.choose(
            views,
            route=f"r{size}",
            kind=0,
            bulk=size > 500,
            useful_s=0.3,
            excluded=(),
            now=now,
        )
        chosen = "nobody"
        if choice is not None:
            spare = " for a spare slot" if choice.spare_only else ""
            chosen = choice.owner.node + spare
        lines.append(f"{now:.1f} {event}: {size} bytes go to {chosen}")

    def report(now, running, refused):
        for view, busy in zip(views, running, strict=True):
            share = refused if view.near else 0.0
            load = LoadReport(TargetPhase.READY, 5, busy, 0, 0.1, share)
            view.apply_report(load, now=now)

    steps = [
        ("all are idle", (0, 0, 0), 0.0),
        ("the own target is full", (9, 1, 0), 0.0),
        ("near ones are full", (30, 30, 0), 0.0),
        ("near ones refuse a third", (30, 30, 0), 0.33),
        ("near ones refuse a third, far is full", (30, 30, 7), 0.33),
    ]
    for second, (event, running, refused) in enumerate(steps):
        report(float(second), running, refused)
        choose(float(second), event)
        choose(float(second), event, size=90_000)
    return lines


SESSIONS = {
    "traffic-departure": play_departure,
    "traffic-full-target": play_full_target,
    "traffic-choice": play_choice,
}
