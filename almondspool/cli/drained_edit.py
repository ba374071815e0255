"""Replacement of the ``drained`` list in a section's YAML text.

The text is edited rather than serialized from its values, so that comments and layout
are preserved.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import yaml

from almondspool.protocol.yaml_lines import YamlLoader

if TYPE_CHECKING:
    from collections.abc import Iterable

DRAINED_KEY = "drained"


def set_drained(text: str, upstream_ids: Iterable[str]) -> str:
    """Return a section's text with its list of drained upstreams replaced.

    The list is added at the end if the section has none.

    Args:
        text: Valid YAML of one section.
        upstream_ids: Ids of all upstreams that the result lists as drained.
    """
    value = json.dumps(sorted(upstream_ids))
    drained_pair = _find_drained_pair(text)
    if drained_pair is None:
        separator = "" if text.endswith("\n") else "\n"
        return f"{text}{separator}{DRAINED_KEY}: {value}\n"
    key, node = drained_pair
    start = _offset(text, key.end_mark)
    end = _offset(text, _end_mark(node))
    return f"{text[:start]}: {value}{text[end:]}"


def _find_drained_pair(text: str) -> tuple[yaml.Node, yaml.Node] | None:
    """Return the nodes of the ``drained`` key and its value, or None without one."""
    root = yaml.compose(text, Loader=YamlLoader)
    for key, node in root.value:
        if key.value == DRAINED_KEY:
            return key, node
    return None


def _end_mark(node: yaml.SequenceNode) -> yaml.Mark:
    """Return the position after a list's last character.

    For a block list it is the end of the last item: the parser's end mark of the list
    is at the next key, after any comments in between.
    """
    if node.flow_style or not node.value:
        return node.end_mark
    return node.value[-1].end_mark


def _offset(text: str, mark: yaml.Mark) -> int:
    """Return the index in a text of a parser's mark, which has line and column."""
    lines = text.splitlines(keepends=True)
    return sum(map(len, lines[: mark.line])) + mark.column
