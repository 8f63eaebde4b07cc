"""The task that learns of versions, fetches them and puts them in force."""

import asyncio
import contextlib
import datetime
import random
from collections.abc import AsyncIterator, Callable

import attrs
import eliot
import grpclib

from guavawing.config import PolicyTable
from guavawing.distribution import Applied, Rejected, Version, VersionKeeper
from guavawing.errors import PlatformError
from guavawing.membership import MemberTable, Notice
from guavawing.node.channel import SourceChannel
from guavawing.node.metrics import Metrics
from guavawing.platform import Platform, fetch_head
from guavawing.proto.control_grpc import ControlStub
from guavawing.proto.control_pb2 import PullRequest

__all__ = ["Distributor", "open_distributor"]

PULL_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.5
MAX_PENDING_NOTICES = 64

VersionListener = Callable[[Version], None]


@attrs.frozen
class _HeardNotice:
    """A version that a member, or the platform, is known to have.

    Attributes:
        source: Id of the member; empty for the platform.
        notice: The version.
    """

    source: str
    notice: Notice


class Distributor:
    """Owns the version in force at this node."""

    def __init__(
        self,
        *,
        platform: Platform,
        table: MemberTable,
        data_centre: str,
        source: str,
        metrics: Metrics,
    ) -> None:
        self._platform = platform
        self._table = table
        self._data_centre = data_centre
        self._source = source
        self._metrics = metrics
        self._keeper = VersionKeeper()
        self._policies: PolicyTable | None = None
        self._notices: asyncio.Queue[_HeardNotice] = asyncio.Queue(
            MAX_PENDING_NOTICES
        )
        self._listeners: list[VersionListener] = []

    @property
    def current(self) -> Version:
        """The version in force."""
        return self._keeper.current

    @property
    def rejections(self) -> dict[int, str]:
        """Why newer versions were kept out, by number."""
        return self._keeper.rejections

    def policies(self) -> PolicyTable | None:
        """Returns the policies in force, or None before the first version."""
        return self._policies

    def listen(self, listener: VersionListener) -> None:
        """Adds a listener that is told of every version put in force."""
        self._listeners.append(listener)

    def hear(self, source: str, notice: Notice) -> None:
        """Takes the news that a member or the platform has a version."""
        if not self._keeper.wants(notice.version, notice.digest):
            return
        # A notice that does not fit is heard again with later gossip.
        with contextlib.suppress(asyncio.QueueFull):
            self._notices.put_nowait(_HeardNotice(source, notice))

    async def run(self) -> None:
        """Fetches and applies versions until cancelled."""
        while True:
            heard = await self._notices.get()
            notice = heard.notice
            if not self._keeper.wants(notice.version, notice.digest):
                continue
            payload = await self._fetch(heard)
            if payload is None:
                await asyncio.sleep(random.uniform(0, RETRY_DELAY_S))
                continue
            self._apply(notice, payload)

    async def poll(self, period_s: float) -> None:
        """Reads the head of the configuration until cancelled.

        All nodes of a data centre together make one read in `period_s`.
        """
        while True:
            with contextlib.suppress(PlatformError):
                head = await fetch_head(self._platform)
                self.hear("", Notice(head.version, head.digest))
            members = sum(
                1 for m in self._table if m.data_centre == self._data_centre
            )
            mean_s = period_s * max(members, 1)
            await asyncio.sleep(random.uniform(0, 2 * mean_s))

    async def _fetch(self, heard: _HeardNotice) -> bytes | None:
        if heard.source:
            payload = await self._pull_from_member(heard)
            if payload is not None:
                return payload
        with contextlib.suppress(PlatformError):
            return await self._platform.get_object(heard.notice.digest.hex())
        return None

    async def _pull_from_member(self, heard: _HeardNotice) -> bytes | None:
        member = self._table.get(heard.source)
        if member is None:
            return None
        current = self._keeper.current
        request = PullRequest(
            base_version=current.number, base_digest=current.digest
        )
        channel = SourceChannel(member.control, source=self._source)
        try:
            reply = await ControlStub(channel).Pull(
                request, timeout=PULL_TIMEOUT_S
            )
        except (grpclib.GRPCError, OSError, TimeoutError):
            return None
        except grpclib.exceptions.StreamTerminatedError:
            return None
        finally:
            channel.close()
        if reply.digest != heard.notice.digest:
            return None
        labels = {
            "direction": "received",
            "kind": "pull",
            "cross_data_centre": str(
                member.data_centre != self._data_centre
            ).lower(),
        }
        self._metrics.control_bytes.add(labels, reply.ByteSize())
        payload: bytes = reply.snapshot
        return payload

    def _apply(self, notice: Notice, payload: bytes) -> None:
        with eliot.start_action(
            action_type="apply", version=notice.version
        ) as action:
            result = self._keeper.apply(notice.version, notice.digest, payload)
            match result:
                case Applied(version=version):
                    self._put_in_force(version)
                    action.add_success_fields(applied=True)
                case Rejected(message=message):
                    self._metrics.rejections.inc({})
                    action.add_success_fields(applied=False, why=message)

    def _put_in_force(self, version: Version) -> None:
        self._policies = PolicyTable(
            version.document,
            data_centre=self._data_centre,
            today=datetime.datetime.now(datetime.UTC).date(),
        )
        self._metrics.version.set({}, version.number)
        for listener in self._listeners:
            listener(version)


@contextlib.asynccontextmanager
async def open_distributor(
    distributor: Distributor, *, poll_period_s: float
) -> AsyncIterator[Distributor]:
    """Runs the tasks of a distributor until closed."""
    loop = asyncio.get_running_loop()
    tasks = (
        loop.create_task(distributor.run()),
        loop.create_task(distributor.poll(poll_period_s)),
    )
    try:
        yield distributor
    finally:
        for task in tasks:
            task.cancel()
