"""Codec of the configuration document: one team's section as YAML text."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from typing import Any

import pydantic
import yaml

from almondspool.codes import ResultCode
from almondspool.errors import DocumentError
from almondspool.protocol.document_checks import (
    DocumentProblem,
    Path,
    SectionProblem,
    check_section_model,
)
from almondspool.protocol.document_model import (
    MODEL_BY_PATH,
    SectionModel,
    SnapshotModel,
)
from almondspool.protocol.platform import MAX_VALUE_BYTES
from almondspool.protocol.yaml_lines import YamlLoader, find_node_line
from almondspool.state.document import (
    Priority,
    Section,
    Service,
    Shard,
    Snapshot,
    Upstream,
)

MAX_SECTION_BYTES = MAX_VALUE_BYTES
MAX_SHOWN_VALUE_CHARS = 60


def section_digest(text: bytes) -> str:
    """Return the SHA-256 of a section's text in hexadecimal digits."""
    return hashlib.sha256(text).hexdigest()


def decode_section(value: bytes, source: str = "section") -> Section:
    """Decode a section as stored in the platform.

    Raises:
        DocumentError: As for parse_section, and for text that is not UTF-8.
    """
    _check_size(len(value), source)
    try:
        text = value.decode()
    except UnicodeDecodeError as error:
        raise DocumentError(f"{source}: not UTF-8 text: {error}") from error
    return parse_section(text, source)


def parse_section(text: str, source: str) -> Section:
    """Parse and check one section.

    Args:
        text: The YAML text.
        source: The file's name, or another name to use in messages.

    Raises:
        DocumentError: With every problem found, one per line.
    """
    _check_size(len(text.encode()), source)
    root, values = _parse_yaml(text, source)
    model, problems = _validate_schema(values)
    if model is not None:
        problems.extend(check_section_model(model))
    if problems:
        raise _error_from_section_problems(source, root, problems)
    return _build_section(model)


def _check_size(size_bytes: int, source: str) -> None:
    if size_bytes > MAX_SECTION_BYTES:
        raise DocumentError(
            f"{source}: section of {size_bytes} bytes;"
            f" allowed are at most {MAX_SECTION_BYTES}",
            ResultCode.DOCUMENT_TOO_LARGE,
        )


def _parse_yaml(text: str, source: str) -> tuple[yaml.Node, Any]:
    try:
        loader = YamlLoader(text)
        root = loader.get_single_node()
        if not isinstance(root, yaml.MappingNode):
            problem = DocumentProblem(source, 1, (), "a section must be a mapping")
            raise _error_from_document_problems((problem,))
        problems = list(_check_nodes(root))
        if problems:
            raise _error_from_section_problems(source, root, problems)
        return root, loader.construct_document(root)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        problem = _yaml_problem(source, error)
        raise _error_from_document_problems((problem,)) from error


def _yaml_problem(source: str, error: Exception) -> DocumentProblem:
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark else 0
    reason = getattr(error, "problem", None) or str(error)
    return DocumentProblem(source, line, (), f"not valid YAML: {reason}")


def _check_nodes(root: yaml.MappingNode) -> Iterator[SectionProblem]:
    """Yield duplicate keys and aliases, which the constructed values do not show."""
    seen_ids = set()
    pending: list[tuple[Path, yaml.Node]] = [((), root)]
    while pending:
        path, node = pending.pop()
        if id(node) in seen_ids:
            yield SectionProblem(path, "a YAML alias; allowed are plain values only")
            continue
        seen_ids.add(id(node))
        if isinstance(node, yaml.SequenceNode):
            items = list(enumerate(node.value))
            pending.extend(((*path, index), item) for index, item in reversed(items))
        elif isinstance(node, yaml.MappingNode):
            yield from _check_keys(path, node)
            items = [(str(key.value), value) for key, value in node.value]
            pending.extend(((*path, key), value) for key, value in reversed(items))


def _check_keys(path: Path, node: yaml.MappingNode) -> Iterator[SectionProblem]:
    line_by_key: dict[str, int] = {}
    for key, _ in node.value:
        name = str(key.value)
        line = key.start_mark.line + 1
        if name in line_by_key:
            first_line = line_by_key[name]
            message = f"key {name!r} stands twice, on lines {first_line} and {line}"
            yield SectionProblem((*path, name), message)
        line_by_key.setdefault(name, line)


def _validate_schema(values: Any) -> tuple[SectionModel | None, list[SectionProblem]]:
    try:
        return SectionModel.model_validate(values), []
    except pydantic.ValidationError as error:
        return None, [
            _section_problem(error_details) for error_details in error.errors()
        ]


def _section_problem(error_details: Any) -> SectionProblem:
    # Pydantic adds the step "[key]" to the path of an invalid key of a mapping.
    path = tuple(step for step in error_details["loc"] if step != "[key]")
    error_type = error_details["type"]
    if error_type == "extra_forbidden":
        return SectionProblem(path, f"unknown key; allowed are {_allowed_keys(path)}")
    if error_type == "missing":
        return SectionProblem(path, "required key is missing")
    message = error_details["msg"].removeprefix("Value error, ")
    return SectionProblem(
        path, f"{_format_value(error_details['input'])} is not allowed: {message}"
    )


def _allowed_keys(path: Path) -> str:
    model = MODEL_BY_PATH.get((path[0], len(path)), SectionModel)
    return ", ".join(model.model_fields)


def _format_value(value: object) -> str:
    text = repr(value)
    if len(text) <= MAX_SHOWN_VALUE_CHARS:
        return text
    return text[:MAX_SHOWN_VALUE_CHARS] + "..."


def _error_from_section_problems(
    source: str, root: yaml.Node, problems: list[SectionProblem]
) -> DocumentError:
    return _error_from_document_problems(
        tuple(
            DocumentProblem(source, find_node_line(root, path), path, message)
            for path, message in problems
        )
    )


def _error_from_document_problems(
    problems: tuple[DocumentProblem, ...],
) -> DocumentError:
    return DocumentError("\n".join(map(str, problems)), problems=problems)


def _build_section(model: SectionModel) -> Section:
    services_by_id = {}
    upstreams_by_id = {}
    for service_id, service in model.services.items():
        services_by_id[service_id] = Service(service_id, tuple(service.upstreams))
        for upstream_id, upstream in service.upstreams.items():
            upstreams_by_id[upstream_id] = Upstream(
                upstream_id,
                upstream.address,
                upstream.zone,
                upstream.slots,
                upstream.connections,
                upstream.connect_cost_ms,
            )
    return Section(
        team=model.team,
        priority=Priority[model.priority.upper()],
        deadline_ms=model.deadline_ms,
        priority_by_caller={
            caller: Priority[name.upper()] for caller, name in model.callers.items()
        },
        services_by_id=services_by_id,
        upstreams_by_id=upstreams_by_id,
        snapshots_by_id={
            snapshot.id: _build_snapshot(snapshot) for snapshot in model.snapshots
        },
        drained=frozenset(model.drained),
    )


def _build_snapshot(model: SnapshotModel) -> Snapshot:
    shards_by_id = {
        shard.id: Shard(shard.id, shard.service, tuple(shard.replicas))
        for shard in model.shards
    }
    return Snapshot(model.id, shards_by_id)
