"""Learners joined in memory: messages, a platform and a simulated clock.

It stands in for gossip, pulls and the platform, so that the distribution
machine can be checked and counted without processes.
"""

import random
from collections import Counter
from collections.abc import Callable

import attrs

from guavawing.config import compute_digest
from guavawing.distribution import (
    PollSchedule,
    PullResponder,
    Version,
    VersionFetcher,
    VersionId,
)
from guavawing.distribution.compression import decompress_payload
from guavawing.distribution.events import (
    PLATFORM,
    Action,
    Content,
    DeltaContent,
    EnforceVersion,
    Event,
    FetchFailed,
    FetchFault,
    FetchObject,
    NoContent,
    NoticeReceived,
    PayloadReceived,
    PullFromPeer,
    ReportFault,
    SnapshotContent,
    Tick,
)
from guavawing.distribution.responder import (
    RetryLater,
    SendDelta,
    SendNothing,
    SendSnapshot,
)
from guavawing.errors import MessageInvalidError
from standins.simulated_network import SimulatedNetwork

FANOUT = 2
GOSSIP_PERIOD_S = 0.5
PULL_TIMEOUT_S = 2.0
OBJECT_TIMEOUT_S = 3.0
OBJECT_DELAY_S = 0.02
# Time that an answer with content keeps its sender busy.
SEND_TIME_S = 0.005
PLATFORM_ZONE = "platform"
MAX_PAYLOAD_BYTES = 2**23
NO_VERSION_ID = VersionId(0, b"")

Check = Callable[[str, VersionFetcher], None]
Log = Callable[[float, str, Event, list[Action]], None]


@attrs.define
class SimulatedNode:
    """One node of the network.

    Attributes:
        name: Id of the node.
        zone: Its data centre.
        learner: Its distribution machine.
        responder: What answers its peers.
        schedule: When it reads the head.
        life: Rises with every restart.
        frozen: Whether it takes no event; they wait in `waiting`.
    """

    name: str
    zone: str
    fetcher: VersionFetcher
    responder: PullResponder
    schedule: PollSchedule
    incarnation: int = 0
    frozen: bool = False
    waiting: list[Event] = attrs.field(factory=list)
    wake_at: float | None = None


class DistributionNetwork(SimulatedNetwork):
    """Learners, a platform and what is between them.

    Args:
        zones: Data centre of each node by its name.
        seed: Seed of everything random.
        check: Called with each node and its learner after every event.
        log: Called with every event and the actions that it led to.
        poll_period_s: Period of reading the head, in seconds.
        delay_s: Time of a message inside a data centre, in seconds.
        far_delay_s: Time of a message between two, in seconds.
        far_share: Share of notices that go to other data centres.

    Attributes:
        counts: Messages by kind, and bytes by kind.
        published: Digest of each published version by number.
        in_force_at: When each node put its version in force.
    """

    def __init__(
        self,
        zones: dict[str, str],
        *,
        seed: int,
        check: Check = lambda name, fetcher: None,
        log: Log = lambda now, name, event, actions: None,
        poll_period_s: float = 1.0,
        delay_s: float = 0.0005,
        far_delay_s: float = 0.005,
        far_share: float = 0.5,
    ) -> None:
        super().__init__(seed=seed, delay_s=delay_s, far_delay_s=far_delay_s)
        self.counts: Counter[str] = Counter()
        self.published: dict[int, bytes] = {}
        self.in_force_at: dict[str, float] = {}
        self._check = check
        self._log = log
        self._period_s = poll_period_s
        self._objects: dict[bytes, bytes] = {}
        self._far_share = far_share
        self._near_names: dict[str, list[str]] = {}
        self._far_names: dict[str, list[str]] = {}
        for zone in set(zones.values()):
            near = [name for name, place in zones.items() if place == zone]
            far = [name for name, place in zones.items() if place != zone]
            self._near_names[zone], self._far_names[zone] = near, far
        self._zone_sizes = Counter(zones.values())
        self.nodes = {
            name: self._make_node(name, zone) for name, zone in zones.items()
        }
        for node in self.nodes.values():
            self._gossip(node)
            self._poll(node)

    def publish(self, payload: bytes) -> VersionId:
        """Stores a payload as the newest version, good or bad."""
        number = len(self.published) + 1
        version = VersionId(number, compute_digest(number, payload))
        self._objects[version.digest] = payload
        self.published[version.number] = version.digest
        return version

    def restart(self, name: str) -> None:
        """Replaces a node by a fresh one under the same name."""
        old = self.nodes[name]
        node = self._make_node(name, old.zone)
        node.incarnation = old.incarnation + 1
        self.nodes[name] = node
        self._gossip(node)
        self._poll(node)

    def pause(self, name: str) -> None:
        """Stops a node; what reaches it waits."""
        self.nodes[name].frozen = True

    def resume(self, name: str) -> None:
        """Lets a frozen node go on."""
        node = self.nodes[name]
        node.frozen = False
        waiting, node.waiting = node.waiting, []
        for event in [*waiting, Tick()]:
            self._handle(node, event)

    def deliver_notice(
        self, name: str, source: str, version: VersionId
    ) -> None:
        """Gives a node a notice that nobody sent."""
        self._handle(self.nodes[name], NoticeReceived(source, version))

    def versions(self) -> dict[str, int]:
        """Returns the version in force at each node."""
        return {
            name: node.fetcher.current.number
            for name, node in self.nodes.items()
        }

    def _make_node(self, name: str, zone: str) -> SimulatedNode:
        rng = random.Random(self.rng.random())
        schedule = PollSchedule(rng, period_s=self._period_s, now=self.now)
        return SimulatedNode(
            name, zone, VersionFetcher(rng), PullResponder(rng), schedule
        )

    def _handle(self, node: SimulatedNode, event: Event) -> None:
        if self.nodes[node.name] is not node:
            return
        if node.frozen:
            node.waiting.append(event)
            return
        actions = node.fetcher.handle(event, now=self.now)
        self._check(node.name, node.fetcher)
        self._log(self.now, node.name, event, actions)
        for action in actions:
            self._carry_out(node, action)
        self._set_wake(node)

    def _set_wake(self, node: SimulatedNode) -> None:
        wake_at = node.fetcher.next_wake()
        if wake_at is None or wake_at == node.wake_at:
            node.wake_at = wake_at
            return
        assert wake_at > self.now, (wake_at, self.now)
        node.wake_at = wake_at

        def wake() -> None:
            if node.wake_at == wake_at:
                node.wake_at = None
                self._handle(node, Tick())

        self.at(wake_at - self.now, wake)

    def _carry_out(self, node: SimulatedNode, action: Action) -> None:
        match action:
            case PullFromPeer():
                self._pull(node, action)
            case FetchObject():
                self._fetch_object(node, action)
            case EnforceVersion():
                self.in_force_at[node.name] = self.now
                self._notify_some(node, reply_wanted=False)
            case ReportFault(fault=fault):
                self.counts[f"fault-{fault}"] += 1

    def _gossip(self, node: SimulatedNode) -> None:
        if self.nodes.get(node.name, node) is not node:
            return
        if not node.frozen:
            self._notify_some(node, reply_wanted=True)
        self.at(
            GOSSIP_PERIOD_S * self.rng.uniform(0.8, 1.2),
            lambda: self._gossip(node),
        )

    def _notify_some(self, node: SimulatedNode, *, reply_wanted: bool) -> None:
        for _ in range(FANOUT):
            far_names = self._far_names[node.zone]
            far = far_names and self.rng.random() < self._far_share
            names = far_names if far else self._near_names[node.zone]
            name = self.rng.choice(names)
            if name != node.name:
                self._notify(node, name, reply_wanted=reply_wanted)

    def _notify(
        self, node: SimulatedNode, name: str, *, reply_wanted: bool
    ) -> None:
        current = node.fetcher.current
        version = VersionId(current.number, current.digest)
        self.counts["notices"] += 1

        def arrive() -> None:
            receiver = self.nodes[name]
            near = receiver.zone == node.zone
            if version.number:
                notice = NoticeReceived(node.name, version, near)
                if receiver.fetcher.is_eligible(version):
                    self._handle(receiver, notice)
            if reply_wanted and not receiver.frozen:
                self._notify(receiver, node.name, reply_wanted=False)

        self.send(node.zone, self.nodes[name].zone, arrive)

    def _poll(self, node: SimulatedNode) -> None:
        if self.nodes.get(node.name, node) is not node:
            return
        due = node.schedule.is_due(
            now=self.now,
            live_nodes=self._zone_sizes[node.zone],
            has_version=node.fetcher.current.number > 0,
        )
        if due and not node.frozen:
            self.counts["reads"] += 1
            self.send(node.zone, PLATFORM_ZONE, lambda: self._answer(node))
        self.at(node.schedule.draw_pause(), lambda: self._poll(node))

    def _answer(self, node: SimulatedNode) -> None:
        number = len(self.published)
        if not number:
            return
        version = VersionId(number, self.published[number])
        notice = NoticeReceived(PLATFORM, version)
        self.send(PLATFORM_ZONE, node.zone, lambda: self._handle(node, notice))

    def _fetch_object(self, node: SimulatedNode, action: FetchObject) -> None:
        self.counts["objects"] += 1
        fetch_id = action.fetch_id
        failed = FetchFailed(fetch_id, FetchFault.UNREACHABLE)
        self.at(OBJECT_TIMEOUT_S, lambda: self._handle(node, failed))
        payload = self._objects.get(action.version.digest)
        event: Event = FetchFailed(fetch_id, FetchFault.WITHHELD)
        if payload is not None:
            self.counts["object-bytes"] += len(payload)
            content = SnapshotContent(self.damage(payload))
            event = PayloadReceived(fetch_id, action.version, content)

        def reply() -> None:
            self.send(
                PLATFORM_ZONE, node.zone, lambda: self._handle(node, event)
            )

        self.at(
            OBJECT_DELAY_S,
            lambda: self.send(node.zone, PLATFORM_ZONE, reply),
        )

    def _pull(self, node: SimulatedNode, action: PullFromPeer) -> None:
        fetch_id = action.fetch_id
        failed = FetchFailed(fetch_id, FetchFault.UNREACHABLE)
        self.at(PULL_TIMEOUT_S, lambda: self._handle(node, failed))
        peer = self.nodes.get(action.peer)
        if peer is None:
            return
        kind = "near" if peer.zone == node.zone else "far"
        self.counts[f"pulls-{kind}"] += 1

        def serve() -> None:
            server = self.nodes[action.peer]
            if server.frozen:
                return
            event = self._serve(server, node, action, kind)
            self.send(server.zone, node.zone, lambda: self._handle(node, event))

        self.send(node.zone, peer.zone, serve)

    def _serve(
        self,
        server: SimulatedNode,
        puller: SimulatedNode,
        action: PullFromPeer,
        kind: str,
    ) -> Event:
        current = server.fetcher.current
        answer = server.responder.begin(
            puller.name, action.base, current, server.fetcher.history
        )
        content: Content = NoContent()
        match answer:
            case RetryLater(retry_after_s=retry_after_s, ask_instead=member):
                return FetchFailed(
                    action.fetch_id, FetchFault.BUSY, retry_after_s, member
                )
            case SendNothing():
                pass
            case SendDelta(delta=delta):
                self.counts["deltas"] += 1
                self.counts[f"bytes-{kind}"] += len(delta)
                content = DeltaContent(action.base, self.damage(delta))
            case SendSnapshot(data=data):
                self.counts["snapshots"] += 1
                self.counts[f"bytes-{kind}"] += len(data)
                content = self._open_snapshot(self.damage(data))
        if not isinstance(content, NoContent):
            self._end_answer(server, puller, current)
        version = VersionId(current.number, current.digest)
        return PayloadReceived(action.fetch_id, version, content)

    def _end_answer(
        self, server: SimulatedNode, puller: SimulatedNode, current: Version
    ) -> None:
        sent = VersionId(current.number, current.digest)
        responder = server.responder
        self.at(SEND_TIME_S, lambda: responder.end(puller.name, sent=sent))

    def _open_snapshot(self, data: bytes) -> Content:
        try:
            payload = decompress_payload(data, limit=MAX_PAYLOAD_BYTES)
        except MessageInvalidError:
            # A daemon reports this as a damaged piece.
            return SnapshotContent(b"")
        return SnapshotContent(payload)
