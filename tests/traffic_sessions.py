"""Scripted sessions of traffic decisions, with one line per event.

The steps compare the lines with golden files.
"""

from random import Random

from guavawing.model import Address
from guavawing.traffic.balancer import Balancer
from guavawing.traffic.model import (
    Incarnation,
    LoadReport,
    TargetPhase,
    TargetReport,
)
from guavawing.traffic.owner_view import OwnerView
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


def run_departure():
    """A target departs while the node beside it restarts."""
    state = TargetState("desk", ADDRESS)
    lines = []

    def add_line(now, event, changed):
        lines.append(
            f"{now:.1f} {event}: {'changed' if changed else 'same'},"
            f" target {state.target_id or '-'}"
            f" {state.phase.name.lower()} slots {state.slots}"
        )

    def apply_heartbeat(now, target_id, born_ms, sequence, *, draining=False):
        report = TargetReport(
            target_id, "desk", ADDRESS, 5, draining, sequence, 0.0, born_ms
        )
        label = "draining" if draining else "ready"
        event = f"heartbeat {target_id} born {born_ms} #{sequence} {label}"
        add_line(now, event, state.apply_report(report, now=now))

    add_line(0.2, "health check i-1", state.apply_probe("i-1"))
    add_line(0.3, "a peer knows 9 slots", state.apply_peer_slots(9))
    apply_heartbeat(0.5, "i-1", 1000, 7)
    apply_heartbeat(1.0, "i-1", 1000, 8, draining=True)
    apply_heartbeat(1.2, "i-1", 1000, 6)
    state = TargetState("desk", ADDRESS)
    lines.append("the process starts again")
    departure = Incarnation("i-1", 1000)
    add_line(
        2.0,
        "a peer knows that i-1 leaves",
        state.apply_known_departure(departure, now=2.0),
    )
    add_line(2.2, "health check i-1", state.apply_probe("i-1"))
    apply_heartbeat(2.5, "i-1", 1000, 9)
    add_line(3.0, "departure of i-2", state.apply_departure("i-2", now=3.0))
    add_line(3.1, "health check i-2", state.apply_probe("i-2"))
    apply_heartbeat(3.2, "i-2", 2000, 4)
    apply_heartbeat(8.5, "i-2", 9000, 1)
    return lines


def run_full_target():
    """Requests of three priorities arrive at a target of two slots."""
    queue = SlotQueue()
    queue.slots, queue.service_s = 2, 0.1
    lines = []

    def add_line(now, decision):
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
        add_line(now, queue.offer(waiter, now=now))
    for number, now in ((1, 0.11), (2, 0.12), (6, 0.2), (5, 0.21)):
        lines.append(f"{now:.3f} {number} ends")
        for admit in queue.finish(number, now=now):
            add_line(now, admit)
    return lines


def run_choice():
    """A data centre becomes full, and its requests go to another one."""
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
    "traffic-departure": run_departure,
    "traffic-full-target": run_full_target,
    "traffic-choice": run_choice,
}
