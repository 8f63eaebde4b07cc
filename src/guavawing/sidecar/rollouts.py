"""Roll-outs at this node: orders, announced states, counts and decisions.

Any node holds the state of the roll-outs that it has heard of; an owner sends
its counts to the decider; and a node that follows the store may become decider.
`docs/design/rollouts.md` describes the protocol.
"""

import asyncio
import random
import zlib
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
    decode_order,
    decode_status,
    encode_status,
)
from guavawing.platform.settings import RolloutTerms
from guavawing.platform.store_client import (
    RowChanges,
    RowWrite,
    StoreClient,
    StoredRow,
)
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.owner import Owner
from guavawing.sidecar.rollout_messages import (
    StateMessage,
    decode_counts,
    decode_state,
    encode_counts,
    encode_state,
)
from guavawing.traffic.model import (
    Attempt,
    Outcome,
    PeerRecord,
    RolloutOrder,
    TargetPhase,
)
from guavawing.traffic.peers import Peer, PeerTable
from guavawing.traffic.readers import CONFIGURATION_READERS, find_rank
from guavawing.traffic.rollout_counts import (
    CountLedger,
    OutcomeCounter,
    OwnerCounts,
    find_bucket,
    find_route,
)
from guavawing.traffic.rollout_judge import (
    Assessment,
    Close,
    Complete,
    Halt,
    PlanInput,
    Raise,
    Step,
    Wait,
    assess,
    find_next_step,
)
from guavawing.traffic.rollout_state import (
    RolloutPhase,
    RolloutState,
    RolloutView,
)
from guavawing.traffic.target_state import TargetState
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason

__all__ = ["Rollouts"]

# Interval at which owners send counts and the decider decides, in seconds.
TICK_S = 0.25
# The same while the new release gets everything for the first time.
CLOSING_TICK_S = 0.1
# Interval of confirmations by the decider, in seconds.
CONFIRM_S = 0.5
# Time for which a verdict is announced again, in seconds.
VERDICT_ANNOUNCED_S = 10.0
# Silence of the decider after which a reader of the store takes its place, and
# further wait for each reader that comes first in order, in seconds.
TAKEOVER_S = 1.2
RANK_WAIT_S = 0.25
MAX_RANK_WAIT_S = 1.0
# First and longest wait after failed calls, in seconds.
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
# The longest wait of a node that only has to learn how an old order ended.
IDLE_BACKOFF_S = 4.0
# Nodes to which an announcement is passed on: of this data centre by the
# decider, of each other one, and by nodes that have heard it.
NEAR_FANOUT = 40
FAR_FANOUT = 2
PASS_ON_FANOUT = 3
# Age of counts beyond which an owner counts as silent, in seconds.
SILENT_S = 2.0
# Share of the duration after which targets count that are still cold.
COLD_SHARE = 0.35
# Time in which a decider discovers the targets before it may complete without
# any of another release, in seconds.
DISCOVERY_S = 2.0
# Time over which the rate of requests is measured, in seconds.
RATE_WINDOW_S = 4.0
MIN_RATE_WINDOW_S = 0.5
FIRST_COUNTS_S = 1.0
SERVER_ERRORS = range(500, 600)


@attrs.define(eq=False)
class _Rollout:
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
        passed_on_at: Time of the last announcement that was passed on.
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
    passed_on_at: float = 0.0
    assessment: Assessment = attrs.field(factory=Assessment)

    @property
    def state(self) -> RolloutState:
        """The state in force."""
        assert self.view.state is not None
        return self.view.state


class Rollouts:
    """Carries out the roll-outs of all services at this node."""

    def __init__(
        self,
        terms: RolloutTerms,
        *,
        own_record: PeerRecord,
        store: StoreClient,
        peers: PeerTable,
        owner: Owner,
        target: TargetState,
        send: Callable[[bytes, str], None],
        is_reader: Callable[[], bool],
        log: DecisionLog,
        metrics: SidecarMetrics,
    ) -> None:
        """Creates a node without roll-outs.

        Args:
            terms: Terms of roll-outs.
            own_record: This node's record.
            store: The store.
            peers: The other nodes.
            owner: Owner of the target on this VM.
            target: State of that target.
            send: Sends a datagram to the node on a VM.
            is_reader: Returns whether this node follows the store.
            log: Receives steps and verdicts.
            metrics: Receives share and verdict.
        """
        self._loop = asyncio.get_running_loop()
        self._terms = terms
        self._own_record = own_record
        self._store = store
        self._peers = peers
        self._owner = owner
        self._target = target
        self._send = send
        self._is_reader = is_reader
        self._log = log
        self._metrics = metrics
        self._rollouts: dict[str, _Rollout] = {}
        self._views: dict[str, RolloutView] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._counter = OutcomeCounter()
        # What the counter counts for: order and release.
        self._counted: tuple[int, str] = (0, "")
        self._series = 0
        self._closed = False

    def find_view(self, service: str) -> RolloutView:
        """Returns what this node knows of a service's roll-outs."""
        view = self._views.get(service)
        if view is None:
            view = RolloutView(roll_back_s=self._terms.roll_back_s)
            self._views[service] = view
        return view

    def close(self) -> None:
        """Ends the timer and the calls to the store."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for rollout in self._rollouts.values():
            if rollout.task is not None:
                rollout.task.cancel()

    # What the owner asks and reports.

    def admits(self, attempt: Attempt) -> bool:
        """Returns whether the own target may get an attempt."""
        view = self._views.get(self._own_record.service)
        if view is None:
            return True
        return view.admits(
            self._target.release, attempt.release, now=self._loop.time()
        )

    def observe(
        self, attempt: Attempt, outcome: Outcome, seconds: float
    ) -> None:
        """Counts the outcome of an attempt at the own target."""
        rollout = self._rollouts.get(self._own_record.service)
        if rollout is None or not rollout.state.running:
            return
        self._renew_counter(rollout)
        match outcome.verdict:
            case Ran():
                failed = outcome.status in SERVER_ERRORS
            case MayHaveRun(reason=Reason.CANCELLED):
                return
            case MayHaveRun():
                failed = True
            case NotRun():
                return
        if self._target.is_cold(now=self._loop.time()):
            # It is slow for that reason, so only failures tell anything.
            seconds = 0.0
        self._counter.observe(attempt.path, failed=failed, seconds=seconds)

    def _renew_counter(self, rollout: _Rollout) -> None:
        counted = (rollout.state.order.number, self._target.release)
        if counted != self._counted or not self._series:
            self._counted = counted
            self._counter = OutcomeCounter()
            self._series = random.getrandbits(48) | 1

    # Orders and announced states.

    def apply_changes(self, changes: RowChanges, complete: bool) -> None:
        """Applies changed rows of the table of orders."""
        for row in changes.rows:
            if not row.key.startswith(ROLLOUT_PREFIX):
                continue
            if row.value is None:
                self._withdraw(row)
                continue
            try:
                order = decode_order(row)
            except MessageInvalidError as exc:
                self._metrics.unreadable.inc({"source": "rollout"})
                self._log.state_change("rollout-unreadable", cause=str(exc))
                continue
            self._apply_order(order, changes.era, fresh=not complete)
        if complete:
            self._log_missing(changes)

    def _apply_order(
        self, order: RolloutOrder, era: int, *, fresh: bool
    ) -> None:
        now = self._loop.time()
        known = self._rollouts.get(order.service)
        state = RolloutState(order, era=era)
        if known is not None:
            before = known.state
            if (era, order.number) <= (before.era, before.order.number):
                return
            if era > before.era and _is_same_order(order, before.order):
                # The store was restored from a copy that has the order.
                state = attrs.evolve(before, order=order, era=era, version=0)
            elif before.order.release != order.release:
                avoided = (*before.avoided, before.order.release)
                started = before.phase is not RolloutPhase.COMPLETED
                if started:
                    state = attrs.evolve(
                        state,
                        avoided=tuple(
                            each for each in avoided if each != order.release
                        ),
                    )
        self._log.state_change(
            "rollout-ordered",
            service=order.service,
            release=order.release,
            duration_s=order.duration_s,
            order=order.number,
        )
        self._adopt(state, confirmed_at=now, ordered_at=now)
        rollout = self._rollouts[order.service]
        rollout.fresh = fresh
        if known is None and not fresh:
            rollout.view.binding = False
        if fresh:
            self._announce(rollout, self._select_all())

    def _withdraw(self, row: StoredRow) -> None:
        service = row.key.removeprefix(ROLLOUT_PREFIX)
        known = self._rollouts.get(service)
        if known is None or not known.state.running:
            return
        self._log.state_change("rollout-withdrawn", service=service)
        self._halt(known, "withdrawn")

    def _log_missing(self, changes: RowChanges) -> None:
        """Logs running roll-outs whose order a restored store has lost."""
        keys = {row.key for row in changes.rows}
        for service, rollout in self._rollouts.items():
            if rollout.state.running and ROLLOUT_PREFIX + service not in keys:
                self._log.state_change("rollout-order-missing", service=service)

    def handle_state(self, payload: bytes, host: str) -> None:
        """Applies an announced state."""
        message = decode_state(payload)
        now = self._loop.time()
        state = message.state
        known = self._rollouts.get(state.order.service)
        if known is not None and known.state.supersedes(state):
            if not known.state.is_same_version(state):
                self._send(self._encode(known), host)
            return
        confirmed_at = now - message.age_s
        was_confirmed_at = known.view.confirmed_at if known else -1.0
        ordered_at = now - (state.order.duration_s - message.left_s)
        changed = self._adopt(
            state, confirmed_at=confirmed_at, ordered_at=ordered_at
        )
        rollout = self._rollouts[state.order.service]
        if state.continues(rollout.state):
            rollout.ordered_at = min(rollout.ordered_at, ordered_at)
        # Each confirmation is passed on once.
        if changed or confirmed_at > was_confirmed_at + CONFIRM_S / 2:
            near = self._peers.near()
            fanout = NEAR_FANOUT if self._is_far(host) else PASS_ON_FANOUT
            chosen = random.sample(near, min(fanout, len(near)))
            self._announce(rollout, [p for p in chosen if p.view.alive])

    def handle_counts(self, payload: bytes, host: str) -> None:
        """Adds the counts of an owner if this node decides."""
        counts = decode_counts(payload)
        rollout = self._rollouts.get(counts.service)
        if rollout is None or rollout.ledger is None:
            return
        if counts.order_number != rollout.state.order.number:
            return
        peer = self._peers.get(host)
        data_centre = "" if peer is None else peer.record.data_centre
        rollout.ledger.apply(host, data_centre, counts, now=self._loop.time())

    def _adopt(
        self, state: RolloutState, *, confirmed_at: float, ordered_at: float
    ) -> bool:
        now = self._loop.time()
        service = state.order.service
        view = self.find_view(service)
        before = view.state
        changed = view.apply(state, confirmed_at=confirmed_at, now=now)
        if not changed:
            return False
        rollout = self._rollouts.get(service)
        if rollout is None:
            rollout = self._rollouts[service] = _Rollout(view, ordered_at)
        elif before is None or not state.continues(before):
            if before is None or not _is_same_order(state.order, before.order):
                rollout.ordered_at = ordered_at
            self._stop_deciding(rollout)
        if state.decider != self._own_record.host and state.decider:
            self._stop_deciding(rollout)
        self._record_state(rollout.state)
        if self._timer is None:
            self._tick()
        return True

    def _stop_deciding(self, rollout: _Rollout) -> None:
        rollout.ledger = None
        rollout.completing = False
        if rollout.task is not None:
            rollout.task.cancel()
            rollout.task = None

    def _record_state(self, state: RolloutState) -> None:
        service = {"service": state.order.service}
        share = 1.0 if state.closing else state.share
        if state.halted or state.phase is RolloutPhase.ROLLED_BACK:
            share = 0.0
        self._metrics.rollout_share.set(service, share)
        self._metrics.rollout_verdict.set(service, int(state.phase))
        self._log.state_change(
            "rollout-state",
            service=state.order.service,
            release=state.order.release,
            phase=state.phase.name.lower(),
            share=share,
            closing=state.closing,
            halted=state.halted,
            version=state.version,
            decider=state.decider,
        )

    # Periodic work while a roll-out runs.

    def _tick(self) -> None:
        self._timer = None
        if self._closed:
            return
        now = self._loop.time()
        active = closing = False
        for rollout in tuple(self._rollouts.values()):
            state = rollout.state
            if not state.running and (
                now - rollout.view.changed_at > VERDICT_ANNOUNCED_S
            ):
                continue
            active = True
            closing |= state.running and state.closing
            if (
                state.running
                and state.order.service == self._own_record.service
            ):
                self._send_counts(rollout)
            if self._decides(rollout):
                self._decide(rollout, now)
            elif rollout.task is None and self._may_take_over(rollout, now):
                rollout.task = self._loop.create_task(self._take_over(rollout))
        if active:
            tick_s = CLOSING_TICK_S if closing else TICK_S
            self._timer = self._loop.call_later(tick_s, self._tick)

    def _decides(self, rollout: _Rollout) -> bool:
        return rollout.ledger is not None and rollout.state.version > 0

    def _send_counts(self, rollout: _Rollout) -> None:
        state = rollout.state
        if not state.decider:
            return
        self._renew_counter(rollout)
        now = self._loop.time()
        release = self._target.release
        closing = state.closing and not state.halted
        closed = release in state.avoided or (
            closing and release not in ("", state.order.release)
        )
        ready = self._target.phase is TargetPhase.READY
        counts = OwnerCounts(
            state.order.service,
            state.order.number,
            release,
            self._series,
            self._owner.pending,
            closed,
            self._target.slots if ready else 0,
            self._target.is_cold(now=now),
            self._counter.snapshot(),
            {} if self._target.is_cold(now=now) else self._find_running(now),
        )
        own = self._own_record
        if state.decider != own.host:
            self._send(encode_counts(counts), state.decider)
        elif rollout.ledger is not None:
            rollout.ledger.apply(own.host, own.data_centre, counts, now=now)

    def _find_running(self, now: float) -> dict[str, tuple[int, ...]]:
        running: dict[str, list[int]] = {}
        for path, sent_at in self._owner.running():
            bucket = find_bucket(now - sent_at)
            running.setdefault(find_route(path), []).append(bucket)
        return {route: tuple(buckets) for route, buckets in running.items()}

    def _may_take_over(self, rollout: _Rollout, now: float) -> bool:
        if not self._is_reader():
            return False
        state = rollout.state
        if not state.running and state.version:
            return False
        service = state.order.service
        rank = self._find_rank(service)
        if not state.version:
            # Nobody is known to have begun; the first in order begins at once.
            wait_s = 0.0 if rank == 0 and rollout.fresh else TAKEOVER_S
        else:
            wait_s = TAKEOVER_S
        wait_s += min(MAX_RANK_WAIT_S, RANK_WAIT_S * rank)
        return now - rollout.view.confirmed_at >= wait_s

    def _find_rank(self, service: str) -> int:
        """Returns how many readers come first as decider, as far as known."""
        own = self._own_record
        above = {
            peer.record.data_centre
            for peer in self._peers.far()
            if peer.view.alive
            and peer.reaches_store
            and _score(service, peer.record.data_centre)
            > _score(service, own.data_centre)
        }
        rank = find_rank(own.host, self._peers.near())
        return rank + CONFIGURATION_READERS * len(above)

    # The decider.

    async def _take_over(self, rollout: _Rollout) -> None:
        """Becomes the decider by a conditional write of the status row."""
        backoff_s = FIRST_BACKOFF_S
        try:
            while self._may_take_over(rollout, self._loop.time()):
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
            rollout.task = None

    async def _try_take_over(self, rollout: _Rollout) -> None:
        before = rollout.state
        service = before.order.service
        row = await self._store.read_row(STATUS_TABLE, ROLLOUT_PREFIX + service)
        self._count("answered")
        stored = _decode_row(row)
        found_at = self._loop.time()
        if rollout.state != before:
            return
        plan = _make_plan(before, stored)
        state = attrs.evolve(
            before,
            era=max(before.era, self._store.era.newest),
            phase=plan.phase,
            share=plan.share,
            closing=plan.closing,
            avoided=plan.avoided,
            decider=self._own_record.host,
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

    def _become_decider(
        self, rollout: _Rollout, state: RolloutState, since: float
    ) -> None:
        rollout.row_version = state.version
        now = self._loop.time()
        if not rollout.view.apply(state, confirmed_at=now, now=now):
            return
        rollout.ledger = CountLedger(release=state.order.release)
        rollout.decides_since = since
        self._record_state(rollout.state)
        self._announce(rollout, self._select_all())

    async def _write(self, rollout: _Rollout, state: RolloutState) -> int:
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
                if stored.decider == self._own_record.host:
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
        self, rollout: _Rollout, row: StoredRow, stored: StoredPlan
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
            self._record_state(rollout.state)

    def _decide(self, rollout: _Rollout, now: float) -> None:
        if now - rollout.confirmed_at >= CONFIRM_S:
            rollout.view.confirmed_at = now
            self._announce(rollout, self._select_all())
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

    def _carry_out(
        self, rollout: _Rollout, plan: PlanInput, step: Step
    ) -> None:
        state = rollout.state
        match step:
            case Wait():
                return
            case Halt(reason=reason):
                self._log_step(plan, f"halt: {reason}")
                self._halt(rollout, reason)
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

    def _halt(self, rollout: _Rollout, reason: str) -> None:
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
            self._record_state(rollout.state)
            self._announce(rollout, self._select_all())

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

    def _start_write(self, rollout: _Rollout, after: RolloutState) -> None:
        rollout.task = self._loop.create_task(
            self._write_until_done(rollout, after)
        )

    async def _write_until_done(
        self, rollout: _Rollout, after: RolloutState
    ) -> None:
        backoff_s = FIRST_BACKOFF_S
        raises = after.running
        try:
            while self._decides(rollout):
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
                after = attrs.evolve(after, version=version)
                if rollout.view.apply(after, confirmed_at=now, now=now):
                    self._record_state(rollout.state)
                    self._announce(rollout, self._select_all())
                return
        finally:
            rollout.task = None
            rollout.completing = False

    def _make_input(
        self, rollout: _Rollout, ledger: CountLedger, now: float
    ) -> PlanInput:
        state = rollout.state
        duration_s = state.order.duration_s
        elapsed_s = now - rollout.ordered_at
        cold_too = elapsed_s > COLD_SHARE * duration_s
        new_slots = old_slots = exposed = 0
        for series in ledger.owners.values():
            counts = series.counts
            heard = now - series.heard_at < SILENT_S
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
        # The first counts that a decider gets are those of a longer time.
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
        self, rollout: _Rollout, ledger: CountLedger, now: float
    ) -> tuple[int, int, int]:
        """Returns the other targets, those not done, and the silent ones."""
        release = rollout.state.order.release
        targets = busy = silent = 0
        for owner in self._peers.owners(rollout.state.order.service):
            report = owner.report
            if report is None or report.release == release:
                continue
            if report.phase in (TargetPhase.UNKNOWN, TargetPhase.GONE):
                continue
            series = ledger.owners.get(owner.node)
            heard = series is not None and now - series.heard_at < SILENT_S
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

    # Announcements.

    def _announce(self, rollout: _Rollout, peers: list[Peer]) -> None:
        if self._decides(rollout):
            rollout.confirmed_at = self._loop.time()
        payload = self._encode(rollout)
        for peer in peers:
            self._send(payload, peer.record.host)

    def _encode(self, rollout: _Rollout) -> bytes:
        now = self._loop.time()
        state = rollout.state
        left_s = rollout.ordered_at + state.order.duration_s - now
        age_s = now - rollout.view.confirmed_at
        return encode_state(StateMessage(state, left_s, age_s))

    def _select_all(self) -> list[Peer]:
        """Returns near nodes and some of each other data centre."""
        near = [peer for peer in self._peers.near() if peer.view.alive]
        chosen = random.sample(near, min(NEAR_FANOUT, len(near)))
        groups: dict[str, list[Peer]] = {}
        for peer in self._peers.far():
            if peer.view.alive:
                groups.setdefault(peer.record.data_centre, []).append(peer)
        for group in groups.values():
            chosen += random.sample(group, min(FAR_FANOUT, len(group)))
        return chosen

    def _is_far(self, host: str) -> bool:
        peer = self._peers.get(host)
        return peer is not None and not peer.view.near

    def _count(self, outcome: str) -> None:
        self._metrics.store_calls.inc({"call": "rollout", "outcome": outcome})


def _score(service: str, data_centre: str) -> int:
    return zlib.crc32(f"{service} {data_centre}".encode())


def _is_same_order(order: RolloutOrder, other: RolloutOrder) -> bool:
    return attrs.evolve(order, number=0) == attrs.evolve(other, number=0)


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
