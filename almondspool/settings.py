"""Settings of an instance, defined in a table, read from YAML and validated."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING, Annotated, Any, NamedTuple

import pydantic
import yaml

from almondspool.codes import ResultCode
from almondspool.errors import SettingsError
from almondspool.protocol.yaml_lines import find_line

if TYPE_CHECKING:
    from collections.abc import Mapping

_Name = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")
]
_Address = Annotated[
    str, pydantic.StringConstraints(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")
]
_Seconds = Annotated[float, pydantic.Field(gt=0, le=86_400)]
_Count = Annotated[int, pydantic.Field(ge=1, le=100_000)]
_Fraction = Annotated[float, pydantic.Field(ge=0, le=1)]
_PeerKey = Annotated[str, pydantic.StringConstraints(min_length=16, max_length=256)]

REQUIRED = object()


class Setting(NamedTuple):
    """One row of the settings table.

    Attributes:
        name: The key in the settings file.
        value_type: The type of the value, with its constraints, as pydantic takes it.
        default: The default value; REQUIRED if there is none.
        unit: The unit, or an empty string.
        help: One-line description for operators.
    """

    name: str
    value_type: Any
    default: Any
    unit: str
    help: str


SETTINGS_TABLE: tuple[Setting, ...] = (
    Setting("instance", _Name, REQUIRED, "", "Name of this instance."),
    Setting("zone", _Name, REQUIRED, "", "Availability zone of this instance."),
    Setting("region", _Name, "region", "", "Region of the availability zone."),
    Setting(
        "caller_address",
        _Address,
        REQUIRED,
        "ip:port",
        "Listening address for callers and operators.",
    ),
    Setting(
        "peer_address",
        _Address,
        REQUIRED,
        "ip:port",
        "Listening address for peers, TCP and UDP.",
    ),
    Setting(
        "platform_address", _Address, REQUIRED, "ip:port", "The platform's object API."
    ),
    Setting(
        "peer_key", _PeerKey, REQUIRED, "", "Key that authenticates peer messages."
    ),
    Setting(
        "seed_peers",
        list[_Address],
        [],
        "ip:port",
        "Peers to join through when the platform is down.",
    ),
    Setting(
        "heartbeat_interval_s", _Seconds, 1.0, "s", "Time between heartbeats to peers."
    ),
    Setting(
        "suspect_after_s", _Seconds, 3.0, "s", "Silence after which a peer is suspect."
    ),
    Setting("dead_after_s", _Seconds, 8.0, "s", "Silence after which a peer is dead."),
    Setting(
        "lease_s",
        _Seconds,
        6.0,
        "s",
        "A pause longer than this makes the instance re-join before it acts.",
    ),
    Setting(
        "entry_ttl_s", _Seconds, 5.0, "s", "How long callers may keep an entry list."
    ),
    Setting(
        "drain_s",
        _Seconds,
        30.0,
        "s",
        "Maximum wait for requests in flight during a graceful shutdown.",
    ),
    Setting(
        "watchers", _Count, 2, "", "Instances that hold the watch on the platform."
    ),
    Setting(
        "platform_poll_s",
        _Seconds,
        60.0,
        "s",
        "Time between polls of an instance that holds no watch.",
    ),
    Setting(
        "platform_calls_per_s",
        Annotated[float, pydantic.Field(gt=0, le=1000)],
        300.0,
        "1/s",
        "Cap on the platform calls of all instances; each takes an equal share.",
    ),
    Setting("platform_timeout_s", _Seconds, 2.0, "s", "Timeout of one platform call."),
    Setting(
        "holders_per_upstream",
        _Count,
        2,
        "",
        "Instances that hold connections to one upstream.",
    ),
    Setting(
        "hedge_share",
        _Fraction,
        0.05,
        "",
        "Extra legs allowed per first leg, as a share.",
    ),
    Setting(
        "queue_limit", _Count, 2000, "requests", "Maximum length of the request queue."
    ),
    Setting("concurrent_requests", _Count, 64, "requests", "Requests run at a time."),
    Setting(
        "claim_retention_s",
        _Seconds,
        3600.0,
        "s",
        "How long the claim of a non-idempotent request is kept.",
    ),
    Setting(
        "quarantine_s", _Seconds, 600.0, "s", "How long a crashing request is refused."
    ),
    Setting(
        "upstream_poll_s",
        _Seconds,
        1.0,
        "s",
        "Time between polls of an upstream's load.",
    ),
    Setting(
        "status_interval_s",
        _Seconds,
        10.0,
        "s",
        "Minimum time between an instance's reports to the fleet status.",
    ),
    Setting("log_decisions", bool, True, "", "Log each routing decision."),
)


def _build_model() -> type[pydantic.BaseModel]:
    fields: dict[str, Any] = {}
    for row in SETTINGS_TABLE:
        default = ... if row.default is REQUIRED else row.default
        fields[row.name] = (row.value_type, default)
    config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=False)
    return pydantic.create_model("Settings", __config__=config, **fields)


Settings = _build_model()


def load_settings(path: str) -> pydantic.BaseModel:
    """Read and validate a settings file.

    Args:
        path: The YAML file.

    Raises:
        SettingsError: If the file cannot be read or a setting is invalid; the message
            has one line for each invalid setting, with file, line, key, value and
            what is allowed.
    """
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: cannot read settings: {error}", ResultCode.SETTINGS_UNREADABLE
        ) from error
    try:
        values = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise SettingsError(f"{path}: not valid YAML: {error}") from error
    if not isinstance(values, dict):
        raise SettingsError(f"{path}: settings must be a mapping of names to values")
    try:
        return Settings(**{str(key): value for key, value in values.items()})
    except pydantic.ValidationError as error:
        raise SettingsError(_describe_problems(path, text, values, error)) from error


def _describe_problems(
    path: str, text: str, values: Mapping[str, object], error: pydantic.ValidationError
) -> str:
    lines = []
    for problem in error.errors():
        key = str(problem["loc"][0])
        line = find_line(text, problem["loc"])
        lines.append(f"{path}:{line}: {key}: {_describe_problem(key, values, problem)}")
    return "\n".join(lines)


def _describe_problem(key: str, values: Mapping[str, object], problem: Any) -> str:
    if problem["type"] == "extra_forbidden":
        names = ", ".join(row.name for row in SETTINGS_TABLE)
        return f"no such setting; allowed are {names}"
    if problem["type"] == "missing":
        return "required setting is missing"
    return f"{values.get(key)!r} is not allowed: {problem['msg']}"
