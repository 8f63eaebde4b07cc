"""Invariants of the soak test, checked on client and target records."""

import collections
import math

import attrs

from soak.faults import Faults, NamedLimit
from standins.vm_fleet import ROUTE_LIMIT_S, SLOTS, VmFleet
from standins.vm_target import BODY

__all__ = ["Answer", "find_violations", "make_upload"]

DRAIN_S = 2.0
# Connections closed within this time after an unplanned fault are permitted.
SETTLE_S = 3.0
STOP_S = 7.0
# A request sent while its connection is being closed may be lost: it has not
# been forwarded, and the client sees the connection end within this time.
LOSS_SLACK_S = 0.2
# A limit binds this long after a target first named it, in windows of the
# second length, and allows this factor and number of requests above it.
LIMIT_BINDS_AFTER_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# Versions are in force after this time, at VMs without a disturbance for the
# second one.
APPLY_S = 2.0
CONTACT_S = 3.0
OK = 200
UNKNOWN_ROUTE = 404
# An answer that says that the deadline has passed comes at most this long
# before the time limit of its route is over, in seconds.
EARLY_S = 0.2
DEADLINE_PASSED = 504
# Lines of a large body; with ids of this test about 120 KB.
UPLOAD_LINES = 5_000
NOT_RUN = frozenset({401, 408, 421, 429, 503})


@attrs.frozen
class Answer:
    """Result of a request at its client.

    Attributes:
        vm: VM whose daemon received the request.
        process: Number of starts of the daemon when the request was sent.
        request_id: Id of the request.
        kind: `safe`, `unsafe`, `upload` or `probe`.
        probe: Version that introduced the route of the probe.
        status: Status; 0 if the connection ended or timed out without an
            answer, -1 if it was refused.
        body: Response body.
        sent_at: Event loop time of sending, in seconds.
        ended_at: Event loop time of the end, in seconds.
        key: Key of a client account; empty if there are no accounts.
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
    key: str = ""


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
        at_most_once = answer.kind in ("unsafe", "upload")
        if at_most_once and execution_counts[answer.request_id] > 1:
            violations.append(f"executed twice: {answer}")
        if (
            at_most_once
            and answer.status in NOT_RUN
            and execution_counts[answer.request_id]
        ):
            violations.append(f"refused but executed: {answer}")
        if answer.status == OK and answer.kind != "probe":
            if answer.body != BODY:
                violations.append(f"answer incomplete: {answer}")
            if not execution_counts[answer.request_id]:
                violations.append(f"answered but not executed: {answer}")
        executed = execution_counts[answer.request_id] > 0
        outlasted_slack = answer.ended_at - answer.sent_at > LOSS_SLACK_S
        connection_cut = answer.status == 0 and (executed or outlasted_slack)
        if connection_cut and _is_cut_by_planned_stop(faults, answer):
            violations.append(f"connection cut by a planned stop: {answer}")
        if (
            at_most_once
            and executed
            and answer.status == DEADLINE_PASSED
            and answer.ended_at < answer.sent_at + ROUTE_LIMIT_S - EARLY_S
            and _is_cut_by_planned_stop(faults, answer)
        ):
            violations.append(f"given up by a planned stop: {answer}")
    violations += _find_incomplete_uploads(fleet, answers)
    violations += _find_version_regressions(answers)
    violations += _find_late_versions(faults, answers)
    violations += _find_executions_after_drain(fleet, faults)
    for limit in faults.limits:
        violations += _find_excess(fleet, faults, limit)
    violations += _find_requests_after_departure(fleet, faults, answers)
    for vm in fleet.vms.values():
        if vm.target.max_running > SLOTS:
            violations.append(
                f"{vm.name} ran {vm.target.max_running} requests concurrently"
            )
    return violations


def _find_incomplete_uploads(
    fleet: VmFleet, answers: list[Answer]
) -> list[str]:
    uploads = {a.request_id for a in answers if a.kind == "upload"}
    return [
        f"{execution.target_id} got {len(execution.body)} bytes of"
        f" {execution.request_id}"
        for vm in fleet.vms.values()
        for execution in vm.target.executions
        if execution.request_id in uploads
        and execution.body != make_upload(execution.request_id)
    ]


def make_upload(request_id: str) -> bytes:
    """Returns the large body of a request."""
    return f"body of {request_id}\n".encode() * UPLOAD_LINES


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
        if answer.status == OK and answer.probe > version:
            newest[key] = (answer.probe, answer.ended_at)
        older = answer.status == 404 and answer.probe <= version
        if older and answer.sent_at > seen_at:
            violations.append(f"version older than {version} in use: {answer}")
    return violations


def _find_late_versions(faults: Faults, answers: list[Answer]) -> list[str]:
    """Returns probes refused by an older version than had to be in force."""
    violations = []
    for answer in answers:
        published_at = faults.published_at.get(answer.probe, math.inf)
        if answer.kind != "probe" or answer.status != UNKNOWN_ROUTE:
            continue
        if answer.sent_at <= published_at + APPLY_S:
            continue
        if not any(
            each.vm in ("", answer.vm)
            and each.from_s < answer.ended_at
            and each.until_s > answer.sent_at - CONTACT_S
            for each in faults.disturbances
        ):
            late_s = answer.sent_at - published_at
            violations.append(f"version late, {late_s:.1f} s: {answer}")
    return violations


def _find_executions_after_drain(fleet: VmFleet, faults: Faults) -> list[str]:
    return [
        f"{execution.target_id} received {execution.request_id} after its drain"
        for vm in fleet.vms.values()
        for execution in vm.target.executions
        if execution.target_id in faults.drain_acked_at
        and execution.at > faults.drain_acked_at[execution.target_id] + DRAIN_S
    ]


def _find_excess(
    fleet: VmFleet, faults: Faults, limit: NamedLimit
) -> list[str]:
    """Returns the first window in which a target got more than its limit.

    Requests of VMs with a fault or a restart since the limit was named don't
    count.
    """
    start = limit.from_s + LIMIT_BINDS_AFTER_S
    times = [
        execution.at
        for vm in fleet.vms.values()
        for execution in vm.target.executions
        if execution.target_id == limit.target_id
        and start <= execution.at <= limit.until_s
        and not _had_fault(
            faults, _find_vm(execution.request_id), limit.from_s, execution.at
        )
    ]
    allowed = LIMIT_FACTOR * limit.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
    for at in times:
        count = sum(1 for each in times if at <= each < at + LIMIT_WINDOW_S)
        if count > allowed:
            return [f"{count} requests from {at:.2f} s on, against {limit}"]
    return []


def _find_requests_after_departure(
    fleet: VmFleet, faults: Faults, answers: list[Answer]
) -> list[str]:
    """Returns requests at targets whose departure their VM had passed on."""
    violations = []
    by_id = {answer.request_id: answer for answer in answers}
    executions = [
        (execution, by_id[execution.request_id])
        for vm in fleet.vms.values()
        for execution in vm.target.executions
        if execution.request_id in by_id
        and execution.at > faults.leaving_at.get(execution.target_id, math.inf)
    ]
    passed_at: dict[tuple[str, str], float] = {}
    for execution, answer in executions:
        if answer.status == OK:
            key = (execution.target_id, answer.vm)
            passed_at[key] = min(answer.ended_at, passed_at.get(key, math.inf))
    for execution, answer in executions:
        since = passed_at.get((execution.target_id, answer.vm), math.inf)
        if answer.sent_at > since + DRAIN_S and not _had_fault(
            faults, answer.vm, since, execution.at
        ):
            violations.append(f"sent to a target that leaves: {answer}")
    return violations


def _find_vm(request_id: str) -> str:
    return request_id.partition("-")[0]


def _had_fault(faults: Faults, vm: str, start: float, end: float) -> bool:
    """Returns whether a VM had a fault or a planned stop in a time."""
    stopped_at = faults.planned_stop_at.get(vm, -math.inf)
    return start - SETTLE_S <= stopped_at <= end or any(
        start - SETTLE_S <= at <= end for at in faults.unplanned_at.get(vm, [])
    )
