"""Options shared by several commands."""

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
    """Parameter type of `IP:PORT` addresses."""

    name = "ip:port"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Address:
        """Returns the address, or fails with a usage error."""
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
        change_id: Id chosen by the operator; None for a generated one.
        author: Author of the change.
        retry_s: Time during which failed attempts are repeated, in seconds.
        output: Output format, `table` or `json`.
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
        help="Output format.",
    )


def publish_options(command: Command) -> Command:
    """Adds the options of `PublishOptions`, passed as `options`."""

    # functools.wraps also copies the parameters that click has already attached
    # to the function.
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
            help="Seconds during which failed attempts are repeated.",
        ),
        click.option(
            "--author",
            default=getpass.getuser,
            show_default="your user name",
            help="Author of the change.",
        ),
        click.option(
            "--change-id",
            default=None,
            help="Id of the change; repeats with the same id publish once.",
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
