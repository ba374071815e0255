"""The subcommands status, entries, search and explain, which ask an instance."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from almondspool.cli.results import CommandContext, CommandResult
from almondspool.cli.tables import format_table
from almondspool.codes import ResultCode
from almondspool.errors import InstanceError, UsageError
from almondspool.protocol.operator import (
    BacklogRow,
    CandidateRow,
    FleetMemberRow,
    MemberRow,
    StatusAnswer,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_SHOWN_RECORDS = 20
MAX_SHOWN_SHARDS = 10
_MEMBER_COLUMNS = tuple(MemberRow.__annotations__)
_BACKLOG_COLUMNS = tuple(BacklogRow.__annotations__)
_FLEET_MEMBER_COLUMNS = tuple(FleetMemberRow.__annotations__)
_FLEET_BACKLOG_COLUMNS = ("instance", *_BACKLOG_COLUMNS, "age_s")
_CANDIDATE_COLUMNS = tuple(CandidateRow.__annotations__)


def status(context: CommandContext) -> CommandResult:
    """Show the members, backlog and platform calls as one instance sees them.

    With --fleet, show what every instance last reported about itself.
    """
    if context.options.fleet:
        return _fleet_status(context)
    answer = context.client.get_status()
    lines = [
        _format_headline(answer),
        "",
        *format_table(_MEMBER_COLUMNS, answer["members"]),
    ]
    if answer["backlog"]:
        lines += ["", *format_table(_BACKLOG_COLUMNS, answer["backlog"])]
    for title, counts in (
        ("platform calls", answer["platform_calls"]),
        ("refused configuration", answer["refusals"]),
    ):
        if counts:
            lines += ["", f"{title}: {_format_counts(counts)}"]
    return CommandResult(ResultCode.OK, lines, answer)


def _fleet_status(context: CommandContext) -> CommandResult:
    answer = context.client.get_fleet_status()
    lines = [
        f"written {answer['age_s']:.1f} s ago by {answer['holder']},"
        f" epoch {answer['epoch']}",
        "",
        *format_table(_FLEET_MEMBER_COLUMNS, answer["instances"]),
    ]
    if answer["backlog"]:
        lines += ["", *format_table(_FLEET_BACKLOG_COLUMNS, answer["backlog"])]
    return CommandResult(ResultCode.OK, lines, answer)


def _format_headline(answer: StatusAnswer) -> str:
    state = "ready" if answer["is_ready"] else "not ready"
    if answer["is_leaving"]:
        state = "leaving"
    return (
        f"instance {answer['instance']} in {answer['zone']}: {state},"
        f" generation {answer['generation']}"
    )


def _format_counts(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{key} {count}" for key, count in sorted(counts.items()))


def entries(context: CommandContext) -> CommandResult:
    """Show which instance addresses callers should use, and for how long."""
    answer = context.client.get_entries(context.options.zone)
    rows = answer["entries"]
    lines = [f"use for {answer['ttl_ms']} ms"]
    lines += format_table(("address", "zone", "instance"), rows)
    return CommandResult(ResultCode.OK, lines, answer)


def search(context: CommandContext) -> CommandResult:
    """Run one search request and show its records and the shards missing from them."""
    answer = context.client.search(_build_request(context))
    code = _read_code(answer)
    if "coverage" not in answer:
        raise InstanceError(str(answer.get("message", "")), code)
    return CommandResult(code, _describe_answer(code, answer), answer)


def _build_request(context: CommandContext) -> dict[str, Any]:
    """Return the request of the flags, in the format of /v1/search.

    A non-idempotent request must have its issue time; it is set to the current time
    unless the request repeats an earlier one and gives that one's time.
    """
    options = context.options
    issued_at_ms = options.issued_at_ms
    if not options.idempotent and not issued_at_ms:
        issued_at_ms = round(time.time() * 1000)
    return {
        "request_id": options.request_id or context.new_token(),
        "team": context.arguments[0],
        "caller": options.caller,
        "query": dict(_split_term(term) for term in options.query),
        "services": list(options.services),
        "shard": options.shard,
        "deadline_ms": options.deadline_ms,
        "idempotent": options.idempotent,
        "issued_at_ms": issued_at_ms,
    }


def _split_term(term: str) -> tuple[str, str]:
    """Split a ``field=value`` term of a query."""
    field, separator, value = term.partition("=")
    if not separator or not field:
        raise UsageError(f"--query={term}: allowed is field=value")
    return field, value


def _read_code(answer: Mapping[str, Any]) -> ResultCode:
    try:
        return ResultCode(answer["code"])
    except (KeyError, ValueError) as error:
        raise InstanceError(f"the answer has no known code: {error}") from error


def _describe_answer(code: ResultCode, answer: Mapping[str, Any]) -> list[str]:
    coverage = answer["coverage"]
    records = answer["records"]
    lines = [
        f"{int(code)} {code.name}: {coverage['answered']} of {coverage['total']} shards"
        f" of snapshot {answer['snapshot']} answered, {len(records)} records,"
        f" {answer['elapsed_ms']:.1f} ms, by {answer['instance']}",
    ]
    if answer["message"]:
        lines.append(answer["message"])
    if answer["retry_after_ms"]:
        lines.append(f"retry after {answer['retry_after_ms']} ms")
    for missing in coverage["missing"][:MAX_SHOWN_SHARDS]:
        reason = ResultCode(missing["code"]).name
        lines.append(f"missing {missing['shard']}: {missing['outcome']}, {reason}")
    lines += _describe_omitted(coverage["missing"], MAX_SHOWN_SHARDS, "missing shards")
    for record in records[:MAX_SHOWN_RECORDS]:
        fields = [f"{key}={value}" for key, value in sorted(record["fields"].items())]
        lines.append(f"{record['record_id']}: {' '.join(fields)}")
    return lines + _describe_omitted(records, MAX_SHOWN_RECORDS, "records; see --json")


def _describe_omitted(items: list[object], limit: int, noun: str) -> list[str]:
    """Return a line with the number of items beyond a limit, or no line if none are."""
    return [f"and {len(items) - limit} more {noun}"] if len(items) > limit else []


def explain(context: CommandContext) -> CommandResult:
    """Show which upstream would run a shard now, and why."""
    team, shard = context.arguments
    answer = context.client.get_explanation(team, shard)
    chosen = answer["upstream"] or "no upstream"
    lines = [
        f"{team} {shard}, snapshot {answer['snapshot']}: {chosen}, {answer['reason']}",
        *format_table(_CANDIDATE_COLUMNS, answer["candidates"]),
    ]
    return CommandResult(ResultCode.OK, lines, answer)
