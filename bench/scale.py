"""Benchmark of the cost of membership and configuration by number of instances.

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
STEADY_S = 20.0
SETTLE_S = 5.0
CHANGES = 5
POLL_S = 0.02
DETECTION_TIMEOUT_S = 60.0
UDP_HEADER_BYTES = 28
OUTPUT = pathlib.Path("build/bench/scale.json")


class ScaleStats(NamedTuple):
    """Costs at one number of instances, each per instance unless stated otherwise.

    Attributes:
        instances: Number of daemons.
        core_share: Processor time over wall time in the steady interval.
        memory_mb: Median of the unique memory (USS), in MB.
        resident_mb: Median of the resident memory, in MB.
        heartbeat_bytes_per_s: Bytes of datagrams in and out with IP and UDP headers.
        channel_bytes_per_s: Bytes of envelopes on peer channels in and out, including
            those of changes.
        platform_calls_per_s: Platform calls of all instances together.
        in_force_s: Times from the acceptance of a change until it is in force on
            every instance.
        kill_noticed_s: Time from a kill until the last instance reports it as dead.
        freeze_noticed_s: Time from a freeze until no instance reports it as alive.
        leave_noticed_s: Time from a stop signal until no instance reports it as alive.
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
    """Totals of all instances at one moment."""

    measured_at: float
    processor_s: float
    heartbeat_bytes: float
    channel_bytes: float
    platform_calls: float


class FleetObserver:
    """Observer of the daemons of one cluster."""

    def __init__(self, cluster: Cluster) -> None:
        """Observe a started cluster."""
        self._cluster = cluster
        self._http = urllib3.PoolManager(maxsize=2, num_pools=512)

    def usage(self) -> Usage:
        """Return the current totals."""
        processor_s = 0.0
        heartbeat_bytes = 0.0
        channel_bytes = 0.0
        for name, instance in self._cluster.instances_by_name.items():
            cpu_times = self._process(name).cpu_times()
            processor_s += cpu_times.user + cpu_times.system
            samples_by_name = self._samples(instance)
            heartbeat_bytes += samples_by_name["almondspool_heartbeat_bytes_total"]
            datagrams = samples_by_name["almondspool_heartbeat_datagrams_total"]
            heartbeat_bytes += datagrams * UDP_HEADER_BYTES
            channel_bytes += samples_by_name.get(
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

    def wait_all(
        self, names: Sequence[str], condition: Callable[[dict], bool]
    ) -> float:
        """Return the seconds until the status of each instance meets a condition."""
        started = time.monotonic()
        pending = list(names)
        while pending and time.monotonic() - started < DETECTION_TIMEOUT_S:
            pending = [name for name in pending if not self._meets(name, condition)]
            time.sleep(POLL_S)
        if pending:
            raise TimeoutError(f"not within {DETECTION_TIMEOUT_S} s on {pending}")
        return time.monotonic() - started

    def wait_generation(self, names: Sequence[str], generation: int) -> float:
        """Return the seconds until a generation is in force on each instance."""
        return self.wait_all(names, lambda status: status["generation"] >= generation)

    def apply(self, number: int) -> int:
        """Apply a changed section and return its generation."""
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
            raise RuntimeError(f"change {number}: {answer['message']}")
        return answer["generation"]

    def _meets(self, name: str, condition: Callable[[dict], bool]) -> bool:
        return condition(self.status(self._cluster.instances_by_name[name]))

    def _process(self, name: str) -> psutil.Process:
        return psutil.Process(self._cluster.child(name).pid)

    def _samples(self, instance: Instance) -> dict[str, float]:
        url = f"http://{instance.caller_address}/metrics"
        text = self._http.request("GET", url, retries=False).data.decode()
        sums_by_name: dict[str, float] = {}
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                sums_by_name[sample.name] = (
                    sums_by_name.get(sample.name, 0.0) + sample.value
                )
        return sums_by_name


def measure(instances: int) -> ScaleStats:
    """Start a cluster with a number of instances and measure it."""
    settings = {"log_decisions": False}
    with Cluster("demo", instances=instances, settings=settings) as cluster:
        cluster.start()
        fleet = FleetObserver(cluster)
        names = list(cluster.instances_by_name)
        fleet.wait_all(names, lambda status: len(status["members"]) == instances)
        in_force = _measure_changes(fleet, names)
        time.sleep(SETTLE_S)
        before = fleet.usage()
        time.sleep(STEADY_S)
        after = fleet.usage()
        unique_mb, resident_mb = fleet.memory_mb()
        wall_s = after.measured_at - before.measured_at
        kill_s, freeze_s, leave_s = _measure_detection(cluster, fleet)

        def per_instance(name: str) -> float:
            increase = getattr(after, name) - getattr(before, name)
            return increase / wall_s / instances

        return ScaleStats(
            instances,
            per_instance("processor_s"),
            unique_mb,
            resident_mb,
            per_instance("heartbeat_bytes"),
            per_instance("channel_bytes"),
            per_instance("platform_calls") * instances,
            in_force,
            kill_s,
            freeze_s,
            leave_s,
        )


def _measure_changes(fleet: FleetObserver, names: Sequence[str]) -> tuple[float, ...]:
    durations_s = []
    for number in range(CHANGES):
        durations_s.append(fleet.wait_generation(names, fleet.apply(number)))
    return tuple(durations_s)


def _measure_detection(
    cluster: Cluster, fleet: FleetObserver
) -> tuple[float, float, float]:
    names = list(cluster.instances_by_name)
    killed, frozen, leaving = names[-1], names[-2], names[1]
    observers = [name for name in names if name not in (killed, frozen, leaving)]
    cluster.kill(killed)
    kill_s = fleet.wait_all(observers, lambda status: _has(status, killed, "dead"))
    cluster.freeze(frozen)
    freeze_s = fleet.wait_all(
        observers, lambda status: not _has(status, frozen, "alive")
    )
    cluster.resume(frozen)
    cluster.child(leaving).send_signal(signal.SIGTERM)
    leave_s = fleet.wait_all(
        observers, lambda status: not _has(status, leaving, "alive")
    )
    return kill_s, freeze_s, leave_s


def _has(status: dict, instance: str, member_status: str) -> bool:
    return any(
        member["instance"] == instance and member["status"] == member_status
        for member in status["members"]
    )


def print_table(results: Sequence[ScaleStats]) -> None:
    """Print a table of the measured sizes."""
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
    """Measure each number of instances and write the result."""
    del argv
    results = []
    for size in flags.FLAGS.sizes:
        results.append(measure(int(size)))
        print_table(results[-1:])
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps([stats._asdict() for stats in results], indent=1))
    print_table(results)


if __name__ == "__main__":
    flags.DEFINE_list("sizes", ["3", "9", "27", "81"], "Numbers of instances.")
    app.run(main)
