"""Simulated network of version fetchers, peers and a platform.

Replaces gossip, pulls and the platform with messages on a simulated clock, so
that the distribution state machine can be tested and measured in one process.
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
# Time for which a pull answer with content occupies its sender.
SEND_TIME_S = 0.005
PLATFORM_ZONE = "platform"
MAX_PAYLOAD_BYTES = 2**23

Check = Callable[[str, VersionFetcher], None]
Log = Callable[[float, str, Event, list[Action]], None]


@attrs.define
class SimulatedNode:
    """State of one node.

    Attributes:
        name: Id of the node.
        zone: Its data centre.
        fetcher: Its distribution state machine.
        responder: Answers pulls of its peers.
        schedule: Schedule of its reads of the head.
        incarnation: Number of restarts.
        paused: Whether events are queued instead of handled.
        pending_events: Events that arrived while the node was paused.
        wake_at: Simulated time of the scheduled wake-up, in seconds.
    """

    name: str
    zone: str
    fetcher: VersionFetcher
    responder: PullResponder
    schedule: PollSchedule
    incarnation: int = 0
    paused: bool = False
    pending_events: list[Event] = attrs.field(factory=list)
    wake_at: float | None = None


class DistributionNetwork(SimulatedNetwork):
    """Nodes that distribute versions, and the platform.

    Args:
        zones: Data centre of each node by its name.
        seed: Seed of the random generator.
        check: Called with the name and the fetcher of a node after each of
            its events.
        log: Called with time, node name, event and resulting actions.
        poll_period_s: Period between reads of the head, in seconds.
        delay_s: Message delay within a data centre, in seconds.
        far_delay_s: Message delay between data centres, in seconds.
        far_share: Fraction of notices sent to other data centres.

    Attributes:
        counts: Number of messages and bytes by kind.
        published: Digest of each published version by number.
        in_force_at: Simulated time at which each node last enforced a
            version.
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
        """Stores a payload as the newest version without validating it."""
        number = len(self.published) + 1
        version = VersionId(number, compute_digest(number, payload))
        self._objects[version.digest] = payload
        self.published[version.number] = version.digest
        return version

    def restart(self, name: str) -> None:
        """Replaces a node by one without state under the same name."""
        old = self.nodes[name]
        node = self._make_node(name, old.zone)
        node.incarnation = old.incarnation + 1
        self.nodes[name] = node
        self._gossip(node)
        self._poll(node)

    def pause(self, name: str) -> None:
        """Pauses a node; its events are queued."""
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        """Resumes a node and handles its queued events."""
        node = self.nodes[name]
        node.paused = False
        pending_events, node.pending_events = node.pending_events, []
        for event in [*pending_events, Tick()]:
            self._handle(node, event)

    def deliver_notice(
        self, name: str, source: str, version: VersionId
    ) -> None:
        """Injects a forged notice into a node."""
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
        if node.paused:
            node.pending_events.append(event)
            return
        actions = node.fetcher.handle(event, now=self.now)
        self._check(node.name, node.fetcher)
        self._log(self.now, node.name, event, actions)
        for action in actions:
            self._execute_action(node, action)
        self._schedule_wake(node)

    def _schedule_wake(self, node: SimulatedNode) -> None:
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

        self.call_after(wake_at - self.now, wake)

    def _execute_action(self, node: SimulatedNode, action: Action) -> None:
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
        if not node.paused:
            self._notify_some(node, reply_wanted=True)
        self.call_after(
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
            if reply_wanted and not receiver.paused:
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
        if due and not node.paused:
            self.counts["reads"] += 1
            self.send(node.zone, PLATFORM_ZONE, lambda: self._send_head(node))
        self.call_after(node.schedule.draw_interval(), lambda: self._poll(node))

    def _send_head(self, node: SimulatedNode) -> None:
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
        self.call_after(OBJECT_TIMEOUT_S, lambda: self._handle(node, failed))
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

        self.call_after(
            OBJECT_DELAY_S,
            lambda: self.send(node.zone, PLATFORM_ZONE, reply),
        )

    def _pull(self, node: SimulatedNode, action: PullFromPeer) -> None:
        fetch_id = action.fetch_id
        failed = FetchFailed(fetch_id, FetchFault.UNREACHABLE)
        self.call_after(PULL_TIMEOUT_S, lambda: self._handle(node, failed))
        peer = self.nodes.get(action.peer)
        if peer is None:
            return
        kind = "near" if peer.zone == node.zone else "far"
        self.counts[f"pulls-{kind}"] += 1

        def serve() -> None:
            server = self.nodes[action.peer]
            if server.paused:
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
                content = self._decompress_snapshot(self.damage(data))
        if not isinstance(content, NoContent):
            self._schedule_send_end(server, puller, current)
        version = VersionId(current.number, current.digest)
        return PayloadReceived(action.fetch_id, version, content)

    def _schedule_send_end(
        self, server: SimulatedNode, puller: SimulatedNode, current: Version
    ) -> None:
        sent = VersionId(current.number, current.digest)
        responder = server.responder
        self.call_after(
            SEND_TIME_S, lambda: responder.end(puller.name, sent=sent)
        )

    def _decompress_snapshot(self, data: bytes) -> Content:
        try:
            payload = decompress_payload(data, limit=MAX_PAYLOAD_BYTES)
        except MessageInvalidError:
            # The daemon reports undecompressable content as damaged; an empty
            # payload has the same effect.
            return SnapshotContent(b"")
        return SnapshotContent(payload)
