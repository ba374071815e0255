"""Flags of the command-line tool."""

from __future__ import annotations

import os
from typing import NamedTuple

from absl import flags

INSTANCES_VARIABLE = "ALMONDSPOOL_INSTANCES"
DEFAULT_TIMEOUT_S = 10.0


class Options(NamedTuple):
    """Values of the flags, each described by its help text in make_flags()."""

    instances: tuple[str, ...]
    as_json: bool
    timeout_s: float
    base: str | None
    replace: bool
    wait: bool
    fleet: bool
    token: str
    team: str
    zone: str
    caller: str
    query: tuple[str, ...]
    services: tuple[str, ...]
    shard: str
    request_id: str
    request: str
    issued_at_ms: int
    deadline_ms: int
    idempotent: bool


def make_flags() -> flags.FlagValues:
    """Return the tool's flags, not yet parsed.

    They are separate from absl's process-wide flags, so that each run parses anew.
    """
    values = flags.FlagValues()
    values.set_gnu_getopt(True)

    def add_string(name: str, default: str | None, help_text: str) -> None:
        flags.DEFINE_string(name, default, help_text, flag_values=values)

    def add_boolean(name: str, default: bool, help_text: str) -> None:
        flags.DEFINE_boolean(name, default, help_text, flag_values=values)

    def add_multi_string(name: str, help_text: str) -> None:
        flags.DEFINE_multi_string(name, [], help_text, flag_values=values)

    def add_count(name: str, help_text: str) -> None:
        flags.DEFINE_integer(name, 0, help_text, lower_bound=0, flag_values=values)

    add_boolean("help", False, "Show this help.")
    add_boolean("json", False, "Print one JSON value, for scripts.")
    add_string(
        "instance",
        os.environ.get(INSTANCES_VARIABLE, ""),
        f"ip:port[,ip:port] of instances to ask; default from {INSTANCES_VARIABLE}.",
    )
    flags.DEFINE_float(
        "timeout_s",
        DEFAULT_TIMEOUT_S,
        "Maximum wait for an answer, or for --wait, in seconds.",
        lower_bound=0.1,
        flag_values=values,
    )
    add_string(
        "base", None, "apply: digest of the section that the file was edited from."
    )
    add_boolean("replace", False, "apply: replace the section, whatever its version.")
    add_boolean("wait", False, "apply, drain: wait until every live instance runs it.")
    add_boolean(
        "fleet", False, "status: show what every instance reported, with its age."
    )
    add_string("token", "", "apply: token of the write; reuse it to repeat the write.")
    add_string("team", "", "drain, undrain: the upstream's team; found if left out.")
    add_string("zone", "", "entries, search: availability zone of the caller.")
    add_string(
        "caller", "", "search: name of the caller, which determines the priority."
    )
    add_multi_string("query", "search: field=value; may be repeated.")
    add_multi_string("service", "search: a service; may be repeated; all if left out.")
    add_string("shard", "", "search: the one shard of a non-idempotent request.")
    add_string(
        "request_id", "", "search: id of the request; reuse it to repeat the request."
    )
    add_string(
        "request", "", "explain: show a request's events from log files or input."
    )
    add_count(
        "issued_at_ms",
        "search: time of a repeated request's first attempt, in ms since the epoch.",
    )
    add_count("deadline_ms", "search: time left for the answer, in milliseconds.")
    add_boolean("idempotent", True, "search: --noidempotent runs it at most once.")
    return values


def read_options(values: flags.FlagValues) -> Options:
    """Return the values of parsed flags."""
    instances = [part.strip() for part in values.instance.split(",")]
    return Options(
        instances=tuple(part for part in instances if part),
        as_json=values.json,
        timeout_s=values.timeout_s,
        base=values.base,
        replace=values.replace,
        wait=values.wait,
        fleet=values.fleet,
        token=values.token,
        team=values.team,
        zone=values.zone,
        caller=values.caller,
        query=tuple(values.query),
        services=tuple(values.service),
        shard=values.shard,
        request_id=values.request_id,
        request=values.request,
        issued_at_ms=values.issued_at_ms,
        deadline_ms=values.deadline_ms,
        idempotent=values.idempotent,
    )
