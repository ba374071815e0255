"""Settings of an instance, from a TOML file that the platform writes."""

from __future__ import annotations

import math
import pathlib
import tomllib
from typing import TYPE_CHECKING, Any, NamedTuple

from almondspool.codes import ResultCode
from almondspool.errors import SettingsError
from almondspool.routing.replicas import EntryTimes

if TYPE_CHECKING:
    from collections.abc import Mapping

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "ALMONDSPOOL_CONFIG"
# Not a setting: the ports in the settings change daily, while the deployment file needs
# a fixed one. This port is customary for metrics.
METRICS_PORT = 9464
# Defaults of bounds missing in the file; the values are those of the first two sites.
_DEFAULT_RETRY_RATIO = 0.2
_DEFAULT_RETRY_WINDOW_S = 10.0
_DEFAULT_RETRY_SLACK = 50.0
_DEFAULT_GRACE_S = 6.0
_DEFAULT_TTL_MAX_S = 5.0
_DEFAULT_HEARTBEAT_MS = EntryTimes().heartbeat_s * 1000.0
_DEFAULT_DRAIN_MS = EntryTimes().drain_s * 1000.0


class ExtraSendBounds(NamedTuple):
    """The operators' limit on extra sends: those beyond the first of each request.

    Attributes:
        ratio: Extra sends allowed per request.
        slack: Extra sends allowed in addition in one window, for all instances
            together.
        window_s: Length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class PlatformSettings(NamedTuple):
    """Settings of one instance.

    The names of the fields appear in the log event ``instance.reloaded``.

    Attributes:
        instance: Name of this instance.
        zone: Availability zone of this instance.
        region: Region of this instance.
        ip: IP address that other instances use to reach this one.
        caller_address: ``ip:port`` for requests; empty if it serves none.
        ready_address: ``ip:port`` for the platform's readiness checks, or empty.
        lookup_address: ``ip:port`` for callers' address look-ups, or empty.
        operator_address: ``ip:port`` for metrics and status, or empty.
        peer_port: Port for messages between instances, the same on all of them.
        relay_port: Port for requests that another instance relays, the same on all.
        seed_ips: IP addresses of instances to contact if the store is unreachable.
        store_address: ``ip:port`` of the platform's object store.
        extra_sends: Limit on sends beyond the first of each request.
        grace_s: Time from the stop signal until the platform kills the process, in
            seconds.
        ttl_max_s: Longest time for which callers cache an address list, in seconds.
        zones: Region by availability zone.
        power: CPU capacity of this instance, in cores.
        is_first_start: Whether the whole fleet starts for the first time.
        entry_times: Times of the upstreams' entries in the store.
    """

    instance: str
    zone: str
    region: str
    ip: str
    caller_address: str
    ready_address: str
    lookup_address: str
    operator_address: str
    peer_port: int
    relay_port: int
    seed_ips: tuple[str, ...]
    store_address: str
    extra_sends: ExtraSendBounds
    grace_s: float
    ttl_max_s: float
    zones: dict[str, str]
    power: float = 1.0
    is_first_start: bool = False
    entry_times: EntryTimes = EntryTimes()


def load_platform_settings(path: str) -> PlatformSettings:
    """Read a settings file.

    Raises:
        SettingsError: If it is unreadable or invalid; the message names the file, the
            key and the allowed values.
    """
    try:
        values = tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: cannot read settings: {error}", ResultCode.SETTINGS_UNREADABLE
        ) from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: not valid TOML: {error}") from error
    try:
        return decode_settings(values)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error


def decode_settings(values: Mapping[str, Any]) -> PlatformSettings:
    """Return the settings in a parsed file; unknown keys are ignored.

    Raises:
        SettingsError: If a value is invalid; the message names the key, its value and
            the allowed values.
    """
    listen = _table(values, "listen")
    bounds = _table(values, "bounds")
    limits = _table(values, "limits")
    store = _table(values, "platform")
    ports = values.get("internal_ports")
    is_port_range = isinstance(ports, list) and all(type(port) is int for port in ports)
    if not is_port_range or len(ports) != 2 or ports[0] >= ports[1]:
        raise SettingsError(
            f"internal_ports: {ports!r} is not the first and last of several ports"
        )
    return PlatformSettings(
        instance=_text(values, "node"),
        zone=_text(values, "zone"),
        region=_text(values, "region", ""),
        ip=_text(values, "ip"),
        caller_address=_text(listen, "front", ""),
        ready_address=_text(listen, "ready", ""),
        lookup_address=_text(listen, "directory", ""),
        operator_address=_text(listen, "control", ""),
        peer_port=ports[0],
        relay_port=ports[0] + 1,
        seed_ips=tuple(
            str(seed).rpartition(":")[0] for seed in values.get("seeds") or ()
        ),
        store_address=_text(store, "address"),
        extra_sends=ExtraSendBounds(
            _number(bounds, "retry_ratio", _DEFAULT_RETRY_RATIO),
            _number(bounds, "retry_slack", _DEFAULT_RETRY_SLACK),
            _number(bounds, "retry_window_s", _DEFAULT_RETRY_WINDOW_S),
        ),
        grace_s=_number(bounds, "grace_s", _DEFAULT_GRACE_S),
        ttl_max_s=_number(bounds, "ttl_max_s", _DEFAULT_TTL_MAX_S),
        zones={str(key): str(value) for key, value in _table(values, "zones").items()},
        power=_number(limits, "cpu_share", 1.0) * _number(limits, "cores", 1.0),
        is_first_start=values.get("bootstrap") is True,
        entry_times=EntryTimes(
            _number(values, "heartbeat_ms", _DEFAULT_HEARTBEAT_MS) / 1000.0,
            _number(bounds, "drain_ms", _DEFAULT_DRAIN_MS) / 1000.0,
        ),
    )


def _table(values: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    table = values.get(key, {})
    if not isinstance(table, dict):
        raise SettingsError(f"{key}: {table!r} is not a table")
    return table


def _text(values: Mapping[str, Any], key: str, default: str | None = None) -> str:
    value = values.get(key, default)
    if not isinstance(value, str) or (not value and default is None):
        raise SettingsError(f"{key}: {value!r} is not a non-empty string")
    return value


def _number(values: Mapping[str, Any], key: str, default: float) -> float:
    value = values.get(key, default)
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    # The comparisons are false for "nan", too.
    if not is_number or not 0 <= value < math.inf:
        raise SettingsError(f"{key}: {value!r} is not a finite number of at least 0")
    return float(value)
