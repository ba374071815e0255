"""Benchmark of entry look-ups, fleet status and member records by size of the fleet.

Run as ``python -m bench.role_cost``. Prints, for each number of instances, the
processor time of one entry look-up and of encoding the fleet status, the size of the
status and the memory of a member's record; then the processor time and the memory of
one command of the command-line tool.
"""

from __future__ import annotations

import random
import resource
import subprocess
import sys
import tracemalloc
from typing import NamedTuple

from almondspool.coordination.membership.entries import choose_entries
from almondspool.coordination.membership.member_table import MemberTable
from almondspool.protocol.fleet import (
    FleetRow,
    FleetStatus,
    InstanceSummary,
    Lease,
    QueueSummary,
    encode_fleet,
)
from almondspool.state.members import Member, View
from bench.processor_time import measure_processor_s

US_PER_S = 1e6
KIB_PER_MIB = 1024
INSTANCE_COUNTS = (9, 81, 440)
CALLS_PER_MEASUREMENT = 50
QUEUES_PER_INSTANCE = 10
ZONE_COUNT = 8
ENTRY_TTL_S = 5.0
COMMAND = (sys.executable, "-W", "ignore", "-m", "almondspool.cli", "--help")


class FleetSizeCosts(NamedTuple):
    """Costs at one size of the fleet.

    Attributes:
        instances: Number of instances.
        look_up_us: Processor time of one entry look-up, in microseconds.
        status_us: Processor time of encoding the fleet status, in microseconds.
        status_bytes: Size of the encoded fleet status.
        record_bytes: Memory of one member's record in the member table, in bytes.
    """

    instances: int
    look_up_us: float
    status_us: float
    status_bytes: int
    record_bytes: float


def measure(instances: int) -> FleetSizeCosts:
    """Measure the costs at one size of the fleet."""
    members = [_make_member(number) for number in range(instances)]
    view = View({member.instance: member for member in members})
    rng = random.Random(1)
    look_up_s = measure_processor_s(
        lambda: choose_entries(view, members[0], members[0].zone, ENTRY_TTL_S, rng),
        CALLS_PER_MEASUREMENT,
    )
    status = _make_status(members)
    return FleetSizeCosts(
        instances,
        look_up_s * US_PER_S,
        measure_processor_s(lambda: encode_fleet(status), CALLS_PER_MEASUREMENT)
        * US_PER_S,
        len(encode_fleet(status)),
        _measure_record_bytes(instances),
    )


def measure_command() -> tuple[float, float]:
    """Return the processor seconds and the peak resident MiB of one command."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run(COMMAND, check=False, capture_output=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    cpu_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return cpu_s, after.ru_maxrss / KIB_PER_MIB


def _make_member(number: int) -> Member:
    return Member(
        f"zone-{number % ZONE_COUNT}-{number}",
        1_700_000_000_000 + number,
        f"zone-{number % ZONE_COUNT}",
        f"10.0.{number // 250}.{number % 250}:7101",
        f"10.0.{number // 250}.{number % 250}:7201",
        session=1_700_000_000_000 + number,
        ready=True,
    )


def _make_status(members: list[Member]) -> FleetStatus:
    queues = tuple(
        QueueSummary("alert-desk", f"service-{number}", 3, 0.2, 40.1, 41.7, 0.1, False)
        for number in range(QUEUES_PER_INSTANCE)
    )
    rows_by_instance = {
        member.instance: FleetRow(
            InstanceSummary(
                member.instance,
                member.incarnation,
                member.zone,
                7,
                0.25,
                True,
                False,
                queues,
            ),
            1_700_000_000_000,
        )
        for member in members
    }
    lease = Lease(members[0].instance, members[0].incarnation, 3, 1_700_000_000_000)
    return FleetStatus(lease, 1_700_000_000_000, rows_by_instance)


def _measure_record_bytes(instances: int) -> float:
    tracemalloc.start()
    table = MemberTable(_make_member(0))
    before, _ = tracemalloc.get_traced_memory()
    for number in range(1, instances):
        table.put(_make_member(number), 0.0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / (instances - 1)


def main() -> None:
    """Print the costs as a table."""
    print("| instances | look-up us | status us | status bytes | record bytes |")
    print("|---|---|---|---|---|")
    for size in INSTANCE_COUNTS:
        costs = measure(size)
        print(
            f"| {costs.instances} | {costs.look_up_us:.0f} | {costs.status_us:.0f}"
            f" | {costs.status_bytes} | {costs.record_bytes:.0f} |"
        )
    cpu_s, resident_mib = measure_command()
    print(f"one command: {cpu_s:.2f} s of a core, {resident_mib:.0f} MiB resident")


if __name__ == "__main__":
    main()
