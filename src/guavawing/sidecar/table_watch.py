"""Watch of a table of the store: an initial read, then the change feed."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Sequence

import attrs

from guavawing.errors import (
    HistoryLostError,
    PlatformError,
    PlatformUnavailableError,
)
from guavawing.platform.store_client import (
    RowChanges,
    StoreClient,
    StoredRow,
)
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.steady_clock import read_steady_time
from guavawing.traffic.feed_wait import FeedWait

__all__ = ["TableWatch"]

# Interval at which a node that does not follow the store checks whether it has
# become a reader, in seconds.
READER_CHECK_PERIOD_S = 0.25
# Time after the first read, in seconds, in which nodes that start together
# discover each other and thus determine the readers.
DISCOVERY_WAIT_S = 0.8
# First and longest wait after failed calls, in seconds: exponential backoff
# with jitter.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0


class TableWatch:
    """Reports each change of a table to a listener.

    Attributes:
        connected: Whether the last call was answered.
    """

    def __init__(
        self,
        store: StoreClient,
        table: str,
        *,
        on_changes: Callable[[RowChanges, bool], None],
        min_period_s: float,
        is_reader: Callable[[], bool],
        on_reachability: Callable[[bool], None],
        log: DecisionLog,
        metrics: SidecarMetrics,
        on_read: Callable[[float, int], None] = lambda asked_at, era: None,
        find_wait: Callable[[], FeedWait] = FeedWait,
        rereads: bool = False,
    ) -> None:
        """Creates a watch that has not started.

        Args:
            store: The store.
            table: Name of the table.
            on_changes: Called with changed rows and whether they are the
                complete table.
            min_period_s: Shortest interval between two calls, in seconds;
                changes in quick succession are read together.
            is_reader: Returns whether this node follows the feed. Every node
                reads the table once.
            on_reachability: Called with whether the store answers, when that
                changes.
            log: Receives the loss and return of the store.
            metrics: Counts the calls.
            on_read: Called when all changes up to a call have been reported,
                with the steady time at which the call was sent and the era of
                the store.
            find_wait: Returns the time limits of the next call of the feed.
            rereads: Whether the table is read as a whole after a time in which
                it was not followed, and what has changed is found by
                comparison. The feed returns each change of a row since, which
                for few large rows is far more than the table.
        """
        self._loop = asyncio.get_running_loop()
        self._store = store
        self._table = table
        self._on_changes = on_changes
        self._min_period_s = min_period_s
        self._is_reader = is_reader
        self._on_reachability = on_reachability
        self._log = log
        self._metrics = metrics
        self._on_read = on_read
        self._find_wait = find_wait
        self._rereads = rereads
        # Whether the last call was answered, and the table followed since.
        self._current = False
        # Keys of the rows, if the table is compared.
        self._keys: set[str] = set()
        # Version up to which the table is known, and the store's era in which
        # it was given out.
        self._version: int | None = None
        self._era = 0
        self.connected = False
        self._ever_failed = False
        self._answered_at = self._loop.time()
        self._followed = False
        self._follows_from: float | None = None
        self._catch_up_due = asyncio.Event()
        # Time limit of the call of the feed under way.
        self._call_limit: asyncio.Timeout | None = None

    def catch_up(self) -> None:
        """Requests one read of the feed, also if this node is no reader."""
        self._catch_up_due.set()

    def handle_restore(self) -> None:
        """Reads the table again after the store was restored.

        A call that waits since before may wait for a version that the store
        gives out much later.
        """
        if self._call_limit is not None and not self._call_limit.expired():
            self._call_limit.reschedule(self._loop.time())

    async def run(self) -> None:
        """Watches the table until cancelled."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            while not self._is_due():
                self._current = False
                await self._pause(READER_CHECK_PERIOD_S)
            started_at = self._loop.time()
            try:
                await self._step()
            except HistoryLostError:
                self._count("history-lost")
                self._version = None
                continue
            except PlatformError as exc:
                self._record_failure(exc)
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                continue
            backoff_s = FIRST_BACKOFF_S
            self._record_success()
            spent_s = self._loop.time() - started_at
            await self._pause(max(0.0, self._min_period_s - spent_s))

    async def _step(self) -> None:
        # A call that starts now includes all earlier writes.
        catches_up = self._catch_up_due.is_set()
        self._catch_up_due.clear()
        try:
            await self._read()
        except Exception:
            self._current = False
            if catches_up:
                self._catch_up_due.set()
            raise

    async def _read(self) -> None:
        asked_at = read_steady_time()
        if self._version is None:
            changes = await self._read_whole()
            if self._follows_from is None:
                self._follows_from = self._loop.time() + DISCOVERY_WAIT_S
            self._record_era(changes)
            self._on_changes(changes, True)
            self._keys.clear()
            self._record_keys(changes.rows)
            self._version = changes.version
            self._current = True
            self._on_read(asked_at, changes.era)
            return
        if self._rereads and not self._current:
            changes = await self._reread(after=self._version)
        else:
            changes = await self._watch(after=self._version)
        if changes.era != self._era:
            # Versions are given out again after the store was restored, so this
            # answer may leave out changes.
            self._version = None
            return
        if changes.rows or changes.unreadable:
            self._on_changes(changes, False)
        # Changes that could not be applied are read again.
        self._record_keys(changes.rows)
        self._version = max(self._version, changes.version)
        self._current = True
        self._on_read(asked_at, changes.era)

    async def _read_whole(self) -> RowChanges:
        """Reads the table; idle connections may have been lost by then."""
        return await self._store.read_table(
            self._table, answer_s=self._find_wait().answer_s, fresh=True
        )

    async def _watch(self, *, after: int) -> RowChanges:
        # The first answer after a failure shows whether the store was restored
        # meanwhile, so it is not to wait for a change.
        waits = self.connected and self._follows()
        limits = self._find_wait()
        try:
            async with asyncio.timeout(None) as self._call_limit:
                return await self._store.watch_table(
                    self._table,
                    after=after,
                    wait_s=limits.wait_s if waits else 0.0,
                    answer_s=limits.answer_s,
                )
        except TimeoutError as exc:
            raise HistoryLostError("the store was restored meanwhile") from exc
        finally:
            self._call_limit = None

    async def _reread(self, *, after: int) -> RowChanges:
        """Returns what has changed, by a whole read if it is up to date."""
        whole = await self._read_whole()
        if whole.era == self._era and whole.version < after:
            self._log.state_change(
                "store-outdated",
                table=self._table,
                version=whole.version,
                known=after,
            )
            # What an outdated copy lacks may be there.
            return await self._watch(after=after)
        return self._find_changes(whole, after=after)

    def _find_changes(self, whole: RowChanges, *, after: int) -> RowChanges:
        """Returns what has changed in a table that was read as a whole."""
        rows = [row for row in whole.rows if row.version > after]
        found = {row.key for row in whole.rows}
        if not whole.unreadable:
            # An unreadable row might be any of those that are missing.
            rows += [
                StoredRow(self._table, key, None, whole.version)
                for key in sorted(self._keys - found)
            ]
        return attrs.evolve(whole, rows=tuple(rows))

    def _record_keys(self, rows: Sequence[StoredRow]) -> None:
        for row in rows if self._rereads else ():
            if row.value is None:
                self._keys.discard(row.key)
            else:
                self._keys.add(row.key)

    def _record_era(self, changes: RowChanges) -> None:
        """Records the era of a complete read; logs that it has changed."""
        if self._era not in (0, changes.era):
            self._count("restored")
            self._log.state_change(
                "store-restored",
                table=self._table,
                era=changes.era,
                era_before=self._era,
                version=changes.version,
                rows=len(changes.rows),
            )
        self._era = changes.era

    async def _pause(self, seconds: float) -> None:
        """Waits for a time or until a read is requested by `catch_up`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._catch_up_due.wait()

    def _is_due(self) -> bool:
        return (
            self._version is None
            or self._catch_up_due.is_set()
            or self._follows()
        )

    def _follows(self) -> bool:
        discovered = self._loop.time() >= (self._follows_from or 0.0)
        follows = discovered and self._is_reader()
        if follows is not self._followed:
            self._followed = follows
            self._log.state_change(
                "store-followed" if follows else "store-left",
                table=self._table,
                version=self._version,
            )
        return follows

    def _record_success(self) -> None:
        self._count("answered")
        self._answered_at = self._loop.time()
        self._metrics.store_answered.set({"table": self._table}, time.time())
        if not self.connected:
            self.connected = True
            self._on_reachability(True)
            self._log.state_change(
                "store-reached", table=self._table, version=self._version
            )

    def _record_failure(self, exc: PlatformError) -> None:
        unsent = isinstance(exc, PlatformUnavailableError)
        self._count("unavailable" if unsent else "failed")
        if self.connected or not self._ever_failed:
            self._ever_failed = True
            self.connected = False
            self._on_reachability(False)
            self._log.state_change(
                "store-lost",
                table=self._table,
                cause=str(exc),
                version=self._version,
                silent_s=round(self._loop.time() - self._answered_at, 3),
            )

    def _count(self, outcome: str) -> None:
        self._metrics.store_calls.inc(
            {"call": f"watch-{self._table}", "outcome": outcome}
        )
