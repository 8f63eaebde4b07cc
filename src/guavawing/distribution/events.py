"""Events that the learner takes and actions that it asks for."""

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

# Stands for the platform where a member id is expected.
PLATFORM: MemberId = ""


class FetchFault(enum.StrEnum):
    """Why a fetch brought no version."""

    BUSY = "busy"
    DAMAGED = "damaged"
    IMPLAUSIBLE = "implausible"
    OLD_VERSION = "old-version"
    OTHER_BASE = "other-base"
    UNREACHABLE = "unreachable"
    WITHHELD = "withheld"


@attrs.frozen
class NoticeReceived:
    """A member, or the platform, says that it has a version.

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
    """The whole payload of a version."""

    payload: bytes


@attrs.frozen
class DeltaContent:
    """An encoded delta.

    Attributes:
        base: Version that it starts from.
        delta: The encoded delta.
    """

    base: VersionId
    delta: bytes


@attrs.frozen
class NoContent:
    """The source sent a version's name and nothing else."""


Content = SnapshotContent | DeltaContent | NoContent


@attrs.frozen
class PayloadReceived:
    """A fetch was answered.

    Attributes:
        fetch_id: Id of the fetch.
        version: The version that the source sent, maybe a later one.
        content: The version's content.
    """

    fetch_id: int
    version: VersionId
    content: Content


@attrs.frozen
class FetchFailed:
    """A fetch was not answered with a version.

    Attributes:
        fetch_id: Id of the fetch.
        fault: Why.
        retry_after_s: When a busy source can be asked again, in seconds.
        ask_instead: A member that a busy source names.
    """

    fetch_id: int
    fault: FetchFault
    retry_after_s: float = 0.0
    ask_instead: MemberId = ""


@attrs.frozen
class Tick:
    """The time for which the learner asked to be woken has come."""


Event = NoticeReceived | PayloadReceived | FetchFailed | Tick


@attrs.frozen
class PullFromPeer:
    """Action: ask a member for its version.

    Attributes:
        fetch_id: Id to answer under.
        peer: The member.
        base: Version that a delta may start from; number 0 asks for the
            whole payload.
    """

    fetch_id: int
    peer: MemberId
    base: VersionId


@attrs.frozen
class FetchObject:
    """Action: read a version from the platform's object store.

    Attributes:
        fetch_id: Id to answer under.
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
    """Action: report a version that is kept out for good.

    Attributes:
        version: The version.
        message: Why.
    """

    version: VersionId
    message: str


@attrs.frozen
class ReportFault:
    """Action: count a source that did not give what it announced.

    Attributes:
        source: The source.
        fault: What was wrong.
    """

    source: MemberId
    fault: FetchFault


Action = (
    PullFromPeer | FetchObject | EnforceVersion | ReportRejection | ReportFault
)
