"""Distribution of configuration versions: fetch, check, apply and serve."""

from guavawing.distribution.applier import (
    Applied,
    ApplyResult,
    Rejected,
    Version,
    VersionApplier,
)
from guavawing.distribution.fetcher import VersionFetcher
from guavawing.distribution.history import VersionHistory, VersionId
from guavawing.distribution.poll_schedule import PollSchedule
from guavawing.distribution.responder import PullResponder

__all__ = [
    "Applied",
    "ApplyResult",
    "PollSchedule",
    "PullResponder",
    "Rejected",
    "Version",
    "VersionApplier",
    "VersionFetcher",
    "VersionHistory",
    "VersionId",
]
