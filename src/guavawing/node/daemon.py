"""The node daemon: starts and stops the components in order."""

import asyncio
import contextlib
import gc
import random
import time
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from guavawing.distribution import Version
from guavawing.membership import (
    Gossip,
    Listeners,
    Member,
    MemberState,
    Notice,
)
from guavawing.node.admin_server import (
    AdminActions,
    AdminServer,
    open_admin_server,
)
from guavawing.node.caller_server import CallerServer, open_caller_server
from guavawing.node.control_server import ControlServer, open_control_server
from guavawing.node.distributor import Distributor, open_distributor
from guavawing.node.duplicate_process_check import (
    DuplicateProcessCheck,
    open_duplicate_process_check,
)
from guavawing.node.entry import Entry
from guavawing.node.gossip_task import GossipTask, open_gossip
from guavawing.node.joiner import Joiner, open_joiner
from guavawing.node.logs import log, log_action
from guavawing.node.mesh_pool import open_mesh_pool
from guavawing.node.mesh_server import MeshServer, open_mesh_server
from guavawing.node.metrics import Metrics
from guavawing.node.owner import open_owner
from guavawing.node.settings import Settings
from guavawing.node.target_client import open_target_client
from guavawing.policy.choice import Chooser
from guavawing.store import Platform
from guavawing.store.claims import ClaimTable
from guavawing.store.client import open_platform

__all__ = ["Node"]

HEALTH_PERIOD_S = 0.5
FAILURES_UNTIL_DOWN = 3
# Time for the start of a drain to reach the other nodes.
DRAIN_PROPAGATION_S = 1.0
# Time in which responses with `Connection: close` end the persistent
# connections of callers, which then connect to another node.
STOP_GRACE_S = 0.5
# Longest wait for the last answers to be written to entry nodes.
FLUSH_TIMEOUT_S = 2.0
# Allocations between two collections of the youngest generation.
GC_ALLOCATIONS = 10_000
NS_PER_MS = 1_000_000


class Node:
    """One node, with all of its components."""

    def __init__(
        self, settings: Settings, *, on_replaced: Callable[[], None]
    ) -> None:
        """Creates a node that is not started.

        Args:
            settings: Validated settings.
            on_replaced: Called once another process has taken over the node
                id; this process has to stop.
        """
        self._settings = settings
        self._stack = contextlib.AsyncExitStack()
        self._metrics = Metrics()
        self._draining = False
        self._healthy = False
        self._on_replaced = on_replaced
        self._replaced = False

    @property
    def replaced(self) -> bool:
        """Whether another process has taken over this node's id."""
        return self._replaced

    async def start(self) -> None:
        """Starts every component; the caller and admin servers last."""
        settings = self._settings
        enter = self._stack.enter_async_context
        platform = await enter(
            open_platform(settings.platform, source=settings.mesh.host)
        )
        await self._join(platform)
        me = self._gossip.me
        self._target = await enter(
            open_target_client(settings.target, connections=0)
        )
        self._owner = await enter(
            open_owner(
                member_id=me.id,
                incarnation=me.incarnation,
                target=self._target,
                metrics=self._metrics,
            )
        )
        self._gossip_task.set_identity_listener(self._apply_identity)
        check = DuplicateProcessCheck(
            platform, self._gossip, random.Random(), self._metrics
        )
        await enter(open_duplicate_process_check(check))
        self._distributor = Distributor(
            platform=platform,
            table=self._gossip.table,
            node_id=settings.node_id,
            data_centre=settings.data_centre,
            source=settings.control.host,
            metrics=self._metrics,
            expects_peers=lambda: self._joiner.expects_peers,
        )
        await self._open_servers(me, ClaimTable(platform))

    async def _join(self, platform: Platform) -> None:
        """Joins the membership before any key is bound to this process.

        If the wall clock ran backwards, members may have recorded a higher
        incarnation of this node; the node then raises its own above it.
        """
        settings = self._settings
        incarnation = time.time_ns() // NS_PER_MS
        self._gossip = Gossip(
            _describe_node(settings, incarnation),
            settings.seeds,
            random.Random(),
            period_s=settings.gossip_period_s,
        )
        self._gossip_task = GossipTask(
            self._gossip,
            period_s=settings.gossip_period_s,
            metrics=self._metrics,
        )
        enter = self._stack.enter_async_context
        await enter(
            open_gossip(
                self._gossip_task, settings.listen_control or settings.control
            )
        )
        self._joiner = Joiner(platform, self._gossip, random.Random())
        await enter(open_joiner(self._joiner))
        await self._joiner.wait_joined()

    async def _open_servers(self, me: Member, claims: ClaimTable) -> None:
        settings = self._settings
        enter = self._stack.enter_async_context
        chooser = Chooser(random.Random(), entry_id=me.id)
        pool = await enter(
            open_mesh_pool(
                member_id=me.id,
                incarnation=me.incarnation,
                source=settings.mesh.host,
                on_load=lambda *load: self._entry.record_load(*load),
            )
        )
        self._entry = Entry(
            me=me,
            table=self._gossip.table,
            owner=self._owner,
            pool=pool,
            chooser=chooser,
            claims=claims,
            metrics=self._metrics,
        )
        self._mesh = MeshServer(
            owner=self._owner,
            policies=self._distributor.policies,
            member_id=me.id,
        )
        mesh_address = settings.listen_mesh or settings.mesh
        await enter(open_mesh_server(self._mesh, mesh_address, self._metrics))
        control = ControlServer(self._distributor, self._metrics)
        control_address = settings.listen_control or settings.control
        await enter(open_control_server(control, control_address))
        self._gossip_task.set_notice_listener(self._distributor.handle_notice)
        self._distributor.add_listener(self._apply_version)
        await enter(
            open_distributor(
                self._distributor, poll_period_s=settings.poll_period_s
            )
        )
        self._caller_server = CallerServer(
            entry=self._entry,
            policies=self._distributor.policies,
            metrics=self._metrics,
        )
        await enter(
            open_caller_server(
                self._caller_server, settings.caller, self._metrics
            )
        )
        actions = AdminActions(
            read_status=self._read_status,
            list_members=self._list_members,
            is_ready=self._is_ready,
            set_draining=self._set_draining,
            update_gauges=self._update_gauges,
        )
        admin = AdminServer(actions, self._metrics)
        await enter(open_admin_server(admin, settings.admin))
        loop = asyncio.get_running_loop()
        watch = loop.create_task(self._watch_target())
        self._stack.callback(watch.cancel)
        _configure_garbage_collector()
        incarnation = self._owner.incarnation
        log("info", "start", node=me.id, incarnation=incarnation)

    async def close(self) -> None:
        """Closes all open components at once."""
        await self._stack.aclose()

    async def stop(self) -> None:
        """Drains the target, waits for calls in flight and leaves.

        The wait is bounded by the drain timeout of the settings.
        """
        with log_action("stop", node=self._gossip.me.id):
            self._set_draining(True)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._settings.drain_timeout_s):
                    await asyncio.sleep(DRAIN_PROPAGATION_S)
                    self._caller_server.start_stopping()
                    await asyncio.sleep(STOP_GRACE_S)
                    await self._caller_server.wait_idle()
                    await self._owner.wait_idle()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FLUSH_TIMEOUT_S):
                    await self._mesh.wait_flushed()
            self._gossip_task.leave()
            await self.close()

    def _apply_identity(self, incarnation: int, replaced: bool) -> None:
        """Applies the state of this node's id according to the members."""
        if incarnation != self._owner.incarnation:
            log(
                "warning",
                "incarnation-raised",
                node=self._settings.node_id,
                before=self._owner.incarnation,
                incarnation=incarnation,
            )
            self._owner.raise_incarnation(incarnation)
        if replaced and not self._replaced:
            log(
                "error",
                "replaced",
                node=self._settings.node_id,
                incarnation=incarnation,
            )
            self._owner.start_draining()
            self._replaced = True
            self._on_replaced()

    def _apply_version(self, version: Version) -> None:
        """Applies the limits of a new version to the target."""
        policies = self._distributor.policies()
        assert policies is not None
        service = self._settings.service
        limits = policies.get_limits(service)
        slots = 0 if limits is None else limits.slots
        self._owner.set_limits(
            slots=slots, queue_limit=policies.get_queue_limit(service)
        )
        self._gossip_task.set_notice(Notice(version.number, version.digest))
        self._update_serving()

    def _set_draining(self, draining: bool) -> None:
        # After a replacement, calls for this id go to the other process.
        draining |= self.replaced
        self._draining = draining
        log("info", "drain", node=self._gossip.me.id, draining=draining)
        if draining:
            self._owner.start_draining()
        else:
            self._owner.stop_draining()
        me = self._gossip.me
        self._entry.record_load(me.id, me.incarnation, self._owner.load())
        self._mesh.announce_load()
        self._update_serving()

    def _update_serving(self) -> None:
        slots = self._owner.load().slots
        serving = self._healthy and slots > 0 and not self._draining
        self._gossip_task.set_target(serving=serving, slots=slots)

    def _is_ready(self) -> bool:
        return self._distributor.current.number > 0 and not self._draining

    async def _watch_target(self) -> None:
        failures = 0
        while True:
            if await self._target.is_healthy():
                failures = 0
                self._healthy = True
            else:
                failures += 1
                self._healthy &= failures < FAILURES_UNTIL_DOWN
            self._update_serving()
            self._entry.remove_departed()
            await asyncio.sleep(HEALTH_PERIOD_S)

    def _update_gauges(self) -> None:
        load = self._owner.load()
        self._metrics.running.set({}, load.running)
        self._metrics.queued.set({}, load.queued)
        self._metrics.abandoned.set({}, self._owner.abandoned)

    def _read_status(self) -> dict[str, Any]:
        me = self._gossip.me
        current = self._distributor.current
        return {
            "node": me.id,
            "incarnation": me.incarnation,
            "data_centre": me.data_centre,
            "service": me.service,
            "version": current.number,
            "digest": current.digest.hex(),
            "ready": self._is_ready(),
            "serving": me.serving,
            "draining": self._draining,
            "load": attrs.asdict(self._owner.load()),
            "abandoned": self._owner.abandoned,
            "rejections": {
                str(number): message
                for number, message in self._distributor.rejections.items()
            },
        }

    def _list_members(self) -> Iterator[dict[str, Any]]:
        for member in self._gossip.table:
            yield {
                "node": member.id,
                "state": member.state.name.lower(),
                "serving": member.serving,
                "data_centre": member.data_centre,
                "service": member.service,
                "admin": str(member.admin),
            }


def _describe_node(settings: Settings, incarnation: int) -> Member:
    return Member(
        id=settings.node_id,
        incarnation=incarnation,
        sequence=0,
        state=MemberState.ALIVE,
        data_centre=settings.data_centre,
        region=settings.region,
        service=settings.service,
        host=settings.mesh.host,
        listeners=Listeners.share(
            settings.mesh, settings.control, settings.admin
        ),
        slots=0,
        serving=False,
    )


def _configure_garbage_collector() -> None:
    """Excludes objects that exist as long as the process from collection.

    Modules and long-lived components are nearly all objects of a node. A
    full collection that traverses them all delays the calls in flight.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)
