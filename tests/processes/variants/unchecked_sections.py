"""Accepts the text of a section without checking its digest."""

from __future__ import annotations

from almondspool import daemon
from almondspool.coordination.configuration.configuration import Configuration
from almondspool.coordination.configuration.section_store import make_stored_section


def _accept_any_text(configuration, name, text, source, now):
    wanted = configuration._missing_by_name().get(name)
    if wanted is None:
        return []
    stored = make_stored_section(wanted.team, text)
    for digest in wanted.digests:
        configuration.sections.add(stored._replace(digest=digest))
    return []


Configuration._handle_section = _accept_any_text

if __name__ == "__main__":
    daemon.run()
