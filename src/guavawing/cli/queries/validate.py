"""`guavawing config validate`: validates a file."""

import datetime
import pathlib

import attrs
import click

from guavawing.cli.examples import format_examples
from guavawing.cli.exits import ExitCode, exit_with
from guavawing.cli.options import output_option
from guavawing.cli.printing import print_json, print_table
from guavawing.config import (
    Fault,
    check_document,
    decode_document,
    find_ended_exceptions,
)
from guavawing.errors import ConfigInvalidError

__all__ = ["validate"]


@click.command(epilog=format_examples("guavawing config validate fleet.json"))
@click.argument(
    "path",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@output_option()
def validate(path: pathlib.Path, output: str) -> None:
    """Print the faults of a configuration document with their places."""
    faults = _find_faults(path.read_bytes())
    if output == "json":
        print_json(
            {
                "valid": not faults,
                "faults": [attrs.asdict(fault) for fault in faults],
            }
        )
    elif faults:
        print_table(
            ("place", "fault"),
            [(fault.place, fault.message) for fault in faults],
        )
    else:
        click.echo(f"{path}: ok")
    if faults:
        noun = "fault" if len(faults) == 1 else "faults"
        exit_with(
            ExitCode.INVALID_CONFIG,
            f"{len(faults)} {noun} in {path}",
            "correct them and validate again",
        )


def _find_faults(payload: bytes) -> tuple[Fault, ...]:
    try:
        document = decode_document(payload)
        check_document(document)
    except ConfigInvalidError as exc:
        return tuple(f for f in exc.faults if isinstance(f, Fault))
    today = datetime.datetime.now(datetime.UTC).date()
    return tuple(find_ended_exceptions(document, today))
