"""Publishing from the command line, with retries.

All attempts of one command have the same change id, so that they publish at
most once. The outcome of the last attempt is not always that of the change:
after an attempt of unknown outcome, the outcome of the change remains unknown
even if a later attempt is known to have published nothing.
"""

import asyncio
import uuid
from collections.abc import Awaitable, Callable

import click

from guavawing.cli.exits import ExitCode, Failure, fail
from guavawing.cli.options import PublishOptions
from guavawing.cli.printing import Progress, print_json
from guavawing.errors import (
    PlatformUnavailableError,
    PlatformWriteUnknownError,
)
from guavawing.store import Head, Platform, parse_change_id
from guavawing.store.client import open_platform

__all__ = ["Attempt", "submit"]

INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0

Attempt = Callable[[Platform, str], Awaitable[Head]]


def submit(options: PublishOptions, attempt: Attempt) -> None:
    """Publishes a change and prints the version that it created.

    Args:
        options: Options of the command.
        attempt: Publishes the change under a given change id.
    """
    if options.change_id is not None:
        parse_change_id(options.change_id)
    change_id = options.change_id or uuid.uuid4().hex
    repeat = f"repeat it with --change-id {change_id}"
    try:
        head = asyncio.run(_retry(options, attempt, change_id))
    except PlatformUnavailableError as exc:
        scope = "nothing" if options.change_id is None else "this attempt"
        suffix = "was published" if scope == "nothing" else "published nothing"
        fail(Failure(ExitCode.UNAVAILABLE, f"{exc}; {scope} {suffix}", repeat))
    except PlatformWriteUnknownError as exc:
        fail(
            Failure(
                ExitCode.UNKNOWN_OUTCOME,
                f"{exc}; the change may have been published",
                repeat,
            )
        )
    except KeyboardInterrupt:
        fail(
            Failure(
                ExitCode.INTERRUPTED,
                "interrupted; the change may have been published",
                repeat,
            )
        )
    _print_result(options, head)


async def _retry(
    options: PublishOptions, attempt: Attempt, change_id: str
) -> Head:
    """Repeats an attempt until it succeeds or the retry time has elapsed.

    Raises:
        PlatformWriteUnknownError: If any attempt may have published.
        PlatformUnavailableError: If no attempt has published.
    """
    loop = asyncio.get_running_loop()
    last_start = loop.time() + options.retry_s
    backoff_s = INITIAL_BACKOFF_S
    progress = Progress()
    unknown: PlatformWriteUnknownError | None = None
    async with open_platform(options.platform) as platform:
        while True:
            try:
                return await attempt(platform, change_id)
            except PlatformWriteUnknownError as exc:
                unknown = exc
                error: Exception = exc
            except PlatformUnavailableError as exc:
                error = unknown or exc
            finally:
                progress.clear()
            if loop.time() + backoff_s > last_start:
                raise error
            progress.show(f"change {change_id}: {error}; trying again")
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)


def _print_result(options: PublishOptions, head: Head) -> None:
    if options.output == "json":
        print_json(
            {
                "version": head.version,
                "digest": head.digest.hex(),
                "change_id": head.change_id,
            }
        )
        return
    click.echo(f"version {head.version} accepted (change {head.change_id})")
