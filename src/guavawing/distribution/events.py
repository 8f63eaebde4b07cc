"""Input events and output actions of the version fetcher."""

import enum

import attrs

from guavawing.distribution.applier import Version
from guavawing.distribution.history import VersionId
from guavawing.model import MemberId

__all__ = [
    "PLATFORM",
    "Action",
    "Content",
    "DeltaContent",
    "EnforceVersion",
    "Event",
    "FetchFailed",
    "FetchFault",
    "FetchObject",
    "NoContent",
    "NoticeReceived",
    "PayloadReceived",
    "PullFromPeer",
    "ReportFault",
    "ReportRejection",
    "SnapshotContent",
    "Tick",
]

# Represents the platform where a member id is expected.
PLATFORM: MemberId = ""


class FetchFault(enum.StrEnum):
    """Why a fetch did not yield a version."""

    BUSY = "busy"
    DAMAGED = "damaged"
    IMPLAUSIBLE = "implausible"
    OLD_VERSION = "old-version"
    OTHER_BASE = "other-base"
    UNREACHABLE = "unreachable"
    WITHHELD = "withheld"


@attrs.frozen
class NoticeReceived:
    """A member or the platform announced a version.

    Attributes:
        source: Id of the member; `PLATFORM` for the platform.
        version: The version.
        near: Whether the source is in the node's own data centre.
    """

    source: MemberId
    version: VersionId
    near: bool = True


@attrs.frozen
class SnapshotContent:
    """The complete payload of a version."""

    payload: bytes


@attrs.frozen
class DeltaContent:
    """An encoded delta.

    Attributes:
        base: Version to which the delta applies.
        delta: The encoded delta.
    """

    base: VersionId
    delta: bytes


@attrs.frozen
class NoContent:
    """The source sent the id of a version without content."""


Content = SnapshotContent | DeltaContent | NoContent


@attrs.frozen
class PayloadReceived:
    """A fetch returned a version.

    Attributes:
        fetch_id: Id of the fetch.
        version: The version received; it may be later than the requested one.
        content: The version's content.
    """

    fetch_id: int
    version: VersionId
    content: Content


@attrs.frozen
class FetchFailed:
    """A fetch did not return a version.

    Attributes:
        fetch_id: Id of the fetch.
        fault: Reason of the failure.
        retry_after_s: Minimum delay before the next request to a busy source,
            in seconds.
        ask_instead: Alternative source named by a busy source; empty if none.
    """

    fetch_id: int
    fault: FetchFault
    retry_after_s: float = 0.0
    ask_instead: MemberId = ""


@attrs.frozen
class Tick:
    """The time returned by `VersionFetcher.next_wake` was reached."""


Event = NoticeReceived | PayloadReceived | FetchFailed | Tick


@attrs.frozen
class PullFromPeer:
    """Action: request the current version of a member.

    Attributes:
        fetch_id: Id of the fetch, repeated in its result.
        peer: The member.
        base: Version to which a delta may apply; number 0 requests the
            complete payload.
    """

    fetch_id: int
    peer: MemberId
    base: VersionId


@attrs.frozen
class FetchObject:
    """Action: read a version from the platform's object store.

    Attributes:
        fetch_id: Id of the fetch, repeated in its result.
        version: The version.
    """

    fetch_id: int
    version: VersionId


@attrs.frozen
class EnforceVersion:
    """Action: enforce a version and announce it."""

    version: Version


@attrs.frozen
class ReportRejection:
    """Action: report a version that was rejected permanently.

    Attributes:
        version: The version.
        message: Why it was rejected.
    """

    version: VersionId
    message: str


@attrs.frozen
class ReportFault:
    """Action: count a fault of a source.

    Attributes:
        source: The source.
        fault: Kind of the fault.
    """

    source: MemberId
    fault: FetchFault


Action = (
    PullFromPeer | FetchObject | EnforceVersion | ReportRejection | ReportFault
)
