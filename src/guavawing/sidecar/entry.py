"""The entry side of a node: requests of the clients on its VM."""

import asyncio
from random import Random

import attrs

from guavawing.platform.headers import (
    CallerHead,
    build_answer,
    build_refusal,
    read_caller_head,
)
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.http_server import HttpRequest
from guavawing.sidecar.mesh_client import MeshClient, MeshTicket
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.owner import Owner
from guavawing.traffic.balancer import Balancer, OwnerView
from guavawing.traffic.budget import RetryAllowance
from guavawing.traffic.failures import FailureShare
from guavawing.traffic.model import Attempt, Outcome, Route
from guavawing.traffic.patience import Patience
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.routes import RouteTable
from guavawing.traffic.unserved import Step, next_step
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason

__all__ = ["Entry", "RetryTerms"]

NOT_FOUND = 404
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# Deadline of a request that gives none, in seconds.
DEFAULT_DEADLINE_S = 30.0
# When to come back while no configuration or no target is known, in seconds.
NO_CONFIG_RETRY_AFTER_S = 0.5
NO_TARGET_RETRY_AFTER_S = 0.5
# When to come back to a process that is about to end: its next one has
# started by then.
STOPPING_RETRY_AFTER_S = 1.0
# Part of a route's latency target that an answer may take at this node: the
# rest is for the way to the client and back.
USEFUL_SHARE = 0.9
# Part of the time to its deadline that the most urgent requests of a service
# may take instead: whoever sent them holds a slot meanwhile.
URGENT_SHARE = 0.6
# Owners that are asked for room for one request.
MAX_OWNERS_ASKED = 4
# Time after its deadline at which a request without an answer is given up, in
# seconds: targets answer at the deadline themselves.
DEADLINE_MARGIN_S = 0.15
SERVER_ERRORS = range(500, 600)


@attrs.frozen
class RetryTerms:
    """The retry budget that the fleet shares.

    Attributes:
        ratio: Retries that the fleet may make for each request.
        allowance: Retries beyond that in one window.
    """

    ratio: float
    allowance: float


class Entry:
    """Serves the requests of clients on this VM.

    Attributes:
        table: Routes in force; None until there is a configuration.
        closing: Whether requests are refused because the process ends.
    """

    def __init__(
        self,
        *,
        service: str,
        owner: Owner,
        own_view: OwnerView,
        peers: PeerTable,
        mesh: MeshClient,
        retries: RetryTerms,
        log: DecisionLog,
        metrics: SidecarMetrics,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.service = service
        self.owner = owner
        self.own_view = own_view
        self.peers = peers
        self.mesh = mesh
        self.log = log
        self.metrics = metrics
        self.balancer = Balancer(Random())
        self.table: RouteTable | None = None
        self.closing = False
        self._retries = retries
        self._allowances: dict[str, RetryAllowance] = {}
        self._patience = Patience()
        self.failures = FailureShare()

    def handle(self, request: HttpRequest) -> None:
        """Takes a whole request; its answer may follow later."""
        now = self.loop.time()
        head = read_caller_head(request.headers)
        if self.table is None:
            verdict = NotRun(Reason.NO_CONFIG, NO_CONFIG_RETRY_AFTER_S)
            self._refuse(request, head.request_id, verdict)
            return
        if self.closing:
            verdict = NotRun(Reason.STOPPING, STOPPING_RETRY_AFTER_S)
            self._refuse(request, head.request_id, verdict)
            return
        path = request.path.decode("latin-1")
        route = self.table.find(head.host, path)
        if route is None:
            self._refuse(
                request,
                head.request_id,
                NotRun(Reason.UNKNOWN_ROUTE),
                status=NOT_FOUND,
            )
            return
        attempt = self._make_attempt(request, head, route, self.table, now)
        self.allowance(attempt.service).earn()
        _Transfer(self, request, route, attempt, now).begin()

    def _make_attempt(
        self,
        request: HttpRequest,
        head: CallerHead,
        route: Route,
        table: RouteTable,
        now: float,
    ) -> Attempt:
        deadline_s = head.deadline_s
        if deadline_s is None:
            deadline_s = route.timeout_s or DEFAULT_DEADLINE_S
        limit_s = deadline_s
        if route.timeout_s is not None:
            limit_s = min(limit_s, route.timeout_s)
        spent_s = self._patience.estimate_spent_s(route.name, deadline_s)
        target_s = USEFUL_SHARE * route.latency_target_s
        useful_s = target_s - spent_s
        late = useful_s <= 0 and deadline_s > route.latency_target_s
        if table.is_most_urgent(route):
            useful_s = max(useful_s, URGENT_SHARE * limit_s)
        return Attempt(
            request_id=head.request_id,
            service=table.pick_service(route),
            origin=self.service,
            method=request.method,
            path=request.path,
            head=head.forwarded,
            body=request.body,
            deadline=now + limit_s,
            priority=route.priority,
            idempotent=route.idempotent,
            bulk=route.bulk,
            late=late,
            useful_until=now + useful_s,
            spare_only=False,
        )

    def allowance(self, service: str) -> RetryAllowance:
        """Returns this node's part of a service's retry budget."""
        allowance = self._allowances.get(service)
        if allowance is None:
            allowance = self._allowances[service] = RetryAllowance(
                ratio=self._retries.ratio,
                allowance=self._retries.allowance,
                nodes=len(self.peers) + 1,
            )
        return allowance

    def resize_allowances(self) -> None:
        """Takes that the number of nodes has changed."""
        for allowance in self._allowances.values():
            allowance.resize(
                allowance=self._retries.allowance, nodes=len(self.peers) + 1
            )

    def _refuse(
        self,
        request: HttpRequest,
        request_id: bytes,
        verdict: NotRun,
        *,
        status: int = UNAVAILABLE,
    ) -> None:
        closes = not request.conn.keeps_open(refused=True)
        payload = build_refusal(
            status,
            request_id,
            retry_after_s=verdict.retry_after_s,
            reason=verdict.reason.value,
            closes=closes,
        )
        request.conn.respond(payload, closes=closes)
        self.metrics.count_answer(verdict)
        self.log.request(
            "request-refused",
            request_id,
            notable=True,
            reason=verdict.reason,
            version=0 if self.table is None else self.table.routing.version,
        )


class _Transfer:
    """One request from its arrival to its answer."""

    __slots__ = (
        "_asked",
        "_asked_at",
        "_attempt",
        "_entry",
        "_fallback",
        "_item",
        "_owner",
        "_refusal",
        "_request",
        "_retry_after_s",
        "_route",
        "_sent",
        "_started_at",
        "_ticket",
        "_timer",
    )

    def __init__(
        self,
        entry: Entry,
        request: HttpRequest,
        route: Route,
        attempt: Attempt,
        now: float,
    ) -> None:
        self._entry = entry
        self._request = request
        self._route = route
        self._attempt = attempt
        self._started_at = now
        # Owners that have been asked, and attempts that reached a target.
        self._asked: list[str] = []
        self._asked_at = now
        self._sent = 0
        # Last refusal by an owner or a target.
        self._refusal: NotRun | None = None
        self._retry_after_s: float | None = None
        self._owner: OwnerView | None = None
        self._item = 0
        self._ticket: MeshTicket | None = None
        # Answer of a target that is given if no other attempt brings one.
        self._fallback: Outcome | None = None
        self._timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Asks the first owner."""
        entry = self._entry
        self._request.on_gone = self._take_gone
        self._timer = entry.loop.call_at(
            self._attempt.deadline + DEADLINE_MARGIN_S, self._take_deadline
        )
        self._ask()

    def _ask(self) -> None:
        entry, attempt = self._entry, self._attempt
        now = entry.loop.time()
        entry.own_view.take_report(entry.owner.load(), now=now)
        choice = entry.balancer.choose(
            entry.peers.owners(attempt.service),
            route=self._route.name,
            bulk=attempt.bulk,
            useful_s=attempt.useful_until - now,
            excluded=self._asked,
            now=now,
        )
        if choice is None:
            self._give_up()
            return
        owner = choice.owner
        if choice.spare_only:
            attempt = attrs.evolve(attempt, spare_only=True)
        if entry.log.samples(attempt.request_id):
            entry.log.request(
                "request-sent",
                attempt.request_id,
                notable=False,
                owner=owner.node,
                load=str(owner.report),
                load_age_s=round(now - owner.reported_at, 3),
            )
        self._asked.append(owner.node)
        self._owner = owner
        self._asked_at = now
        owner.outstanding += 1
        if owner.local:
            self._ticket = None
            self._item = 0
            self._item = entry.owner.submit(
                attempt, self._take_outcome, local=True
            )
            return
        peer = entry.peers.get(owner.node)
        assert peer is not None
        self._ticket = entry.mesh.submit(
            owner.node, peer.record.mesh_port, attempt, self._take_outcome
        )

    def _take_outcome(self, outcome: Outcome) -> None:
        owner = self._owner
        assert owner is not None
        self._owner = None
        owner.outstanding -= 1
        now = self._entry.loop.time()
        if not owner.local:
            transit_s = now - self._asked_at - outcome.held_s
            owner.take_transit(
                max(0.0, transit_s), bulk=self._attempt.bulk, now=now
            )
        verdict = outcome.verdict
        failed = outcome.status in SERVER_ERRORS
        entry_failures = self._entry.failures
        if isinstance(verdict, Ran):
            entry_failures.observe(self._attempt.service, failed=failed)
        match verdict:
            case Ran() if not failed:
                owner.take_success()
                self._deliver(outcome)
                return
            case Ran():
                self._fallback = outcome
                self._sent += 1
            case MayHaveRun():
                owner.take_failure(now=now)
                self._sent += 1
            case NotRun(reason=Reason.TARGET_SHED):
                owner.take_failure(now=now)
                self._sent += 1
                self._note_refusal(verdict)
            case NotRun(reason=Reason.QUEUE_FULL):
                owner.take_refusal(verdict.retry_after_s or 0.0, now=now)
                self._note_refusal(verdict)
            case NotRun():
                self._note_refusal(verdict)
        step = next_step(
            verdict,
            common=entry_failures.are_common(self._attempt.service),
            idempotent=self._attempt.idempotent,
            sent=self._sent,
            max_sent=self._route.max_attempts,
            asked=len(self._asked),
            max_asked=MAX_OWNERS_ASKED,
            left_s=self._attempt.deadline - now,
        )
        match step:
            case Step.ASK_ANOTHER:
                self._ask()
            case Step.RETRY:
                self._retry(verdict)
            case Step.GIVE_UP:
                self._give_up(verdict)

    def _note_refusal(self, verdict: NotRun) -> None:
        self._refusal = verdict
        retry_after_s = verdict.retry_after_s
        if retry_after_s:
            known = self._retry_after_s
            self._retry_after_s = (
                retry_after_s if known is None else min(known, retry_after_s)
            )

    def _retry(self, verdict: NotRun | MayHaveRun | Ran) -> None:
        """Sends the request to a second target if the budget allows it."""
        entry = self._entry
        if not entry.allowance(self._attempt.service).spend():
            self._give_up(verdict)
            return
        entry.metrics.count_retry(verdict.reason)
        entry.log.request(
            "request-retried",
            self._attempt.request_id,
            notable=True,
            reason=verdict.reason,
            sent=self._sent,
        )
        self._ask()

    def _give_up(
        self, verdict: NotRun | MayHaveRun | Ran | None = None
    ) -> None:
        """Answers with the best that is known."""
        if self._fallback is not None:
            self._deliver(self._fallback)
            return
        if verdict is None or isinstance(verdict, Ran):
            verdict = self._refusal or NotRun(Reason.NO_TARGET)
        match verdict:
            case MayHaveRun(reason=Reason.TARGET_TIMEOUT):
                self._refuse(GATEWAY_TIMEOUT, verdict, None)
            case MayHaveRun():
                self._refuse(BAD_GATEWAY, verdict, None)
            case NotRun(reason=Reason.DEADLINE_PASSED):
                self._refuse(GATEWAY_TIMEOUT, verdict, None)
            case NotRun():
                retry_after_s = self._retry_after_s or NO_TARGET_RETRY_AFTER_S
                self._refuse(UNAVAILABLE, verdict, retry_after_s)

    def _deliver(self, outcome: Outcome) -> None:
        """Answers with a target's answer."""
        conn = self._request.conn
        closes = not conn.keeps_open()
        payload = build_answer(
            outcome.status, outcome.head, outcome.body, closes=closes
        )
        self._end(outcome.verdict, outcome.status)
        conn.respond(payload, closes=closes)
        size = len(outcome.body) + len(self._attempt.body)
        self._entry.balancer.observe_size(self._route.name, size)

    def _refuse(
        self,
        status: int,
        verdict: NotRun | MayHaveRun,
        retry_after_s: float | None,
    ) -> None:
        conn = self._request.conn
        closes = not conn.keeps_open(refused=True)
        payload = build_refusal(
            status,
            self._attempt.request_id,
            retry_after_s=retry_after_s,
            reason=verdict.reason.value,
            closes=closes,
        )
        self._end(verdict, status)
        conn.respond(payload, closes=closes)

    def _end(self, verdict: NotRun | MayHaveRun | Ran, status: int) -> None:
        self._request.on_gone = None
        if self._timer is not None:
            self._timer.cancel()
        entry = self._entry
        elapsed_s = entry.loop.time() - self._started_at
        entry.metrics.count_answer(verdict)
        entry.metrics.observe_entry(elapsed_s)
        slow = elapsed_s > self._route.latency_target_s
        notable = slow or status >= SERVER_ERRORS.start
        if notable or entry.log.samples(self._attempt.request_id):
            assert entry.table is not None
            entry.log.request(
                "request-answered",
                self._attempt.request_id,
                notable=notable,
                status=status,
                reason=verdict.reason,
                route=self._route.name,
                version=entry.table.routing.version,
                owners=",".join(self._asked),
                sent=self._sent,
                elapsed_ms=round(elapsed_s * 1000, 1),
                left_ms=round(
                    (self._attempt.deadline - entry.loop.time()) * 1000, 1
                ),
            )

    def _take_gone(self) -> None:
        """Takes that the client went away."""
        if self._timer is not None:
            self._timer.cancel()
        self._cancel_attempt()
        self._entry.metrics.count_answer(MayHaveRun(Reason.CANCELLED))

    def _take_deadline(self) -> None:
        """Takes that the time of the request is over."""
        owner = self._owner
        if owner is not None:
            owner.take_failure(now=self._entry.loop.time())
        self._cancel_attempt()
        self._refuse(GATEWAY_TIMEOUT, MayHaveRun(Reason.DEADLINE_PASSED), None)

    def _cancel_attempt(self) -> None:
        owner, self._owner = self._owner, None
        if owner is None:
            return
        owner.outstanding -= 1
        if self._ticket is not None:
            self._entry.mesh.cancel(self._ticket)
        elif owner.local:
            self._entry.owner.cancel(self._item)
