"""Distribution: how a node learns, checks, applies and passes on versions."""

from guavawing.distribution.history import VersionHistory, VersionId
from guavawing.distribution.keeper import (
    Applied,
    ApplyResult,
    Rejected,
    Version,
    VersionKeeper,
)
from guavawing.distribution.learner import Learner
from guavawing.distribution.poll_schedule import PollSchedule
from guavawing.distribution.responder import PullResponder

__all__ = [
    "Applied",
    "ApplyResult",
    "Learner",
    "PollSchedule",
    "PullResponder",
    "Rejected",
    "Version",
    "VersionHistory",
    "VersionId",
    "VersionKeeper",
]
