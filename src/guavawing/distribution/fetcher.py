"""How a node learns of versions and gets them: events in, actions out.

Everyone may be wrong. A notice is a hint where to look and nothing more; a
piece counts only when its digest is the announced one and the whole document
keeps every rule. So the questions left are whom to ask, in which order, and
how not to be held up by one that is slow, silent, behind or lying:

- each source has one offer, its newest, and at most one fetch in flight;
- each version has at most one fetch in flight;
- sources that failed go behind those that did not, whatever number they
  announce, and wait longer after each failure;
- a source in another data centre waits a little, so that mostly one node of
  a data centre pays for the way;
- the object store is asked when the platform announced the version, or when
  members that announced it have failed.

A node without a version collects offers for a moment and goes for the
highest one only: after a restart it must not enforce an older version than
before, as far as its peers can tell.
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
from guavawing.distribution.offers import RETRY_FIRST_S, Offers, Option
from guavawing.errors import MessageInvalidError
from guavawing.model import MemberId

__all__ = ["VersionFetcher"]

MAX_FETCHES = 3
# Largest rise of the number that is believed without the platform's word.
MAX_STEP = 1_000_000
# How long a node without a version collects offers, and how many it awaits.
JOIN_WAIT_S = 1.0
JOIN_OFFERS = 3
# Failures of a source after which a node without a version looks lower.
JOIN_PATIENCE = 2

NO_VERSION_ID = VersionId(0, b"")


@attrs.frozen
class _Fetch:
    source: MemberId
    version: VersionId


class VersionFetcher:
    """Learns of versions, gets them and keeps the one in force."""

    __slots__ = (
        "_fetches",
        "_join_at",
        "_keeper",
        "_next_fetch_id",
        "_offers",
        "_rng",
        "history",
    )

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._keeper = VersionApplier()
        self._offers = Offers(rng)
        self._fetches: dict[int, _Fetch] = {}
        self._next_fetch_id = 1
        self._join_at: float | None = None
        self.history = VersionHistory()

    @property
    def current(self) -> Version:
        """The version in force."""
        return self._keeper.current

    @property
    def rejections(self) -> dict[int, str]:
        """Why newer versions were kept out, by number."""
        return self._keeper.rejections

    def is_eligible(self, version: VersionId) -> bool:
        """Returns whether a version is newer and not known to be bad."""
        return self._keeper.is_eligible(version.number, version.digest)

    def next_wake(self) -> float | None:
        """Returns when a tick is due; None if only an event can help."""
        if len(self._fetches) >= self._fetch_limit():
            return None
        times = [option.ready_at for option in self._list_options()]
        if not times:
            return None
        return max(min(times), self._join_at or 0.0)

    def handle(self, event: Event, *, now: float) -> list[Action]:
        """Takes one event and returns what is to be done."""
        actions: list[Action] = []
        match event:
            case NoticeReceived():
                actions += self._take_notice(event, now)
            case PayloadReceived():
                actions += self._take_payload(event, now)
            case FetchFailed():
                actions += self._take_failure(event, now)
            case Tick():
                pass
        return actions + self._start_fetches(now)

    def _take_notice(self, event: NoticeReceived, now: float) -> list[Action]:
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
        self._await_more_offers(now)
        return []

    def _is_plausible(self, version: VersionId) -> bool:
        # A node without a version has nothing to measure a number by.
        current = self.current.number
        if current == 0 or version.number - current <= MAX_STEP:
            return True
        return self._offers.is_confirmed(version)

    def _add_offer(
        self, member: MemberId, version: VersionId, *, near: bool, now: float
    ) -> None:
        patient = self.current.number > 0
        self._offers.add(member, version, near=near, patient=patient, now=now)

    def _await_more_offers(self, now: float) -> None:
        if self._join_at is None:
            self._join_at = now + JOIN_WAIT_S
        if self._offers.sources >= JOIN_OFFERS:
            self._join_at = min(self._join_at, now)

    def _fetch_limit(self) -> int:
        return MAX_FETCHES if self.current.number else 1

    def _rank(self, option: Option) -> tuple[int, int, int, int]:
        number = -option.version.number
        if self.current.number:
            return (option.failures, number, option.cost, 0)
        impatient = int(option.failures >= JOIN_PATIENCE)
        return (impatient, number, option.failures, option.cost)

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

    def _list_options(self) -> list[Option]:
        """Returns the options that may be taken up when their time comes.

        Without a version, a node keeps to the highest version that its
        sources may still give.
        """
        options = list(self._offers.options())
        if self.current.number:
            return options
        patient = [o for o in options if o.failures < JOIN_PATIENCE]
        highest = max((o.version.number for o in patient), default=0)
        return [o for o in options if o.version.number >= highest]

    def _start_fetch(self, option: Option) -> Action:
        fetch_id = self._next_fetch_id
        self._next_fetch_id += 1
        self._fetches[fetch_id] = _Fetch(option.source, option.version)
        takes_deltas = self._offers.begin(option)
        if option.source == PLATFORM:
            return FetchObject(fetch_id, option.version)
        base = self._current_id() if takes_deltas else NO_VERSION_ID
        return PullFromPeer(fetch_id, option.source, base)

    def _current_id(self) -> VersionId:
        return VersionId(self.current.number, self.current.digest)

    def _end_fetch(self, fetch_id: int) -> _Fetch | None:
        fetch = self._fetches.pop(fetch_id, None)
        if fetch is None:
            return None
        self._offers.end(fetch.source, fetch.version)
        return fetch

    def _take_failure(self, event: FetchFailed, now: float) -> list[Action]:
        fetch = self._end_fetch(event.fetch_id)
        if fetch is None:
            return []
        if event.fault is not FetchFault.BUSY:
            return self._punish(fetch, event.fault, now)
        pause_s = max(event.retry_after_s, RETRY_FIRST_S)
        near = self._offers.postpone(fetch.source, now + pause_s)
        if event.ask_instead and self.is_eligible(fetch.version):
            self._add_offer(
                event.ask_instead, fetch.version, near=near, now=now
            )
        return [ReportFault(fetch.source, event.fault)]

    def _punish(
        self, fetch: _Fetch, fault: FetchFault, now: float
    ) -> list[Action]:
        self._offers.punish(fetch.source, fetch.version, now)
        return [ReportFault(fetch.source, fault)]

    def _take_payload(self, event: PayloadReceived, now: float) -> list[Action]:
        fetch = self._end_fetch(event.fetch_id)
        if fetch is None:
            return []
        version = event.version
        if version.number < fetch.version.number:
            return self._punish(fetch, FetchFault.OLD_VERSION, now)
        if not self.is_eligible(version):
            # Another source was quicker, or the version is known to be bad.
            return []
        if not self._is_plausible(version):
            return self._punish(fetch, FetchFault.IMPLAUSIBLE, now)
        content = event.content
        if isinstance(content, NoContent):
            return self._punish(fetch, FetchFault.WITHHELD, now)
        if self._has_other_base(content):
            # The version in force moved on meanwhile; the source did no wrong.
            return [ReportFault(fetch.source, FetchFault.OTHER_BASE)]
        return self._apply(fetch, version, content, now)

    def _has_other_base(self, content: Content) -> bool:
        if not isinstance(content, DeltaContent):
            return False
        return content.base != self._current_id()

    def _apply_content(
        self, version: VersionId, content: Content
    ) -> tuple[ApplyResult, Delta | None]:
        """Returns the result, and the delta from the version before."""
        number, digest = version.number, version.digest
        match content:
            case SnapshotContent(payload=payload):
                delta = None
                if self.current.number:
                    delta = self._keeper.derive_delta(payload)
                result = self._keeper.apply(
                    number, digest, payload, delta=delta
                )
                return result, delta
            case DeltaContent(delta=data):
                delta = decode_delta(data)
                result = self._keeper.apply_delta(number, digest, delta)
                return result, delta
            case NoContent():
                raise MessageInvalidError("got a name without content")

    def _refuse_piece(
        self, fetch: _Fetch, content: Content, now: float
    ) -> list[Action]:
        if isinstance(content, DeltaContent):
            self._offers.refuse_deltas(fetch.version)
        return self._punish(fetch, FetchFault.DAMAGED, now)

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
            return self._refuse_piece(fetch, content, now)
        match result:
            case Applied(version=applied):
                self._record_step(before, delta)
                self._offers.praise(fetch.source)
                self._offers.forget(self.is_eligible)
                return [EnforceVersion(applied)]
            case Rejected(permanent=True, message=message):
                self._offers.forget(lambda each: each != version)
                return [ReportRejection(version, message)]
            case Rejected():
                return self._refuse_piece(fetch, content, now)

    def _record_step(self, before: Version, delta: Delta | None) -> None:
        if before.number == 0:
            return
        if delta is None:
            self.history.clear()
            return
        self.history.record(VersionId(before.number, before.digest), delta)
