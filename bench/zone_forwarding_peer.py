"""Peer process of ``bench.zone_forwarding``.

Runs the legs of the batches that it receives on its peer channels, with a leg
dispatcher that has connections to every searcher.
"""

# ruff: noqa: E402
from __future__ import annotations

import os

os.environ.setdefault("EVENTLET_HUB", "asyncio")  # grpclib needs an asyncio loop.

import eventlet

if __name__ == "__main__":
    eventlet.monkey_patch()

import contextlib
import subprocess
import sys
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from almondspool.coordination.upstreams.leg_dispatcher_task import (
    LegDispatcherTask,
    make_leg_dispatcher_task,
)
from almondspool.coordination.upstreams.silent_connections import (
    SilentConnectionDetector,
)
from almondspool.logs import EventLog
from almondspool.protocol.http_upstream import make_http_upstream_client
from almondspool.protocol.peer import LegBatch, PeerCodec
from almondspool.state.document import Document, Priority, Section, Upstream
from almondspool.transport.peer_channel import ChannelDown, PeerChannels
from almondspool.transport.timers import EventletTimers

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from almondspool.standins.searcher_settings import SearcherSettings

TEAM = "alert-desk"
PEER_KEY = "benchmark-of-zone-forwarding"
GRANTED_CONNECTIONS = 5
DEADLINE_MS = 10_000


class PeerSettings(msgspec.Struct):
    """Settings of the peer process, passed as JSON on its standard input.

    Attributes:
        address: Address on which the peer listens.
        upstream_addresses: Addresses of the upstreams by upstream id.
    """

    address: str
    upstream_addresses: dict[str, str]


class StartedPeer(NamedTuple):
    """Peer channel address and process id of a running peer process."""

    address: str
    pid: int


def make_channels(instance: str) -> PeerChannels:
    """Create the peer channels of an instance, without a listener."""
    channels = PeerChannels(
        instance,
        PeerCodec(PEER_KEY),
        EventLog(lambda line: None),
        lambda code: None,
        lambda direction, count: None,
    )
    channels.set_incarnation(1)
    return channels


def make_leg_dispatcher(searchers: Sequence[SearcherSettings]) -> LegDispatcherTask:
    """Create a leg dispatcher that has connections of its own to the searchers."""
    return _make_leg_dispatcher({item.upstream_id: item.address for item in searchers})


def _make_leg_dispatcher(address_by_upstream_id: dict[str, str]) -> LegDispatcherTask:
    upstreams = {
        upstream_id: Upstream(upstream_id, address, "perth-north", 2, 25)
        for upstream_id, address in address_by_upstream_id.items()
    }
    section = Section(TEAM, Priority.NORMAL, DEADLINE_MS, {}, {}, upstreams, {})
    timers = EventletTimers()
    client, _ = make_http_upstream_client(timers, SilentConnectionDetector())
    task = make_leg_dispatcher_task(client, timers, EventLog(lambda line: None), False)
    task.set_document(Document(1, {TEAM: section}))
    task.set_grants(dict.fromkeys(upstreams, GRANTED_CONNECTIONS))
    return task


@contextlib.contextmanager
def start_peer(
    searchers: Sequence[SearcherSettings], address: str
) -> Iterator[StartedPeer]:
    """Start a peer process, wait until it listens, and kill it on exit."""
    settings = PeerSettings(
        address, {item.upstream_id: item.address for item in searchers}
    )
    child = subprocess.Popen(
        [sys.executable, "-W", "ignore", "-m", "bench.zone_forwarding_peer"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        child.stdin.write(msgspec.json.encode(settings) + b"\n")
        child.stdin.flush()
        child.stdout.readline()
        yield StartedPeer(address, child.pid)
    finally:
        child.kill()
        child.wait()


def main() -> None:
    """Run the legs of received batches until the process is killed."""
    settings = msgspec.json.decode(sys.stdin.readline(), type=PeerSettings)
    leg_dispatcher = _make_leg_dispatcher(settings.upstream_addresses)
    channels = make_channels("peer")
    channels.listen(settings.address)
    print("ready", flush=True)
    while True:
        item = channels.inbox.get()
        if not isinstance(item, ChannelDown) and isinstance(item.message, LegBatch):
            leg_dispatcher.submit(item.message, item.reply)


if __name__ == "__main__":
    main()
