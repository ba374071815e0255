"""Flags of the command-line tool."""

from __future__ import annotations

import os
from typing import NamedTuple

from absl import flags

INSTANCES_VARIABLE = "ALMONDSPOOL_INSTANCES"
DEFAULT_TIMEOUT_S = 10.0


class Options(NamedTuple):
    """The flags' values; see make_flags for their meaning."""

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
    """Return a fresh set of flags, apart from those of the process."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)

    def text(name: str, default: str | None, help_text: str) -> None:
        flags.DEFINE_string(name, default, help_text, flag_values=values)

    def switch(name: str, default: bool, help_text: str) -> None:
        flags.DEFINE_boolean(name, default, help_text, flag_values=values)

    def texts(name: str, help_text: str) -> None:
        flags.DEFINE_multi_string(name, [], help_text, flag_values=values)

    def number(name: str, help_text: str) -> None:
        flags.DEFINE_integer(name, 0, help_text, lower_bound=0, flag_values=values)

    switch("help", False, "Show this help.")
    switch("json", False, "Print one JSON value, for scripts.")
    text(
        "instance",
        os.environ.get(INSTANCES_VARIABLE, ""),
        f"ip:port[,ip:port] of instances to ask; default from {INSTANCES_VARIABLE}.",
    )
    flags.DEFINE_float(
        "timeout_s",
        DEFAULT_TIMEOUT_S,
        "Longest wait for an answer, or for --wait, in seconds.",
        lower_bound=0.1,
        flag_values=values,
    )
    text("base", None, "apply: digest of the section that the file was edited from.")
    switch("replace", False, "apply: replace the section whatever it is.")
    switch("wait", False, "apply, drain: wait until every live instance runs it.")
    switch("fleet", False, "status: show what every instance reported, with its age.")
    text("token", "", "apply: token of the write; repeat it to repeat the write.")
    text("team", "", "drain, undrain: the upstream's team; found if left out.")
    text("zone", "", "entries, search: availability zone of the caller.")
    text("caller", "", "search: name of the caller, which decides the priority.")
    texts("query", "search: field=value; may be repeated.")
    texts("service", "search: a service; may be repeated; all if left out.")
    text("shard", "", "search: the one shard of a non-idempotent request.")
    text("request_id", "", "search: id of the request; repeat it to repeat it.")
    text("request", "", "explain: tell a request's story from log files or input.")
    number("issued_at_ms", "search: when a repeated request was first made.")
    number("deadline_ms", "search: time left for the answer, in milliseconds.")
    switch("idempotent", True, "search: --noidempotent runs it at most once.")
    return values


def read_options(values: flags.FlagValues) -> Options:
    """Return the parsed flags' values."""
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
