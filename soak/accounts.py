"""Client accounts of the soak test, and the invariants of their requests."""

import bisect
import collections
from typing import Any

from soak.checks import Answer
from soak.faults import Faults
from standins.vm_fleet import VmFleet

__all__ = ["BOUNDS", "KEYS", "find_account_violations", "make_accounts"]

WITHDRAWN_WITHIN_S = 2.5
WINDOW_S, OVERAGE, ALLOWANCE = 5.0, 0.1, 20
BOUNDS = {
    "revokeStrict": "true",
    "revokeMs": round(WITHDRAWN_WITHIN_S * 1000),
    "quotaWindowS": WINDOW_S,
    "quotaOverage": OVERAGE,
    "quotaSlack": ALLOWANCE,
}
# Requests per second and burst; `free` has no quota. Clients send much more
# than the rate of `hot`.
QUOTAS = {"hot": (10, 10), "mild": (60, 30), "free": (0, 0)}
KEYS_PER_ACCOUNT = 4
# Account by key; the last key belongs to none.
KEYS = {
    f"soak-secret-{name}-{number}": name
    for name in QUOTAS
    for number in range(KEYS_PER_ACCOUNT)
} | {"soak-secret-unknown": ""}


def make_accounts() -> dict[str, dict[str, Any]]:
    """Returns the accounts of the first version, with all their keys."""
    return {
        name: {
            "apiKeys": [key for key, owner in KEYS.items() if owner == name],
            "ratePerS": rate,
            "burst": burst,
        }
        for name, (rate, burst) in QUOTAS.items()
    }


def find_account_violations(
    fleet: VmFleet, faults: Faults, answers: list[Answer]
) -> list[str]:
    """Returns one line per violated invariant of client accounts."""
    violations = []
    by_id = {answer.request_id: answer for answer in answers}
    started_at: dict[str, dict[str, float]] = collections.defaultdict(dict)
    for vm in fleet.vms.values():
        log = vm.log.read_text()
        violations += [f"{vm.name} logged {key}" for key in KEYS if key in log]
        for execution in vm.target.executions:
            request_id, headers = execution.request_id, execution.headers
            account = headers.get("x-tenant", "")
            first_at = started_at[account].get(request_id, execution.at)
            started_at[account][request_id] = min(first_at, execution.at)
            text = " ".join([*headers, *headers.values()])
            if any(key in text for key in KEYS):
                violations.append(f"a target received a key: {execution}")
            if request_id not in by_id:
                # Its client was cancelled at the end.
                continue
            answer = by_id[request_id]
            if not account or account != KEYS[answer.key]:
                violations.append(f"run for account {account!r}: {answer}")
            withdrawn_at = faults.withdrawn_at.get(answer.key, answer.sent_at)
            if answer.sent_at > withdrawn_at + WITHDRAWN_WITHIN_S:
                violations.append(
                    f"key withdrawn at {withdrawn_at:.2f} s: {answer}"
                )
    for name, (rate, burst) in QUOTAS.items():
        if rate:
            allowed = (rate * WINDOW_S + burst) * (1 + OVERAGE) + ALLOWANCE
            times = sorted(started_at[name].values())
            violations += _find_overuse(name, times, allowed)
    return violations


def _find_overuse(name: str, times: list[float], allowed: float) -> list[str]:
    """Returns the first window in which too many requests were executed."""
    for number, at in enumerate(times):
        count = bisect.bisect_right(times, at + WINDOW_S) - number
        if count > allowed:
            return [
                f"{count} requests of {name} from {at:.2f} s on,"
                f" {allowed:g} allowed"
            ]
    return []
