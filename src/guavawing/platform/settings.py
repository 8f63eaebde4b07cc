"""The settings file that the platform writes for each process."""

import math
import os
import pathlib
from collections.abc import Mapping

import attrs

from guavawing.errors import InvalidArgumentError, SettingsInvalidError
from guavawing.model import Address, parse_address

__all__ = [
    "QuotaTerms",
    "RolloutTerms",
    "VmSettings",
    "WithdrawalTerms",
    "find_settings_file",
    "parse_settings",
]

SETTINGS_VARIABLE = "GUAVAWING_SETTINGS"
# Port of the metrics, as stated in the deployment file.
METRICS_PORT = 9464
MS_PER_S = 1000
BYTES_PER_MEGABIT = 1_000_000 / 8


@attrs.frozen
class WithdrawalTerms:
    """Terms of withdrawn keys of client accounts.

    Attributes:
        strict: Whether they bind a node that has lost contact, too.
        within_s: Time after which no request with a withdrawn key may be
            accepted, in seconds.
    """

    strict: bool
    within_s: float


@attrs.frozen
class QuotaTerms:
    """Terms of the quotas of client accounts over the whole fleet.

    Attributes:
        window_s: Length of the windows in which requests are counted, in
            seconds.
        overage: Share by which a quota may be exceeded in a window.
        allowance: Requests by which it may be exceeded besides.
    """

    window_s: float
    overage: float
    allowance: float


@attrs.frozen
class RolloutTerms:
    """Terms of moving a service to another release.

    Attributes:
        exposure_share: Largest share of the service's requests that a faulty
            release may get from the order to its deadline.
        exposure_allowance: Requests that it may get besides.
        roll_back_s: Time after the 50th bad answer of a faulty release in
            which requests may still be sent to it, in seconds.
    """

    exposure_share: float
    exposure_allowance: float
    roll_back_s: float


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
        data_centres: Names of all data centres, in the same order at each
            node.
        contact_s: Time without a disturbance after which a node counts as in
            contact, in seconds.
        withdrawal: Terms of withdrawn keys; None if there are none.
        quota: Terms of quotas; None if there are none.
        rollout: Terms of roll-outs; None if there are none.
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
    data_centres: tuple[str, ...] = ()
    contact_s: float = 0.0
    withdrawal: WithdrawalTerms | None = None
    quota: QuotaTerms | None = None
    rollout: RolloutTerms | None = None


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
        data_centres=fields.names_below("network.zones"),
        contact_s=fields.number(f"{bounds}.contactMs") / MS_PER_S
        if fields.has(f"{bounds}.contactMs")
        else 0.0,
        withdrawal=_parse_withdrawal(fields, bounds),
        quota=_parse_quota(fields, bounds),
        rollout=_parse_rollout(fields, bounds),
    )


def _parse_withdrawal(fields: "_Fields", bounds: str) -> WithdrawalTerms | None:
    if not fields.has(f"{bounds}.revokeMs"):
        return None
    return WithdrawalTerms(
        strict=fields.flag(f"{bounds}.revokeStrict"),
        within_s=fields.number(f"{bounds}.revokeMs") / MS_PER_S,
    )


def _parse_quota(fields: "_Fields", bounds: str) -> QuotaTerms | None:
    if not fields.has(f"{bounds}.quotaWindowS"):
        return None
    return QuotaTerms(
        window_s=fields.number(f"{bounds}.quotaWindowS"),
        overage=fields.number(f"{bounds}.quotaOverage"),
        allowance=fields.number(f"{bounds}.quotaSlack"),
    )


def _parse_rollout(fields: "_Fields", bounds: str) -> RolloutTerms | None:
    if not fields.has(f"{bounds}.exposureShare"):
        return None
    return RolloutTerms(
        exposure_share=fields.number(f"{bounds}.exposureShare"),
        exposure_allowance=fields.number(f"{bounds}.exposureSlack"),
        roll_back_s=fields.number(f"{bounds}.rollbackMs") / MS_PER_S,
    )


class _Fields:
    """Fields of a settings file, validated on access."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values

    def has(self, name: str) -> bool:
        return bool(self._values.get(name))

    def names_below(self, table: str) -> tuple[str, ...]:
        """Returns the names of a table's fields, sorted."""
        prefix = table + "."
        return tuple(
            sorted(
                name.removeprefix(prefix)
                for name in self._values
                if name.startswith(prefix)
            )
        )

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
