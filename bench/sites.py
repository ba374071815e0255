"""Cluster under load, with access to its document, faults and counts."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING, NamedTuple

import psutil
import urllib3
import yaml
from prometheus_client.parser import text_string_to_metric_families

from almondspool.cli.client import InstanceClient
from almondspool.codes import ResultCode
from almondspool.standins.launcher import Cluster

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence
    from types import TracebackType

    from almondspool.protocol.operator import ApplyAnswer
    from almondspool.standins.faults import Fault

REQUEST_TIMEOUT_S = 10.0
IN_FORCE_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
MAX_APPLY_ATTEMPTS = 40
APPLY_RETRY_INTERVAL_S = 0.25
LEGS_METRIC = "almondspool_legs_total"
_RETRYABLE_CODES = (
    ResultCode.PLATFORM_UNAVAILABLE,
    ResultCode.PLATFORM_RATE_LIMITED,
    ResultCode.OUTCOME_UNKNOWN,
)


class SiteError(Exception):
    """Raised if the cluster does not reach the state that a benchmark needs."""


class Counts(NamedTuple):
    """Totals of all instances and searchers at one moment.

    Attributes:
        legs_by_reason: Legs that the instances sent since their start, by reason.
        exchanges: Exchanges that searchers received.
        processor_s: Processor time of all instances, in seconds.
        measured_at: Time of the measurement, in monotonic seconds.
    """

    legs_by_reason: dict[str, float]
    exchanges: int
    processor_s: float
    measured_at: float


class Connections(NamedTuple):
    """Connections to searchers since the journals were cleared.

    Attributes:
        peak: Sum of the peak connections of all searchers.
        peak_share: Highest ratio of a searcher's peak to its limit.
        violations: Number of connections beyond the limits.
    """

    peak: int
    peak_share: float
    violations: int


class Site:
    """Context manager of a cluster under load.

    The section of every team sets the priorities of the benchmark's callers.

    Attributes:
        cluster: Processes of the cluster.
        snapshot: Number of the newest snapshot in the document.
    """

    def __init__(
        self,
        deployment: str,
        *,
        instances: int,
        searcher_processes: int,
        settings: Mapping[str, object],
        priority_by_caller: Mapping[str, str],
        snapshots: int = 2,
    ) -> None:
        """Prepare a cluster; ``__enter__`` starts it with snapshot 1 in force.

        Args:
            deployment: Name of the deployment.
            instances: Number of daemons.
            searcher_processes: Processes among which the searchers are split.
            settings: Additional settings of every daemon.
            priority_by_caller: Priorities added to the section of every team.
            snapshots: Number of snapshots that the searchers hold.
        """
        self.cluster = Cluster(
            deployment,
            instances=instances,
            searcher_processes=searcher_processes,
            settings=dict(settings),
            snapshots=snapshots,
        )
        self.snapshot = 1
        self._priority_by_caller = dict(priority_by_caller)
        self._client = InstanceClient(self.addresses(), REQUEST_TIMEOUT_S)
        self._http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_S)
        self._digests_by_team: dict[str, str] = {}

    def __enter__(self) -> Site:
        """Start every process and wait until every section is in force everywhere."""
        self.cluster.__enter__()
        try:
            self.cluster.start_standins()
            self.cluster.start_daemons(ready_path="/healthz")
            for team in self.cluster.section_paths_by_team:
                self._apply(team)
            for name in self.cluster.instances_by_name:
                self.cluster.wait_ready(name)
            self._wait_in_force()
        except BaseException:
            self.cluster.__exit__(None, None, None)
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop every process."""
        self.cluster.__exit__(kind, error, traceback)

    def addresses(self) -> list[str]:
        """Return the caller address of every instance."""
        instances = self.cluster.instances_by_name.values()
        return [instance.caller_address for instance in instances]

    def set_faults(self, faults: Sequence[Fault]) -> None:
        """Replace the active faults of every searcher process."""
        for control in self.cluster.searcher_controls():
            control.set_faults(faults)

    def kill_searchers(self, upstream_ids: Iterable[str]) -> None:
        """Close the listeners and connections of searchers."""
        for upstream_id in upstream_ids:
            self.cluster.kill_searcher(upstream_id)

    def restart_searchers(self, upstream_ids: Iterable[str]) -> None:
        """Restart killed searchers."""
        for upstream_id in upstream_ids:
            self.cluster.restart_searcher(upstream_id)

    def publish_snapshot(self, teams: Iterable[str]) -> None:
        """Apply sections that include the next snapshot.

        Returns when they are accepted, which may be before they are in force.
        """
        self.snapshot += 1
        for team in teams:
            self._apply(team)

    def drop_snapshots_before(self, snapshot: int) -> None:
        """Remove all snapshots older than this one from every searcher."""
        retained_snapshots_by_id = {
            upstream_id: [
                number for number in item.shards_by_snapshot if number >= snapshot
            ]
            for upstream_id, item in self.cluster.deployment.searchers_by_id.items()
        }
        for upstream_id, retained_snapshots in retained_snapshots_by_id.items():
            control = self.cluster.searcher_control(upstream_id)
            control.change_searcher(upstream_id, snapshots=retained_snapshots)

    def clear_journals(self) -> None:
        """Clear the journals of the searchers and reset their connection peaks."""
        for control in self.cluster.searcher_controls():
            control.clear_journal()

    def counts(self) -> Counts:
        """Return the current totals of all instances and searchers."""
        legs_by_reason: dict[str, float] = {}
        for address in self.addresses():
            for reason, legs in self._fetch_legs_by_reason(address).items():
                legs_by_reason[reason] = legs_by_reason.get(reason, 0.0) + legs
        controls = self.cluster.searcher_controls()
        calls_by_name = [control.counters()["by_name"] for control in controls]
        exchanges = sum(counts.get("v1/legs", 0) for counts in calls_by_name)
        return Counts(legs_by_reason, exchanges, self._processor_s(), time.monotonic())

    def connections(self) -> Connections:
        """Return the searchers' connections since the journals were cleared."""
        counts_by_id = self.cluster.connections_by_upstream_id()
        searchers = self.cluster.deployment.searchers_by_id
        peak_by_id = {key: counts["peak"] for key, counts in counts_by_id.items()}
        peak_share = max(
            peak / searchers[key].connections for key, peak in peak_by_id.items()
        )
        violations = sum(counts["violations"] for counts in counts_by_id.values())
        return Connections(sum(peak_by_id.values()), peak_share, violations)

    def count_runs_by_request_prefix(self, prefix: str) -> int:
        """Return how many legs of requests with an id prefix the searchers started."""
        runs = 0
        for control in self.cluster.searcher_controls():
            entries = control.journal()["entries"]
            runs += sum(
                entry.get("request_id", "").startswith(prefix) for entry in entries
            )
        return runs

    def _fetch_legs_by_reason(self, address: str) -> dict[str, float]:
        text = self._http.request("GET", f"http://{address}/metrics").data.decode()
        return {
            sample.labels["reason"]: sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
            if sample.name == LEGS_METRIC
        }

    def _processor_s(self) -> float:
        total_s = 0.0
        for name in self.cluster.instances_by_name:
            times = psutil.Process(self.cluster.child(name).pid).cpu_times()
            total_s += times.user + times.system
        return total_s

    def _apply(self, team: str) -> None:
        """Apply a team's section with the snapshots up to the newest one.

        Raises:
            SiteError: If the section was not accepted.
        """
        text = self.cluster.section_paths_by_team[team].read_text()
        section = yaml.safe_load(text)
        section["callers"] = {**section["callers"], **self._priority_by_caller}
        section["snapshots"] = [
            item for item in section["snapshots"] if item["id"] <= self.snapshot
        ]
        section_text = yaml.safe_dump(section, sort_keys=False).encode()
        answer = self._submit(team, section_text)
        if answer["code"]:
            raise SiteError(f"section {team} was not accepted: {answer['message']}")
        self._digests_by_team[team] = answer["digest"]

    def _submit(self, team: str, text: bytes) -> ApplyAnswer:
        """Submit a section and retry after platform errors and unknown outcomes."""
        base = self._digests_by_team.get(team, "")
        token = uuid.uuid4().hex
        for _ in range(MAX_APPLY_ATTEMPTS):
            answer = self._client.apply_section(team, text, base, token)
            if answer["code"] not in _RETRYABLE_CODES:
                break
            time.sleep(APPLY_RETRY_INTERVAL_S)
        return answer

    def _wait_in_force(self) -> None:
        """Wait until every instance has the sections of all teams in force.

        Raises:
            SiteError: If that takes longer than IN_FORCE_TIMEOUT_S.
        """
        deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
        clients = [
            InstanceClient([address], REQUEST_TIMEOUT_S) for address in self.addresses()
        ]
        team_count = len(self.cluster.section_paths_by_team)
        while True:
            documents = [client.get_document() for client in clients]
            section_counts = {len(document["sections"]) for document in documents}
            if section_counts == {team_count}:
                return
            if time.monotonic() > deadline:
                raise SiteError(
                    f"sections in force: {section_counts}, not {team_count}"
                )
            time.sleep(POLL_INTERVAL_S)
