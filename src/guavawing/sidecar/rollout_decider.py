"""The decider of a roll-out: conditional writes of its status row.

Whoever has written the row last decides. A share is raised, and the roll-out
completed, only after the write; it is withdrawn at once, and the row follows.
"""

import asyncio
import random
from collections.abc import Callable

import attrs

from guavawing.errors import (
    MessageInvalidError,
    PlatformError,
    TransactionRefusedError,
)
from guavawing.platform.rollouts import (
    ROLLOUT_PREFIX,
    STATUS_TABLE,
    StoredPlan,
    decode_status,
    encode_status,
)
from guavawing.platform.settings import RolloutTerms
from guavawing.platform.store_client import (
    CONFIGURATION_TABLE,
    RowWrite,
    StoreClient,
    StoredRow,
)
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.model import RolloutOrder, TargetPhase
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.rollout_counts import (
    CountLedger,
    find_counts_period_s,
)
from guavawing.traffic.rollout_judge import Assessment, assess
from guavawing.traffic.rollout_plan import (
    Close,
    Complete,
    Halt,
    PlanInput,
    Raise,
    Step,
    Wait,
    find_next_step,
)
from guavawing.traffic.rollout_state import (
    RolloutPhase,
    RolloutState,
    RolloutView,
)

__all__ = ["Decider", "Rollout"]

# Interval of confirmations, in seconds.
CONFIRM_S = 0.5
# First and longest wait after failed calls, in seconds.
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
# The longest wait of a node that only has to learn how an old order ended.
IDLE_BACKOFF_S = 4.0
# Age of counts beyond which an owner counts as silent, in seconds, and in
# intervals of the counts of a large service.
SILENT_S = 2.0
SILENT_PERIODS = 2.5
# Share of the duration after which targets count that are still cold.
COLD_SHARE = 0.35
# Time in which a decider discovers the targets before it may complete without
# any of another release, in seconds.
DISCOVERY_S = 2.0
# Longest and shortest time over which the rate of requests is measured, in
# seconds, and time of the first counts, which are those of a longer time.
RATE_WINDOW_S = 4.0
MIN_RATE_WINDOW_S = 0.5
FIRST_COUNTS_S = 1.0


@attrs.define(eq=False)
class Rollout:
    """One service's roll-out at this node.

    Attributes:
        view: What entry nodes and owners go by.
        ordered_at: Event loop's time of the order, as far as it is known.
        fresh: Whether this node has seen the order being written.
        ledger: Counts of the owners; None unless this node decides.
        decides_since: Time at which this node became decider.
        row_version: Version of the status row that the next write expects.
        task: Call to the store that is under way.
        completing: Whether a write of the completion may be under way.
        confirmed_at: Time of the last own announcement.
        counted_at: Time of the last counts of the own target.
        assessment: The last assessment.
    """

    view: RolloutView
    ordered_at: float
    fresh: bool = False
    ledger: CountLedger | None = None
    decides_since: float = 0.0
    row_version: int = 0
    task: "asyncio.Task[None] | None" = None
    completing: bool = False
    confirmed_at: float = 0.0
    counted_at: float = 0.0
    assessment: Assessment = attrs.field(factory=Assessment)

    @property
    def state(self) -> RolloutState:
        """The state in force."""
        assert self.view.state is not None
        return self.view.state


class Decider:
    """Decides about roll-outs at this node."""

    def __init__(
        self,
        terms: RolloutTerms,
        *,
        host: str,
        store: StoreClient,
        peers: PeerTable,
        may_take_over: Callable[[Rollout], bool],
        on_state: Callable[[RolloutState], None],
        announce: Callable[[Rollout], None],
        log: DecisionLog,
        metrics: SidecarMetrics,
    ) -> None:
        """Creates a decider without roll-outs.

        Args:
            terms: Terms of roll-outs.
            host: Address of this node.
            store: The store.
            peers: The other nodes and the owners of services.
            may_take_over: Returns whether this node is to decide.
            on_state: Called with each state that this node has decided on.
            announce: Sends the state of a roll-out to the other nodes.
            log: Receives steps and failed calls.
            metrics: Counts calls to the store.
        """
        self._loop = asyncio.get_running_loop()
        self._terms = terms
        self._host = host
        self._store = store
        self._peers = peers
        self._may_take_over = may_take_over
        self._on_state = on_state
        self._announce = announce
        self._log = log
        self._metrics = metrics

    def decides(self, rollout: Rollout) -> bool:
        """Returns whether this node decides about a roll-out."""
        return rollout.ledger is not None and rollout.state.version > 0

    def stop(self, rollout: Rollout) -> None:
        """Leaves the decisions to another node."""
        rollout.ledger = None
        rollout.completing = False
        if rollout.task is not None:
            rollout.task.cancel()
            rollout.task = None

    async def take_over(self, rollout: Rollout) -> None:
        """Becomes the decider by a conditional write of the status row."""
        backoff_s = FIRST_BACKOFF_S
        try:
            while self._may_take_over(rollout):
                try:
                    await self._try_take_over(rollout)
                except PlatformError as exc:
                    self._count("failed")
                    self._log.state_change(
                        "rollout-not-taken-over", cause=str(exc)
                    )
                    await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
                    urgent = rollout.view.binding
                    longest_s = MAX_BACKOFF_S if urgent else IDLE_BACKOFF_S
                    backoff_s = min(longest_s, backoff_s * 2)
                else:
                    return
        finally:
            if rollout.task is asyncio.current_task():
                rollout.task = None

    def decide(self, rollout: Rollout, now: float) -> None:
        """Confirms the state and takes the next step if it is due."""
        if now - rollout.confirmed_at >= CONFIRM_S:
            rollout.view.confirmed_at = now
            self._announce(rollout)
        state = rollout.state
        if not state.running or rollout.completing:
            return
        if state.halted:
            if rollout.task is None:
                self._start_write(
                    rollout,
                    attrs.evolve(
                        state,
                        phase=RolloutPhase.ROLLED_BACK,
                        share=0.0,
                        closing=False,
                        halted=False,
                    ),
                )
            return
        assert rollout.ledger is not None
        rollout.assessment = assess(rollout.ledger)
        plan = self._make_input(rollout, rollout.ledger, now)
        step = find_next_step(plan)
        self._carry_out(rollout, plan, step)

    def halt(self, rollout: Rollout, reason: str) -> None:
        """Withdraws the new release; the row follows."""
        if rollout.completing or rollout.state.halted:
            return
        now = self._loop.time()
        state = attrs.evolve(rollout.state, halted=True)
        if rollout.view.apply(state, confirmed_at=now, now=now):
            self._log.state_change(
                "rollout-halted",
                service=state.order.service,
                release=state.order.release,
                reason=reason,
            )
            self._on_state(rollout.state)
            self._announce(rollout)

    async def _try_take_over(self, rollout: Rollout) -> None:
        before = rollout.state
        service = before.order.service
        row = await self._store.read_row(STATUS_TABLE, ROLLOUT_PREFIX + service)
        self._count("answered")
        stored = _decode_row(row)
        found_at = self._loop.time()
        if rollout.state != before:
            return
        if stored is not None and stored.order_number > before.order.number:
            await self._check_order(before.order)
        plan = _make_plan(before, stored)
        state = attrs.evolve(
            before,
            era=max(before.era, self._store.era.newest),
            phase=plan.phase,
            share=plan.share,
            closing=plan.closing,
            avoided=plan.avoided,
            decider=self._host,
        )
        if (
            stored is not None
            and row is not None
            and stored.order_number == before.order.number
            and stored.phase is not RolloutPhase.RUNNING
        ):
            # It ended before this node heard of it.
            ended = attrs.evolve(state, version=row.version)
            self._become_decider(rollout, ended, found_at)
            return
        if before.version == 0 and stored is not None and stored.left_s:
            same = stored.order_number == before.order.number
            if same and stored.left_s < before.order.duration_s:
                # The time since that write is not known.
                rollout.ordered_at = min(
                    rollout.ordered_at,
                    found_at - (before.order.duration_s - stored.left_s),
                )
        rollout.row_version = 0 if row is None else row.version
        version = await self._write(rollout, state)
        self._become_decider(
            rollout, attrs.evolve(state, version=version), found_at
        )

    async def _check_order(self, order: RolloutOrder) -> None:
        """Checks that an order is still the one in the store.

        A node that was cut off may have missed a later one. The number in the
        status row alone does not tell, as it may be from before the store was
        restored.

        Raises:
            TransactionRefusedError: If the order was replaced or withdrawn.
            PlatformError: If the store gives no usable answer.
        """
        row = await self._store.read_row(
            CONFIGURATION_TABLE, ROLLOUT_PREFIX + order.service
        )
        self._count("answered")
        found = 0 if row is None else row.version
        if row is None or row.value is None or found != order.number:
            raise TransactionRefusedError(
                f"got order {found} of {order.service} from the store, "
                f"expected {order.number}"
            )

    def _become_decider(
        self, rollout: Rollout, state: RolloutState, since: float
    ) -> None:
        rollout.row_version = state.version
        now = self._loop.time()
        if not rollout.view.apply(state, confirmed_at=now, now=now):
            return
        rollout.ledger = CountLedger(release=state.order.release)
        rollout.decides_since = since
        self._on_state(rollout.state)
        self._announce(rollout)

    async def _write(self, rollout: Rollout, state: RolloutState) -> int:
        """Writes the status row if it is the one this node knows.

        Raises:
            TransactionRefusedError: If another node has written it.
            PlatformError: If the store gives no usable answer.
        """
        left_s = rollout.ordered_at + state.order.duration_s - self._loop.time()
        value = encode_status(
            StoredPlan(
                state.order.number,
                state.phase,
                state.order.release,
                state.share,
                state.closing,
                left_s,
                state.avoided,
                state.decider,
            )
        )
        key = ROLLOUT_PREFIX + state.order.service
        write = RowWrite(STATUS_TABLE, key, value, rollout.row_version)
        try:
            version = await self._store.write_rows([write])
        except TransactionRefusedError:
            row = await self._store.read_row(STATUS_TABLE, key)
            stored = _decode_row(row)
            if row is None or stored is None:
                rollout.row_version = 0 if row is None else row.version
                raise
            rollout.row_version = row.version
            if row.value != value:
                if stored.decider == self._host:
                    # The row that this node wrote; its version was not known
                    # exactly.
                    raise
                self._adopt_row(rollout, row, stored)
                raise
            version = row.version
        self._count("answered")
        rollout.row_version = version
        return version

    def _adopt_row(
        self, rollout: Rollout, row: StoredRow, stored: StoredPlan
    ) -> None:
        """Adopts what another decider has written."""
        if stored.order_number != rollout.state.order.number:
            return
        state = attrs.evolve(
            rollout.state,
            era=max(rollout.state.era, self._store.era.newest),
            version=row.version,
            phase=stored.phase,
            share=stored.share,
            closing=stored.closing,
            avoided=stored.avoided,
            decider=stored.decider,
        )
        now = self._loop.time()
        if rollout.view.apply(state, confirmed_at=now, now=now):
            rollout.ledger = None
            rollout.completing = False
            self._on_state(rollout.state)

    def _carry_out(self, rollout: Rollout, plan: PlanInput, step: Step) -> None:
        state = rollout.state
        match step:
            case Wait():
                return
            case Halt(reason=reason):
                self._log_step(plan, f"halt: {reason}")
                self.halt(rollout, reason)
                return
        if rollout.task is not None:
            return
        match step:
            case Raise(share=share):
                after = attrs.evolve(state, share=share)
            case Close():
                after = attrs.evolve(state, share=1.0, closing=True)
            case Complete():
                now = self._loop.time()
                if now - rollout.decides_since < DISCOVERY_S:
                    return
                after = attrs.evolve(
                    state, share=1.0, phase=RolloutPhase.COMPLETED
                )
                rollout.completing = True
        self._log_step(plan, type(step).__name__.lower())
        self._start_write(rollout, after)

    def _log_step(self, plan: PlanInput, step: str) -> None:
        assessment = plan.assessment
        self._log.state_change(
            "rollout-step",
            service=plan.state.order.service,
            release=plan.state.order.release,
            step=step,
            share=plan.state.share,
            elapsed_s=round(plan.elapsed_s, 2),
            exposed=plan.exposed,
            per_s=round(plan.per_s, 1),
            outcomes=assessment.outcomes,
            bad=assessment.bad,
            expected=assessment.expected,
            errors=assessment.errors,
            route=assessment.route,
            new_slots=plan.new_slots,
            old_slots=plan.old_slots,
            old_busy=plan.old_busy,
            old_silent=plan.old_silent,
        )

    def _start_write(self, rollout: Rollout, after: RolloutState) -> None:
        rollout.task = self._loop.create_task(
            self._write_until_done(rollout, after)
        )

    async def _write_until_done(
        self, rollout: Rollout, after: RolloutState
    ) -> None:
        backoff_s = FIRST_BACKOFF_S
        raises = after.running
        try:
            while self.decides(rollout):
                if raises and rollout.state.halted:
                    return
                try:
                    version = await self._write(rollout, after)
                except PlatformError as exc:
                    self._count("failed")
                    self._log.state_change(
                        "rollout-not-written",
                        service=after.order.service,
                        cause=str(exc),
                    )
                    await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
                    backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                    continue
                now = self._loop.time()
                # A restored store gives lower versions, in a later era.
                era = max(after.era, self._store.era.newest)
                after = attrs.evolve(after, era=era, version=version)
                if rollout.view.apply(after, confirmed_at=now, now=now):
                    self._on_state(rollout.state)
                    self._announce(rollout)
                return
        finally:
            if rollout.task is asyncio.current_task():
                rollout.task = None
                rollout.completing = False

    def _make_input(
        self, rollout: Rollout, ledger: CountLedger, now: float
    ) -> PlanInput:
        state = rollout.state
        duration_s = state.order.duration_s
        elapsed_s = now - rollout.ordered_at
        cold_too = elapsed_s > COLD_SHARE * duration_s
        silent_s = self._find_silent_s(state.order.service)
        new_slots = old_slots = exposed = 0
        for series in ledger.owners.values():
            counts = series.counts
            heard = now - series.heard_at < silent_s
            if ledger.is_new(series):
                done = sum(map(sum, counts.routes.values()))
                exposed += done + counts.busy
                if heard and (cold_too or not counts.cold):
                    new_slots += counts.slots
            elif heard:
                old_slots += counts.slots
        targets, busy, silent = self._count_old(rollout, ledger, now)
        if now - rollout.decides_since < DISCOVERY_S:
            targets = max(targets, 1)
        since = rollout.decides_since + FIRST_COUNTS_S
        window_s = min(RATE_WINDOW_S, now - since)
        per_s = 0.0
        if window_s >= MIN_RATE_WINDOW_S:
            per_s = ledger.count_since(now - window_s) / window_s
        return PlanInput(
            state,
            rollout.assessment,
            elapsed_s,
            now - rollout.view.changed_at,
            per_s,
            exposed,
            self._terms.exposure_share,
            self._terms.exposure_allowance,
            new_slots,
            old_slots,
            targets,
            busy,
            silent,
        )

    def _count_old(
        self, rollout: Rollout, ledger: CountLedger, now: float
    ) -> tuple[int, int, int]:
        """Returns the other targets, those not done, and the silent ones."""
        release = rollout.state.order.release
        silent_s = self._find_silent_s(rollout.state.order.service)
        targets = busy = silent = 0
        for owner in self._peers.owners(rollout.state.order.service):
            report = owner.report
            if report is None or report.release == release:
                continue
            series = ledger.owners.get(owner.node)
            # An owner that restarts does not know its target at first.
            was_old = series is not None and not ledger.is_new(series)
            if report.phase is TargetPhase.GONE or (
                report.phase is TargetPhase.UNKNOWN and not was_old
            ):
                continue
            heard = series is not None and now - series.heard_at < silent_s
            if heard and series is not None and ledger.is_new(series):
                continue
            done = (
                heard
                and series is not None
                and series.counts.closed
                and not series.counts.busy
            )
            if done and report.release in rollout.state.avoided:
                continue
            targets += 1
            if heard:
                busy += not done
            else:
                busy += 1
                silent += 1
        return targets, busy, silent

    def _find_silent_s(self, service: str) -> float:
        owners = len(self._peers.owners(service))
        return max(SILENT_S, SILENT_PERIODS * find_counts_period_s(owners))

    def _count(self, outcome: str) -> None:
        self._metrics.store_calls.inc({"call": "rollout", "outcome": outcome})


def _decode_row(row: StoredRow | None) -> StoredPlan | None:
    """Returns the plan of a row; None if there is none that can be read."""
    if row is None or row.value is None:
        return None
    try:
        return decode_status(row.value)
    except MessageInvalidError:
        # The next write replaces it.
        return None


def _make_plan(before: RolloutState, stored: StoredPlan | None) -> StoredPlan:
    """Returns from what a node that takes over goes on."""
    order = before.order
    own = StoredPlan(
        order.number,
        before.phase,
        order.release,
        before.share,
        before.closing,
        avoided=before.avoided,
    )
    if stored is None:
        return own
    if stored.order_number == order.number:
        if before.phase is not RolloutPhase.RUNNING:
            return own
        return stored
    avoided = set(before.avoided) | set(stored.avoided)
    if stored.phase is not RolloutPhase.COMPLETED:
        avoided.add(stored.release)
    return attrs.evolve(own, avoided=tuple(sorted(avoided - {order.release})))
