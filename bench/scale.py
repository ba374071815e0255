"""Measures what membership and configuration cost as instances are added.

Run as ``python -m bench.scale --sizes=3,9,27,81``. Every instance is a daemon of its
own on loopback, without callers. The result goes to build/bench/scale.json.
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
NOTICE_LIMIT_S = 60.0
UDP_HEADER_BYTES = 28
OUTPUT = pathlib.Path("build/bench/scale.json")


class ScaleRow(NamedTuple):
    """What one number of instances cost; each figure for one instance.

    Attributes:
        instances: How many daemons ran.
        core_share: Processor time over wall time in the steady interval.
        memory_mb: Median of the unique memory (USS), in MB.
        resident_mb: Median of the resident memory, in MB.
        heartbeat_bytes_per_s: Datagrams in and out with IP and UDP headers.
        channel_bytes_per_s: Envelopes on peer channels in and out, changes included.
        platform_calls_per_s: Calls of all instances together.
        in_force_s: Times from an accepted change to every instance running it.
        kill_noticed_s: From a kill to the last instance that calls it dead.
        freeze_noticed_s: From a freeze to the last that no longer serves by it.
        leave_noticed_s: From a stop signal to the last that calls it leaving.
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
    """Running totals over all instances at one moment."""

    at: float
    processor_s: float
    heartbeat_bytes: float
    channel_bytes: float
    platform_calls: float


class Fleet:
    """The daemons of one cluster, seen from outside."""

    def __init__(self, cluster: Cluster) -> None:
        """Watch a started cluster."""
        self._cluster = cluster
        self._http = urllib3.PoolManager(maxsize=2, num_pools=512)

    def usage(self) -> Usage:
        """Return the totals now."""
        processor_s = 0.0
        heartbeat_bytes = 0.0
        channel_bytes = 0.0
        for name, instance in self._cluster.instances_by_name.items():
            times = self._process(name).cpu_times()
            processor_s += times.user + times.system
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
        """Return an instance's status."""
        url = f"http://{instance.caller_address}/v1/status"
        return json.loads(self._http.request("GET", url, retries=False).data)

    def wait_all(
        self, names: Sequence[str], condition: Callable[[dict], bool]
    ) -> float:
        """Return the seconds until the status of each instance fulfils a condition."""
        started = time.monotonic()
        waiting = list(names)
        while waiting and time.monotonic() - started < NOTICE_LIMIT_S:
            waiting = [name for name in waiting if not self._holds(name, condition)]
            time.sleep(POLL_S)
        if waiting:
            raise TimeoutError(f"not within {NOTICE_LIMIT_S} s on {waiting}")
        return time.monotonic() - started

    def wait_generation(self, names: Sequence[str], generation: int) -> float:
        """Return the seconds until each instance runs a generation."""
        return self.wait_all(names, lambda status: status["generation"] >= generation)

    def apply(self, number: int) -> int:
        """Accept a changed section and return its generation."""
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

    def _holds(self, name: str, condition: Callable[[dict], bool]) -> bool:
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


def measure(instances: int) -> ScaleRow:
    """Start a number of instances and measure them."""
    settings = {"log_decisions": False}
    with Cluster("demo", instances=instances, settings=settings) as cluster:
        cluster.start()
        fleet = Fleet(cluster)
        names = list(cluster.instances_by_name)
        fleet.wait_all(names, lambda status: len(status["members"]) == instances)
        in_force = _measure_changes(fleet, names)
        time.sleep(SETTLE_S)
        before = fleet.usage()
        time.sleep(STEADY_S)
        after = fleet.usage()
        unique_mb, resident_mb = fleet.memory_mb()
        wall_s = after.at - before.at
        kill_s, freeze_s, leave_s = _measure_notices(cluster, fleet)

        def per_instance(name: str) -> float:
            grown = getattr(after, name) - getattr(before, name)
            return grown / wall_s / instances

        return ScaleRow(
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


def _measure_changes(fleet: Fleet, names: Sequence[str]) -> tuple[float, ...]:
    times = []
    for number in range(CHANGES):
        times.append(fleet.wait_generation(names, fleet.apply(number)))
    return tuple(times)


def _measure_notices(cluster: Cluster, fleet: Fleet) -> tuple[float, float, float]:
    names = list(cluster.instances_by_name)
    killed, frozen, leaving = names[-1], names[-2], names[1]
    rest = [name for name in names if name not in (killed, frozen, leaving)]
    cluster.kill(killed)
    kill_s = fleet.wait_all(rest, lambda status: _has(status, killed, "dead"))
    cluster.freeze(frozen)
    freeze_s = fleet.wait_all(rest, lambda status: not _has(status, frozen, "alive"))
    cluster.resume(frozen)
    cluster.child(leaving).send_signal(signal.SIGTERM)
    leave_s = fleet.wait_all(rest, lambda status: not _has(status, leaving, "alive"))
    return kill_s, freeze_s, leave_s


def _has(status: dict, instance: str, member_status: str) -> bool:
    return any(
        row["instance"] == instance and row["status"] == member_status
        for row in status["members"]
    )


def print_rows(rows: Sequence[ScaleRow]) -> None:
    """Print a table of the measured sizes."""
    print(
        "| instances | core | unique MB | resident MB | heartbeat B/s | channel B/s"
        " | platform calls/s | in force p50/max s | kill s | freeze s | leave s |"
    )
    print("|---" * 11 + "|")
    for row in rows:
        print(
            f"| {row.instances} | {row.core_share:.2%} | {row.memory_mb:.1f}"
            f" | {row.resident_mb:.1f} | {row.heartbeat_bytes_per_s:.0f}"
            f" | {row.channel_bytes_per_s:.1f} | {row.platform_calls_per_s:.2f}"
            f" | {statistics.median(row.in_force_s):.2f}/{max(row.in_force_s):.2f}"
            f" | {row.kill_noticed_s:.1f} | {row.freeze_noticed_s:.1f}"
            f" | {row.leave_noticed_s:.1f} |"
        )


def main(argv: Sequence[str]) -> None:
    """Measure each size and write the result."""
    del argv
    rows = []
    for size in flags.FLAGS.sizes:
        rows.append(measure(int(size)))
        print_rows(rows[-1:])
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps([row._asdict() for row in rows], indent=1))
    print_rows(rows)


if __name__ == "__main__":
    flags.DEFINE_list("sizes", ["3", "9", "27", "81"], "Numbers of instances.")
    app.run(main)
