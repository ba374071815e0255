"""Peer process of ``bench.crossing``: a leg dispatcher behind a peer channel."""

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
PEER_KEY = "benchmark-of-the-crossing"
CONNECTIONS = 5
DEADLINE_MS = 10_000


class PeerPlan(msgspec.Struct):
    """Configuration of the peer process, passed on its stdin.

    Attributes:
        address: Address on which the peer listens.
        upstream_addresses: Addresses of the upstreams by upstream id.
    """

    address: str
    upstream_addresses: dict[str, str]


class StartedPeer(NamedTuple):
    """Address and process id of a running peer process."""

    address: str
    pid: int


def make_channels(instance: str) -> PeerChannels:
    """Create peer channels without a listener."""
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
    """Create a leg dispatcher with its own connections to searchers."""
    return _make_leg_dispatcher({item.upstream_id: item.address for item in searchers})


def _make_leg_dispatcher(address_by_id: dict[str, str]) -> LegDispatcherTask:
    upstreams = {
        upstream_id: Upstream(upstream_id, address, "perth-north", 2, 25)
        for upstream_id, address in address_by_id.items()
    }
    section = Section(TEAM, Priority.NORMAL, DEADLINE_MS, {}, {}, upstreams, {})
    timers = EventletTimers()
    client, _ = make_http_upstream_client(timers, SilentConnectionDetector())
    task = make_leg_dispatcher_task(client, timers, EventLog(lambda line: None), False)
    task.set_document(Document(1, {TEAM: section}))
    task.set_grants(dict.fromkeys(upstreams, CONNECTIONS))
    return task


@contextlib.contextmanager
def start_peer(
    searchers: Sequence[SearcherSettings], address: str
) -> Iterator[StartedPeer]:
    """Run a peer process while the context lasts."""
    plan = PeerPlan(address, {item.upstream_id: item.address for item in searchers})
    child = subprocess.Popen(
        [sys.executable, "-W", "ignore", "-m", "bench.crossing_peer"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        child.stdin.write(msgspec.json.encode(plan) + b"\n")
        child.stdin.flush()
        child.stdout.readline()
        yield StartedPeer(address, child.pid)
    finally:
        child.kill()
        child.wait()


def main() -> None:
    """Serve batches until the process is killed."""
    plan = msgspec.json.decode(sys.stdin.readline(), type=PeerPlan)
    leg_dispatcher = _make_leg_dispatcher(plan.upstream_addresses)
    channels = make_channels("peer")
    channels.listen(plan.address)
    print("ready", flush=True)
    while True:
        item = channels.inbox.get()
        if not isinstance(item, ChannelDown) and isinstance(item.message, LegBatch):
            leg_dispatcher.submit(item.message, item.reply)


if __name__ == "__main__":
    main()
