"""Ids and value classes shared by all layers."""

import enum
import ipaddress

import attrs

from guavawing.errors import InvalidArgumentError

__all__ = ["Address", "CallClass", "MemberId", "parse_address"]

MAX_PORT = 65_535

MemberId = str


class CallClass(enum.StrEnum):
    """Priority of a call in the queue of a target without a free slot."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"


@attrs.frozen(order=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parses `IP:PORT` or `[IPv6]:PORT`.

    Raises:
        InvalidArgumentError: If `text` has a host name, no port, or a port
            out of range.
    """
    expected = "an IP address and a port such as 10.0.0.7:7400"
    host, separator, port_text = text.strip().rpartition(":")
    if not separator or not port_text.isdecimal():
        raise InvalidArgumentError(f"got {text!r}, expected {expected}")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise InvalidArgumentError(
            f"got {text!r}, expected {expected}"
        ) from None
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise InvalidArgumentError(
            f"got port {port}, expected a port from 1 to {MAX_PORT}"
        )
    return Address(host, port)
