"""Settings of a node, read from an INI file and validated."""

import configparser
import pathlib
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from guavawing.errors import InvalidArgumentError, SettingsInvalidError
from guavawing.model import Address, parse_address

__all__ = ["LOG_LEVELS", "Settings", "read_settings"]

MAX_NAME_LENGTH = 64
LOG_LEVELS = ("debug", "info", "warning", "error")


@attrs.frozen
class Settings:
    """Settings of one node.

    Attributes:
        node_id: Name of the node, unique in the fleet.
        data_centre: Data centre of the VM.
        region: Region of the data centre.
        caller: Address for callers (HTTP).
        mesh: Address for calls of other nodes (TCP).
        control: Address for gossip (UDP) and pulls of versions (TCP).
        admin: Address for operators and monitoring (HTTP).
        service: Service of the target.
        target: Address of the target.
        platform: Address of the platform.
        listen_mesh: Address to bind instead of `mesh`, behind network
            address translation; None for `mesh` itself.
        listen_control: Address to bind instead of `control`; None for
            `control` itself.
        seeds: Control addresses of other nodes to join.
        log_file: File for logs; empty for standard output.
        log_level: Lowest level that is logged.
        poll_period_s: Mean time between two reads of the head, over all nodes
            of a data centre together, in seconds.
        gossip_period_s: Time between two probes of other members, in
            seconds.
        drain_timeout_s: Longest time that a planned stop waits for running
            calls, in seconds.
    """

    node_id: str
    data_centre: str
    region: str
    caller: Address
    mesh: Address
    control: Address
    admin: Address
    service: str
    target: Address
    platform: Address
    listen_mesh: Address | None = None
    listen_control: Address | None = None
    seeds: tuple[Address, ...] = ()
    log_file: str = ""
    log_level: str = "info"
    poll_period_s: float = 1.0
    gossip_period_s: float = 1.0
    drain_timeout_s: float = 30.0


Parser = Callable[[str], Any]


@attrs.frozen
class _Key:
    field: str
    parse: Parser
    required: bool = True


def _parse_name(text: str) -> str:
    allowed = all(char.isalnum() or char in "-_." for char in text)
    if (
        not text
        or not text.isascii()
        or not allowed
        or len(text) > MAX_NAME_LENGTH
    ):
        raise InvalidArgumentError(
            f"got {text!r}, expected 1 to {MAX_NAME_LENGTH} ASCII letters,"
            " digits, '-', '_' or '.'"
        )
    return text


def _parse_addresses(text: str) -> tuple[Address, ...]:
    parts = [part.strip() for part in text.split(",")]
    return tuple(parse_address(part) for part in parts if part)


def _parse_seconds(text: str) -> float:
    expected = "a number of seconds above 0 and up to 3600"
    try:
        value = float(text)
    except ValueError:
        raise InvalidArgumentError(
            f"got {text!r}, expected {expected}"
        ) from None
    if not 0 < value <= 3600:
        raise InvalidArgumentError(f"got {text!r}, expected {expected}")
    return value


def _parse_level(text: str) -> str:
    if text not in LOG_LEVELS:
        raise InvalidArgumentError(
            f"got {text!r}, expected one of {', '.join(LOG_LEVELS)}"
        )
    return text


_SECTIONS: dict[str, dict[str, _Key]] = {
    "node": {
        "id": _Key("node_id", _parse_name),
        "data_centre": _Key("data_centre", _parse_name),
        "region": _Key("region", _parse_name),
        "caller": _Key("caller", parse_address),
        "mesh": _Key("mesh", parse_address),
        "control": _Key("control", parse_address),
        "admin": _Key("admin", parse_address),
        "listen_mesh": _Key("listen_mesh", parse_address, False),
        "listen_control": _Key("listen_control", parse_address, False),
        "drain_timeout_s": _Key("drain_timeout_s", _parse_seconds, False),
    },
    "target": {
        "service": _Key("service", _parse_name),
        "address": _Key("target", parse_address),
    },
    "platform": {
        "address": _Key("platform", parse_address),
        "poll_period_s": _Key("poll_period_s", _parse_seconds, False),
    },
    "membership": {
        "seeds": _Key("seeds", _parse_addresses, False),
        "gossip_period_s": _Key("gossip_period_s", _parse_seconds, False),
    },
    "logs": {
        "file": _Key("log_file", str, False),
        "level": _Key("log_level", _parse_level, False),
    },
}
_REQUIRED_SECTIONS = ("node", "target", "platform")


def read_settings(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises:
        SettingsInvalidError: If the file can't be read, or any key is unknown,
            missing or has an invalid value.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as stream:
            parser.read_file(stream)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise SettingsInvalidError(f"{path}: {exc}") from exc
    values: dict[str, Any] = {}
    for section in parser.sections():
        if section not in _SECTIONS:
            raise SettingsInvalidError(
                f"{path}: got section [{section}], expected one of"
                f" {', '.join(f'[{name}]' for name in _SECTIONS)}"
            )
        values |= _read_section(path, section, parser[section])
    _check_required(path, values)
    return Settings(**values)


def _read_section(
    path: pathlib.Path, section: str, entries: Mapping[str, str]
) -> dict[str, Any]:
    keys = _SECTIONS[section]
    values = {}
    for name, text in entries.items():
        key = keys.get(name)
        if key is None:
            raise SettingsInvalidError(
                f"{path}: [{section}] {name}: got the unknown key {name!r}"
                f" = {text!r}, expected one of {', '.join(keys)}"
            )
        try:
            values[key.field] = key.parse(text)
        except InvalidArgumentError as exc:
            raise SettingsInvalidError(
                f"{path}: [{section}] {name} = {text!r}: {exc}"
            ) from exc
    return values


def _check_required(path: pathlib.Path, values: dict[str, Any]) -> None:
    for section in _REQUIRED_SECTIONS:
        for name, key in _SECTIONS[section].items():
            if key.required and key.field not in values:
                raise SettingsInvalidError(
                    f"{path}: [{section}] {name}: got nothing, expected a"
                    " value for this key"
                )
