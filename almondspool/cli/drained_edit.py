"""Replacement of the ``drained`` list in a section's text; other text is kept."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import yaml

from almondspool.protocol.yaml_lines import YamlLoader

if TYPE_CHECKING:
    from collections.abc import Iterable

DRAINED_KEY = "drained"


def set_drained(text: str, upstream_ids: Iterable[str]) -> str:
    """Return a section's text with another list of drained upstreams.

    Args:
        text: Valid YAML of one section.
        upstream_ids: The drained upstreams of the result.
    """
    value = json.dumps(sorted(upstream_ids))
    found = _find_pair(text)
    if found is None:
        separator = "" if text.endswith("\n") else "\n"
        return f"{text}{separator}{DRAINED_KEY}: {value}\n"
    key, node = found
    start = _offset(text, key.end_mark)
    end = _offset(text, _end_mark(node))
    return f"{text[:start]}: {value}{text[end:]}"


def _find_pair(text: str) -> tuple[yaml.Node, yaml.Node] | None:
    root = yaml.compose(text, Loader=YamlLoader)
    for key, node in root.value:
        if key.value == DRAINED_KEY:
            return key, node
    return None


def _end_mark(node: yaml.SequenceNode) -> yaml.Mark:
    """Return a list's end; the parser sets that of a block list at the next key."""
    if node.flow_style or not node.value:
        return node.end_mark
    return node.value[-1].end_mark


def _offset(text: str, mark: yaml.Mark) -> int:
    lines = text.splitlines(keepends=True)
    return sum(map(len, lines[: mark.line])) + mark.column
