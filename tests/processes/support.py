"""Base class and helpers of tests that run a cluster of real processes."""

from __future__ import annotations

import subprocess
import sys
import time
from typing import TYPE_CHECKING, Any, ClassVar

import testtools
import urllib3
import yaml

from almondspool.cli.client import InstanceClient
from almondspool.codes import ResultCode
from almondspool.standins.launcher import Cluster

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

TEAM = "alert-desk"
# Settings of the daemons that let failures be detected within a few seconds.
SHORT_TIMEOUT_SETTINGS: dict[str, object] = {
    "heartbeat_interval_s": 0.2,
    "suspect_after_s": 0.6,
    "dead_after_s": 1.6,
    "lease_s": 1.2,
    "entry_ttl_s": 0.5,
    "drain_s": 5.0,
    "platform_poll_s": 1.0,
    "platform_calls_per_s": 600.0,
    "platform_timeout_s": 1.0,
    "upstream_poll_s": 0.3,
}
VARIANTS_PACKAGE = "tests.processes.variants"
WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
CLI_TIMEOUT_S = 40.0
OPERATOR_TIMEOUT_S = 10.0


def wait_until(condition: Callable[[], object], what: str) -> Any:
    """Poll a condition until its value is true, and return the value.

    Args:
        condition: The condition.
        what: The condition in words, a clause for the error message.

    Raises:
        AssertionError: If it is not true within WAIT_TIMEOUT_S.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not (value := condition()):
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out waiting until {what}")
        time.sleep(POLL_INTERVAL_S)
    return value


def wait_until_none(find: Callable[[], object], what: str) -> None:
    """Poll until nothing is found.

    Args:
        find: Returns what must disappear, or a false value.
        what: The awaited state in words, a clause for the error message.

    Raises:
        AssertionError: If something is still found after WAIT_TIMEOUT_S.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while last := find():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out waiting until {what}; found last: {last}")
        time.sleep(POLL_INTERVAL_S)


class ClusterTestCase(testtools.TestCase):
    """Base class of tests that share one cluster with every section applied.

    Attributes:
        instance_count: Number of instances.
        variant: Module in VARIANTS_PACKAGE to run as the daemon; empty for
            daemon_module.
        daemon_module: Module to run as the daemon.
        settings: Settings of the daemons in addition to SHORT_TIMEOUT_SETTINGS.
        cluster_options: Further arguments of Cluster.
        allowed_initial_codes: Result codes of the searches before the tests; the tests
            begin once each search gets one of them.
        initial_snapshots: Ids of the snapshots in the first sections; empty for all.
        cluster: The cluster, while the tests of the class run.
    """

    instance_count = 3
    variant = ""
    daemon_module = "almondspool.daemon"
    settings: ClassVar[dict[str, object]] = {}
    cluster_options: ClassVar[dict[str, object]] = {}
    allowed_initial_codes: ClassVar[tuple[ResultCode, ...]] = (ResultCode.OK,)
    initial_snapshots: ClassVar[tuple[int, ...]] = ()

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        module = (
            f"{VARIANTS_PACKAGE}.{cls.variant}" if cls.variant else cls.daemon_module
        )
        cls.cluster = cls.enterClassContext(
            Cluster(
                "demo",
                instances=cls.instance_count,
                settings={**SHORT_TIMEOUT_SETTINGS, **cls.settings},
                platform_flags=("--listing_lag_s=0.5",),
                daemon_module=module,
                **cls.cluster_options,
            )
        )
        cls.addClassCleanup(kill_daemons, cls.cluster)
        cls.cluster.start()
        for team in cls.cluster.section_paths_by_team:
            apply_section(
                cls.cluster, team, initial_section_text(cls.cluster, team, cls)
            )
        wait_until_in_force(cls.cluster)
        wait_until_none(
            lambda: unexpected_answers(cls.cluster, cls.allowed_initial_codes),
            "each search gets an allowed code",
        )

    def tearDown(self):
        self.clear_faults()
        super().tearDown()

    def clear_faults(self):
        for control in (self.cluster.platform, *self.cluster.searcher_controls()):
            control.clear_faults()


def kill_daemons(cluster: Cluster) -> None:
    """Kill all daemons instead of stopping them.

    Daemons that shut down at the same time would wait for each other's shares.
    """
    for name in cluster.instances_by_name:
        cluster.kill(name)


def unexpected_answers(
    cluster: Cluster, allowed_codes: Collection[ResultCode] = (ResultCode.OK,)
) -> dict[str, dict[str, Any]]:
    """Search as each team at each instance; return the answers with other codes.

    Returns:
        The answers by ``INSTANCE/TEAM``.
    """
    answers = {}
    for name in cluster.instances_by_name:
        for team in cluster.deployment.datasets_by_team:
            request_id = f"first-{time.monotonic_ns()}"
            request = {"request_id": request_id, "team": team, "idempotent": True}
            answer = operator_client(cluster, name).search(request)
            if answer["code"] not in allowed_codes:
                answers[f"{name}/{team}"] = answer
    return answers


def initial_section_text(
    cluster: Cluster, team: str, test_class: type[ClusterTestCase]
) -> str:
    """Return the text of a team's first section."""
    text = cluster.deployment.section_texts_by_team[team]
    if test_class.initial_snapshots:
        return with_snapshots(text, test_class.initial_snapshots)
    return text


def with_snapshots(text: str, snapshot_ids: Iterable[int]) -> str:
    """Return a section's text with only the snapshots of these ids."""
    section = yaml.safe_load(text)
    kept_ids = set(snapshot_ids)
    section["snapshots"] = [
        item for item in section["snapshots"] if item["id"] in kept_ids
    ]
    return yaml.safe_dump(section, sort_keys=False)


def caller_addresses(cluster: Cluster) -> tuple[str, ...]:
    """Return every instance's address for callers."""
    instances = cluster.instances_by_name.values()
    return tuple(instance.caller_address for instance in instances)


def operator_client(cluster: Cluster, *names: str) -> InstanceClient:
    """Return an operator's client that uses the named instances, by default all."""
    chosen = [
        instance.caller_address
        for name, instance in cluster.instances_by_name.items()
        if not names or name in names
    ]
    return InstanceClient(tuple(chosen), OPERATOR_TIMEOUT_S)


def apply_section(
    cluster: Cluster, team: str, text: str, *names: str
) -> dict[str, Any]:
    """Apply a section, retrying until it is accepted, and return the answer.

    Each attempt is based on the section that is accepted at that time.
    """
    client = operator_client(cluster, *names)
    token = f"{team}-{time.monotonic_ns()}"

    def is_accepted() -> dict[str, Any] | None:
        base = accepted_digest(client, team)
        answer = client.apply_section(team, text.encode(), base, token)
        return answer if answer["code"] == 0 else None

    return wait_until(is_accepted, f"section {team} is accepted")


def accepted_digest(client: InstanceClient, team: str) -> str:
    """Return the digest of a team's accepted section, empty if there is none."""
    for summary in client.get_document()["sections"]:
        if summary["team"] == team:
            return summary["digest"]
    return ""


def generations_by_name(cluster: Cluster, names: Iterable[str] = ()) -> dict[str, int]:
    """Return the generation in force at each instance that answers, by its name."""
    found = statuses_by_name(cluster, names)
    return {name: status["generation"] for name, status in found.items()}


def statuses_by_name(cluster: Cluster, names: Iterable[str] = ()) -> dict[str, Any]:
    """Return the status of each instance that answers, by its name.

    Args:
        cluster: The cluster.
        names: Instances to ask; empty for all.
    """
    status_by_name = {}
    for name in names or cluster.instances_by_name:
        address = cluster.instances_by_name[name].caller_address
        status = get_json(f"http://{address}/v1/status")
        if status is not None:
            status_by_name[name] = status
    return status_by_name


def is_dead(cluster: Cluster, name: str) -> bool:
    """Return whether other instances answer and all consider an instance dead."""
    others = [other for other in cluster.instances_by_name if other != name]
    statuses = statuses_by_name(cluster, others).values()
    return bool(statuses) and all(
        member["status"] == "dead"
        for status in statuses
        for member in status["members"]
        if member["instance"] == name
    )


def wait_until_in_force(cluster: Cluster, min_generation: int = 1) -> int:
    """Wait until all instances serve the same generation, and return it.

    Args:
        cluster: The cluster.
        min_generation: Lowest generation to accept.
    """

    def agreed_generation() -> int:
        found = statuses_by_name(cluster).values()
        seen = {status["generation"] for status in found}
        is_ready = all(status["is_ready"] for status in found)
        if len(found) < len(cluster.instances_by_name) or not is_ready:
            return 0
        return max(seen) if len(seen) == 1 and max(seen) >= min_generation else 0

    return wait_until(
        agreed_generation,
        f"generation {min_generation} or a later one is in force everywhere",
    )


def get_json(url: str) -> Any:
    """Return the JSON body of a GET request, None if there is no such answer."""
    try:
        response = urllib3.request("GET", url, timeout=2.0, retries=False)
        return response.json()
    except (urllib3.exceptions.HTTPError, ValueError):
        return None


def run_cli(cluster: Cluster, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command-line tool against every instance."""
    addresses = ",".join(caller_addresses(cluster))
    command = [sys.executable, "-W", "ignore", "-m", "almondspool.cli"]
    command += [f"--instance={addresses}", *arguments]
    return subprocess.run(
        command, check=False, capture_output=True, text=True, timeout=CLI_TIMEOUT_S
    )


def read_log(cluster: Cluster, name: str) -> str:
    """Return the whole log of a process; the names are those of Cluster.child."""
    return cluster.child(name).log_path.read_text(errors="replace")


def read_metric(cluster: Cluster, name: str, sample: str) -> float:
    """Return the value of a sample in an instance's metrics, 0.0 if it is absent.

    Args:
        cluster: The cluster.
        name: The instance.
        sample: Name and labels, as at the start of the sample's line.
    """
    address = cluster.instances_by_name[name].caller_address
    text = urllib3.request("GET", f"http://{address}/metrics", timeout=5.0).data
    for line in text.decode().splitlines():
        if line.startswith(sample):
            return float(line.rsplit(" ", 1)[1])
    return 0.0
