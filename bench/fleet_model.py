"""Discrete-event simulation of a fleet of sidecars.

The decisions are made by the production modules: clients send requests to the
nodes of their data centre, each node selects owners with its `Balancer`, and
each owner admits requests with its `SlotQueue`. Time is simulated and every
random number comes from one seed. Also modelled: fixed network delays, target
speeds, calls made by targets, clients that retry after the advised pause,
retries within the nodes' budgets, and targets that become slow, refuse
requests or start cold. Links, processors and message loss are not modelled.
"""

import collections
import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable

from bench.fleet_evenness import SAMPLE_PERIOD_S, Evenness
from bench.fleet_load import Fault, Kind, Moments, Pattern, Result
from bench.fleet_node import Attempt, Node, Request
from guavawing.sidecar.client_call import MAX_OWNERS_TRIED
from guavawing.sidecar.entry import URGENT_SHARE, USEFUL_SHARE
from guavawing.sidecar.owner import (
    MAX_PASSED_PRESSURE,
    MIN_PASSED_WAIT_S,
    PASSED_RETRY_AFTER_S,
)
from guavawing.sidecar.target_pool import SHED_RETRY_AFTER_S
from guavawing.traffic.balancer import Balancer
from guavawing.traffic.budget import RetryBudget
from guavawing.traffic.model import LoadReport
from guavawing.traffic.neighbours import NeighbourLoad, find_last_heard
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.slot_queue import (
    Admit,
    Queued,
    Refuse,
    SlotQueue,
    Waiter,
)

__all__ = ["Fleet", "simulate"]

CLIENT_DELAY_S = 0.001
NEAR_DELAY_S = 0.0005
FAR_DELAY_S = 0.0045
BEACON_PERIOD_S = 1.0
FAR_BEACONS = 4
# Retry budget of the fleet: a ratio of the requests, plus an allowance for each
# node in ten seconds.
RETRY_RATIO = 0.2
RETRY_ALLOWANCE = 2.5
MAX_ATTEMPTS = 2
# Pause of a client after an answer without a retry time.
CLIENT_PAUSE_S = 0.05


class Fleet:
    """Simulates one load pattern.

    Attributes:
        pattern: The pattern.
        attempts: Attempts sent to owners.
        refusals: Attempts that owners refused for lack of capacity.
        passed: Those of them that owners passed on.
        results: Results by kind of request.
        evenness: Evenness of the load by service.
    """

    def __init__(self, pattern: Pattern, seed: int) -> None:
        self.pattern = pattern
        self.attempts = self.refusals = self.passed = 0
        self.results = {kind.name: Result() for kind in pattern.kinds}
        self._kinds = {kind.name: kind for kind in pattern.kinds}
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ids = itertools.count()
        self._now = 0.0
        self.evenness = {service: Evenness() for service in pattern.owners}
        # Requests whose clients wait after a refusal, by service and data
        # centre.
        self._paused: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._nodes = self._make_nodes()
        self._groups: dict[tuple[str, int], list[Node]] = {}
        for node in self._nodes:
            group = node.service, node.data_centre
            self._groups.setdefault(group, []).append(node)
        self._by_name = {node.name: node for node in self._nodes}
        for node in self._nodes:
            self._make_views(node)
            self._schedule_after(
                self._rng.random(), lambda n=node: self._broadcast_load(n)
            )
        for fault in pattern.faults:
            self._schedule_fault(fault)

    def run(self) -> None:
        """Simulates the pattern to its end."""
        self._generate_arrivals()
        self._sample_evenness()
        if self.pattern.moments is not None:
            self._change_slow_targets(self.pattern.moments)
        while self._events:
            self._now, _, callback = heapq.heappop(self._events)
            if self._now > self.pattern.seconds + 10.0:
                return
            callback()

    # Clients.

    def _generate_arrivals(self) -> None:
        pattern = self.pattern
        if self._now < pattern.seconds:
            self._schedule_after(
                self._rng.expovariate(self._find_rate()),
                self._generate_arrivals,
            )
            kinds = [kind for kind in pattern.kinds if kind.weight]
            weights = [kind.weight for kind in kinds]
            [kind] = self._rng.choices(kinds, weights)
            data_centre = self._rng.randrange(pattern.data_centres)
            self.results[kind.name].offered += 1
            self._send_request(kind, data_centre, self._now, kind.retries)

    def _send_request(
        self, kind: Kind, data_centre: int, began_at: float, left: int
    ) -> None:
        local_nodes = [n for n in self._nodes if n.data_centre == data_centre]
        entry = self._rng.choice(local_nodes)
        deadline = began_at + kind.deadline_s
        result = self.results[kind.name]

        def end(served: bool, retry_after_s: float | None) -> None:
            elapsed_s = self._now - began_at
            if served:
                result.elapsed_s.append(elapsed_s)
                in_time = elapsed_s <= kind.aim_s
                result.in_time += in_time
                result.late += not in_time
                return
            pause_s = CLIENT_PAUSE_S if retry_after_s is None else retry_after_s
            if left and self._now + pause_s < deadline:
                self._paused[kind.service, data_centre] += 1
                self._schedule_after(pause_s, repeat)

        def repeat() -> None:
            self._paused[kind.service, data_centre] -= 1
            self._send_request(kind, data_centre, began_at, left - 1)

        self._schedule_after(
            CLIENT_DELAY_S, lambda: self._enter(kind, entry, deadline, end)
        )

    # The entry node.

    def _enter(
        self,
        kind: Kind,
        entry: Node,
        deadline: float,
        on_end: Callable[[bool, float | None], None],
    ) -> None:
        left_s = deadline - self._now
        spent_s = entry.wait_estimator.estimate_spent_s(kind.name, left_s)
        useful_s = USEFUL_SHARE * kind.aim_s - spent_s
        late = useful_s <= 0 and left_s > kind.aim_s
        urgent = kind.priority == min(
            k.priority for k in self.pattern.kinds if k.service == kind.service
        )
        if urgent:
            useful_s = max(useful_s, URGENT_SHARE * left_s)
        request = Request(
            kind, entry, deadline, self._now + useful_s, late, on_end, urgent
        )
        entry.budget.earn(kind.service, now=self._now)
        self._send_attempt(request)

    def _send_attempt(self, request: Request, passed_to: str = "") -> None:
        entry, kind = request.entry, request.kind
        for view in entry.views[kind.service]:
            if view.local:
                free = entry.count_free(self._now) > entry.offers.count(
                    now=self._now
                )
                view.apply_own_report(
                    entry.load(self._now),
                    free=free,
                    now=self._now,
                )
        choice = None
        if passed_to:
            choice = entry.balancer.choose_named(
                entry.views[kind.service],
                passed_to,
                excluded=request.tried_owners,
                now=self._now,
            )
        if choice is None and len(request.tried_owners) < MAX_OWNERS_TRIED:
            choice = entry.balancer.choose(
                entry.views[kind.service],
                route=kind.name,
                kind=self._kind_index(kind),
                bulk=False,
                useful_s=request.useful_until - self._now,
                excluded=request.tried_owners,
                now=self._now,
            )
        if choice is None:
            self._schedule_after(
                CLIENT_DELAY_S,
                lambda: request.on_end(False, request.retry_after_s),
            )
            return
        view = choice.owner
        owner = self._by_name[view.node]
        neighbour = None
        if not request.passed_on:
            neighbour = find_last_heard(
                entry.views[kind.service], view, now=self._now
            )
        request.tried_owners.append(view.node)
        self.attempts += 1
        view.record_sent(now=self._now)
        attempt = Attempt(request, view, owner)
        if not view.near:
            self.results[kind.name].cross_centre_attempts += 1
        spare = choice.spare_only
        self._schedule_after(
            self._delay_s(view),
            lambda: self._offer(attempt, spare, neighbour),
        )

    def _handle_answer(
        self,
        attempt: Attempt,
        load: LoadReport,
        *,
        served: bool,
        offered: bool = False,
        refusal_s: float | None = None,
        passed_to: str = "",
    ) -> None:
        view, request = attempt.view, attempt.request
        entry, service = request.entry, request.kind.service
        view.outstanding -= 1
        view.apply_report(load, now=self._now)
        if offered:
            view.offers.add(now=self._now)
        if refusal_s is None:
            request.sent += 1
            entry.failures.observe(service, failed=not served)
            retries = not served and request.sent < MAX_ATTEMPTS
            retries = retries and not entry.failures.are_common(service)
            if retries and self._try_spend_retry(request):
                self._send_attempt(request)
                return
        if refusal_s is not None:
            view.record_refusal(refusal_s, now=self._now)
            earliest_s = request.retry_after_s
            request.retry_after_s = min(earliest_s or math.inf, refusal_s)
            self._send_attempt(request, passed_to)
            return
        self._schedule_after(
            CLIENT_DELAY_S, lambda: request.on_end(served, CLIENT_PAUSE_S)
        )

    def _handle_shed(self, attempt: Attempt, load: LoadReport) -> None:
        """Handles a target's refusal to execute an attempt."""
        view, request = attempt.view, attempt.request
        view.outstanding -= 1
        view.apply_report(load, now=self._now)
        view.record_failure(now=self._now)
        request.sent += 1
        if request.sent < MAX_ATTEMPTS and self._try_spend_retry(request):
            self._send_attempt(request)
            return
        self._schedule_after(
            CLIENT_DELAY_S, lambda: request.on_end(False, SHED_RETRY_AFTER_S)
        )

    def _try_spend_retry(self, request: Request) -> bool:
        return request.entry.budget.spend(
            request.kind.service, urgent=request.urgent, now=self._now
        )

    def _kind_index(self, kind: Kind) -> int:
        return self.pattern.kinds.index(kind)

    # The owner.

    def _offer(
        self, attempt: Attempt, spare: bool, neighbour: NeighbourLoad | None
    ) -> None:
        owner, request = attempt.owner, attempt.request
        number = next(self._ids)
        owner.offers.record_arrival(request.entry.name)
        owner.waiting[number] = attempt
        if neighbour is not None:
            owner.neighbours.record(neighbour)
            passed_to = ""
            wait_s = owner.queue.estimate_wait_s(
                request.kind.priority, late=request.late
            )
            if (
                owner.count_free(self._now) <= 0
                and wait_s >= MIN_PASSED_WAIT_S
                and owner.queue.refused_share <= MAX_PASSED_PRESSURE
            ):
                passed_to = owner.neighbours.take_slot(now=self._now)
            if passed_to:
                request.passed_on = True
                self.passed += 1
                self._refuse(owner, number, PASSED_RETRY_AFTER_S, passed_to)
                return
        waiter = Waiter(
            number,
            request.kind.priority,
            request.late,
            request.deadline,
            request.useful_until,
            spare,
            self._kind_index(request.kind),
        )
        match owner.queue.offer(waiter, now=self._now):
            case Admit():
                self._start(owner, number)
            case Queued(start_by=start_by):
                self._schedule_at(start_by, lambda: self._expire(owner, number))
                self._schedule_admission(owner)
            case Refuse(verdict=verdict):
                self._refuse(owner, number, verdict.retry_after_s or 0.0)

    def _schedule_admission(self, owner: Node) -> None:
        """Schedules the next admission that the rate limit allows, if any."""
        admitted_at = owner.queue.find_next_admission(now=self._now)
        if admitted_at is not None:
            self._schedule_at(admitted_at, lambda: self._admit_waiting(owner))

    def _admit_waiting(self, owner: Node) -> None:
        self._start_all(owner, owner.queue.admit_waiting(now=self._now))

    def _start_all(self, owner: Node, admitted: Iterable[Admit]) -> None:
        for admit in list(admitted):
            self._start(owner, admit.id)
        self._schedule_admission(owner)

    def _expire(self, owner: Node, number: int) -> None:
        refusal = owner.queue.expire(number, now=self._now)
        if refusal is not None:
            self._refuse(owner, number, refusal.verdict.retry_after_s or 0.0)

    def _refuse(
        self,
        owner: Node,
        number: int,
        retry_after_s: float,
        passed_to: str = "",
    ) -> None:
        attempt = owner.waiting.pop(number)
        self.refusals += 1
        load = owner.load(self._now)
        self._schedule_after(
            self._delay_s(attempt.view),
            lambda: self._handle_answer(
                attempt,
                load,
                served=False,
                refusal_s=retry_after_s,
                passed_to=passed_to,
            ),
        )

    def _start(self, owner: Node, number: int) -> None:
        attempt = owner.waiting[number]
        kind = attempt.request.kind
        if self._rng.random() < owner.refused:
            self._shed(owner, number)
            return
        mean = math.log(kind.work_s) - kind.spread**2 / 2
        work_s = self._rng.lognormvariate(mean, kind.spread)
        work_s *= owner.slowdown / owner.speed
        if kind.calls is None or self._rng.random() >= kind.calls[2]:
            self._schedule_after(
                work_s, lambda: self._end(owner, number, served=True)
            )
            return
        name, count, _ = kind.calls
        called = self._kinds[name]
        open_calls = [True] * count

        def end_call(served: bool, _: float | None) -> None:
            if not served:
                if open_calls:
                    open_calls.clear()
                    self._end(owner, number, served=False)
                return
            if open_calls:
                open_calls.pop()
                if not open_calls:
                    self._schedule_after(
                        work_s, lambda: self._end(owner, number, served=True)
                    )

        deadline = min(attempt.request.deadline, self._now + called.deadline_s)
        for _ in range(count):
            self._enter(called, owner, deadline, end_call)

    def _shed(self, owner: Node, number: int) -> None:
        attempt = owner.waiting.pop(number)
        admitted = list(owner.queue.release(number, now=self._now))
        load = owner.load(self._now)
        self._schedule_after(
            self._delay_s(attempt.view),
            lambda: self._handle_shed(attempt, load),
        )
        self._start_all(owner, admitted)

    def _end(self, owner: Node, number: int, *, served: bool) -> None:
        attempt = owner.waiting.pop(number)
        admitted = list(owner.queue.finish(number, now=self._now))
        load = owner.load(self._now)
        offered = owner.offers.make(
            attempt.request.entry.name,
            free=owner.count_free(self._now),
            now=self._now,
        )
        self._schedule_after(
            self._delay_s(attempt.view),
            lambda: self._handle_answer(
                attempt, load, served=served, offered=offered
            ),
        )
        self._start_all(owner, admitted)

    # The fleet.

    def _make_nodes(self) -> list[Node]:
        pattern = self.pattern
        count = pattern.data_centres * sum(pattern.owners.values())
        nodes = []
        speeds = itertools.cycle(pattern.speeds)
        for data_centre in range(pattern.data_centres):
            for service, count in pattern.owners.items():
                for number in range(count):
                    queue = SlotQueue()
                    queue.slots = pattern.slots
                    name = f"{service}-{data_centre}-{number}"
                    balancer = Balancer(random.Random(self._rng.random()))
                    nodes.append(
                        Node(
                            name,
                            data_centre,
                            service,
                            next(speeds),
                            queue,
                            balancer,
                            RetryBudget(
                                ratio=RETRY_RATIO,
                                allowance=RETRY_ALLOWANCE * count,
                                nodes=count,
                            ),
                        )
                    )
        return nodes

    def _make_views(self, node: Node) -> None:
        for other in self._nodes:
            near = other.data_centre == node.data_centre
            view = OwnerView(other.name, local=other is node, near=near)
            view.apply_report(other.load(0.0), now=0.0)
            node.views.setdefault(other.service, []).append(view)

    def _broadcast_load(self, node: Node) -> None:
        self._schedule_after(
            BEACON_PERIOD_S, lambda: self._broadcast_load(node)
        )
        far = [n for n in self._nodes if n.data_centre != node.data_centre]
        receivers = [
            n for n in self._nodes if n.data_centre == node.data_centre
        ]
        receivers += self._rng.sample(far, min(FAR_BEACONS, len(far)))
        load = node.load(self._now)
        for other in receivers:
            for view in other.views[node.service]:
                if view.node == node.name and not view.local:
                    view.apply_report(load, now=self._now)

    def _schedule_fault(self, fault: Fault) -> None:
        nodes = [n for n in self._nodes if n.service == fault.service]
        affected = self._rng.sample(nodes, round(fault.share * len(nodes)))

        def change(
            slowdown: float, refused: float, limit_per_s: float | None
        ) -> None:
            for node in affected:
                node.slowdown, node.refused = slowdown, refused
                node.limit_per_s = limit_per_s
                node.queue.set_limit(limit_per_s, now=self._now)
                self._admit_waiting(node)

        self._schedule_at(
            fault.at,
            lambda: change(fault.slowdown, fault.refused, fault.limit_per_s),
        )
        self._schedule_at(
            fault.at + fault.for_s, lambda: change(1.0, 0.0, None)
        )

    def _find_rate(self) -> float:
        pattern = self.pattern
        if pattern.wave is None:
            return pattern.rate
        phase = 2 * math.pi * self._now / pattern.wave.period_s
        return pattern.rate * (1 + pattern.wave.swing * math.sin(phase))

    def _change_slow_targets(self, moments: Moments) -> None:
        for node in self._nodes:
            slow = self._rng.random() < moments.share
            node.slowdown = moments.slowdown if slow else 1.0
        self._schedule_after(
            moments.every_s, lambda: self._change_slow_targets(moments)
        )

    def _sample_evenness(self) -> None:
        if self._now >= self.pattern.seconds:
            return
        for (service, data_centre), nodes in self._groups.items():
            self.evenness[service].sample(
                nodes,
                refused=self._paused[service, data_centre],
                now=self._now,
            )
        self._schedule_after(SAMPLE_PERIOD_S, self._sample_evenness)

    def _delay_s(self, view: OwnerView) -> float:
        if view.local:
            return 0.0
        return NEAR_DELAY_S if view.near else FAR_DELAY_S

    def _schedule_after(
        self, seconds: float, callback: Callable[[], None]
    ) -> None:
        self._schedule_at(self._now + seconds, callback)

    def _schedule_at(self, time_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._order), callback))


def simulate(pattern: Pattern, *, seed: int) -> Fleet:
    """Simulates a pattern and returns the fleet with its results."""
    fleet = Fleet(pattern, seed)
    fleet.run()
    return fleet
