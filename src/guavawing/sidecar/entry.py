"""Entry role of a node: requests of clients on its VM."""

import asyncio
import functools
import math
from collections.abc import Callable
from random import Random

import attrs

from guavawing.platform.headers import (
    RequestHead,
    build_refusal,
    parse_request_head,
)
from guavawing.sidecar.client_call import (
    STOPPING_RETRY_AFTER_S,
    ClientCall,
    EntryParts,
)
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.freshness import Freshness
from guavawing.sidecar.held_body import HeldBody
from guavawing.sidecar.http_request import HttpRequest
from guavawing.sidecar.mesh_client import MeshClient
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.owner import Owner
from guavawing.sidecar.quotas import (
    OverQuota,
    QuotaDecision,
    Quotas,
    Token,
    Unanswered,
)
from guavawing.sidecar.request_reader import RawHeaders
from guavawing.traffic.accounts import AccountTable
from guavawing.traffic.balancer import Balancer
from guavawing.traffic.budget import RetryBudget
from guavawing.traffic.client_wait import ClientWaitEstimator
from guavawing.traffic.durations import Durations
from guavawing.traffic.failures import FailureShare
from guavawing.traffic.model import NO_ACCOUNT, Attempt, ClientAccount, Route
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.process_end import ProcessEnd
from guavawing.traffic.rollout_state import RolloutView
from guavawing.traffic.routes import RouteTable
from guavawing.traffic.time_limit import compute_time_limit
from guavawing.traffic.uploads import BodyRoom
from guavawing.verdict import NotRun, Reason

__all__ = ["Entry", "RetryTerms"]

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
# Retry-After in seconds while no configuration is in force.
NO_CONFIG_RETRY_AFTER_S = 0.5
# Share of a route's latency target that is available at this node; the rest is
# for the transit between client and node.
USEFUL_SHARE = 0.9
# Share of the time to the deadline that the most urgent requests of a service
# may use instead, since their callers occupy a slot until they are answered.
URGENT_SHARE = 0.6


@attrs.frozen
class RetryTerms:
    """Parameters of the retry budget that the fleet shares.

    Attributes:
        ratio: Retries of the fleet per request.
        allowance: Additional retries in one window.
    """

    ratio: float
    allowance: float


class Entry:
    """Serves the requests of clients on this VM.

    Attributes:
        table: Routes in force; None without a configuration.
        quotas: Quotas of client accounts; None without terms for them.
        closing: Whether requests are refused because the process stops.
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
        freshness: Freshness,
        room: BodyRoom,
        find_rollout: Callable[[str], RolloutView] | None = None,
        log: DecisionLog,
        metrics: SidecarMetrics,
    ) -> None:
        self._service = service
        self._room = room
        self._peers = peers
        self._freshness = freshness
        self._log = log
        self._metrics = metrics
        self._budget = RetryBudget(
            ratio=retries.ratio, allowance=retries.allowance, nodes=1
        )
        self._wait_estimator = ClientWaitEstimator()
        self._parts = EntryParts(
            loop=asyncio.get_running_loop(),
            owner=owner,
            own_view=own_view,
            peers=peers,
            mesh=mesh,
            balancer=Balancer(Random()),
            failures=FailureShare(),
            durations=Durations(),
            budget=self._budget,
            version=self._version,
            find_rollout=find_rollout,
            log=log,
            metrics=metrics,
        )
        self.table: RouteTable | None = None
        self.quotas: Quotas | None = None
        self.closing = False

    def handle(self, request: HttpRequest) -> None:
        """Handles a complete request; it may be answered asynchronously."""
        now = self._parts.loop.time()
        table = self.table
        head = parse_request_head(
            request.headers,
            has_accounts=table is not None and bool(table.accounts),
        )
        if head.unreadable:
            self._refuse(
                request,
                head.request_id,
                NotRun(Reason.MALFORMED_HEADER),
                status=BAD_REQUEST,
                detail=f"got {head.unreadable}, expected a decimal number",
            )
            return
        if table is None:
            verdict = NotRun(Reason.NO_CONFIG, NO_CONFIG_RETRY_AFTER_S)
            self._refuse(request, head.request_id, verdict)
            return
        if self.closing or self._time_left_s(now) <= 0:
            verdict = NotRun(Reason.STOPPING, STOPPING_RETRY_AFTER_S)
            self._refuse(request, head.request_id, verdict)
            return
        path = request.path.decode("latin-1")
        route = table.find(head.host, path)
        if route is None:
            self._refuse(
                request,
                head.request_id,
                NotRun(Reason.UNKNOWN_ROUTE),
                status=NOT_FOUND,
            )
            return
        account = None
        if table.accounts and not route.public:
            account = table.accounts.find(head.key)
            refusal = self._freshness.check_key(known=account is not None)
            if refusal is not None:
                self._refuse_key(request, head, refusal, table.accounts)
                return
        self._admit(request, head, route, account, table)

    def _admit(
        self,
        request: HttpRequest,
        head: RequestHead,
        route: Route,
        account: ClientAccount | None,
        table: RouteTable,
    ) -> None:
        """Begins a request once it has a token of its account's quota.

        Args:
            request: The request.
            head: Its headers.
            route: Its route.
            account: Its client account, if any.
            table: Table of that route.
        """
        quotas = self.quotas
        if (
            account is None
            or quotas is None
            or not quotas.has_quota(account.name)
        ):
            self._begin(request, head, route, account, table)
            return
        left = False

        def record_disconnect() -> None:
            nonlocal left
            left = True
            self._metrics.count_answer(NotRun(Reason.CANCELLED))

        def handle_decision(decision: QuotaDecision) -> None:
            request.on_disconnect = None
            match decision:
                case Token() if left:
                    quotas.give_back(decision)
                case Token():
                    self._begin(
                        request, head, route, account, table, token=decision
                    )
                case _ if left:
                    pass
                case OverQuota(wait_s=wait_s):
                    self._refuse(
                        request,
                        head.request_id,
                        NotRun(Reason.OVER_QUOTA, wait_s),
                        status=TOO_MANY_REQUESTS,
                        account=account.name,
                    )
                case Unanswered(wait_s=wait_s):
                    verdict = NotRun(Reason.QUOTA_UNKNOWN, wait_s)
                    self._refuse(
                        request,
                        head.request_id,
                        verdict,
                        account=account.name,
                    )

        request.on_disconnect = record_disconnect
        quotas.acquire(account.name, handle_decision)

    def _begin(
        self,
        request: HttpRequest,
        head: RequestHead,
        route: Route,
        account: ClientAccount | None,
        table: RouteTable,
        *,
        token: Token | None = None,
    ) -> None:
        """Begins a request that may run; its token is given back if unused."""
        attempt = self._make_attempt(request, head, route, account, table)
        give_back = None
        if token is not None and self.quotas is not None:
            attempt = attrs.evolve(attempt, usage=token.usage)
            give_back = functools.partial(self.quotas.give_back, token)
        self._budget.earn(attempt.service, now=self._parts.loop.time())
        ClientCall(
            self._parts,
            request,
            route,
            attempt,
            urgent=table.is_most_urgent(route, priority=attempt.priority),
            on_not_run=give_back,
        ).begin()

    def end_open_calls(self) -> None:
        """Answers all requests that have begun, as the process ends."""
        for call in tuple(self._parts.open_calls):
            call.end()

    def may_overlap(self, request: HttpRequest) -> bool:
        """Returns whether a request may run concurrently with others."""
        if self.table is None:
            return False
        head = parse_request_head(request.headers)
        route = self.table.find(head.host, request.path.decode("latin-1"))
        return route is not None and route.idempotent

    def hold_body(self, path: bytes, headers: RawHeaders) -> HeldBody | None:
        """Returns the memory for a large body; None for other requests."""
        table = self.table
        if table is None or not table.has_large_bodies:
            return None
        head = parse_request_head(headers)
        route = table.find(head.host, path.decode("latin-1"))
        if route is None or not route.bulk_body:
            return None

        def record_refused(size: int) -> None:
            reason = Reason.TOO_MANY_CALLS
            self._metrics.refused_bodies.inc({"reason": reason})
            self._metrics.count_answer(NotRun(reason))
            self._log.request(
                "body-refused",
                head.request_id,
                notable=True,
                reason=reason,
                bytes=size,
            )

        return HeldBody(self._room, record_refused)

    def _make_attempt(
        self,
        request: HttpRequest,
        head: RequestHead,
        route: Route,
        account: ClientAccount | None,
        table: RouteTable,
    ) -> Attempt:
        priority = table.rank_request(account, route)
        # A pipelined request may have been queued since its arrival.
        now = request.began_at if route.bulk_body else request.arrived_at
        client_s = head.deadline_s
        deadline_s = compute_time_limit(client_s=client_s, route_s=None)
        left_s = self._time_left_s(now)
        limit_s = compute_time_limit(
            client_s=client_s, route_s=route.timeout_s, process_s=left_s
        )
        spent_s = self._wait_estimator.estimate_spent_s(route.name, deadline_s)
        target_s = USEFUL_SHARE * route.latency_target_s
        useful_s = target_s - spent_s
        late = useful_s <= 0 and deadline_s > route.latency_target_s
        if table.is_most_urgent(route, priority=priority):
            useful_s = max(useful_s, URGENT_SHARE * limit_s)
        useful_s = min(useful_s, limit_s)
        return Attempt(
            request_id=head.request_id,
            service=table.pick_service(route),
            origin=self._service,
            method=request.method,
            path=request.path,
            head=head.forwarded,
            body=request.body,
            deadline=(
                now + limit_s
                if limit_s < left_s
                else self._process_end.last_answer
            ),
            priority=priority,
            idempotent=route.idempotent,
            bulk=route.bulk,
            late=late,
            useful_until=now + useful_s,
            spare_only=False,
            kind=route.kind,
            bulk_body=route.bulk_body,
            account=NO_ACCOUNT if account is None else account.name,
        )

    def _time_left_s(self, now: float) -> float:
        """Returns the time left for requests before the process ends."""
        return self._process_end.last_answer - now

    @property
    def _process_end(self) -> ProcessEnd:
        return self._parts.owner.process_end

    def resize_budget(self) -> None:
        """Resizes the retry budget to the current number of nodes."""
        self._budget.resize(len(self._peers) + 1)

    def _refuse_key(
        self,
        request: HttpRequest,
        head: RequestHead,
        verdict: NotRun,
        accounts: AccountTable,
    ) -> None:
        """Refuses a request for its key; the log doesn't contain the key."""
        known = accounts.find(head.key) is not None
        unknown = verdict.reason is Reason.UNKNOWN_ACCOUNT_KEY
        age_s = self._freshness.age_s()
        self._refuse(
            request,
            head.request_id,
            verdict,
            status=UNAUTHORIZED if unknown else UNAVAILABLE,
            key="known" if known else accounts.explain(head.key),
            proof_age_s=round(age_s, 3) if age_s < math.inf else None,
        )

    def _refuse(
        self,
        request: HttpRequest,
        request_id: bytes,
        verdict: NotRun,
        *,
        status: int = UNAVAILABLE,
        detail: str = "",
        **fields: str | float | None,
    ) -> None:
        closes = not request.keeps_open(refused=True)
        payload = build_refusal(
            status,
            request_id,
            retry_after_s=verdict.retry_after_s,
            reason=detail or verdict.reason.value,
            closes=closes,
        )
        request.respond(payload, closes=closes)
        self._metrics.count_answer(verdict)
        self._log.request(
            "request-refused",
            request_id,
            notable=True,
            reason=verdict.reason,
            version=self._version(),
            **fields,
        )

    def _version(self) -> int:
        return 0 if self.table is None else self.table.routing.version
