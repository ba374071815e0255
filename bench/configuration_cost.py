"""Benchmark of checking a section and of propagating a change to a fleet.

Run as ``python -m bench.configuration_cost``. The instances run in one process, in
virtual time, with links of a fixed delay; messages are encoded and signed as on the
wire, and their bytes are counted.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.configuration.configuration import Configuration
from almondspool.coordination.configuration.configuration_actions import SendMessage
from almondspool.coordination.configuration.section_store import make_stored_section
from almondspool.protocol.document import parse_section, section_digest
from almondspool.protocol.manifest import encode_manifest, replace_section
from almondspool.protocol.peer import FetchObjects, PeerCodec
from almondspool.state.members import Member, View
from almondspool.transport.timers import VirtualTimers

if TYPE_CHECKING:
    from almondspool.protocol.manifest import Manifest
    from almondspool.protocol.peer import ObjectsReply

TEAM = "alert-desk"
LINK_DELAY_S = 0.004
# Virtual time within which a change reaches all instances.
PROPAGATION_S = 10.0
CHECK_COUNT = 5
UPSTREAMS_PER_SERVICE = 3
UPSTREAM_COUNTS = (30, 90, 210, 630)
FLEET_SIZES_BY_UPSTREAMS = {30: (3, 9, 27, 81, 220, 440), 630: (3, 9, 27)}
PRIOR_CHANGE_COUNT = 40
ZONES = ("perth-north", "perth-south", "perth-hills")


class CheckCost(NamedTuple):
    """Cost of checking a section of one size.

    Attributes:
        upstreams: Number of upstreams, and of shards in each of two snapshots.
        text_bytes: Size of the section's text.
        compressed_bytes: Size of the compressed section that peers exchange.
        check_ms: Processor time to parse and check the section, in milliseconds.
        memory_bytes: Memory that the checked section occupies.
    """

    upstreams: int
    text_bytes: int
    compressed_bytes: int
    check_ms: float
    memory_bytes: int


class PropagationCost(NamedTuple):
    """Cost of propagating one change in a fleet of one size.

    Attributes:
        instances: Number of instances.
        in_force_ms: Virtual time from the acceptance of the change until it is in force
            on the last instance, in milliseconds.
        messages: Mean number of messages sent by an instance.
        sent_bytes: Mean number of bytes sent by an instance.
        max_sent_bytes: Maximum number of bytes sent by an instance.
        cpu_ms: Mean processor time of an instance, including the codec, in
            milliseconds.
    """

    instances: int
    in_force_ms: float
    messages: float
    sent_bytes: float
    max_sent_bytes: int
    cpu_ms: float


def make_section_text(upstreams: int, deadline_ms: int) -> str:
    """Return a section with three upstreams and three shards per service."""
    services = range(upstreams // UPSTREAMS_PER_SERVICE)
    lines = [f"team: {TEAM}", "priority: urgent", f"deadline_ms: {deadline_ms}"]
    lines.append("services:")
    for number in services:
        lines += [f"  {TEAM}-{number:03}:", "    upstreams:"]
        for index, letter in enumerate("abc"):
            port = 2000 + number * UPSTREAMS_PER_SERVICE + index
            lines.append(
                f"      {TEAM}-{number:03}-{letter}: {{address: '127.0.0.1:{port}',"
                f" zone: {ZONES[index]}, slots: 2, connections: 25}}"
            )
    lines.append("snapshots:")
    for snapshot in (1, 2):
        lines += [f"  - id: {snapshot}", "    shards:"]
        for number in services:
            service = f"{TEAM}-{number:03}"
            lines += [
                f"      - {{id: {service}/{shard}, service: {service},"
                f" replicas: [{service}-a, {service}-b]}}"
                for shard in range(UPSTREAMS_PER_SERVICE)
            ]
    return "\n".join(lines) + "\n"


def measure_check(upstreams: int) -> CheckCost:
    """Measure the cost of checking a section with a number of upstreams."""
    text = make_section_text(upstreams, 160)
    started = time.process_time()
    for _ in range(CHECK_COUNT):
        parse_section(text, "bench")
    check_s = (time.process_time() - started) / CHECK_COUNT
    tracemalloc.start()
    stored = make_stored_section(TEAM, text.encode())
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return CheckCost(
        upstreams, len(text), len(stored.compressed), check_s * 1000, memory_bytes
    )


class _Fleet:
    """Instances that propagate a change in virtual time."""

    def __init__(self, size: int) -> None:
        self.timers = VirtualTimers()
        self.sent_bytes_by_instance: dict[str, int] = {}
        self.message_count = 0
        self.last_in_force_at = 0.0
        self._codec = PeerCodec("a-key-for-benchmarks")
        names = [f"perth-{number}" for number in range(size)]
        self.configurations_by_name = {
            name: Configuration(name, random.Random(name), 0.0) for name in names
        }
        members = {
            name: Member(name, 1, ZONES[index % len(ZONES)], "", "")
            for index, name in enumerate(names)
        }
        for name in names:
            self.execute_actions(
                name, self.configurations_by_name[name].on_view(View(members), 0.0)
            )

    def accept(self, manifest: Manifest, text: bytes) -> None:
        """Accept a section on the first instance and wait PROPAGATION_S."""
        stored = make_stored_section(TEAM, text)
        first = next(iter(self.configurations_by_name))
        value = encode_manifest(manifest)
        actions = self.configurations_by_name[first].on_accepted(
            value, stored, self.timers.now()
        )
        self.execute_actions(first, actions)
        self.timers.advance(PROPAGATION_S)

    def check_in_force(self, generation: int) -> None:
        """Check that a generation is in force on every instance.

        Raises:
            RuntimeError: If another generation is in force on an instance.
        """
        outdated = [
            name
            for name, configuration in self.configurations_by_name.items()
            if configuration.document.generation != generation
        ]
        if outdated:
            raise RuntimeError(f"generation {generation} is not in force on {outdated}")

    def execute_actions(self, name: str, actions: list[object]) -> None:
        """Send the messages among the actions of an instance; ignore other actions."""
        for action in actions:
            if isinstance(action, SendMessage):
                self._send(name, action)

    def _send(self, sender: str, action: SendMessage) -> None:
        data = self._codec.encode(sender, 1, 1, (action.message,))
        sent_bytes = self.sent_bytes_by_instance.get(sender, 0) + len(data)
        self.sent_bytes_by_instance[sender] = sent_bytes
        self.message_count += 1
        self.timers.call_later(
            LINK_DELAY_S, lambda: self._receive(sender, action.instance, data)
        )

    def _receive(self, sender: str, receiver: str, data: bytes) -> None:
        _, (message,) = self._codec.decode(data)
        configuration = self.configurations_by_name[receiver]
        generation = configuration.document.generation
        self.execute_actions(
            receiver, self._handle_message(configuration, sender, message)
        )
        if configuration.document.generation > generation:
            self.last_in_force_at = self.timers.now()

    def _handle_message(
        self,
        configuration: Configuration,
        sender: str,
        message: FetchObjects | ObjectsReply,
    ) -> list[object]:
        if isinstance(message, FetchObjects):
            return configuration.on_peer_fetch(sender, message)
        return configuration.on_peer_objects(sender, message, self.timers.now())


def measure_propagation(size: int, upstreams: int) -> PropagationCost:
    """Measure one change of a section with a number of upstreams.

    Enough changes precede it to fill the lists of the manifest.
    """
    fleet = _Fleet(size)
    manifest = None
    for change in range(PRIOR_CHANGE_COUNT):
        text = make_section_text(upstreams, 100 + change).encode()
        token = f"{change:032}"
        manifest = replace_section(manifest, TEAM, section_digest(text), token)
    fleet.accept(manifest, text)
    text = make_section_text(upstreams, 1000).encode()
    manifest = replace_section(manifest, TEAM, section_digest(text), "1" * 32)
    fleet.message_count = 0
    fleet.sent_bytes_by_instance.clear()
    accepted_at = fleet.timers.now()
    started = time.process_time()
    fleet.accept(manifest, text)
    cpu_s = time.process_time() - started
    sent_bytes = fleet.sent_bytes_by_instance.values()
    fleet.check_in_force(manifest.generation)
    return PropagationCost(
        size,
        (fleet.last_in_force_at - accepted_at) * 1000,
        fleet.message_count / size,
        sum(sent_bytes) / size,
        max(sent_bytes),
        cpu_s * 1000 / size,
    )


def main() -> None:
    """Print the costs of checking and of propagation as tables."""
    print("upstreams  text bytes  packed bytes  check ms  memory bytes")
    for upstreams in UPSTREAM_COUNTS:
        cost = measure_check(upstreams)
        print(
            f"{cost.upstreams:9}  {cost.text_bytes:10}  {cost.compressed_bytes:12}"
            f"  {cost.check_ms:8.1f}  {cost.memory_bytes:12}"
        )
    for upstreams, sizes in FLEET_SIZES_BY_UPSTREAMS.items():
        print(f"\none change of a section of {upstreams} upstreams, by instance:")
        print("instances  in force ms  messages  sent bytes  most sent  cpu ms")
        for size in sizes:
            propagation = measure_propagation(size, upstreams)
            print(
                f"{propagation.instances:9}  {propagation.in_force_ms:11.1f}"
                f"  {propagation.messages:8.2f}  {propagation.sent_bytes:10.0f}"
                f"  {propagation.max_sent_bytes:9}  {propagation.cpu_ms:6.2f}"
            )


if __name__ == "__main__":
    main()
