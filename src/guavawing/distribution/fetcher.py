"""State machine that fetches new versions: events in, actions out.

No source is trusted. A notice only indicates a possible source of a version;
content is accepted only if its digest matches and the complete document is
valid. The state machine selects the source and order of fetches so that slow,
silent, outdated or faulty sources do not delay a version:

- each source has one offer, its newest, and at most one fetch in flight;
- each version has at most one fetch in flight;
- sources that failed rank below those that did not, whatever number they
  announce, and are retried with exponential backoff;
- a source in another data centre is used after a random delay, so that
  usually one node of a data centre transfers the version between them;
- the object store is read if the platform announced the version, or if
  fetches from members that announced it have failed.

A node without a version collects offers for a short time and fetches only the
highest: after a restart it must not enforce an older version than before as
long as any of its peers offers the newer one.
"""

import random

import attrs

from guavawing.distribution.applier import (
    Applied,
    ApplyResult,
    Rejected,
    Version,
    VersionApplier,
)
from guavawing.distribution.delta import (
    Delta,
    decode_delta,
)
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
from guavawing.distribution.history import VersionHistory, VersionId
from guavawing.distribution.offers import RETRY_MIN_S, FetchOption, Offers
from guavawing.errors import MessageInvalidError
from guavawing.model import MemberId

__all__ = ["VersionFetcher"]

MAX_FETCHES = 3
# Largest increase of the version number that is accepted unless the platform
# announced the version.
MAX_NUMBER_INCREASE = 1_000_000
# How long a node without a version collects offers, and the number of offers
# that ends this earlier.
JOIN_WAIT_S = 1.0
JOIN_OFFERS = 3
# Failures of a source after which a node without a version considers lower
# versions.
JOIN_MAX_FAILURES = 2

NO_VERSION_ID = VersionId(0, b"")


@attrs.frozen
class _Fetch:
    source: MemberId
    version: VersionId


class VersionFetcher:
    """Decides which version to fetch from where and applies the results."""

    __slots__ = (
        "_applier",
        "_fetches",
        "_join_at",
        "_next_fetch_id",
        "_offers",
        "_rng",
        "history",
    )

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._applier = VersionApplier()
        self._offers = Offers(rng)
        self._fetches: dict[int, _Fetch] = {}
        self._next_fetch_id = 1
        self._join_at: float | None = None
        self.history = VersionHistory()

    @property
    def current(self) -> Version:
        """The version in force."""
        return self._applier.current

    @property
    def rejections(self) -> dict[int, str]:
        """Why newer versions were rejected, by number."""
        return self._applier.rejections

    def is_eligible(self, version: VersionId) -> bool:
        """Returns whether a version is newer and was not rejected."""
        return self._applier.is_eligible(version.number, version.digest)

    def next_wake(self) -> float | None:
        """Returns when a tick is due, or None if none is needed."""
        if len(self._fetches) >= self._fetch_limit():
            return None
        times = [option.ready_at for option in self._list_options()]
        if not times:
            return None
        return max(min(times), self._join_at or 0.0)

    def handle(self, event: Event, *, now: float) -> list[Action]:
        """Handles one event and returns the resulting actions."""
        actions: list[Action] = []
        match event:
            case NoticeReceived():
                actions += self._handle_notice(event, now)
            case PayloadReceived():
                actions += self._handle_payload(event, now)
            case FetchFailed():
                actions += self._handle_failure(event, now)
            case Tick():
                pass
        return actions + self._start_fetches(now)

    def _handle_notice(self, event: NoticeReceived, now: float) -> list[Action]:
        version = event.version
        if not self.is_eligible(version):
            return []
        if event.source == PLATFORM:
            self._offers.confirm(version)
            self._join_at = now if self._join_at is None else self._join_at
            return []
        if not self._is_plausible(version):
            return [ReportFault(event.source, FetchFault.IMPLAUSIBLE)]
        self._add_offer(event.source, version, near=event.near, now=now)
        self._update_join_time(now)
        return []

    def _is_plausible(self, version: VersionId) -> bool:
        # Without a version there is no number to compare with.
        current = self.current.number
        if current == 0 or version.number - current <= MAX_NUMBER_INCREASE:
            return True
        return self._offers.is_confirmed(version)

    def _add_offer(
        self, member: MemberId, version: VersionId, *, near: bool, now: float
    ) -> None:
        delay_remote = self.current.number > 0
        self._offers.add(
            member, version, near=near, delay_remote=delay_remote, now=now
        )

    def _update_join_time(self, now: float) -> None:
        if self._join_at is None:
            self._join_at = now + JOIN_WAIT_S
        if self._offers.sources >= JOIN_OFFERS:
            self._join_at = min(self._join_at, now)

    def _fetch_limit(self) -> int:
        return MAX_FETCHES if self.current.number else 1

    def _rank(self, option: FetchOption) -> tuple[int, int, int, int]:
        number = -option.version.number
        if self.current.number:
            return (option.failures, number, option.cost, 0)
        exhausted = int(option.failures >= JOIN_MAX_FAILURES)
        return (exhausted, number, option.failures, option.cost)

    def _start_fetches(self, now: float) -> list[Action]:
        actions: list[Action] = []
        if self.current.number == 0 and (self._join_at or 0.0) > now:
            return actions
        while len(self._fetches) < self._fetch_limit():
            options = self._list_options()
            ready = [each for each in options if each.ready_at <= now]
            if not ready:
                break
            self._rng.shuffle(ready)
            actions.append(self._start_fetch(min(ready, key=self._rank)))
        return actions

    def _list_options(self) -> list[FetchOption]:
        """Returns the options to use once they are ready.

        Without a version in force, only the highest version that a source
        may still provide is considered.
        """
        options = list(self._offers.options())
        if self.current.number:
            return options
        usable = [o for o in options if o.failures < JOIN_MAX_FAILURES]
        highest = max((o.version.number for o in usable), default=0)
        return [o for o in options if o.version.number >= highest]

    def _start_fetch(self, option: FetchOption) -> Action:
        fetch_id = self._next_fetch_id
        self._next_fetch_id += 1
        self._fetches[fetch_id] = _Fetch(option.source, option.version)
        allow_deltas = self._offers.begin(option)
        if option.source == PLATFORM:
            return FetchObject(fetch_id, option.version)
        base = self._current_id() if allow_deltas else NO_VERSION_ID
        return PullFromPeer(fetch_id, option.source, base)

    def _current_id(self) -> VersionId:
        return VersionId(self.current.number, self.current.digest)

    def _end_fetch(self, fetch_id: int) -> _Fetch | None:
        fetch = self._fetches.pop(fetch_id, None)
        if fetch is None:
            return None
        self._offers.end(fetch.source, fetch.version)
        return fetch

    def _handle_failure(self, event: FetchFailed, now: float) -> list[Action]:
        fetch = self._end_fetch(event.fetch_id)
        if fetch is None:
            return []
        if event.fault is not FetchFault.BUSY:
            return self._record_failure(fetch, event.fault, now)
        delay_s = max(event.retry_after_s, RETRY_MIN_S)
        near = self._offers.postpone(fetch.source, now + delay_s)
        if event.ask_instead and self.is_eligible(fetch.version):
            self._add_offer(
                event.ask_instead, fetch.version, near=near, now=now
            )
        return [ReportFault(fetch.source, event.fault)]

    def _record_failure(
        self, fetch: _Fetch, fault: FetchFault, now: float
    ) -> list[Action]:
        self._offers.record_failure(fetch.source, fetch.version, now)
        return [ReportFault(fetch.source, fault)]

    def _handle_payload(
        self, event: PayloadReceived, now: float
    ) -> list[Action]:
        fetch = self._end_fetch(event.fetch_id)
        if fetch is None:
            return []
        version = event.version
        if version.number < fetch.version.number:
            return self._record_failure(fetch, FetchFault.OLD_VERSION, now)
        if not self.is_eligible(version):
            # It was fetched elsewhere meanwhile, or rejected before.
            return []
        if not self._is_plausible(version):
            return self._record_failure(fetch, FetchFault.IMPLAUSIBLE, now)
        content = event.content
        if isinstance(content, NoContent):
            return self._record_failure(fetch, FetchFault.WITHHELD, now)
        if self._has_other_base(content):
            # The version in force changed during the fetch; this does not
            # count as a failure of the source.
            return [ReportFault(fetch.source, FetchFault.OTHER_BASE)]
        return self._apply(fetch, version, content, now)

    def _has_other_base(self, content: Content) -> bool:
        if not isinstance(content, DeltaContent):
            return False
        return content.base != self._current_id()

    def _apply_content(
        self, version: VersionId, content: Content
    ) -> tuple[ApplyResult, Delta | None]:
        """Returns the result, and the delta from the previous version."""
        number, digest = version.number, version.digest
        match content:
            case SnapshotContent(payload=payload):
                delta = None
                if self.current.number:
                    delta = self._applier.derive_delta(payload)
                result = self._applier.apply(
                    number, digest, payload, delta=delta
                )
                return result, delta
            case DeltaContent(delta=data):
                delta = decode_delta(data)
                result = self._applier.apply_delta(number, digest, delta)
                return result, delta
            case NoContent():
                raise MessageInvalidError("version received without content")

    def _reject_content(
        self, fetch: _Fetch, content: Content, now: float
    ) -> list[Action]:
        if isinstance(content, DeltaContent):
            self._offers.require_snapshot(fetch.version)
        return self._record_failure(fetch, FetchFault.DAMAGED, now)

    def _apply(
        self,
        fetch: _Fetch,
        version: VersionId,
        content: Content,
        now: float,
    ) -> list[Action]:
        before = self.current
        try:
            result, delta = self._apply_content(version, content)
        except MessageInvalidError:
            return self._reject_content(fetch, content, now)
        match result:
            case Applied(version=applied):
                self._record_step(before, delta)
                self._offers.record_success(fetch.source)
                self._offers.retain(self.is_eligible)
                return [EnforceVersion(applied)]
            case Rejected(permanent=True, message=message):
                self._offers.retain(lambda each: each != version)
                return [ReportRejection(version, message)]
            case Rejected():
                return self._reject_content(fetch, content, now)

    def _record_step(self, before: Version, delta: Delta | None) -> None:
        if before.number == 0:
            return
        if delta is None:
            self.history.clear()
            return
        self.history.record(VersionId(before.number, before.digest), delta)
