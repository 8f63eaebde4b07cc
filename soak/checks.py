"""The promises that the soak checks, from what clients and targets see."""

import collections

import attrs

from soak.faults import Faults
from standins.vm_fleet import SLOTS, VmFleet
from standins.vm_target import BODY

__all__ = ["Answer", "find_broken"]

DRAIN_S = 2.0
# After an unplanned fault a cut connection is no broken promise for so long.
SETTLE_S = 3.0
STOP_S = 7.0
# A request that crosses the close of its connection may be cut: it has not
# been passed on, and its connection ends within this time.
LOSS_SLACK_S = 0.2
NOT_RUN = frozenset({408, 421, 429, 503})


@attrs.frozen
class Answer:
    """What a client saw.

    Attributes:
        vm: VM whose daemon it asked.
        process: Process that answered, counted by starts of the daemon.
        request_id: Id of the request.
        kind: `safe`, `unsafe` or `probe`.
        probe: Version that the probe's route came with.
        status: Status; 0 for a connection that ended without an answer.
        body: Body.
        sent_at: When it was sent.
        ended_at: When it ended.
    """

    vm: str
    process: int
    request_id: str
    kind: str
    probe: int
    status: int
    body: bytes
    sent_at: float
    ended_at: float


def find_broken(
    fleet: VmFleet, faults: Faults, answers: list[Answer]
) -> list[str]:
    """Returns a line for each broken promise."""
    broken = []
    runs = collections.Counter(
        execution.request_id
        for vm in fleet.vms.values()
        for execution in vm.target.executions
    )
    for answer in answers:
        if answer.kind == "unsafe" and runs[answer.request_id] > 1:
            broken.append(f"executed twice: {answer}")
        if (
            answer.kind == "unsafe"
            and answer.status in NOT_RUN
            and runs[answer.request_id]
        ):
            broken.append(f"refused, and executed: {answer}")
        if answer.status == 200 and answer.kind != "probe":
            if answer.body != BODY:
                broken.append(f"not the whole answer: {answer}")
            if not runs[answer.request_id]:
                broken.append(f"answered, and never executed: {answer}")
        passed_on = runs[answer.request_id] > 0
        held = answer.ended_at - answer.sent_at > LOSS_SLACK_S
        cut = answer.status == 0 and (passed_on or held)
        if cut and _is_planned(faults, answer):
            broken.append(f"cut by a planned stop: {answer}")
    broken += _find_steps_back(answers)
    broken += _find_late_work(fleet, faults)
    for vm in fleet.vms.values():
        if vm.target.max_running > SLOTS:
            broken.append(f"{vm.name} ran {vm.target.max_running} at a time")
    return broken


def _is_planned(faults: Faults, answer: Answer) -> bool:
    """Returns whether only a planned stop can have cut a connection."""
    began_at = faults.planned.get(answer.vm)
    if began_at is None or not began_at < answer.ended_at < began_at + STOP_S:
        return False
    return all(
        not answer.sent_at - SETTLE_S < struck_at < answer.ended_at
        for struck_at in faults.struck.get(answer.vm, [])
    )


def _find_steps_back(answers: list[Answer]) -> list[str]:
    """Returns probes that a process answered by an older version than before.

    The route of a probe exists from its version on.
    """
    broken = []
    newest: dict[tuple[str, int], tuple[int, float]] = {}
    for answer in sorted(answers, key=lambda each: each.ended_at):
        if answer.kind != "probe":
            continue
        key = (answer.vm, answer.process)
        version, seen_at = newest.get(key, (0, 0.0))
        if answer.status == 200 and answer.probe > version:
            newest[key] = (answer.probe, answer.ended_at)
        older = answer.status == 404 and answer.probe <= version
        if older and answer.sent_at > seen_at:
            broken.append(f"back behind version {version}: {answer}")
    return broken


def _find_late_work(fleet: VmFleet, faults: Faults) -> list[str]:
    return [
        f"{execution.target_id} got {execution.request_id} after its leaving"
        for vm in fleet.vms.values()
        for execution in vm.target.executions
        if execution.target_id in faults.acked
        and execution.at > faults.acked[execution.target_id] + DRAIN_S
    ]
