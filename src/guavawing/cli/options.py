"""Options that several commands share."""

import functools
import getpass
from collections.abc import Callable
from typing import Any

import attrs
import click

from guavawing.errors import InvalidArgumentError
from guavawing.model import Address, parse_address

__all__ = [
    "AddressType",
    "PublishOptions",
    "node_option",
    "output_option",
    "platform_option",
    "publish_options",
]

RETRY_TIME_S = 10.0

Command = Callable[..., Any]


class AddressType(click.ParamType[Address]):
    """An `IP:PORT` on the command line."""

    name = "ip:port"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Address:
        """Returns the address or ends with a usage error."""
        if isinstance(value, Address):
            return value
        try:
            return parse_address(value)
        except InvalidArgumentError as exc:
            self.fail(str(exc), param, ctx)


@attrs.frozen
class PublishOptions:
    """Options of every command that publishes.

    Attributes:
        platform: Address of the platform.
        base: Version that must be the newest; None for any.
        change_id: Id that the operator chose; None for a new one.
        author: Who makes the change.
        retry_s: How long an attempt that failed is repeated, in seconds.
        output: How the result is printed, `table` or `json`.
    """

    platform: Address
    base: int | None
    change_id: str | None
    author: str
    retry_s: float
    output: str


def platform_option(command: Command) -> Command:
    """Adds `--platform`."""
    return click.option(
        "--platform",
        "platform_address",
        type=AddressType(),
        required=True,
        envvar="GUAVAWING_PLATFORM",
        show_envvar=True,
        help="Address of the platform.",
    )(command)


def node_option(command: Command) -> Command:
    """Adds `--node`."""
    return click.option(
        "--node",
        type=AddressType(),
        required=True,
        envvar="GUAVAWING_NODE",
        show_envvar=True,
        help="Admin address of any node.",
    )(command)


def output_option(
    default: str = "table",
) -> Callable[[Command], Command]:
    """Adds `--output`."""
    return click.option(
        "--output",
        type=click.Choice(["table", "json"]),
        default=default,
        show_default=True,
        help="How the result is printed.",
    )


def publish_options(command: Command) -> Command:
    """Adds the options of `PublishOptions`, passed on as `options`."""

    # The wrapper also takes over the parameters that click has noted on the
    # function so far.
    @functools.wraps(command)
    def run(
        platform_address: Address,
        base: int | None,
        change_id: str | None,
        author: str,
        retry_for: float,
        output: str,
        **arguments: Any,
    ) -> Any:
        options = PublishOptions(
            platform=platform_address,
            base=base,
            change_id=change_id,
            author=author,
            retry_s=retry_for,
            output=output,
        )
        return command(options=options, **arguments)

    decorators: tuple[Callable[[Command], Command], ...] = (
        output_option(),
        click.option(
            "--retry-for",
            type=click.FloatRange(min=0),
            default=RETRY_TIME_S,
            show_default=True,
            help="Seconds for which a failed attempt is repeated.",
        ),
        click.option(
            "--author",
            default=getpass.getuser,
            show_default="your user name",
            help="Who makes the change.",
        ),
        click.option(
            "--change-id",
            default=None,
            help="Id of the change; a repeat under the same id is harmless.",
        ),
        click.option(
            "--base",
            type=click.IntRange(min=0),
            default=None,
            help="Version that must still be the newest.",
        ),
        platform_option,
    )
    decorated: Command = run
    for decorate in decorators:
        decorated = decorate(decorated)
    return decorated
