"""Handle of an attempt at an owner, to await and to cancel it."""

import asyncio
from collections.abc import Callable

import attrs

from guavawing.node.messages import Answer

__all__ = ["Submission"]


def _ignore() -> None:
    pass


@attrs.frozen
class Submission:
    """An attempt that was sent to an owner.

    Attributes:
        fut: Resolves to the answer and never fails. It is not shared with
            other callers, so cancelling it affects no other submission.
        cancel: Notifies the owner that this caller no longer waits. A request
            that was already sent to the target continues.
    """

    fut: asyncio.Future[Answer]
    cancel: Callable[[], None] = _ignore
