"""Submissions: attempts on their way, which can be awaited and cancelled."""

import asyncio
from collections.abc import Callable

import attrs

from guavawing.node.messages import Answer

__all__ = ["Submission"]


def _ignore() -> None:
    pass


@attrs.frozen
class Submission:
    """An attempt that an owner has been asked to execute.

    Attributes:
        fut: Resolves to the answer; never fails. It is this caller's own:
            whoever waits for it may cancel it.
        cancel: Tells the owner that nobody waits any more. A request that
            the target already has goes on.
    """

    fut: asyncio.Future[Answer]
    cancel: Callable[[], None] = _ignore
