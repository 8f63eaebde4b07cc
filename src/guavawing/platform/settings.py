"""The settings file that the platform writes for each process."""

import math
import os
import pathlib
from collections.abc import Mapping

import attrs

from guavawing.errors import InvalidArgumentError, SettingsInvalidError
from guavawing.model import Address, parse_address

__all__ = ["VmSettings", "find_settings_file", "parse_settings"]

SETTINGS_VARIABLE = "GUAVAWING_SETTINGS"
# Port of the metrics, as stated in the deployment file.
METRICS_PORT = 9464
MS_PER_S = 1000
BYTES_PER_MEGABIT = 1_000_000 / 8


@attrs.frozen
class VmSettings:
    """Settings of a process: its VM, addresses and time limits.

    Attributes:
        node: Name of this node.
        host: IP address of the VM.
        data_centre: Data centre of the VM.
        service: Service of the target beside this node.
        target: Address of the target.
        callers: Listening address for requests of clients on this VM.
        ready: Listening address of the readiness check.
        heartbeats: Listening address for heartbeats of the target.
        mesh: Listening address for requests of other nodes.
        gossip: Listening address for beacons of other nodes (UDP).
        metrics: Listening address of the metrics.
        store: Address of the platform's store.
        link_bytes_per_s: Bandwidth of the VM's link, in bytes per second.
        heartbeat_s: Regular interval of heartbeats, in seconds.
        drain_s: Longest time from the acknowledged drain of a target to the
            last request sent to it, in seconds.
        grace_s: Time from SIGTERM to SIGKILL, in seconds.
        apply_s: Time within which a new version has to be in force, in
            seconds.
        retry_ratio: Retries per request that are allowed to the whole fleet.
        retry_allowance: Additional retries of the whole fleet in one window.
        first_start: Whether the platform has set the bootstrap flag.
    """

    node: str
    host: str
    data_centre: str
    service: str
    target: Address
    callers: Address
    ready: Address
    heartbeats: Address
    mesh: Address
    gossip: Address
    metrics: Address
    store: Address
    link_bytes_per_s: float
    heartbeat_s: float
    drain_s: float
    grace_s: float
    apply_s: float
    retry_ratio: float
    retry_allowance: float
    first_start: bool


def find_settings_file() -> pathlib.Path:
    """Returns the path of the settings file.

    Raises:
        SettingsInvalidError: If the environment variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsInvalidError(
            f"got no {SETTINGS_VARIABLE}, expected the path of a settings file"
        )
    return pathlib.Path(path)


def parse_settings(text: str) -> VmSettings:
    """Parses lines of the form `a.b=value`; unknown names are ignored.

    Raises:
        SettingsInvalidError: If a field is missing or invalid.
    """
    fields = _Fields(
        dict(
            line.strip().split("=", 1)
            for line in text.splitlines()
            if "=" in line
        )
    )
    first_port = fields.text("network.internalPorts").split(",")[0]
    host = fields.text("self.ip")
    bounds = "terms.bounds"
    return VmSettings(
        node=fields.text("self.node"),
        host=host,
        data_centre=fields.text("self.zone"),
        service=fields.text("self.service"),
        target=fields.address("self.appAddr"),
        callers=fields.address("network.listen.outbound"),
        ready=fields.address("network.listen.ready"),
        heartbeats=fields.address("network.listen.control"),
        mesh=fields.address("network.listen.inbound"),
        gossip=fields.address_of(host, first_port),
        metrics=Address(host, METRICS_PORT),
        # The settings name the store "platform".
        store=fields.address("platform.platform.address"),
        link_bytes_per_s=fields.number("self.limits.linkMbps")
        * BYTES_PER_MEGABIT,
        heartbeat_s=fields.number("platform.heartbeatMs") / MS_PER_S,
        drain_s=fields.number(f"{bounds}.drainMs") / MS_PER_S,
        grace_s=fields.number(f"{bounds}.graceS"),
        apply_s=fields.number(f"{bounds}.configApplyMs") / MS_PER_S,
        retry_ratio=fields.number(f"{bounds}.retryBudgetRatio"),
        retry_allowance=fields.number(f"{bounds}.retryBudgetSlack"),
        first_start=fields.flag("self.bootstrap"),
    )


class _Fields:
    """Fields of a settings file, validated on access."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values

    def text(self, name: str) -> str:
        value = self._values.get(name, "")
        if not value:
            raise SettingsInvalidError(f"got no {name}, expected a value")
        return value

    def number(self, name: str) -> float:
        value = self.text(name)
        try:
            number = float(value)
        except ValueError:
            number = -1.0
        if not 0 <= number < math.inf:
            raise SettingsInvalidError(
                f"got {name}={value!r}, expected a finite number of at least 0"
            )
        return number

    def flag(self, name: str) -> bool:
        return self._values.get(name, "").lower() == "true"

    def address(self, name: str) -> Address:
        try:
            return parse_address(self.text(name))
        except InvalidArgumentError as exc:
            raise SettingsInvalidError(f"{name}: {exc}") from exc

    def address_of(self, host: str, port: str) -> Address:
        try:
            return parse_address(f"{host}:{port}")
        except InvalidArgumentError as exc:
            raise SettingsInvalidError(
                f"got internal port {port!r}: {exc}"
            ) from exc
