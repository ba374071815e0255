"""The cut links of a cluster, in a file that every daemon reads."""

from __future__ import annotations

import pathlib
from collections.abc import Iterable
from typing import NamedTuple

PLATFORM_HOST = "platform"


class Link(NamedTuple):
    """One direction of the traffic between two hosts.

    Attributes:
        source: The sending host: an IP address, or PLATFORM_HOST.
        target: The receiving host, likewise.
    """

    source: str
    target: str


class LinkCuts:
    """Reads and writes the file of cut links; each query sees its current content."""

    def __init__(self, path: pathlib.Path) -> None:
        """Use the file at a path; while it does not exist, no link is cut."""
        self._path = path
        # Inode and change time, in nanoseconds, of the file as it was read last.
        self._read_file_stamp: tuple[int, int] | None = None
        self._links: frozenset[Link] = frozenset()

    def replace(self, links: Iterable[Link]) -> None:
        """Cut these links and restore all others; readers see all changes at once."""
        text = "".join(f"{link.source} {link.target}\n" for link in sorted(links))
        new_path = self._path.with_suffix(".new")
        new_path.write_text(text)
        new_path.replace(self._path)

    def links(self) -> frozenset[Link]:
        """Return the links that are cut now."""
        try:
            status = self._path.stat()
            stamp = (status.st_ino, status.st_ctime_ns)
            if stamp != self._read_file_stamp:
                lines = self._path.read_text().splitlines()
                self._links = frozenset(Link(*line.split()) for line in lines)
                self._read_file_stamp = stamp
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
    """Return the links from each host to each of the others.

    Args:
        hosts: The sending hosts.
        others: The receiving hosts; a host has no link to itself.
        both_ways: Whether the links of the opposite direction are returned too.
    """
    others = tuple(others)
    links = {Link(host, other) for host in hosts for other in others if host != other}
    if both_ways:
        links |= {Link(link.target, link.source) for link in links}
    return frozenset(links)
