"""Look-up of the line of a key in YAML text, for error messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import yaml

if TYPE_CHECKING:
    from collections.abc import Sequence

# The libyaml loader, if PyYAML was built with it, takes about a tenth of the time
# of the loader in Python.
YamlLoader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def find_line(text: str, path: Sequence[str | int]) -> int:
    """Return the 1-based line of the node at a path of keys and indexes.

    If the path leads to no node, the line of the nearest enclosing node is returned.

    Args:
        text: The YAML text; must parse.
        path: Keys and list indexes from the root.
    """
    return find_node_line(yaml.compose(text, Loader=YamlLoader), path)


def find_node_line(node: yaml.Node | None, path: Sequence[str | int]) -> int:
    """Return the 1-based line at a path below a composed node, as find_line does."""
    line = 1
    for step in path:
        child = _child(node, step)
        if child is None:
            break
        node, line = child
    return line


def _child(node: yaml.Node | None, step: str | int) -> tuple[yaml.Node, int] | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == str(step):
                return value, key.start_mark.line + 1
    if isinstance(node, yaml.SequenceNode) and isinstance(step, int):
        if step < len(node.value):
            item = node.value[step]
            return item, item.start_mark.line + 1
    return None
