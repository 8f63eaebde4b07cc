"""Invariants of the soak test, checked on client and target records."""

import collections

import attrs

from soak.faults import Faults
from standins.vm_fleet import SLOTS, VmFleet
from standins.vm_target import BODY

__all__ = ["Answer", "find_violations"]

DRAIN_S = 2.0
# Connections closed within this time after an unplanned fault are permitted.
SETTLE_S = 3.0
STOP_S = 7.0
# A request sent while its connection is being closed may be lost: it has not
# been forwarded, and the client sees the connection end within this time.
LOSS_SLACK_S = 0.2
NOT_RUN = frozenset({408, 421, 429, 503})


@attrs.frozen
class Answer:
    """Result of a request at its client.

    Attributes:
        vm: VM whose daemon received the request.
        process: Number of starts of the daemon when the request was sent.
        request_id: Id of the request.
        kind: `safe`, `unsafe` or `probe`.
        probe: Version that introduced the route of the probe.
        status: Status; 0 if the connection ended or timed out without an
            answer, -1 if it was refused.
        body: Response body.
        sent_at: Event loop time of sending, in seconds.
        ended_at: Event loop time of the end, in seconds.
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


def find_violations(
    fleet: VmFleet, faults: Faults, answers: list[Answer]
) -> list[str]:
    """Returns one line per violated invariant."""
    violations = []
    execution_counts = collections.Counter(
        execution.request_id
        for vm in fleet.vms.values()
        for execution in vm.target.executions
    )
    for answer in answers:
        if answer.kind == "unsafe" and execution_counts[answer.request_id] > 1:
            violations.append(f"executed twice: {answer}")
        if (
            answer.kind == "unsafe"
            and answer.status in NOT_RUN
            and execution_counts[answer.request_id]
        ):
            violations.append(f"refused but executed: {answer}")
        if answer.status == 200 and answer.kind != "probe":
            if answer.body != BODY:
                violations.append(f"answer incomplete: {answer}")
            if not execution_counts[answer.request_id]:
                violations.append(f"answered but not executed: {answer}")
        executed = execution_counts[answer.request_id] > 0
        outlasted_slack = answer.ended_at - answer.sent_at > LOSS_SLACK_S
        connection_cut = answer.status == 0 and (executed or outlasted_slack)
        if connection_cut and _is_cut_by_planned_stop(faults, answer):
            violations.append(f"connection cut by a planned stop: {answer}")
    violations += _find_version_regressions(answers)
    violations += _find_executions_after_drain(fleet, faults)
    for vm in fleet.vms.values():
        if vm.target.max_running > SLOTS:
            violations.append(
                f"{vm.name} ran {vm.target.max_running} requests concurrently"
            )
    return violations


def _is_cut_by_planned_stop(faults: Faults, answer: Answer) -> bool:
    """Returns whether only a planned stop can have closed a connection."""
    stopped_at = faults.planned_stop_at.get(answer.vm)
    if (
        stopped_at is None
        or not stopped_at < answer.ended_at < stopped_at + STOP_S
    ):
        return False
    return all(
        not answer.sent_at - SETTLE_S < fault_at < answer.ended_at
        for fault_at in faults.unplanned_at.get(answer.vm, [])
    )


def _find_version_regressions(answers: list[Answer]) -> list[str]:
    """Returns probes answered by an older version than the process had used.

    The route of a probe exists in its version and all later ones.
    """
    violations = []
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
            violations.append(f"version older than {version} in use: {answer}")
    return violations


def _find_executions_after_drain(fleet: VmFleet, faults: Faults) -> list[str]:
    return [
        f"{execution.target_id} received {execution.request_id} after its drain"
        for vm in fleet.vms.values()
        for execution in vm.target.executions
        if execution.target_id in faults.drain_acked_at
        and execution.at > faults.drain_acked_at[execution.target_id] + DRAIN_S
    ]
