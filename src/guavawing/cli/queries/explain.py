"""`guavawing explain`: tells one request's story from log lines."""

import sys
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

import click
import orjson

from guavawing.cli.examples import format_examples
from guavawing.cli.exits import ExitCode, exit_with
from guavawing.cli.options import output_option
from guavawing.cli.printing import print_json, print_table

__all__ = ["explain", "read_records", "select_trace"]

MS_PER_S = 1000
# Fields that have a column of their own, or tell nothing of the request.
_SHOWN = frozenset(
    {
        "message_type",
        "node",
        "request",
        "task_level",
        "task_uuid",
        "timestamp",
    }
)
# Kinds of record about what a node believes, told beside a request if they
# come shortly before it ends.
_BELIEFS = frozenset(
    {
        "peer-lost",
        "peer-returned",
        "peer-silent",
        "peer-target",
        "store-lost",
        "store-reached",
        "target",
        "version-in-force",
    }
)


@click.command(
    epilog=format_examples(
        "guavawing explain 9c41d07be2a35f68 a1.log b2.log",
        "cat *.log | guavawing explain 9c41d07be2a35f68 --before 2",
    )
)
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.File("r", errors="replace"))
@click.option(
    "--before",
    type=click.FloatRange(min=0),
    default=0.0,
    show_default=True,
    help="Also print what nodes came to believe in this many seconds before.",
)
@click.option(
    "--after",
    type=click.FloatRange(min=0),
    default=0.0,
    show_default=True,
    help="The same for this many seconds after.",
)
@output_option()
def explain(
    request_id: str,
    files: tuple[TextIO, ...],
    before: float,
    after: float,
    output: str,
) -> None:
    """Print what the nodes decided about one request, in order.

    Reads log lines from FILES, or from standard input. Calls that the target
    made meanwhile are told too if their ids begin with that of the request.
    """
    lines = _read_lines(files or (sys.stdin,))
    story = select_trace(
        read_records(lines), request_id, before_s=before, after_s=after
    )
    if not story:
        exit_with(
            ExitCode.FAILURE,
            f"no line tells of {request_id}: of requests that were served in"
            " time only a sample is logged",
        )
    if output == "json":
        print_json(story)
        return
    begin = story[0]["timestamp"]
    print_table(
        ("ms", "node", "what", "details"),
        [
            (
                f"{(record['timestamp'] - begin) * MS_PER_S:.1f}",
                record.get("node", ""),
                record.get("message_type", ""),
                _describe(record),
            )
            for record in story
        ],
    )


def read_records(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the records in log lines; other lines are passed over.

    A line may have something in front of its record, such as the time and the
    name of a VM.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            # A line that was cut off, or is not a record.
            continue
        if isinstance(record, dict) and "timestamp" in record:
            yield record


def select_trace(
    records: Iterable[dict[str, Any]],
    request_id: str,
    *,
    before_s: float,
    after_s: float,
) -> list[dict[str, Any]]:
    """Returns the records that tell of a request, in order of time.

    Args:
        records: Records of any nodes.
        request_id: Id of the request.
        before_s: Time before the request in which changes of belief are told
            as well, in seconds.
        after_s: The same after the request.
    """
    told, beliefs = [], []
    for record in records:
        named = str(record.get("request", ""))
        if named == request_id or named.startswith(f"{request_id}."):
            told.append(record)
        elif before_s + after_s > 0 and record.get("message_type") in _BELIEFS:
            beliefs.append(record)
    if not told:
        return []
    first = min(record["timestamp"] for record in told)
    last = max(record["timestamp"] for record in told)
    told += [
        record
        for record in beliefs
        if first - before_s <= record["timestamp"] <= last + after_s
    ]
    return sorted(told, key=lambda record: record["timestamp"])


def _read_lines(files: Iterable[TextIO]) -> Iterator[str]:
    for file in files:
        yield from file


def _describe(record: dict[str, Any]) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in _SHOWN
    )
