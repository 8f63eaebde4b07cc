"""Routing and retries of one client request at its entry node."""

import asyncio
from collections.abc import Callable, Collection, Sequence
from random import Random

import attrs

from guavawing.platform.headers import build_answer, build_refusal
from guavawing.sidecar.body_sender import has_large_body
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.http_request import HttpRequest
from guavawing.sidecar.mesh_client import MeshClient, RemoteAttempt
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.owner import Owner
from guavawing.traffic.balancer import Balancer, Choice
from guavawing.traffic.budget import RetryBudget
from guavawing.traffic.durations import Durations
from guavawing.traffic.failures import FailureShare
from guavawing.traffic.model import Attempt, Outcome, Route
from guavawing.traffic.neighbours import find_last_heard
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.rollout_state import Group, RolloutView
from guavawing.traffic.unserved import Step, combine_verdicts, next_step
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason

__all__ = ["STOPPING_RETRY_AFTER_S", "ClientCall", "EntryParts"]

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
MS_PER_S = 1000
# Retry-After in seconds of a refusal without a better estimate.
NO_TARGET_RETRY_AFTER_S = 0.5
# Retry-After in seconds of a process that stops; its successor starts within
# that time.
STOPPING_RETRY_AFTER_S = 1.0
# Shortest Retry-After in seconds while rate limits are used up.
MIN_RETRY_AFTER_S = 0.04
# Maximum number of owners that a request is sent to.
MAX_OWNERS_TRIED = 4
# Time after its deadline at which an unanswered request is answered with a
# timeout, in seconds: targets send their own timeout answers at the deadline.
DEADLINE_MARGIN_S = 0.15
SERVER_ERRORS = range(500, 600)


@attrs.frozen
class EntryParts:
    """Components shared by the requests of one entry node.

    Attributes:
        loop: The event loop.
        owner: Owner of the target on this VM.
        own_view: The balancer's view of that owner.
        peers: The other nodes.
        mesh: Connections to them.
        balancer: Selects owners.
        failures: Share of failed answers by service.
        durations: Times from the choice of an owner to its answer, by route.
        budget: This node's share of the retry budgets.
        version: Returns the configuration version in force.
        find_rollout: Returns what is known of the roll-outs of a service; None
            if the deployment has none.
        rng: Draws the requests that a new release gets.
        log: Receives decisions.
        metrics: Counts answers and retries.
        open_calls: Requests that have begun and are not answered yet.
    """

    loop: asyncio.AbstractEventLoop
    owner: Owner
    own_view: OwnerView
    peers: PeerTable
    mesh: MeshClient
    balancer: Balancer
    failures: FailureShare
    durations: Durations
    budget: RetryBudget
    version: Callable[[], int]
    log: DecisionLog
    metrics: SidecarMetrics
    find_rollout: Callable[[str], RolloutView] | None = None
    rng: Random = attrs.field(factory=Random)
    open_calls: "set[ClientCall]" = attrs.field(factory=set)


class ClientCall:
    """One client request, from its arrival to its answer."""

    __slots__ = (
        "_attempt",
        "_attempt_id",
        "_draw",
        "_fallback",
        "_group",
        "_new_failed",
        "_on_not_run",
        "_on_trial",
        "_owner",
        "_parts",
        "_passed_on",
        "_refusal",
        "_remote",
        "_request",
        "_retry_after_s",
        "_route",
        "_sent",
        "_started_at",
        "_timer",
        "_tried",
        "_tried_at",
        "_unknown_outcome",
        "_urgent",
    )

    def __init__(
        self,
        parts: EntryParts,
        request: HttpRequest,
        route: Route,
        attempt: Attempt,
        *,
        urgent: bool,
        on_not_run: Callable[[], None] | None = None,
    ) -> None:
        """Creates a call that has not started.

        Args:
            parts: Components shared by the requests of this node.
            request: The client's request.
            route: Its route.
            attempt: The attempt to submit to owners.
            urgent: Whether the route has the highest priority of its service.
            on_not_run: Called if it is refused and has not run.
        """
        self._parts = parts
        self._on_not_run = on_not_run
        self._urgent = urgent
        self._request = request
        self._route = route
        self._attempt = attempt
        self._started_at = request.arrived_at
        # Owners that have been tried, and number of attempts that may have
        # reached a target.
        self._tried: list[str] = []
        self._tried_at = request.arrived_at
        self._sent = 0
        # Whether an owner has passed the request on.
        self._passed_on = False
        # Verdict of the last attempt that may have run.
        self._unknown_outcome: MayHaveRun | None = None
        # Last refusal by an owner or a target.
        self._refusal: NotRun | None = None
        self._retry_after_s: float | None = None
        self._owner: OwnerView | None = None
        self._attempt_id = 0
        self._remote: RemoteAttempt | None = None
        # Server error of a target, returned if no retry succeeds.
        self._fallback: Outcome | None = None
        self._timer: asyncio.TimerHandle | None = None
        # Targets that the current attempt may use during a roll-out, and
        # whether one of the new release has not served the request.
        self._group = Group.ANY
        self._new_failed = False
        self._draw = parts.rng.random()
        # Whether it is at a new release that gets a share: its failures say
        # nothing of the old one.
        self._on_trial = False

    def begin(self) -> None:
        """Submits the attempt to the first owner."""
        parts = self._parts
        parts.open_calls.add(self)
        self._request.on_disconnect = self._handle_disconnect
        self._timer = parts.loop.call_at(
            self._attempt.deadline + DEADLINE_MARGIN_S, self.end
        )
        self._try_owner()

    def _try_owner(
        self, *, allow_repeat: bool = False, passed_to: str = ""
    ) -> None:
        """Submits the attempt to an owner.

        Args:
            allow_repeat: Whether an owner that was already tried may be chosen
                if there is no other.
            passed_to: Node of the owner that the last one has named, if any.
        """
        parts, attempt = self._parts, self._attempt
        now = parts.loop.time()
        parts.own_view.apply_own_report(
            parts.owner.load(), free=parts.owner.has_unoffered_slot(), now=now
        )
        choice = None
        # Owners don't know which releases a roll-out allows to the request.
        if passed_to and self._group is Group.ANY:
            choice = parts.balancer.choose_named(
                parts.peers.owners(attempt.service),
                passed_to,
                excluded=self._tried,
                now=now,
            )
        if choice is None:
            choice = self._choose(now, excluded=self._tried)
        if choice is None and allow_repeat:
            choice = self._choose(now, excluded=())
        if choice is not None and not (
            self._can_finish(choice, now) and self._can_send(choice, now)
        ):
            choice = None
        if choice is None:
            self._record_limits(now)
            self._give_up()
            return
        owner = choice.owner
        if choice.spare_only:
            attempt = attrs.evolve(attempt, spare_only=True)
        if self._group is not Group.ANY and owner.report is not None:
            attempt = attrs.evolve(attempt, release=owner.report.release)
        if parts.log.is_sampled(attempt.request_id):
            parts.log.request(
                "request-sent",
                attempt.request_id,
                notable=False,
                owner=owner.node,
                load=str(owner.report),
                load_age_s=round(now - owner.reported_at, 3),
                offered=owner.offers.has(now=now),
            )
        neighbour = None
        # A large body takes longer to send again than most waits are.
        if not (passed_to or self._passed_on or attempt.bulk_body):
            neighbour = find_last_heard(
                parts.peers.owners(attempt.service), owner, now=now
            )
        self._passed_on = self._passed_on or bool(passed_to)
        self._tried.append(owner.node)
        self._owner = owner
        self._tried_at = now
        if not owner.local and owner.offers.has(now=now):
            parts.metrics.slot_offers.inc({"event": "used"})
        owner.record_sent(now=now)
        if owner.local:
            self._remote = None
            self._attempt_id = 0
            self._attempt_id = parts.owner.submit(
                attempt,
                self._handle_outcome,
                local=True,
                neighbour=neighbour,
            )
            return
        peer = parts.peers.get(owner.node)
        assert peer is not None
        self._remote = parts.mesh.submit(
            owner.node,
            peer.record.mesh_port,
            attempt,
            self._handle_outcome,
            neighbour=neighbour,
        )

    def _choose(self, now: float, *, excluded: Sequence[str]) -> Choice | None:
        parts, attempt = self._parts, self._attempt
        owners = parts.peers.owners(attempt.service)
        if parts.find_rollout is None:
            return self._choose_among(owners, now, excluded=excluded)
        rollout = parts.find_rollout(attempt.service)
        groups = rollout.pick_groups(
            self._draw, failed_new=self._new_failed, now=now
        )
        for group in groups:
            choice = self._choose_among(
                rollout.select(owners, group, now=now), now, excluded=excluded
            )
            self._group = group
            self._on_trial = group is Group.NEW and Group.OLD in groups
            if choice is not None:
                return choice
        return None

    def _choose_among(
        self,
        owners: Collection[OwnerView],
        now: float,
        *,
        excluded: Sequence[str],
    ) -> Choice | None:
        parts, attempt = self._parts, self._attempt
        return parts.balancer.choose(
            owners,
            route=self._route.name,
            kind=attempt.kind,
            bulk=attempt.bulk,
            useful_s=attempt.useful_until - now,
            excluded=excluded,
            now=now,
            send_s=self._find_send_s(),
        )

    def _can_finish(self, choice: Choice, now: float) -> bool:
        """Returns whether an attempt can end before this process does."""
        process_end = self._parts.owner.process_end
        if not process_end.clients_informed:
            # Spares the estimate of the wait.
            return True
        owner, attempt = choice.owner, self._attempt
        kind_s = owner.report.kind_s if owner.report is not None else {}
        if process_end.can_finish(
            now=now,
            wait_s=owner.estimate_wait_s(now=now),
            service_s=kind_s.get(attempt.kind),
            longest_s=self._parts.durations.find_longest_s(self._route.name),
            idempotent=attempt.idempotent,
            deadline=attempt.deadline,
        ):
            return True
        self._record_refusal(NotRun(Reason.STOPPING, STOPPING_RETRY_AFTER_S))
        return False

    def _can_send(self, choice: Choice, now: float) -> bool:
        """Returns whether the link can send a large body in time."""
        send_s = self._find_send_s()
        late_s = now + send_s - self._attempt.deadline
        if choice.owner.local or not send_s or late_s <= 0:
            return True
        self._record_refusal(NotRun(Reason.QUEUE_FULL, late_s))
        return False

    def _find_send_s(self) -> float:
        """Returns the time until the link has sent a large body, in seconds.

        It is 0 for other requests.
        """
        if not has_large_body(self._attempt):
            return 0.0
        pacer = self._parts.owner.pacer
        return pacer.wait_s() + len(self._attempt.body) / pacer.bytes_per_s

    def _handle_outcome(self, outcome: Outcome) -> None:
        owner = self._owner
        assert owner is not None
        self._owner = None
        owner.outstanding -= 1
        now = self._parts.loop.time()
        if not owner.local and not has_large_body(self._attempt):
            transit_s = now - self._tried_at - outcome.held_s
            owner.observe_transit(
                max(0.0, transit_s), bulk=self._attempt.bulk, now=now
            )
        verdict = outcome.verdict
        self._new_failed |= self._group is Group.NEW
        failed = outcome.status in SERVER_ERRORS
        failures = self._parts.failures
        if isinstance(verdict, Ran):
            taken_s = now - self._tried_at
            self._parts.durations.observe(self._route.name, taken_s)
            if not self._on_trial:
                failures.observe(self._attempt.service, failed=failed)
        match verdict:
            case Ran() if not failed:
                owner.record_success()
                self._deliver(outcome)
                return
            case Ran():
                self._fallback = outcome
                self._sent += 1
            case MayHaveRun():
                owner.record_failure(now=now)
                self._sent += 1
                self._unknown_outcome = verdict
            case NotRun(reason=Reason.TARGET_SHED):
                owner.record_failure(now=now)
                self._sent += 1
                self._record_refusal(verdict)
            case NotRun(reason=Reason.QUEUE_FULL):
                owner.record_refusal(verdict.retry_after_s or 0.0, now=now)
                self._record_refusal(verdict)
            case NotRun():
                self._record_refusal(verdict)
        step = next_step(
            verdict,
            common=not self._on_trial
            and failures.are_common(self._attempt.service),
            idempotent=self._attempt.idempotent,
            sent=self._sent,
            max_sent=self._route.max_attempts,
            asked=len(self._tried),
            max_asked=MAX_OWNERS_TRIED,
            left_s=self._attempt.deadline - now,
        )
        match step:
            case Step.ASK_ANOTHER:
                self._try_owner(passed_to=outcome.passed_to)
            case Step.RETRY:
                self._retry(verdict)
            case Step.GIVE_UP:
                self._give_up(verdict)

    def _record_refusal(self, verdict: NotRun) -> None:
        self._refusal = verdict
        retry_after_s = verdict.retry_after_s
        if retry_after_s:
            known = self._retry_after_s
            self._retry_after_s = (
                retry_after_s if known is None else min(known, retry_after_s)
            )

    def _record_limits(self, now: float) -> None:
        """Records when the rate limits of targets allow a request."""
        parts = self._parts
        wait_s = parts.balancer.find_limit_wait_s(
            parts.peers.owners(self._attempt.service), now=now
        )
        if wait_s is not None and self._refusal is None:
            wait_s = max(wait_s, MIN_RETRY_AFTER_S)
            self._record_refusal(NotRun(Reason.RATE_LIMITED, wait_s))

    def _retry(self, verdict: NotRun | MayHaveRun | Ran) -> None:
        """Retries the request if the budget allows it."""
        parts = self._parts
        if not parts.budget.spend(
            self._attempt.service, urgent=self._urgent, now=parts.loop.time()
        ):
            self._give_up(verdict)
            return
        parts.metrics.count_retry(verdict.reason)
        parts.log.request(
            "request-retried",
            self._attempt.request_id,
            notable=True,
            reason=verdict.reason,
            sent=self._sent,
        )
        # A target that has aborted one answer may complete the next one.
        self._try_owner(allow_repeat=isinstance(verdict, MayHaveRun))

    def _give_up(
        self, verdict: NotRun | MayHaveRun | Ran | None = None
    ) -> None:
        """Answers with the fallback or with a refusal."""
        if self._fallback is not None:
            self._deliver(self._fallback)
            return
        if verdict is None or isinstance(verdict, Ran):
            verdict = self._refusal or NotRun(Reason.NO_TARGET)
        verdict = combine_verdicts(
            verdict, unknown_outcome=self._unknown_outcome
        )
        match verdict:
            case MayHaveRun(reason=Reason.TARGET_TIMEOUT):
                self._refuse(GATEWAY_TIMEOUT, verdict, None)
            case MayHaveRun():
                self._refuse(BAD_GATEWAY, verdict, None)
            case NotRun():
                retry_after_s = self._retry_after_s or NO_TARGET_RETRY_AFTER_S
                self._refuse(UNAVAILABLE, verdict, retry_after_s)

    def _deliver(self, outcome: Outcome) -> None:
        """Sends a target's answer to the client."""
        closes = not self._request.keeps_open()
        payload = build_answer(
            outcome.status, outcome.head, outcome.body, closes=closes
        )
        self._end(outcome.verdict, outcome.status)
        self._request.respond(payload, closes=closes)
        size = len(outcome.body) + len(self._attempt.body)
        self._parts.balancer.observe_size(self._route.name, size)

    def _refuse(
        self,
        status: int,
        verdict: NotRun | MayHaveRun,
        retry_after_s: float | None,
    ) -> None:
        closes = not self._request.keeps_open(refused=True)
        payload = build_refusal(
            status,
            self._attempt.request_id,
            retry_after_s=retry_after_s,
            reason=verdict.reason.value,
            closes=closes,
        )
        self._end(verdict, status)
        self._request.respond(payload, closes=closes)
        if isinstance(verdict, NotRun) and self._on_not_run is not None:
            self._on_not_run()

    def _end(self, verdict: NotRun | MayHaveRun | Ran, status: int) -> None:
        self._request.on_disconnect = None
        if self._timer is not None:
            self._timer.cancel()
        parts = self._parts
        parts.open_calls.discard(self)
        elapsed_s = parts.loop.time() - self._started_at
        parts.metrics.count_answer(verdict)
        parts.metrics.observe_entry(elapsed_s)
        slow = elapsed_s > self._route.latency_target_s
        notable = slow or status >= SERVER_ERRORS.start
        if notable or parts.log.is_sampled(self._attempt.request_id):
            parts.log.request(
                "request-answered",
                self._attempt.request_id,
                notable=notable,
                status=status,
                reason=verdict.reason,
                route=self._route.name,
                version=parts.version(),
                owners=",".join(self._tried),
                sent=self._sent,
                elapsed_ms=round(elapsed_s * MS_PER_S, 1),
                left_ms=round(
                    (self._attempt.deadline - parts.loop.time()) * 1000, 1
                ),
            )

    def _handle_disconnect(self) -> None:
        """Cancels the attempt after the client has disconnected."""
        self._parts.open_calls.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        self._cancel_attempt()
        self._parts.metrics.count_answer(MayHaveRun(Reason.CANCELLED))

    def end(self) -> None:
        """Cancels the attempt at the deadline and answers with a timeout.

        It is called earlier if the process ends before.
        """
        owner = self._owner
        if owner is not None:
            owner.record_failure(now=self._parts.loop.time())
        unsent = self._cancel_attempt()
        if unsent and not self._sent:
            self._give_up(NotRun(Reason.DEADLINE_PASSED))
            return
        self._refuse(GATEWAY_TIMEOUT, MayHaveRun(Reason.DEADLINE_PASSED), None)

    def _cancel_attempt(self) -> bool:
        """Cancels the attempt; returns whether no target can receive it."""
        owner, self._owner = self._owner, None
        if owner is None:
            return False
        owner.outstanding -= 1
        if self._remote is not None:
            return self._parts.mesh.cancel(self._remote)
        return owner.local and self._parts.owner.cancel(self._attempt_id)
