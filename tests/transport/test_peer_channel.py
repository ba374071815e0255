from __future__ import annotations

import os
import subprocess
import sys

import testtools

# The scripts run in processes of their own: the channels need eventlet's asyncio hub,
# and the hub can be chosen only once per process.
IDLE_CHANNEL_SCRIPT = """
import eventlet
eventlet.monkey_patch()
from almondspool.logs import EventLog
from almondspool.protocol.peer import CancelLegs, PeerCodec
from almondspool.transport import peer_channel
from almondspool.standins.ports import free_ports

peer_channel._IDLE_TIMEOUT_S = 0.2
peer_channel._IDLE_CHECK_INTERVAL_S = 0.05
codec = PeerCodec("a-key-of-the-test-suite")

def make(name):
    return peer_channel.PeerChannels(
        name, codec, EventLog(lambda line: None), print, lambda direction, count: None
    )

one, two = make("perth-1"), make("perth-2")
address = f"127.0.0.1:{free_ports(1).start}"
two.listen(address)
with eventlet.Timeout(20):
    for number in range(3):
        one.send("perth-2", address, CancelLegs((f"leg-{number}",)))
        item = two.inbox.get()
        item.reply(CancelLegs((f"reply-{number}",)))
        print(item.sender, item.message.leg_ids[0], one.inbox.get().message.leg_ids[0])
        channel = one._channel_by_instance["perth-2"]
        while not channel._is_idle():
            eventlet.sleep(0.05)
        eventlet.sleep(0.1)
print("down notices", one.inbox.qsize())
"""


OVERSIZED_ENVELOPE_SCRIPT = """
import asyncio, struct
import eventlet
eventlet.monkey_patch()
import eventlet.asyncio
from grpclib.client import Channel
from grpclib.const import Cardinality
from almondspool.logs import EventLog
from almondspool.protocol.peer import PeerCodec
from almondspool.standins.ports import free_ports
from almondspool.transport import peer_channel

refused = eventlet.queue.LightQueue()
channels = peer_channel.PeerChannels(
    "perth-1",
    PeerCodec("a-key-of-the-test-suite"),
    EventLog(lambda line: None),
    refused.put,
    lambda direction, count: None,
)
address = f"127.0.0.1:{free_ports(1).start}"
channels.listen(address)
host, _, port = address.rpartition(":")

async def announce_four_gigabytes():
    channel = Channel(host, int(port), codec=peer_channel.BytesCodec())
    async with channel.request(
        peer_channel._METHOD, Cardinality.STREAM_STREAM, bytes, bytes
    ) as stream:
        await stream.send_request()
        await stream._stream.send_data(struct.pack("?", False) + b"\\xff" * 4)
        await asyncio.sleep(60)

with eventlet.Timeout(20):
    eventlet.asyncio.spawn_for_awaitable(announce_four_gigabytes())
    print(refused.get().name)
"""


def run_script(script):
    environment = {**os.environ, "EVENTLET_HUB": "asyncio", "PYTHONPATH": "."}
    return subprocess.run(
        [sys.executable, "-W", "ignore", "-c", script],
        capture_output=True,
        text=True,
        env=environment,
        timeout=60,
    )


class IdleChannelTests(testtools.TestCase):
    def test_idle_channel_reopens_for_the_next_message(self):
        result = run_script(IDLE_CHANNEL_SCRIPT)
        expected = [f"perth-1 leg-{n} reply-{n}" for n in range(3)]
        self.assertEqual([*expected, "down notices 0"], result.stdout.splitlines())


class OversizedEnvelopeTests(testtools.TestCase):
    def test_announced_length_is_rejected_before_it_is_read(self):
        result = run_script(OVERSIZED_ENVELOPE_SCRIPT)
        self.assertEqual(["PEER_TOO_LARGE"], result.stdout.splitlines(), result.stderr)
