"""Options that several commands share."""

from collections.abc import Callable
from typing import Any

import click

from guavawing.errors import InvalidArgumentError
from guavawing.model import Address, parse_address

__all__ = ["AddressType", "output_option", "platform_option"]


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


def platform_option(command: Callable[..., Any]) -> Callable[..., Any]:
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


def output_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds `--output`."""
    return click.option(
        "--output",
        type=click.Choice(["table", "json"]),
        default="table",
        show_default=True,
        help="How the result is printed.",
    )(command)
