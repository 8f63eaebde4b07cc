"""The task that performs the I/O of configuration distribution."""

import asyncio
import collections
import contextlib
import datetime
import random
from collections.abc import AsyncIterator, Callable, Coroutine

import grpclib

from guavawing.config import PolicyTable
from guavawing.config.codec import MAX_DOCUMENT_BYTES
from guavawing.distribution import (
    PollSchedule,
    Version,
    VersionFetcher,
    VersionHistory,
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
    ReportRejection,
    SnapshotContent,
    Tick,
)
from guavawing.errors import (
    MessageInvalidError,
    PlatformDataInvalidError,
    PlatformError,
)
from guavawing.membership import Member, MemberState, MemberTable, Notice
from guavawing.node.channel import ByteListener, open_channel
from guavawing.node.logs import log, log_action
from guavawing.node.metrics import Metrics
from guavawing.proto.control_grpc import ControlStub
from guavawing.proto.control_pb2 import PullReply, PullRequest
from guavawing.store import Platform, fetch_head, format_object_name

__all__ = ["Distributor", "open_distributor"]

PULL_TIMEOUT_S = 2.0
OBJECT_TIMEOUT_S = 3.0
MAX_PENDING_NOTICES = 64
# A reply may hold a complete compressed document, plus the HTTP/2 framing.
MAX_REPLY_BYTES = MAX_DOCUMENT_BYTES + 65_536
MS_PER_S = 1_000

# Time between two checks of the date.
DATE_CHECK_PERIOD_S = 30.0

VersionListener = Callable[[Version], None]


def read_utc_date() -> datetime.date:
    """Returns the current date in UTC, by which exceptions end."""
    return datetime.datetime.now(datetime.UTC).date()


class Distributor:
    """Runs the version fetcher: passes it events, performs its actions."""

    def __init__(
        self,
        *,
        platform: Platform,
        table: MemberTable,
        node_id: str,
        data_centre: str,
        source: str,
        metrics: Metrics,
        expects_peers: Callable[[], bool] = lambda: False,
        read_today: Callable[[], datetime.date] = read_utc_date,
    ) -> None:
        self._read_today = read_today
        self._expects_peers = expects_peers
        self._platform = platform
        self._table = table
        self._node_id = node_id
        self._data_centre = data_centre
        self._source = source
        self._metrics = metrics
        self._platform_bytes = 0
        self._fetcher = VersionFetcher(random.Random())
        self._policies: PolicyTable | None = None
        self._events: collections.deque[Event] = collections.deque()
        self._woken = asyncio.Event()
        self._fetches: set[asyncio.Task[None]] = set()
        self._listeners: list[VersionListener] = []

    @property
    def current(self) -> Version:
        """The version in force."""
        return self._fetcher.current

    @property
    def history(self) -> VersionHistory:
        """The earlier versions, as deltas."""
        return self._fetcher.history

    @property
    def rejections(self) -> dict[int, str]:
        """Reasons for which newer versions were rejected, by number."""
        return self._fetcher.rejections

    def policies(self) -> PolicyTable | None:
        """Returns the policies in force, or None before the first version."""
        return self._policies

    def add_listener(self, listener: VersionListener) -> None:
        """Adds a listener that is called for every version put in force.

        It is called also when the date ends exceptions of that version.
        """
        self._listeners.append(listener)

    def handle_notice(self, source: str, notice: Notice) -> None:
        """Handles a notice that a member or the platform has a version."""
        version = VersionId(notice.version, notice.digest)
        if not self._fetcher.is_eligible(version):
            return
        if source != PLATFORM and self._table.get(source) is None:
            return
        # Dropped notices are repeated by later gossip.
        if len(self._events) < MAX_PENDING_NOTICES:
            self._post(NoticeReceived(source, version, self._is_local(source)))

    async def run(self) -> None:
        """Passes events and time to the fetcher until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(self._fetcher.next_wake()):
                    await self._woken.wait()
            self._woken.clear()
            events = [*self._events] or [Tick()]
            self._events.clear()
            for event in events:
                if isinstance(event, PayloadReceived):
                    self._apply(event, now=loop.time())
                else:
                    self._handle(event, now=loop.time())

    async def watch_date(self) -> None:
        """Stops applying exceptions after their last day, until cancelled."""
        while True:
            await asyncio.sleep(DATE_CHECK_PERIOD_S)
            self.apply_current_date()

    def apply_current_date(self) -> None:
        """Puts the policies for the current date in force."""
        if self._policies is None:
            return
        policies = self._policies.for_day(self._read_today())
        if policies is not self._policies:
            self._policies = policies
            log("info", "exceptions-ended", version=self.current.number)
            self._notify_listeners()

    async def poll(self, period_s: float) -> None:
        """Polls the head of the configuration until cancelled.

        All nodes of a data centre together make one read per `period_s`, on
        average.
        """
        loop = asyncio.get_running_loop()
        schedule = PollSchedule(
            random.Random(), period_s=period_s, now=loop.time()
        )
        while True:
            await asyncio.sleep(schedule.draw_interval())
            due = schedule.is_due(
                now=loop.time(),
                live_nodes=self._count_live_nodes(),
                has_version=self.current.number > 0,
                awaits_members=self._awaits_members(),
            )
            if not due:
                continue
            succeeded = await self._read_head()
            schedule.record_read(succeeded=succeeded)
            self._count_platform_bytes()

    async def _read_head(self) -> bool:
        try:
            head = await fetch_head(self._platform)
        except PlatformError:
            return False
        self.handle_notice(PLATFORM, Notice(head.version, head.digest))
        return True

    def close(self) -> None:
        """Cancels all fetches."""
        for task in self._fetches:
            task.cancel()

    def _handle(self, event: Event, *, now: float) -> list[Action]:
        actions = self._fetcher.handle(event, now=now)
        for action in actions:
            self._carry_out(action)
        return actions

    def _apply(self, event: PayloadReceived, *, now: float) -> None:
        number = event.version.number
        with log_action("apply", version=number) as record:
            actions = self._handle(event, now=now)
            applied = any(isinstance(each, EnforceVersion) for each in actions)
            record.add_success_fields(applied=applied)

    def _post(self, event: Event) -> None:
        self._events.append(event)
        self._woken.set()

    def _is_local(self, source: str) -> bool:
        member = self._table.get(source)
        return member is not None and member.data_centre == self._data_centre

    def _awaits_members(self) -> bool:
        return len(self._table) <= 1 and self._expects_peers()

    def _count_live_nodes(self) -> int:
        return sum(
            1
            for member in self._table
            if member.data_centre == self._data_centre
            and member.state is MemberState.ALIVE
        )

    def _carry_out(self, action: Action) -> None:
        match action:
            case PullFromPeer():
                self._start(action.fetch_id, self._pull(action))
            case FetchObject():
                self._start(action.fetch_id, self._fetch_object(action))
            case EnforceVersion(version=version):
                self._put_in_force(version)
            case ReportRejection(version=version, message=message):
                self._metrics.rejections.inc({})
                log(
                    "warning",
                    "version-rejected",
                    version=version.number,
                    why=message,
                )
            case ReportFault(source=source, fault=fault):
                self._metrics.fetch_faults.inc({"reason": str(fault)})
                log("debug", "fetch-failed", source=source, reason=str(fault))

    def _start(
        self, fetch_id: int, fetch: Coroutine[None, None, Event]
    ) -> None:
        async def run() -> None:
            event: Event = FetchFailed(fetch_id, FetchFault.UNREACHABLE)
            try:
                event = await fetch
            finally:
                # The fetcher requires exactly one event for each fetch.
                self._post(event)

        task = asyncio.get_running_loop().create_task(run())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    async def _fetch_object(self, action: FetchObject) -> Event:
        name = format_object_name(action.version.number, action.version.digest)
        try:
            async with asyncio.timeout(OBJECT_TIMEOUT_S):
                payload = await self._platform.get_object(name)
        except PlatformDataInvalidError:
            return FetchFailed(action.fetch_id, FetchFault.DAMAGED)
        except (PlatformError, TimeoutError):
            return FetchFailed(action.fetch_id, FetchFault.UNREACHABLE)
        finally:
            self._count_platform_bytes()
        if payload is None:
            return FetchFailed(action.fetch_id, FetchFault.WITHHELD)
        return PayloadReceived(
            action.fetch_id, action.version, SnapshotContent(payload)
        )

    async def _pull(self, action: PullFromPeer) -> Event:
        member = self._table.get(action.peer)
        if member is None:
            return FetchFailed(action.fetch_id, FetchFault.UNREACHABLE)
        request = PullRequest(
            base_version=action.base.number,
            base_digest=action.base.digest,
            puller=self._node_id,
        )
        try:
            reply = await self._exchange(member, request)
        except (grpclib.GRPCError, OSError, TimeoutError):
            return FetchFailed(action.fetch_id, FetchFault.UNREACHABLE)
        except grpclib.exceptions.StreamTerminatedError:
            return FetchFailed(action.fetch_id, FetchFault.UNREACHABLE)
        if reply.retry_after_ms:
            return FetchFailed(
                action.fetch_id,
                FetchFault.BUSY,
                retry_after_s=reply.retry_after_ms / MS_PER_S,
                ask_instead=reply.ask_instead,
            )
        try:
            content = _read_content(reply, action.base)
        except MessageInvalidError:
            return FetchFailed(action.fetch_id, FetchFault.DAMAGED)
        return PayloadReceived(
            action.fetch_id, VersionId(reply.version, reply.digest), content
        )

    async def _exchange(
        self, member: Member, request: PullRequest
    ) -> PullReply:
        crossed = str(member.data_centre != self._data_centre).lower()
        with open_channel(
            member.control,
            source=self._source,
            on_bytes=self._count_bytes("pull", crossed=crossed),
            limit=MAX_REPLY_BYTES,
        ) as channel:
            # The timeout of the stub does not include opening the connection.
            async with asyncio.timeout(PULL_TIMEOUT_S):
                reply: PullReply = await ControlStub(channel).Pull(request)
                return reply

    def _count_platform_bytes(self) -> None:
        received = self._platform.received_bytes
        count = self._count_bytes("platform", crossed="unknown")
        count("received", received - self._platform_bytes)
        self._platform_bytes = received

    def _count_bytes(self, kind: str, *, crossed: str) -> ByteListener:
        def count(direction: str, size: int) -> None:
            labels = {
                "direction": direction,
                "kind": kind,
                "cross_data_centre": crossed,
            }
            self._metrics.control_bytes.add(labels, size)

        return count

    def _put_in_force(self, version: Version) -> None:
        self._policies = PolicyTable(
            version.document,
            data_centre=self._data_centre,
            today=self._read_today(),
        )
        self._metrics.version.set({}, version.number)
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener(self.current)


def _read_content(reply: PullReply, base: VersionId) -> Content:
    if reply.delta:
        return DeltaContent(base, reply.delta)
    if reply.snapshot:
        return SnapshotContent(
            decompress_payload(reply.snapshot, limit=MAX_DOCUMENT_BYTES)
        )
    return NoContent()


@contextlib.asynccontextmanager
async def open_distributor(
    distributor: Distributor, *, poll_period_s: float
) -> AsyncIterator[Distributor]:
    """Runs the tasks of a distributor until closed."""
    loop = asyncio.get_running_loop()
    tasks = (
        loop.create_task(distributor.run()),
        loop.create_task(distributor.poll(poll_period_s)),
        loop.create_task(distributor.watch_date()),
    )
    try:
        yield distributor
    finally:
        for task in tasks:
            task.cancel()
        distributor.close()
