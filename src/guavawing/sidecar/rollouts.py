"""Roll-outs at this node: orders, announced states, counts and decisions.

Any node holds the state of the roll-outs that it has heard of; an owner sends
its counts to the decider; and a node that follows the store may become decider.
`docs/design/rollouts.md` describes the protocol.
"""

import asyncio
import math
import random
import zlib
from collections.abc import Callable

import attrs

from guavawing.errors import MessageInvalidError
from guavawing.platform.rollouts import ROLLOUT_PREFIX, decode_order
from guavawing.platform.settings import RolloutTerms
from guavawing.platform.store_client import (
    RowChanges,
    StoreClient,
    StoredRow,
)
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.outcome_reports import OutcomeReports
from guavawing.sidecar.owner import Owner
from guavawing.sidecar.rollout_decider import CONFIRM_S, Decider, Rollout
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
)
from guavawing.traffic.peers import Peer, PeerTable
from guavawing.traffic.readers import CONFIGURATION_READERS, find_rank
from guavawing.traffic.rollout_counts import find_counts_period_s
from guavawing.traffic.rollout_state import (
    RolloutPhase,
    RolloutState,
    RolloutView,
)
from guavawing.traffic.target_state import TargetState

__all__ = ["Rollouts"]

# Interval at which owners send counts and the decider decides, in seconds.
TICK_S = 0.25
# The same while the new release gets everything for the first time.
CLOSING_TICK_S = 0.1
# Time for which a verdict is announced again, in seconds.
VERDICT_ANNOUNCED_S = 10.0
# Silence of the decider after which a reader of the store takes its place, and
# further wait for each reader that comes first in order, in seconds.
TAKEOVER_S = 1.2
RANK_WAIT_S = 0.25
MAX_RANK_WAIT_S = 1.0
# Nodes to which an announcement is passed on: of this data centre by the
# decider, of each other one, and by nodes that have heard it.
NEAR_FANOUT = 40
FAR_FANOUT = 2
PASS_ON_FANOUT = 3


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
        self._peers = peers
        self._target = target
        self._send = send
        self._is_reader = is_reader
        self._log = log
        self._metrics = metrics
        self._rollouts: dict[str, Rollout] = {}
        self._views: dict[str, RolloutView] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._reports = OutcomeReports(owner, target)
        self._decider = Decider(
            terms,
            host=own_record.host,
            store=store,
            peers=peers,
            may_take_over=self._may_take_over,
            on_state=self._record_state,
            announce=lambda rollout: self._announce(
                rollout, self._select_all()
            ),
            log=log,
            metrics=metrics,
        )
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
        if rollout is not None and rollout.state.running:
            self._reports.observe(
                rollout.state, attempt, outcome, seconds, now=self._loop.time()
            )

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
            found, held = (era, order.number), (before.era, before.order.number)
            if found == held:
                # Another node announced it before this one read it.
                known.fresh = known.fresh or fresh
            if found <= held:
                return
            if era > before.era and _is_same_order(order, before.order):
                # The store was restored from a copy that has the order.
                state = attrs.evolve(before, order=order, era=era, version=0)
            else:
                avoided = set(before.avoided)
                if before.phase is not RolloutPhase.COMPLETED:
                    avoided.add(before.order.release)
                avoided.discard(order.release)
                state = attrs.evolve(state, avoided=tuple(sorted(avoided)))
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
        if known.state.closing and not self._decider.decides(known):
            # The decider may be writing the completion.
            return
        self._log.state_change("rollout-withdrawn", service=service)
        self._decider.halt(known, "withdrawn")

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
            rollout = self._rollouts[service] = Rollout(view, ordered_at)
        elif before is None or not state.continues(before):
            # The same order with another number is the known one only if the
            # store was restored meanwhile; else it was given again.
            if (
                before is None
                or state.era == before.era
                or not _is_same_order(state.order, before.order)
            ):
                rollout.ordered_at = ordered_at
            self._decider.stop(rollout)
        if state.decider != self._own_record.host and state.decider:
            self._decider.stop(rollout)
        self._record_state(rollout.state)
        if self._timer is None:
            self._tick()
        return True

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
        # Scheduled first, so that an error does not end the ticks.
        self._timer = self._loop.call_later(TICK_S, self._tick)
        active = closing = False
        for rollout in tuple(self._rollouts.values()):
            state = rollout.state
            if now - rollout.view.changed_at > _find_active_s(rollout):
                continue
            active = True
            closing |= state.running and state.closing
            if (
                state.running
                and state.order.service == self._own_record.service
            ):
                self._send_counts(rollout)
            if self._decider.decides(rollout):
                self._decider.decide(rollout, now)
            elif rollout.task is None and self._may_take_over(rollout):
                rollout.task = self._loop.create_task(
                    self._decider.take_over(rollout)
                )
        if not active:
            self._timer.cancel()
            self._timer = None
        elif closing:
            self._timer.cancel()
            self._timer = self._loop.call_later(CLOSING_TICK_S, self._tick)

    def _send_counts(self, rollout: Rollout) -> None:
        state, own = rollout.state, self._own_record
        if not state.decider:
            return
        now = self._loop.time()
        owners = len(self._peers.owners(state.order.service))
        if now - rollout.counted_at < find_counts_period_s(owners):
            return
        rollout.counted_at = now
        counts = self._reports.make_counts(state, now=now)
        if state.decider != own.host:
            self._send(encode_counts(counts), state.decider)
        elif rollout.ledger is not None:
            rollout.ledger.apply(own.host, own.data_centre, counts, now=now)

    def _may_take_over(self, rollout: Rollout) -> bool:
        state = rollout.state
        if not state.running and state.version:
            return False
        # If nobody has begun, the first in order begins at once.
        begun = state.version or not rollout.fresh
        silent_s = self._loop.time() - rollout.view.confirmed_at
        if (begun and silent_s < TAKEOVER_S) or not self._is_reader():
            return False
        rank = self._find_rank(state.order.service)
        wait_s = TAKEOVER_S if begun or rank else 0.0
        return silent_s >= wait_s + min(MAX_RANK_WAIT_S, RANK_WAIT_S * rank)

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

    # Announcements.

    def _announce(self, rollout: Rollout, peers: list[Peer]) -> None:
        if self._decider.decides(rollout):
            rollout.confirmed_at = self._loop.time()
        payload = self._encode(rollout)
        for peer in peers:
            self._send(payload, peer.record.host)

    def _encode(self, rollout: Rollout) -> bytes:
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


def _find_active_s(rollout: Rollout) -> float:
    """Returns the time after its last change in which a roll-out is active."""
    state = rollout.state
    if not state.running:
        return VERDICT_ANNOUNCED_S
    if rollout.view.binding:
        return math.inf
    # An order that was found at the start; it has probably ended.
    return max(VERDICT_ANNOUNCED_S, state.order.duration_s)


def _score(service: str, data_centre: str) -> int:
    return zlib.crc32(f"{service} {data_centre}".encode())


def _is_same_order(order: RolloutOrder, other: RolloutOrder) -> bool:
    return attrs.evolve(order, number=0) == attrs.evolve(other, number=0)
