"""File with the links of an instance to upstreams that are cut."""

from __future__ import annotations

import msgspec

# Suffix of the file, which lies beside the settings of the instance.
CUT_SUFFIX = ".cut"


class UpstreamCut(msgspec.Struct):
    """Links that are cut.

    Attributes:
        mode: ``hang`` drops all data and connection attempts; ``reset`` resets
            connections and refuses new ones; ``refuse`` only refuses new ones.
        addresses: ``ip:port`` of the upstreams.
    """

    mode: str
    addresses: list[str]
