"""The daemon: creates its components, starts them and shuts them down."""

import asyncio
import pathlib
import time
from collections.abc import Callable
from random import Random

from guavawing.errors import SettingsInvalidError
from guavawing.platform.settings import VmSettings, parse_settings
from guavawing.platform.store_client import (
    CONFIGURATION_TABLE,
    RowChanges,
    StoreClient,
)
from guavawing.sidecar.background import BackgroundTasks
from guavawing.sidecar.beacons import Beacons
from guavawing.sidecar.configuration import Configuration
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.entry import Entry, RetryTerms
from guavawing.sidecar.freshness import Freshness
from guavawing.sidecar.http_server import HttpServer
from guavawing.sidecar.link_pacer import LinkPacer
from guavawing.sidecar.local_calls import LocalCalls
from guavawing.sidecar.membership import NODES_TABLE, Membership
from guavawing.sidecar.mesh_client import MeshClient
from guavawing.sidecar.mesh_codec import (
    FRESHNESS_ANSWER,
    FRESHNESS_QUERY,
    QUOTA_GRANT,
    QUOTA_REQUEST,
    ROLLOUT_COUNTS,
    ROLLOUT_STATE,
)
from guavawing.sidecar.mesh_messages import (
    ConfigFrame,
)
from guavawing.sidecar.mesh_server import MeshServer
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.owner import Owner
from guavawing.sidecar.planned_stop import PlannedStop
from guavawing.sidecar.quotas import Quotas
from guavawing.sidecar.readiness import Readiness
from guavawing.sidecar.rollouts import Rollouts
from guavawing.sidecar.store_link import StoreLink
from guavawing.sidecar.table_watch import TableWatch
from guavawing.sidecar.target_pool import TargetPool
from guavawing.sidecar.target_probe import TargetProbe
from guavawing.traffic.feed_wait import FeedWait, limit_feed_wait
from guavawing.traffic.heartbeat_proof import HeartbeatProof
from guavawing.traffic.model import (
    NO_TARGET_RECORD,
    Incarnation,
    LoadReport,
    PeerRecord,
    Routing,
    TargetPhase,
    TargetRecord,
)
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import Peer, PeerTable
from guavawing.traffic.readers import (
    CONFIGURATION_READERS,
    NODES_READERS,
    is_reader,
)
from guavawing.traffic.rollout_state import RolloutView
from guavawing.traffic.routes import RouteTable
from guavawing.traffic.target_state import TargetState
from guavawing.traffic.uploads import BodyRoom

__all__ = ["Sidecar"]

# Limits of client connections. They leave descriptors for files, listeners, the
# mesh, the target and the store.
MAX_CALLER_CONNECTIONS = 2_500
MAX_LOCAL_CONNECTIONS = 64
# Shortest intervals between two reads of a table, in seconds: versions in quick
# succession are read together, and the delay is far below `VmSettings.apply_s`.
CONFIGURATION_PERIOD_S = 0.6
NODES_PERIOD_S = 0.6
SETTINGS_POLL_S = 2.0


class Sidecar:
    """The components of one daemon and the callbacks between them."""

    def __init__(
        self, settings: VmSettings, path: pathlib.Path, log: DecisionLog
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._settings = settings
        self._path = path
        self._log = log
        self._rng = Random()
        self._metrics = SidecarMetrics()
        self._tasks = BackgroundTasks(log=log, metrics=self._metrics)
        self._own_record = PeerRecord(
            settings.node,
            settings.host,
            settings.mesh.port,
            settings.data_centre,
            settings.service,
            time.time_ns() // 1_000_000,
        )
        self._own_view = OwnerView(settings.host, local=True, near=True)
        self._peers = PeerTable(self._own_record, self._own_view)
        self._target = TargetState(settings.service, settings.target)
        self._proof = HeartbeatProof(self._target)
        self._pool = TargetPool(settings.target)
        self._freshness = Freshness(
            settings,
            self._peers,
            send=lambda payload, host: self._beacons.send_datagram(
                payload, host
            ),
            read_store=lambda: self._configuration_watch.catch_up(),
            on_newer_version=self._handle_newer_version,
            log=log,
            metrics=self._metrics,
        )
        self._create_request_components()
        self._create_shared_components()
        self._create_quotas()

    def _create_request_components(self) -> None:
        settings = self._settings
        pacer = LinkPacer(settings.link_bytes_per_s)
        room = BodyRoom()
        self._owner = Owner(
            service=settings.service,
            state=self._target,
            pool=self._pool,
            drain_s=settings.drain_s,
            pacer=pacer,
            log=self._log,
            metrics=self._metrics,
        )
        self._owner.on_phase = self._handle_own_target_change
        self._mesh = MeshClient(
            source=settings.host,
            on_load=self._handle_load,
            find_record=self._find_record,
            on_alive=self._record_liveness,
            on_suspicion=lambda host: self._beacons.handle_suspicion(host),
            on_config=self._handle_config,
            pacer=pacer,
        )
        self._entry = Entry(
            service=settings.service,
            owner=self._owner,
            own_view=self._own_view,
            peers=self._peers,
            mesh=self._mesh,
            retries=RetryTerms(settings.retry_ratio, settings.retry_allowance),
            freshness=self._freshness,
            room=room,
            find_rollout=self._find_rollout if settings.rollout else None,
            log=self._log,
            metrics=self._metrics,
        )
        self._readiness = Readiness(
            self._entry,
            self._owner,
            self._own_view,
            self._peers,
            self._freshness,
        )
        self._callers = HttpServer(
            self._entry.handle,
            max_connections=MAX_CALLER_CONNECTIONS,
            pacer=pacer,
            overlaps=self._entry.may_overlap,
        )
        self._callers.state.hold_body = self._entry.hold_body
        self._mesh_server = MeshServer(
            self._owner, make_update=self._make_update, room=room
        )
        self._health_probe = TargetProbe(
            settings.target,
            state=self._target,
            proof=self._proof,
            find_path=self._find_health_path,
            peers=self._peers,
            on_found=self._owner.handle_target_change,
        )
        local = MAX_LOCAL_CONNECTIONS
        calls = LocalCalls(
            target=self._target,
            proof=self._proof,
            on_unverified=lambda: self._tasks.start(
                "verify-heartbeat", self._health_probe.verify
            ),
            on_target=self._owner.handle_target_change,
            is_ready=self._readiness.is_ready,
            peers=self._peers,
            room=room,
            log=self._log,
            metrics=self._metrics,
        )
        self._ready = HttpServer(calls.handle_readiness, max_connections=local)
        self._control = HttpServer(
            calls.handle_target_call, max_connections=local
        )
        self._scrapes = HttpServer(calls.handle_scrape, max_connections=local)

    def _create_quotas(self) -> None:
        settings = self._settings
        if settings.quota is None:
            return
        quotas = Quotas(
            own_record=self._own_record,
            data_centres=settings.data_centres,
            terms=settings.quota,
            peers=self._peers,
            send=self._beacons.send_datagram,
            on_suspicion=self._beacons.handle_suspicion,
            log=self._log,
            metrics=self._metrics,
        )
        self._beacons.register(QUOTA_REQUEST, quotas.handle_request)
        self._beacons.register(QUOTA_GRANT, quotas.handle_grant)
        self._entry.quotas = quotas

    def _create_shared_components(self) -> None:
        settings = self._settings
        self._beacons = Beacons(
            own_record=self._own_record,
            port=settings.gossip.port,
            peers=self._peers,
            read_load=self._owner.load,
            on_peer=self._handle_beacon,
            read_departure=lambda: self._target.departure,
            on_slots=self._handle_known_slots,
            on_target_record=self._owner.apply_peer_record,
            log=self._log,
            metrics=self._metrics,
        )
        self._beacons.register(FRESHNESS_QUERY, self._freshness.handle_query)
        self._beacons.register(FRESHNESS_ANSWER, self._freshness.handle_answer)
        self._configuration = Configuration(
            on_version=self._apply_routing,
            request_from_peer=lambda peer, version: self._mesh.request_config(
                peer.record.host, peer.record.mesh_port, version
            ),
            is_store_reader=lambda: self._is_reader(CONFIGURATION_READERS),
            log=self._log,
            metrics=self._metrics,
        )
        self._store_link = StoreLink(settings.store, source=settings.host)
        self._store = StoreClient(self._store_link.call)
        self._store.era.on_unreadable = self._record_unreadable_era
        self._store.era.on_restored = self._handle_restore
        self._membership = Membership(
            self._store,
            self._own_record,
            self._peers,
            on_found=self._handle_found_peer,
            on_removed=self._mesh.disconnect,
            on_written=lambda: self._nodes_watch.catch_up(),
            log=self._log,
            metrics=self._metrics,
        )
        self._configuration_watch = self._watch(
            CONFIGURATION_TABLE,
            self._apply_operator_changes,
            CONFIGURATION_PERIOD_S,
            CONFIGURATION_READERS,
            on_read=self._handle_configuration_read,
            on_reachability=self._handle_reachability,
            find_wait=lambda: self._freshness.limit_feed_wait(
                limit_feed_wait(settings.apply_s)
            ),
            rereads=True,
        )
        self._nodes_watch = self._watch(
            NODES_TABLE,
            self._membership.apply_changes,
            NODES_PERIOD_S,
            NODES_READERS,
        )
        self._rollouts = self._create_rollouts()
        self._planned_stop = PlannedStop(
            service=settings.service,
            grace_s=settings.grace_s,
            callers=self._callers,
            entry=self._entry,
            owner=self._owner,
            mesh=self._mesh,
            mesh_server=self._mesh_server,
            beacons=self._beacons,
            peers=self._peers,
        )

    def _create_rollouts(self) -> Rollouts | None:
        """Creates the component for roll-outs if the settings have terms."""
        terms = self._settings.rollout
        if terms is None:
            return None
        rollouts = Rollouts(
            terms,
            own_record=self._own_record,
            store=self._store,
            peers=self._peers,
            owner=self._owner,
            target=self._target,
            send=self._beacons.send_datagram,
            is_reader=lambda: self._is_reader(CONFIGURATION_READERS),
            log=self._log,
            metrics=self._metrics,
        )
        self._owner.admits_release = rollouts.admits
        self._owner.on_executed = rollouts.observe
        self._beacons.register(ROLLOUT_STATE, rollouts.handle_state)
        self._beacons.register(ROLLOUT_COUNTS, rollouts.handle_counts)
        return rollouts

    async def start(self) -> None:
        """Opens all listeners and starts to watch the store."""
        settings = self._settings
        await self._callers.listen(settings.callers.host, settings.callers.port)
        await self._mesh_server.listen(settings.mesh.host, settings.mesh.port)
        await self._control.listen(
            settings.heartbeats.host, settings.heartbeats.port
        )
        await self._ready.listen(settings.ready.host, settings.ready.port)
        await self._scrapes.listen(settings.metrics.host, settings.metrics.port)
        await self._beacons.listen()
        if self._entry.quotas is not None:
            self._entry.quotas.start()
        for name, run in (
            ("watch-configuration", self._configuration_watch.run),
            ("watch-nodes", self._follow_nodes),
            ("poll-settings", self._poll_settings),
            ("freshness", self._freshness.run),
            ("probe-target", self._health_probe.run),
        ):
            self._tasks.start(name, run)
        self._log.event(
            "start",
            host=settings.host,
            service=settings.service,
            data_centre=settings.data_centre,
        )

    async def stop(self) -> None:
        """Shuts down gracefully: drains, completes requests and closes."""
        self._readiness.stopping = True
        self._log.event("stop", version=self._configuration.version)
        withdrawal = None
        if self._target.phase in (TargetPhase.DRAINING, TargetPhase.GONE):
            withdrawal = self._loop.create_task(self._membership.withdraw())
        seconds = await self._planned_stop.run()
        if withdrawal is not None:
            withdrawal.cancel()
        self._log.event("stopped", seconds=seconds)
        self.close()

    def close(self) -> None:
        """Closes all components without waiting for requests."""
        self._tasks.close()
        if self._rollouts is not None:
            self._rollouts.close()
        for server in (
            self._callers,
            self._ready,
            self._control,
            self._scrapes,
        ):
            server.close()
        self._mesh_server.close()
        self._mesh.close()
        if self._entry.quotas is not None:
            self._entry.quotas.close()
        self._beacons.close()
        self._pool.close_idle()
        self._store_link.close()

    def reload(self) -> None:
        """Reloads the settings file and applies a changed store address."""
        try:
            settings = parse_settings(self._path.read_text(encoding="utf-8"))
        except (OSError, SettingsInvalidError, UnicodeDecodeError) as exc:
            self._log.event("settings-invalid", cause=str(exc))
            return
        if settings == self._settings:
            return
        self._log.event("settings-changed")
        if settings.store != self._settings.store:
            self._store_link.set_address(settings.store)
        self._settings = settings

    def _watch(
        self,
        table: str,
        on_changes: Callable[[RowChanges, bool], None],
        period_s: float,
        readers: int,
        *,
        on_read: Callable[[float, int], None] = lambda asked_at, era: None,
        on_reachability: Callable[[bool], None] = lambda reached: None,
        find_wait: Callable[[], FeedWait] = FeedWait,
        rereads: bool = False,
    ) -> TableWatch:
        return TableWatch(
            self._store,
            table,
            on_changes=on_changes,
            min_period_s=period_s,
            is_reader=lambda: self._is_reader(readers),
            on_reachability=on_reachability,
            log=self._log,
            metrics=self._metrics,
            on_read=on_read,
            find_wait=find_wait,
            rereads=rereads,
        )

    async def _follow_nodes(self) -> None:
        if self._settings.first_start:
            # The table has only rows that other nodes write concurrently.
            await self._membership.join()
        await self._nodes_watch.run()

    async def _poll_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            self.reload()

    def _find_health_path(self) -> str | None:
        """Returns the path of the target's health check, or None."""
        routing = self._configuration.routing
        spec = routing and routing.services.get(self._settings.service)
        return spec.health_path if spec else None

    # Callbacks of the components.

    def _apply_operator_changes(
        self, changes: RowChanges, complete: bool
    ) -> None:
        self._configuration.apply_changes(changes, complete)
        if self._rollouts is not None:
            self._rollouts.apply_changes(changes, complete)

    def _find_rollout(self, service: str) -> RolloutView:
        assert self._rollouts is not None
        return self._rollouts.find_view(service)

    def _apply_routing(self, routing: Routing, from_store: bool) -> None:
        self._entry.table = RouteTable(
            routing, earlier=self._entry.table, rng=self._rng
        )
        if self._entry.quotas is not None:
            self._entry.quotas.set_accounts(routing.accounts.values())
        self._freshness.set_routing(routing)
        self._readiness.record_configuration()
        self._callers.state.limits = routing.limits
        self._beacons.version = routing.version
        self._beacons.announce_version(from_store=from_store)

    def _handle_own_target_change(self) -> None:
        self._log.state_change(
            "target",
            target=self._target.target_id,
            phase=self._target.phase.name.lower(),
            slots=self._target.slots,
            release=self._target.release,
        )
        self._beacons.announce_change()

    def _handle_beacon(self, peer: Peer) -> None:
        self._entry.resize_budget()
        self._freshness.record_peer_version(peer.version)
        self._freshness.ask_if_unproven()
        self._configuration.handle_peer_version(peer)

    def _handle_newer_version(self, host: str, version: int) -> None:
        peer = self._peers.get(host)
        if peer is not None:
            peer.version = max(peer.version, version)
            self._configuration.handle_peer_version(peer)

    def _handle_configuration_read(self, asked_at: float, era: int) -> None:
        if self._configuration.holds_newest_read:
            self._freshness.record_store_read(asked_at, era)

    def _handle_found_peer(self, peer: Peer) -> None:
        self._entry.resize_budget()
        self._beacons.request_beacon(peer)

    def _handle_load(
        self,
        host: str,
        load: LoadReport,
        departure: Incarnation | None,
        offered: bool,
    ) -> None:
        peer = self._peers.get(host)
        if peer is not None:
            now = self._loop.time()
            self._peers.apply_load(peer, load, now=now)
            peer.departure = departure or peer.departure
            if offered:
                peer.view.offers.add(now=now)

    def _find_record(self, host: str) -> TargetRecord:
        peer = self._peers.get(host)
        return NO_TARGET_RECORD if peer is None else peer.target_record

    def _record_liveness(self, host: str) -> None:
        peer = self._peers.get(host)
        if peer is None:
            return
        if self._peers.record_liveness(peer, now=self._loop.time()):
            self._beacons.handle_return(peer)

    def _handle_known_slots(self, slots: int) -> None:
        if self._target.apply_peer_slots(slots):
            self._owner.handle_target_change()

    def _handle_config(self, config: ConfigFrame) -> None:
        self._configuration.apply_config(config)

    def _record_unreadable_era(self) -> None:
        self._metrics.unreadable.inc({"source": "store-era"})
        self._log.state_change(
            "store-era-unreadable", era=self._store.era.newest
        )

    def _handle_restore(self) -> None:
        for watch in (self._configuration_watch, self._nodes_watch):
            watch.handle_restore()

    def _make_update(self, version: int) -> tuple[int, bytes] | None:
        return self._configuration.make_update(version)

    def _is_reader(self, readers: int) -> bool:
        heard = self._peers.heard_near(
            now=self._loop.time(), period_s=self._beacons.near_period_s
        )
        return is_reader(self._settings.host, heard, readers=readers)

    def _handle_reachability(self, reached: bool) -> None:
        if self._beacons.reaches_store != reached:
            self._beacons.reaches_store = reached
            self._beacons.announce_change()
