"""A running cluster under test: its document, its faults and its counts."""

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

CLIENT_TIMEOUT_S = 10.0
IN_FORCE_TIMEOUT_S = 20.0
POLL_S = 0.05
OFFER_ATTEMPTS = 40
OFFER_INTERVAL_S = 0.25
LEGS_METRIC = "almondspool_legs_total"
_ASK_AGAIN_CODES = (
    ResultCode.PLATFORM_UNAVAILABLE,
    ResultCode.PLATFORM_RATE_LIMITED,
    ResultCode.OUTCOME_UNKNOWN,
)


class SiteError(Exception):
    """The cluster did not do what a run needs."""


class Counts(NamedTuple):
    """Totals of all instances and searchers at one moment.

    Attributes:
        legs_by_reason: Legs sent since the start, by reason.
        exchanges: Exchanges that searchers got.
        processor_s: Processor time of all instances, in seconds.
        at: Monotonic seconds.
    """

    legs_by_reason: dict[str, float]
    exchanges: int
    processor_s: float
    at: float


class Connections(NamedTuple):
    """Connections that searchers saw since the journal was cleared.

    Attributes:
        peak: Sum of the searchers' peaks.
        peak_share: Highest share of its limit that one searcher saw.
        violations: Connections beyond a limit.
    """

    peak: int
    peak_share: float
    violations: int


class Site:
    """One cluster with its callers' priorities; a context manager.

    Attributes:
        cluster: The processes.
        snapshot: The newest snapshot in the document.
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
        """Plan a cluster; ``__enter__`` starts it with snapshot 1 in force.

        Args:
            deployment: Name of the deployment.
            instances: Number of daemons.
            searcher_processes: Processes among which the searchers are split.
            settings: Further settings of every daemon.
            priority_by_caller: Priorities added to every team's section.
            snapshots: Index versions that the searchers hold.
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
        self._client = InstanceClient(self.addresses(), CLIENT_TIMEOUT_S)
        self._http = urllib3.PoolManager(retries=False, timeout=CLIENT_TIMEOUT_S)
        self._digests_by_team: dict[str, str] = {}

    def __enter__(self) -> Site:
        """Start every process and wait until the document is in force everywhere."""
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
        """Return every instance's caller address."""
        instances = self.cluster.instances_by_name.values()
        return [instance.caller_address for instance in instances]

    def set_faults(self, faults: Sequence[Fault]) -> None:
        """Switch on exactly these faults at every searcher process."""
        for control in self.cluster.searcher_controls():
            control.set_faults(faults)

    def kill_searchers(self, upstream_ids: Iterable[str]) -> None:
        """Close the listeners and connections of searchers."""
        for upstream_id in upstream_ids:
            self.cluster.kill_searcher(upstream_id)

    def revive_searchers(self, upstream_ids: Iterable[str]) -> None:
        """Let killed searchers listen again."""
        for upstream_id in upstream_ids:
            self.cluster.restart_searcher(upstream_id)

    def publish_snapshot(self, teams: Iterable[str]) -> None:
        """Apply sections that contain the next snapshot too; do not wait."""
        self.snapshot += 1
        for team in teams:
            self._apply(team)

    def drop_snapshots_before(self, snapshot: int) -> None:
        """Let every searcher serve only a snapshot and later ones."""
        kept_by_id = {
            upstream_id: [held for held in item.shards_by_snapshot if held >= snapshot]
            for upstream_id, item in self.cluster.deployment.searchers_by_id.items()
        }
        for upstream_id, kept in kept_by_id.items():
            control = self.cluster.searcher_control(upstream_id)
            control.change_searcher(upstream_id, snapshots=kept)

    def clear_journals(self) -> None:
        """Forget the searchers' entries and restart their connection peaks."""
        for control in self.cluster.searcher_controls():
            control.clear_journal()

    def counts(self) -> Counts:
        """Return the totals up to now."""
        legs_by_reason: dict[str, float] = {}
        for address in self.addresses():
            for reason, legs in self._legs(address).items():
                legs_by_reason[reason] = legs_by_reason.get(reason, 0.0) + legs
        controls = self.cluster.searcher_controls()
        by_name = [control.counters()["by_name"] for control in controls]
        exchanges = sum(counts.get("v1/legs", 0) for counts in by_name)
        return Counts(legs_by_reason, exchanges, self._processor_s(), time.monotonic())

    def connections(self) -> Connections:
        """Return the searchers' connections since the journals were cleared."""
        counts_by_id = self.cluster.connections_by_upstream_id()
        searchers = self.cluster.deployment.searchers_by_id
        peaks = {key: counts["peak"] for key, counts in counts_by_id.items()}
        share = max(peak / searchers[key].connections for key, peak in peaks.items())
        violations = sum(counts["violations"] for counts in counts_by_id.values())
        return Connections(sum(peaks.values()), share, violations)

    def runs_by_request_prefix(self, prefix: str) -> int:
        """Return how many legs searchers began of requests with a prefix."""
        runs = 0
        for control in self.cluster.searcher_controls():
            entries = control.journal()["entries"]
            runs += sum(
                entry.get("request_id", "").startswith(prefix) for entry in entries
            )
        return runs

    def _legs(self, address: str) -> dict[str, float]:
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
        """Apply a team's section up to the present snapshot.

        Raises:
            SiteError: If it was not accepted.
        """
        text = self.cluster.section_paths_by_team[team].read_text()
        section = yaml.safe_load(text)
        section["callers"] = {**section["callers"], **self._priority_by_caller}
        section["snapshots"] = [
            item for item in section["snapshots"] if item["id"] <= self.snapshot
        ]
        offered = yaml.safe_dump(section, sort_keys=False).encode()
        answer = self._offer(team, offered)
        if answer["code"]:
            raise SiteError(f"section {team} was not accepted: {answer['message']}")
        self._digests_by_team[team] = answer["digest"]

    def _offer(self, team: str, text: bytes) -> ApplyAnswer:
        """Offer a section again while the platform can't be asked."""
        base = self._digests_by_team.get(team, "")
        token = uuid.uuid4().hex
        for _ in range(OFFER_ATTEMPTS):
            answer = self._client.apply(team, text, base, token)
            if answer["code"] not in _ASK_AGAIN_CODES:
                break
            time.sleep(OFFER_INTERVAL_S)
        return answer

    def _wait_in_force(self) -> None:
        """Wait until every instance runs the newest generation.

        Raises:
            SiteError: If that takes longer than IN_FORCE_TIMEOUT_S.
        """
        give_up = time.monotonic() + IN_FORCE_TIMEOUT_S
        clients = [
            InstanceClient([address], CLIENT_TIMEOUT_S) for address in self.addresses()
        ]
        wanted = len(self.cluster.section_paths_by_team)
        while True:
            documents = [client.document() for client in clients]
            sections = {len(document["sections"]) for document in documents}
            if sections == {wanted}:
                return
            if time.monotonic() > give_up:
                raise SiteError(f"sections in force {sections}, not {wanted}")
            time.sleep(POLL_S)
