"""Decoder of replies with many objects, of which some may be unreadable.

Other programs write objects of the same kinds. One that the decoder rejects, for its
nesting, its numbers or its text, must not hide the others.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

# What may be raised for content that is not valid JSON, or that is nested too deeply.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)
# Strings and brackets; brackets within strings have no meaning.
_TOKEN_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_NAME_PATTERN = re.compile(
    rb'"meta"\s*:\s*\{[^{}]*?"name"\s*:\s*("(?:[^"\\]|\\.)*")', re.DOTALL
)
_OPENING = (b"[", b"{")
# Depth of the items within ``{"key": [item, ...]}``.
_ITEM_DEPTH = 2


def decode_content(content: bytes, items_key: str) -> Any:
    """Decode a reply, item by item if it cannot be decoded as a whole.

    Args:
        content: JSON text of an object.
        items_key: Key of the list of items.

    Returns:
        The decoded value. An unreadable item is replaced by one with its name, if that
        can be read, and without a ``spec``.

    Raises:
        msgspec.DecodeError: If more than items is unreadable.
        RecursionError: The same.
    """
    try:
        return msgspec.json.decode(content)
    except DECODE_ERRORS:
        spans = list(_item_spans(content))
        if not spans:
            raise
        before, after = content[: spans[0][0]], content[spans[-1][1] :]
        if not re.search(rb'"%s"\s*:\s*\[\s*$' % items_key.encode(), before):
            raise
    envelope = msgspec.json.decode(before + after)
    items = [_decode_item(content[start:end]) for start, end in spans]
    return {**envelope, items_key: items}


def _item_spans(content: bytes) -> Iterator[tuple[int, int]]:
    """Yield the start and end of each object in the list of a top-level object."""
    depth = 0
    start = 0
    for token in _TOKEN_PATTERN.finditer(content):
        text = token.group()
        if text in _OPENING:
            if depth == _ITEM_DEPTH:
                start = token.start()
            depth += 1
        elif not text.startswith(b'"'):
            depth -= 1
            if depth == _ITEM_DEPTH:
                yield start, token.end()


def _decode_item(text: bytes) -> Any:
    try:
        return msgspec.json.decode(text)
    except DECODE_ERRORS:
        stored_object = {"meta": {"name": _name(text)}, "spec": None}
        return {**stored_object, "object": stored_object, "tombstone": False}


def _name(text: bytes) -> str:
    """Return the name of an unreadable object, or an empty string."""
    match = _NAME_PATTERN.search(text)
    try:
        return msgspec.json.decode(match.group(1), type=str) if match else ""
    except DECODE_ERRORS:
        return ""
