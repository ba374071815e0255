"""List of a cluster's cut links, in a file that every daemon reads."""

from __future__ import annotations

import pathlib
from collections.abc import Iterable
from typing import NamedTuple

PLATFORM_HOST = "platform"


class Link(NamedTuple):
    """One direction between two hosts.

    Attributes:
        source: The sending host: an IP number, or PLATFORM_HOST.
        target: The receiving host.
    """

    source: str
    target: str


class LinkCuts:
    """Reads and writes the cut links; each query sees the current file."""

    def __init__(self, path: pathlib.Path) -> None:
        """Use a file; while it does not exist, no link is cut."""
        self._path = path
        self._loaded_stamp: tuple[int, int] | None = None
        self._links: frozenset[Link] = frozenset()

    def replace(self, links: Iterable[Link]) -> None:
        """Cut exactly these links."""
        text = "".join(f"{link.source} {link.target}\n" for link in sorted(links))
        temporary = self._path.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(self._path)

    def links(self) -> frozenset[Link]:
        """Return the links that are cut now."""
        try:
            status = self._path.stat()
            stamp = (status.st_ino, status.st_ctime_ns)
            if stamp != self._loaded_stamp:
                lines = self._path.read_text().splitlines()
                self._links = frozenset(Link(*line.split()) for line in lines)
                self._loaded_stamp = stamp
        except FileNotFoundError:
            return frozenset()
        return self._links

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether the link from one host to another is cut."""
        return Link(source, target) in self.links()

    def is_cut_either_way(self, one: str, other: str) -> bool:
        """Return whether at least one direction between two hosts is cut."""
        return self.is_cut(one, other) or self.is_cut(other, one)


def links_between(
    hosts: Iterable[str], others: Iterable[str], *, both_ways: bool = True
) -> frozenset[Link]:
    """Return the links from each host to each of the others, or both ways."""
    others = tuple(others)
    links = {Link(host, other) for host in hosts for other in others if host != other}
    if both_ways:
        links |= {Link(link.target, link.source) for link in links}
    return frozenset(links)
