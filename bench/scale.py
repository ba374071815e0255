"""Benchmark of membership and configuration costs by number of instances.

Run as ``python -m bench.scale --sizes=3,9,27,81``. Every instance is a separate daemon
on loopback, without callers. The result is written to build/bench/scale.json.
"""

from __future__ import annotations

import json
import pathlib
import signal
import statistics
import time
from typing import TYPE_CHECKING, NamedTuple

import psutil
import urllib3
from absl import app, flags
from prometheus_client.parser import text_string_to_metric_families

from almondspool.standins.launcher import Cluster

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from almondspool.standins.launcher import Instance

TEAM = "member-records"
# Length of the interval without changes in which usage is measured.
STEADY_INTERVAL_S = 20.0
# Time between the last change and that interval.
SETTLE_S = 5.0
CHANGE_COUNT = 5
POLL_INTERVAL_S = 0.02
STATUS_TIMEOUT_S = 60.0
# IPv4 header of 20 bytes and UDP header of 8 bytes.
DATAGRAM_HEADER_BYTES = 28
OUTPUT_PATH = pathlib.Path("build/bench/scale.json")


class ScaleStats(NamedTuple):
    """Costs at one number of instances, each per instance unless stated otherwise.

    Attributes:
        instances: Number of daemons.
        core_share: Ratio of processor time to wall time in the steady interval.
        memory_mb: Median of the unique set size (USS), in MB.
        resident_mb: Median of the resident memory, in MB.
        heartbeat_bytes_per_s: Bytes of datagrams sent and received, with IP and UDP
            headers.
        channel_bytes_per_s: Bytes of envelopes sent and received on peer channels,
            including those of changes.
        platform_calls_per_s: Platform calls of all instances together, per second.
        in_force_s: For each change, the seconds from its acceptance until it is in
            force on every instance.
        kill_noticed_s: Seconds from the kill of an instance until all others report it
            as dead.
        freeze_noticed_s: Seconds from the freeze of an instance until none of the
            others reports it as alive.
        leave_noticed_s: Seconds from the stop signal to an instance until none of the
            others reports it as alive.
    """

    instances: int
    core_share: float
    memory_mb: float
    resident_mb: float
    heartbeat_bytes_per_s: float
    channel_bytes_per_s: float
    platform_calls_per_s: float
    in_force_s: tuple[float, ...]
    kill_noticed_s: float
    freeze_noticed_s: float
    leave_noticed_s: float


class Usage(NamedTuple):
    """Totals of all instances at one moment.

    Attributes:
        measured_at: Time of the measurement, in monotonic seconds.
        processor_s: Processor time, in seconds.
        heartbeat_bytes: Bytes of datagrams sent and received, with IP and UDP headers.
        channel_bytes: Bytes of envelopes sent and received on peer channels.
        platform_calls: Calls that the platform received.
    """

    measured_at: float
    processor_s: float
    heartbeat_bytes: float
    channel_bytes: float
    platform_calls: float


class FleetObserver:
    """Measures the daemons of one cluster and applies changes to their document."""

    def __init__(self, cluster: Cluster) -> None:
        """Create an observer of a started cluster."""
        self._cluster = cluster
        self._http = urllib3.PoolManager(maxsize=2, num_pools=512)

    def usage(self) -> Usage:
        """Return the current totals of all instances."""
        processor_s = 0.0
        heartbeat_bytes = 0.0
        channel_bytes = 0.0
        for name, instance in self._cluster.instances_by_name.items():
            cpu_times = self._process(name).cpu_times()
            processor_s += cpu_times.user + cpu_times.system
            sum_by_metric = self._fetch_metric_sums(instance)
            heartbeat_bytes += sum_by_metric["almondspool_heartbeat_bytes_total"]
            datagrams = sum_by_metric["almondspool_heartbeat_datagrams_total"]
            heartbeat_bytes += datagrams * DATAGRAM_HEADER_BYTES
            channel_bytes += sum_by_metric.get(
                "almondspool_peer_channel_bytes_total", 0.0
            )
        calls = self._cluster.platform.counters()["total"]
        return Usage(
            time.monotonic(), processor_s, heartbeat_bytes, channel_bytes, calls
        )

    def memory_mb(self) -> tuple[float, float]:
        """Return the median unique and resident memory, in MB."""
        infos = [
            self._process(name).memory_full_info()
            for name in self._cluster.instances_by_name
        ]
        unique = statistics.median(info.uss for info in infos) / 1e6
        return unique, statistics.median(info.rss for info in infos) / 1e6

    def status(self, instance: Instance) -> dict:
        """Fetch the status of an instance."""
        url = f"http://{instance.caller_address}/v1/status"
        return json.loads(self._http.request("GET", url, retries=False).data)

    def wait_until_all(
        self, names: Sequence[str], condition: Callable[[dict], bool]
    ) -> float:
        """Wait until the status of each instance meets a condition.

        Returns:
            The time waited, in seconds.

        Raises:
            TimeoutError: If it takes longer than STATUS_TIMEOUT_S.
        """
        started = time.monotonic()
        pending = list(names)
        while pending and time.monotonic() - started < STATUS_TIMEOUT_S:
            pending = [name for name in pending if not self._meets(name, condition)]
            time.sleep(POLL_INTERVAL_S)
        if pending:
            raise TimeoutError(
                f"status condition not met within {STATUS_TIMEOUT_S} s on {pending}"
            )
        return time.monotonic() - started

    def wait_generation(self, names: Sequence[str], generation: int) -> float:
        """Wait until a generation or a newer one is in force on each instance.

        Returns:
            The time waited, in seconds.
        """
        return self.wait_until_all(
            names, lambda status: status["generation"] >= generation
        )

    def apply_change(self, number: int) -> int:
        """Apply a section that differs by a comment, and return its generation."""
        instance = next(iter(self._cluster.instances_by_name.values()))
        url = f"http://{instance.caller_address}/v1/document/{TEAM}"
        text = self._cluster.section_paths_by_team[TEAM].read_text()
        body = f"{text}\n# change {number}\n".encode()
        current = json.loads(self._http.request("GET", url, retries=False).data)
        base = current.get("digest", "")
        reply = self._http.request(
            "PUT",
            f"{url}?base={base}&token=scale-{number}",
            body=body,
            retries=False,
        )
        answer = json.loads(reply.data)
        if answer["code"]:
            raise RuntimeError(f"change {number} was not accepted: {answer['message']}")
        return answer["generation"]

    def _meets(self, name: str, condition: Callable[[dict], bool]) -> bool:
        return condition(self.status(self._cluster.instances_by_name[name]))

    def _process(self, name: str) -> psutil.Process:
        return psutil.Process(self._cluster.child(name).pid)

    def _fetch_metric_sums(self, instance: Instance) -> dict[str, float]:
        url = f"http://{instance.caller_address}/metrics"
        text = self._http.request("GET", url, retries=False).data.decode()
        sum_by_metric: dict[str, float] = {}
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                sum_by_metric[sample.name] = (
                    sum_by_metric.get(sample.name, 0.0) + sample.value
                )
        return sum_by_metric


def measure(instances: int) -> ScaleStats:
    """Start a cluster with a number of instances and measure its costs."""
    settings = {"log_decisions": False}
    with Cluster("demo", instances=instances, settings=settings) as cluster:
        cluster.start()
        fleet = FleetObserver(cluster)
        names = list(cluster.instances_by_name)
        fleet.wait_until_all(names, lambda status: len(status["members"]) == instances)
        in_force_s = _measure_changes(fleet, names)
        time.sleep(SETTLE_S)
        before = fleet.usage()
        time.sleep(STEADY_INTERVAL_S)
        after = fleet.usage()
        unique_mb, resident_mb = fleet.memory_mb()
        elapsed_s = after.measured_at - before.measured_at
        kill_s, freeze_s, leave_s = _measure_detection(cluster, fleet)

        def rate_per_instance(name: str) -> float:
            increase = getattr(after, name) - getattr(before, name)
            return increase / elapsed_s / instances

        return ScaleStats(
            instances,
            rate_per_instance("processor_s"),
            unique_mb,
            resident_mb,
            rate_per_instance("heartbeat_bytes"),
            rate_per_instance("channel_bytes"),
            rate_per_instance("platform_calls") * instances,
            in_force_s,
            kill_s,
            freeze_s,
            leave_s,
        )


def _measure_changes(fleet: FleetObserver, names: Sequence[str]) -> tuple[float, ...]:
    durations_s = []
    for number in range(CHANGE_COUNT):
        durations_s.append(fleet.wait_generation(names, fleet.apply_change(number)))
    return tuple(durations_s)


def _measure_detection(
    cluster: Cluster, fleet: FleetObserver
) -> tuple[float, float, float]:
    names = list(cluster.instances_by_name)
    killed, frozen, leaving = names[-1], names[-2], names[1]
    observers = [name for name in names if name not in (killed, frozen, leaving)]
    cluster.kill(killed)
    kill_s = fleet.wait_until_all(
        observers, lambda status: _has_member(status, killed, "dead")
    )
    cluster.freeze(frozen)
    freeze_s = fleet.wait_until_all(
        observers, lambda status: not _has_member(status, frozen, "alive")
    )
    cluster.resume(frozen)
    cluster.child(leaving).send_signal(signal.SIGTERM)
    leave_s = fleet.wait_until_all(
        observers, lambda status: not _has_member(status, leaving, "alive")
    )
    return kill_s, freeze_s, leave_s


def _has_member(status: dict, instance: str, member_status: str) -> bool:
    return any(
        member["instance"] == instance and member["status"] == member_status
        for member in status["members"]
    )


def print_table(results: Sequence[ScaleStats]) -> None:
    """Print the costs as a table, one row for each number of instances."""
    print(
        "| instances | core | unique MB | resident MB | heartbeat B/s | channel B/s"
        " | platform calls/s | in force p50/max s | kill s | freeze s | leave s |"
    )
    print("|---" * 11 + "|")
    for stats in results:
        print(
            f"| {stats.instances} | {stats.core_share:.2%} | {stats.memory_mb:.1f}"
            f" | {stats.resident_mb:.1f} | {stats.heartbeat_bytes_per_s:.0f}"
            f" | {stats.channel_bytes_per_s:.1f} | {stats.platform_calls_per_s:.2f}"
            f" | {statistics.median(stats.in_force_s):.2f}/{max(stats.in_force_s):.2f}"
            f" | {stats.kill_noticed_s:.1f} | {stats.freeze_noticed_s:.1f}"
            f" | {stats.leave_noticed_s:.1f} |"
        )


def main(argv: Sequence[str]) -> None:
    """Measure each number of instances, print the costs and write them as JSON."""
    del argv
    results = []
    for size in flags.FLAGS.sizes:
        results.append(measure(int(size)))
        print_table(results[-1:])
    OUTPUT_PATH.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT_PATH.write_text(json.dumps([stats._asdict() for stats in results], indent=1))
    print_table(results)


if __name__ == "__main__":
    flags.DEFINE_list("sizes", ["3", "9", "27", "81"], "Numbers of instances.")
    app.run(main)
