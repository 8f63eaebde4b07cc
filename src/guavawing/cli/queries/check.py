"""`guavawing config check`: checks a file before it is published."""

import asyncio
import datetime
import pathlib
from collections.abc import Sequence
from typing import NoReturn

import attrs
import click

from guavawing.cli.examples import format_examples
from guavawing.cli.exits import ExitCode, exit_with
from guavawing.cli.options import AddressType, output_option
from guavawing.cli.printing import format_value, print_json, print_table
from guavawing.config import (
    Difference,
    Document,
    Fault,
    check_document,
    compare_documents,
    decode_document,
    find_doubts,
    find_ended_exceptions,
)
from guavawing.errors import ConfigInvalidError
from guavawing.model import Address
from guavawing.store import fetch_head, fetch_version
from guavawing.store.client import open_platform

__all__ = ["check"]


@attrs.frozen
class _Report:
    """Findings about a document.

    Attributes:
        errors: Rules that it violates; with any, nothing else is searched.
        doubts: Entries without effect, and limits that contradict each other.
        version: Version in force; None if the platform was not asked.
        changes: Differences from that version.
    """

    errors: Sequence[Fault]
    doubts: Sequence[Fault] = ()
    version: int | None = None
    changes: Sequence[Difference] = ()


@click.command(
    epilog=format_examples(
        "guavawing config check fleet.json",
        "guavawing config check fleet.json --platform 10.0.9.1:7000",
    )
)
@click.argument(
    "path",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option(
    "--platform",
    "platform_address",
    type=AddressType(),
    envvar="GUAVAWING_PLATFORM",
    show_envvar=True,
    help="Address of the platform; without it, no differences are printed.",
)
@output_option()
def check(
    path: pathlib.Path, platform_address: Address | None, output: str
) -> None:
    """Check a configuration document before it is published.

    Prints errors, doubts (entries without effect, limits that contradict each
    other) and the differences from the version in force.
    """
    report = _check(path.read_bytes(), platform_address)
    if output == "json":
        print_json(attrs.asdict(report))
    else:
        _print_report(path, report)
    if report.errors:
        _exit(ExitCode.INVALID_CONFIG, report.errors, "error", path)
    if report.doubts:
        _exit(ExitCode.DOUBTFUL_CONFIG, report.doubts, "doubt", path)


def _check(payload: bytes, platform: Address | None) -> _Report:
    try:
        document = decode_document(payload)
        check_document(document)
    except ConfigInvalidError as exc:
        return _Report([f for f in exc.faults if isinstance(f, Fault)])
    doubts = list(find_doubts(document))
    before, version = Document(), None
    if platform is not None:
        version, before = asyncio.run(_fetch_newest(platform))
    today = datetime.datetime.now(datetime.UTC).date()
    ended = list(find_ended_exceptions(document, today, base=before))
    if version is None:
        return _Report(ended, doubts)
    return _Report(ended, doubts, version, compare_documents(before, document))


async def _fetch_newest(address: Address) -> tuple[int, Document]:
    async with open_platform(address) as platform:
        head = await fetch_head(platform)
        _, document = await fetch_version(platform, head.version)
        return head.version, document


def _print_report(path: pathlib.Path, report: _Report) -> None:
    findings = [
        *(("error", fault) for fault in report.errors),
        *(("doubt", fault) for fault in report.doubts),
    ]
    if findings:
        print_table(
            ("kind", "place", "finding"),
            [(kind, fault.place, fault.message) for kind, fault in findings],
        )
    else:
        click.echo(f"{path}: ok")
    if report.version is None:
        return
    if not report.changes:
        click.echo(f"same as version {report.version}, which is in force")
        return
    click.echo(f"differences from version {report.version}, in force:")
    print_table(
        ("place", "old", "new"),
        [
            (each.place, format_value(each.old), format_value(each.new))
            for each in report.changes
        ],
        colours=(None, "red", "green"),
    )


def _exit(
    code: ExitCode, findings: Sequence[Fault], noun: str, path: pathlib.Path
) -> NoReturn:
    plural = "" if len(findings) == 1 else "s"
    exit_with(
        code,
        f"{len(findings)} {noun}{plural} in {path}",
        "correct the file and check it again",
    )
