"""`guavawing explain`: prints the trace of one request from log lines."""

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
# Fields that have a separate column or are not specific to the request.
_OMITTED_FIELDS = frozenset(
    {
        "message_type",
        "node",
        "request",
        "task_level",
        "task_uuid",
        "timestamp",
    }
)
# Types of records about state changes of a node. They are included on request
# if they are close to the request in time.
_STATE_CHANGES = frozenset(
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
    help="Also print state changes of nodes up to this many seconds before.",
)
@click.option(
    "--after",
    type=click.FloatRange(min=0),
    default=0.0,
    show_default=True,
    help="Also print state changes of nodes up to this many seconds after.",
)
@output_option()
def explain(
    request_id: str,
    files: tuple[TextIO, ...],
    before: float,
    after: float,
    output: str,
) -> None:
    """Print the decisions of the nodes about one request, in order.

    Reads log lines from FILES, or from standard input. Calls that the target
    made for the request are included if their ids start with its id and a
    dot.
    """
    lines = _read_lines(files or (sys.stdin,))
    trace = select_trace(
        read_records(lines), request_id, before_s=before, after_s=after
    )
    if not trace:
        exit_with(
            ExitCode.FAILURE,
            f"no log line about {request_id}: of the requests that were"
            " served in time, only a sample is logged",
        )
    if output == "json":
        print_json(trace)
        return
    begin = trace[0]["timestamp"]
    print_table(
        ("ms", "node", "what", "details"),
        [
            (
                f"{(record['timestamp'] - begin) * MS_PER_S:.1f}",
                record.get("node", ""),
                record.get("message_type", ""),
                _describe(record),
            )
            for record in trace
        ],
    )


def read_records(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the records in log lines; other lines are skipped.

    A record may have a prefix in its line, such as the time and the name of a
    VM.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            # The line is truncated or has no record.
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
    """Returns the records about a request, in order of time.

    Args:
        records: Records of any nodes.
        request_id: Id of the request.
        before_s: Time before the request within which state changes of nodes
            are included, in seconds.
        after_s: Time after the request within which they are included, in
            seconds.
    """
    matching, state_changes = [], []
    for record in records:
        record_id = str(record.get("request", ""))
        if record_id == request_id or record_id.startswith(f"{request_id}."):
            matching.append(record)
        elif (
            before_s + after_s > 0
            and record.get("message_type") in _STATE_CHANGES
        ):
            state_changes.append(record)
    if not matching:
        return []
    first = min(record["timestamp"] for record in matching)
    last = max(record["timestamp"] for record in matching)
    matching += [
        record
        for record in state_changes
        if first - before_s <= record["timestamp"] <= last + after_s
    ]
    return sorted(matching, key=lambda record: record["timestamp"])


def _read_lines(files: Iterable[TextIO]) -> Iterator[str]:
    for file in files:
        yield from file


def _describe(record: dict[str, Any]) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in _OMITTED_FIELDS
    )
