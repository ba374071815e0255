"""Accepts every manifest that it receives, also one of a lower generation."""

from __future__ import annotations

from almondspool import daemon
from almondspool.coordination.configuration.configuration import Configuration

_handle_manifest = Configuration._handle_manifest


def _accept_any_generation(configuration, value, source):
    actions = _handle_manifest(configuration, value, source)
    candidates = configuration._candidates
    for candidate in candidates.by_descending_generation():
        if candidate.value != value:
            candidates.remove(candidate)
    return actions


Configuration._is_lower = lambda configuration, manifest: False
Configuration._handle_manifest = _accept_any_generation

if __name__ == "__main__":
    daemon.run()
