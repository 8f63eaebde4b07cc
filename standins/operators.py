"""Simulated operators who publish changes and record the results."""

import datetime
from collections.abc import Awaitable, Coroutine
from typing import Any

import attrs

from guavawing.config import Document, compute_digest
from guavawing.errors import (
    ChangeIdReusedError,
    ConfigInvalidError,
    ConflictingChangeError,
    InvalidArgumentError,
    PlatformUnavailableError,
    PlatformWriteUnknownError,
)
from guavawing.store import (
    Head,
    PlatformStore,
    fetch_head,
    publish_document,
)
from standins.documents import make_newsroom_document
from standins.memory_platform import CrashError

NOW = datetime.datetime(2027, 3, 1, 12, tzinfo=datetime.UTC)
RESULTS: dict[type[BaseException], str] = {
    PlatformUnavailableError: "unavailable",
    PlatformWriteUnknownError: "unknown",
    CrashError: "crash",
    ChangeIdReusedError: "change id used",
    ConfigInvalidError: "invalid config",
    InvalidArgumentError: "invalid argument",
}


def make_changed_document(mark: str) -> Document:
    """Returns a document whose default deadline depends on `mark`."""
    document = make_newsroom_document()
    deadline = 1_000 + int.from_bytes(compute_digest(0, mark.encode())[:2])
    defaults = attrs.evolve(document.defaults, deadline_ms=deadline)
    return attrs.evolve(document, defaults=defaults)


async def describe_result(operation: Awaitable[Head]) -> str:
    """Awaits a publish and returns a short text of its result."""
    try:
        return f"accepted {(await operation).version}"
    except ConflictingChangeError as exc:
        return f"conflict {exc.change_id} {exc.version}"
    except tuple(RESULTS) as exc:
        return RESULTS[type(exc)]


def submit(
    platform: PlatformStore,
    change: str,
    document: Document | None = None,
    *,
    base: int = 0,
    now: datetime.datetime = NOW,
) -> Coroutine[Any, Any, str]:
    """Publishes a change once and returns a short text of the result."""
    return describe_result(
        publish_document(
            platform,
            document or make_changed_document(change),
            change_id=change,
            base_version=base,
            author="ana",
            now=now,
        )
    )


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine without an event loop.

    It may await only objects that yield, such as those of MemoryPlatform.
    """
    return run_interleaved({"": coroutine})[""]


def run_interleaved(
    coroutines: dict[str, Coroutine[Any, Any, Any]],
) -> dict[str, Any]:
    """Steps coroutines round-robin; returns their results by name."""
    results = {}
    while len(results) < len(coroutines):
        for name, coroutine in coroutines.items():
            if name in results:
                continue
            try:
                coroutine.send(None)
            except StopIteration as stop:
                results[name] = stop.value
    return results


class Operator:
    """Publishes changes one after another and retries failed attempts.

    Attributes:
        accepted: Versions of the changes reported as accepted, by change id.
        conflicts: Reported conflicting change and version, by change id.
        wrongly_denied: Changes reported as not published that are in the
            history.
    """

    def __init__(self, name: str, platform: PlatformStore) -> None:
        self.accepted: dict[str, int] = {}
        self.conflicts: dict[str, tuple[str, int]] = {}
        self.wrongly_denied: list[str] = []
        self._name = name
        self._platform = platform

    async def publish_changes(
        self, changes: int, attempts: int, history: Any
    ) -> None:
        """Publishes `changes` changes with up to `attempts` attempts each."""
        for number in range(changes):
            base = await self._read_version(attempts)
            change = f"{self._name}-{number}"
            await self._publish_with_retries(change, base, attempts, history)

    async def _read_version(self, attempts: int) -> int:
        for _ in range(attempts):
            try:
                return (await fetch_head(self._platform)).version
            except (PlatformUnavailableError, CrashError):
                continue
        return 0

    async def _publish_with_retries(
        self, change: str, base: int, attempts: int, history: Any
    ) -> None:
        may_be_published = False
        for _ in range(attempts):
            result = await submit(self._platform, change, base=base)
            kind, *details = result.split()
            if kind == "accepted":
                self.accepted[change] = int(details[0])
                return
            if kind == "conflict":
                self.conflicts[change] = (details[0], int(details[1]))
                return
            may_be_published |= kind != "unavailable"
            if not may_be_published and change in history():
                self.wrongly_denied.append(change)
