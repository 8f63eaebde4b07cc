"""Plan of a roll-out: when the new release gets which share.

The load it answers: a release that proves faulty late, or only under load. A
share is raised only if the release can then be withdrawn within the exposure
that the terms allow, so the small shares leave what the last step needs. That
step comes late: after it, the exposure grows with all requests.
"""

import math

import attrs

from guavawing.traffic.rollout_judge import Assessment
from guavawing.traffic.rollout_state import RolloutState

__all__ = [
    "Close",
    "Complete",
    "Halt",
    "PlanInput",
    "Raise",
    "Step",
    "Wait",
    "find_next_step",
]

# Shares of the steps before the exposure left scales them, and shares of the
# duration at which they are due.
SHARES = (0.02, 0.04, 0.08, 0.15)
DUE = (0.0, 0.35, 0.5, 0.6)
CLOSE_DUE = 0.68
MIN_SCALE, MAX_SCALE = 0.2, 3.0
# Rate that is assumed at least, in requests a second.
MIN_PER_S = 1.0
# A share is raised by this factor at least, as each raise is a write.
MIN_RAISE = 1.4
# Shortest duration that allows a judgement, in seconds.
MIN_DURATION_S = 4.0
# Shortest time at one share, in seconds.
MIN_STEP_S = 1.0
# Time with all requests before the old targets may stop, as a share of the
# duration and at most, in seconds: a fault under load has to show.
MIN_CLOSING_SHARE = 0.1
MAX_CLOSING_S = 2.0
# Time before the deadline, beyond the time above, in which the last step waits
# no longer for outcomes, in seconds: old targets have to finish.
LAST_STEP_S = 2.0
# Time from a fault to the end of what it gets: counts, decision, announcement;
# and that for which the exposure is kept when a small share is raised.
REACTION_S = 1.05
KEPT_REACTION_S = 1.3
# Time kept for the last write before the deadline, in seconds.
WRITE_S = 0.8
# Share of the exposure that the plan uses.
EXPOSURE_MARGIN = 0.9
# Share of the old targets' slots that the new ones need before they get all.
MIN_CAPACITY = 0.7
# Standard errors by which a release may be worse before it gets everything, at
# first and when time runs out; with the latter, and with this many bad answers
# too many, it loses everything again.
DOUBT_ERRORS = 2.5
LAST_DOUBT_ERRORS = 3.5
MIN_LAST_EXCESS = 4.0
# Outcomes on each route before the release gets everything.
MIN_ROUTE_OUTCOMES = 5


@attrs.frozen
class Wait:
    """Nothing changes."""


@attrs.frozen
class Raise:
    """The new release gets a larger share."""

    share: float


@attrs.frozen
class Close:
    """The new release gets everything; the other targets finish."""


@attrs.frozen
class Complete:
    """The new release has taken over."""


@attrs.frozen
class Halt:
    """The new release is withdrawn."""

    reason: str


Step = Wait | Raise | Close | Complete | Halt


@attrs.frozen
class PlanInput:
    """What the next step depends on.

    Attributes:
        state: The state in force.
        assessment: What the counts say.
        elapsed_s: Time since the order, in seconds.
        step_s: Time since the state came into force, in seconds.
        per_s: Requests of the service a second.
        exposed: Requests that the new release has got.
        exposure_share: Share of all requests that a faulty release may get.
        exposure_allowance: Requests that it may get besides.
        new_slots: Slots of the new release's warm targets.
        old_slots: Slots of the other targets.
        old_targets: Number of the other targets that are known.
        old_busy: Those that have not reported that they are done.
        old_silent: Those among them that can't be heard.
    """

    state: RolloutState
    assessment: Assessment
    elapsed_s: float
    step_s: float
    per_s: float
    exposed: float
    exposure_share: float
    exposure_allowance: float
    new_slots: int
    old_slots: int
    old_targets: int
    old_busy: int
    old_silent: int


def find_next_step(plan: PlanInput) -> Step:
    """Returns the next step of a roll-out that runs."""
    duration_s = plan.state.order.duration_s
    left_s = duration_s - plan.elapsed_s
    if plan.assessment.faulty:
        return Halt("faulty")
    if not plan.old_targets and plan.new_slots:
        # Nothing is served by another release.
        return Complete()
    if duration_s < MIN_DURATION_S:
        return Halt("too-short")
    if plan.state.closing:
        return _find_last_step(plan, left_s)
    if left_s <= WRITE_S:
        return Halt("out-of-time")
    if plan.step_s < MIN_STEP_S:
        return Wait()
    progress = plan.elapsed_s / duration_s
    if progress >= CLOSE_DUE and plan.state.share > 0:
        enough = plan.new_slots >= MIN_CAPACITY * plan.old_slots
        if enough and _may_close(plan, left_s):
            return Close()
    due = [
        share
        for share, due_at in zip(SHARES, DUE, strict=True)
        if progress >= due_at
    ]
    share = min(max(due) * _find_scale(plan), _find_largest_share(plan))
    share = math.floor(share * 1000) / 1000
    if share < MIN_RAISE * plan.state.share or not plan.new_slots:
        return Wait()
    if plan.new_slots < share * MIN_CAPACITY * plan.old_slots:
        return Wait()
    return Raise(share)


def _may_close(plan: PlanInput, left_s: float) -> bool:
    """Returns whether the new release may get everything."""
    if not _is_affordable(plan, 1.0, left_s):
        return False
    errors = plan.assessment.errors
    if left_s < _find_closing_s(plan) + LAST_STEP_S:
        return errors < LAST_DOUBT_ERRORS
    return (
        errors < DOUBT_ERRORS and plan.assessment.fewest >= MIN_ROUTE_OUTCOMES
    )


def _find_last_step(plan: PlanInput, left_s: float) -> Step:
    assessment = plan.assessment
    excess = assessment.bad - assessment.expected
    if assessment.errors >= LAST_DOUBT_ERRORS and excess >= MIN_LAST_EXCESS:
        return Halt("doubtful")
    if plan.step_s < _find_closing_s(plan) and left_s > WRITE_S:
        return Wait()
    if not plan.old_busy:
        return Complete()
    only_silent = plan.old_busy <= plan.old_silent
    return Complete() if only_silent and left_s <= WRITE_S else Wait()


def _find_closing_s(plan: PlanInput) -> float:
    """Returns how long the new release gets everything before completion."""
    share_s = MIN_CLOSING_SHARE * plan.state.order.duration_s
    return min(MAX_CLOSING_S, share_s)


def _find_scale(plan: PlanInput) -> float:
    """Returns by how much the exposure allows the steps to be larger.

    What the fault of a release with all requests would cost is left out.
    """
    ends = (*DUE[1:], CLOSE_DUE)
    planned = sum(
        share * (end - due)
        for share, due, end in zip(SHARES, DUE, ends, strict=True)
    )
    planned *= plan.per_s * plan.state.order.duration_s
    if not planned:
        return 1.0
    scale = (_find_budget(plan) - plan.per_s * KEPT_REACTION_S) / planned
    return min(MAX_SCALE, max(MIN_SCALE, scale))


def _find_largest_share(plan: PlanInput) -> float:
    """Returns the share that leaves the exposure of the last step."""
    until_s = CLOSE_DUE * plan.state.order.duration_s - plan.elapsed_s
    per_s = max(plan.per_s, MIN_PER_S)
    kept = per_s * KEPT_REACTION_S
    left = _find_budget(plan) - plan.exposed - kept
    return min(1.0, left / (per_s * max(until_s, MIN_STEP_S)))


def _find_budget(plan: PlanInput) -> float:
    """Returns the requests that a faulty release may get."""
    expected = plan.per_s * plan.state.order.duration_s
    allowed = plan.exposure_share * expected + plan.exposure_allowance
    return EXPOSURE_MARGIN * allowed


def _is_affordable(plan: PlanInput, share: float, left_s: float) -> bool:
    """Returns whether a fault at a share would stay within the terms."""
    exposed = plan.exposed + share * plan.per_s * min(REACTION_S, left_s)
    return exposed <= _find_budget(plan)
