"""One soak run: a cluster under continuous requests and the faults of a seed."""

from __future__ import annotations

import http.client
import shutil
import signal
import threading
import time
from typing import TYPE_CHECKING

import msgspec
import urllib3

from almondspool.standins.hosted_cluster import HOST, HostedCluster
from almondspool.standins.hosted_searchers import ENTRY_UPDATE_INTERVAL_S
from almondspool.standins.ports import loopback_address
from almondspool.standins.processes import ChildProcess, StartError
from soak import checks
from soak.checks import Attempt, Drain, LimitedPeriod, StrandedPeriod
from soak.faults import FURTHER_DURATION_S, RESTORE, STRANDED_MODES, plan_faults
from soak.proxy import LinkPlan, ProxyPlan

if TYPE_CHECKING:
    import pathlib

    from soak.faults import Fault

SHARDS = 4
# One for the link to each searcher, three of each service, and one for the proxy's
# control address. The links to the store take one more for each instance.
SPARE_PORTS = 3 * (SHARDS + 1) + 1
CALLERS_PER_INSTANCE = 2
CALL_PAUSE_S = 0.02
CALL_TIMEOUT_S = 4.0
# Time allowed after the last fault for restarts, new entries and heartbeats.
RECOVERY_WAIT_S = 6.0
# Then nearly all requests must be served for this time.
RECOVERY_CHECK_S = 3.0
# How long the store is then silent. Longer than the pause before the next watch.
SILENCE_S = 1.5
# Changes in the store must be read in time again this long after an outage.
STABLE_S = 4.0
# For how long an instance is cut off from all searchers at the end of a run, after the
# time that it has to notice that.
STRANDED_CHECK_S = 3.0
# The grace period in which a terminated instance exits, plus a margin.
SHUTDOWN_TIMEOUT_S = 5.0
# Requests a second that a limited searcher accepts; it gets many times as many without
# the limit.
SEARCHER_LIMIT = 2.0
# The kinds of requests that each caller sends in turn.
_REQUEST_KINDS = ("sweep", "fetch", "book", "sweep", "probe")


class SoakRun:
    """One run with the faults of a seed."""

    def __init__(self, seed: int, duration_s: float, instances: int = 3) -> None:
        """Plan the faults and processes of a run.

        Args:
            seed: Seed of the faults.
            duration_s: Time during which faults occur, in seconds.
            instances: Number of instances.
        """
        self._faults = plan_faults(seed, duration_s)
        self._duration_s = duration_s
        self._links: list[LinkPlan] = []
        self.cluster = HostedCluster(
            instances,
            SHARDS,
            self._add_store_link,
            self._add_link,
            spare_ports=SPARE_PORTS + instances,
            daemon_module="almondspool.standins.hosted_links",
        )
        self._control_address = loopback_address(next(self.cluster.spare_ports))
        self._http = urllib3.PoolManager(retries=False)
        self._lock = threading.Lock()
        self._attempts: list[Attempt] = []
        self._drains: list[Drain] = []
        self._incarnation_by_name = dict.fromkeys(self.cluster.instances_by_name, 1)
        self._configuration_version = 1
        self._is_finished = False
        # Nearly all requests sent from this time on must be served.
        self._recovery_check_starts_at = 0.0
        # Instances that were sent SIGTERM.
        self._terminated_names: set[str] = set()
        self._limited_periods: list[LimitedPeriod] = []
        self._stranded_period: StrandedPeriod | None = None
        # Start of each drain, in seconds since the epoch, by the searcher's id.
        self._drain_started_at_by_id: dict[str, float] = {}
        self._limit_started_at_by_id: dict[str, float] = {}
        # When a fault that may keep an instance from reading the store last ended, in
        # seconds since the epoch. Infinity from the start of such a fault until one
        # of them ends.
        self._store_reachable_since = 0.0

    def run_and_keep_logs(self, directory: pathlib.Path) -> list[str]:
        """Run the cluster under its faults and return the broken guarantees.

        Args:
            directory: Where logs, settings and journal of the cluster are copied to.
        """
        with self.cluster:
            proxy = self._start_proxy()
            try:
                self.cluster.start()
                self._wait_until_served()
                self._inject_faults()
                runs = self.cluster.read_journal()
            finally:
                self._is_finished = True
                proxy.stop()
                shutil.copytree(self.cluster.directory, directory, dirs_exist_ok=True)
        return self._find_problems(runs)

    def summary(self) -> str:
        """Return the numbers of faults and of served requests in one line."""
        served = sum(attempt.status == 200 for attempt in self._attempts)
        return f"{len(self._faults)} faults, {served}/{len(self._attempts)} served"

    def _find_problems(self, runs: list[dict]) -> list[str]:
        attempts = self._attempts
        after_recovery = [
            attempt
            for attempt in attempts
            if attempt.sent_at >= self._recovery_check_starts_at
        ]
        found = {
            "wrong answer": checks.wrong_answers(attempts, self.cluster.shards),
            "duplicate booking": checks.duplicate_bookings(runs, attempts),
            "run despite refusal": checks.bookings_run_despite_refusal(runs, attempts),
            "work after drain": checks.work_after_drain(runs, self._drains),
            "exceeded limit": checks.exceeded_limits(runs, self._limited_periods),
            "configuration rollback": checks.configuration_rollbacks(attempts),
            "not recovered": checks.recovery_problems(after_recovery),
            "stranded": checks.stranded_problems(attempts, self._stranded_period),
        }
        return [
            f"{name}: {problem}"
            for name, problems in found.items()
            for problem in problems
        ]

    def _add_link(self, cluster: HostedCluster, target: str) -> str:
        address = loopback_address(next(cluster.spare_ports))
        self._links.append(LinkPlan(f"link-{len(self._links)}", address, target))
        return address

    def _add_store_link(self, cluster: HostedCluster, _: str) -> str:
        return self._add_link(cluster, cluster.store_address)

    def _start_proxy(self) -> ChildProcess:
        path = self.cluster.directory / "proxy.json"
        path.write_bytes(
            msgspec.json.encode(ProxyPlan(self._control_address, self._links))
        )
        arguments = ("soak.proxy", str(path))
        proxy = ChildProcess("proxy", arguments, str(self.cluster.directory))
        proxy.start()
        return proxy

    def _wait_until_served(self) -> None:
        end = time.monotonic() + 20.0
        while time.monotonic() < end:
            names = self.cluster.instances_by_name
            if all(
                self._send_request("sweep", name, None).status == 200 for name in names
            ):
                self._attempts.clear()
                return
            time.sleep(0.1)
        raise StartError("no sweep was served within 20 s")

    def _inject_faults(self) -> None:
        threads = [
            threading.Thread(
                target=self._send_requests, args=[name, number], daemon=True
            )
            for name in self.cluster.instances_by_name
            for number in range(CALLERS_PER_INSTANCE)
        ]
        for thread in threads:
            thread.start()
        started_at = time.monotonic()
        schedule = [(fault.starts_at_s, 0, fault) for fault in self._faults]
        schedule += [
            (fault.starts_at_s + fault.duration_s, 1, fault) for fault in self._faults
        ]
        for at_s, is_end, fault in sorted(schedule, key=lambda event: event[:2]):
            time.sleep(max(0.0, started_at + at_s - time.monotonic()))
            (self._end_fault if is_end else self._start_fault)(fault)
        self._end_all_faults()
        time.sleep(RECOVERY_WAIT_S)
        self._recovery_check_starts_at = time.time()
        time.sleep(RECOVERY_CHECK_S)
        self._leave_after_silence()
        self._strand_instance()
        self._is_finished = True
        for thread in threads:
            thread.join(CALL_TIMEOUT_S + 1.0)

    def _leave_after_silence(self) -> None:
        """Let a searcher leave after a silence of the store that swallows watches."""
        changed_id, leaving_id = list(self.cluster.searchers_by_id)[:2]
        self._start_searcher_fault(changed_id, "unlist")
        time.sleep(ENTRY_UPDATE_INTERVAL_S)
        self.cluster.set_store_fault(mode="silent")
        time.sleep(SILENCE_S)
        self.cluster.set_store_fault(mode="up")
        self._store_reachable_since = time.time()
        time.sleep(STABLE_S)
        self._start_searcher_fault(leaving_id, "leave")
        time.sleep(FURTHER_DURATION_S)
        self._end_searcher_fault(leaving_id)
        self._end_searcher_fault(changed_id)

    def _strand_instance(self) -> None:
        """Cut an instance off from all searchers, in a way that depends on the seed."""
        name = next(iter(self.cluster.instances_by_name))
        mode = STRANDED_MODES[len(self._faults) % len(STRANDED_MODES)]
        self.cluster.cut_off(name, mode)
        time.sleep(STABLE_S)
        stable_at = time.time()
        time.sleep(STRANDED_CHECK_S)
        self._stranded_period = StrandedPeriod(name, mode, stable_at, time.time())
        self.cluster.cut_off(name, "")

    def _start_fault(self, fault: Fault) -> None:
        name = self._target_name(fault)
        if fault.area == "instance" and fault.kind in STRANDED_MODES:
            self.cluster.cut_off(name, fault.kind)
        elif fault.area == "instance":
            signals_by_kind = {"kill": signal.SIGKILL, "stop": signal.SIGTERM}
            signal_number = signals_by_kind.get(fault.kind, signal.SIGSTOP)
            if fault.kind == "stop":
                self._terminated_names.add(name)
            self._store_reachable_since = float("inf")
            self.cluster.children_by_name[name].send_signal(signal_number)
        elif fault.area == "store":
            commands_by_kind = {
                "lapse": {"lapse": "servers"},
                "forget": {"forget_history": True},
                RESTORE: {"copy": True},
            }
            command = commands_by_kind.get(fault.kind, {"mode": fault.kind})
            self.cluster.set_store_fault(**command)
            self._store_reachable_since = float("inf")
        elif fault.area == "link":
            self._set_link_mode(name, fault.kind)
            self._store_reachable_since = float("inf")
        elif fault.area == "searcher":
            self._start_searcher_fault(name, fault.kind)
        else:
            self._change_configuration()

    def _end_fault(self, fault: Fault) -> None:
        name = self._target_name(fault)
        if fault.area == "instance" and fault.kind in STRANDED_MODES:
            self.cluster.cut_off(name, "")
        elif fault.area == "store" and fault.kind == RESTORE:
            self._restore_store()
        elif fault.area == "instance":
            self._resume_or_restart(name)
            self._store_reachable_since = time.time()
        elif fault.area == "store":
            self.cluster.set_store_fault(mode="up")
            self._store_reachable_since = time.time()
        elif fault.area == "link":
            self._set_link_mode(name, "open")
            self._store_reachable_since = time.time()
        elif fault.area == "searcher":
            self._end_searcher_fault(name)

    def _restore_store(self) -> None:
        """Return the store to its copy, and write the newest configuration again."""
        self.cluster.set_store_fault(restore=True)
        try:
            self.cluster.write_configuration()
        except (RuntimeError, urllib3.exceptions.HTTPError) as error:
            # Another fault makes the store unavailable.
            print(f"configuration not written again: {error}", flush=True)
        self._store_reachable_since = time.time()

    def _end_all_faults(self) -> None:
        self.cluster.set_store_fault(mode="up")
        for link in self._links:
            self._set_link_mode(link.name, "open")
        for replica_id in self.cluster.searchers_by_id:
            self._end_searcher_fault(replica_id)
        for name in self.cluster.instances_by_name:
            if name in self._terminated_names:
                # It still serves during its grace period, so wait until it exits.
                self.cluster.children_by_name[name].send_signal(signal.SIGCONT)
                self.cluster.children_by_name[name].wait(SHUTDOWN_TIMEOUT_S)
            self._resume_or_restart(name)

    def _target_name(self, fault: Fault) -> str:
        names = {
            "instance": list(self.cluster.instances_by_name),
            "link": [link.name for link in self._links],
            "searcher": list(self.cluster.searchers_by_id),
        }.get(fault.area, [""])
        return names[fault.target_number % len(names)]

    def _resume_or_restart(self, name: str) -> None:
        child = self.cluster.children_by_name[name]
        child.send_signal(signal.SIGCONT)
        if not child.is_running() or child.wait(0.0) is not None:
            self._incarnation_by_name[name] += 1
            child.start()

    def _start_searcher_fault(self, replica_id: str, kind: str) -> None:
        changes = {
            "drain": {"state": "draining"},
            "full": {"is_full": True},
            "fail": {"fails": True},
            "slow": {"work_ms": 120.0},
            "unlist": {"is_listed": False},
            "limit": {"limit": str(SEARCHER_LIMIT)},
            "leave": {"is_listed": False},
        }
        # Faults of one searcher may overlap; each replaces the one before.
        self._record_searcher_periods(replica_id)
        self.cluster.set_behaviour(replica_id, **changes[kind])
        if kind == "drain":
            self._drain_started_at_by_id[replica_id] = time.time()
        elif kind == "leave":
            removed_at = time.time() + ENTRY_UPDATE_INTERVAL_S
            self._drain_started_at_by_id[replica_id] = removed_at
        elif kind == "limit":
            self._limit_started_at_by_id[replica_id] = time.time()

    def _end_searcher_fault(self, replica_id: str) -> None:
        self._record_searcher_periods(replica_id)
        self.cluster.set_behaviour(replica_id)

    def _record_searcher_periods(self, replica_id: str) -> None:
        """Record that a searcher no longer drains or names a limit."""
        started_at = self._drain_started_at_by_id.pop(replica_id, 0.0)
        # The drain is checked only if the store was reachable during all of it.
        if started_at > self._store_reachable_since:
            self._drains.append(Drain(replica_id, started_at, time.time()))
        started_at = self._limit_started_at_by_id.pop(replica_id, 0.0)
        # The instances' restarts and partitions excuse them from a limit.
        if started_at > self._store_reachable_since:
            self._limited_periods.append(
                LimitedPeriod(replica_id, SEARCHER_LIMIT, started_at, time.time())
            )

    def _set_link_mode(self, link_name: str, mode: str) -> None:
        body = msgspec.json.encode({"link": link_name, "mode": mode})
        self._http.request(
            "POST", f"http://{self._control_address}/", body=body, timeout=5.0
        )

    def _change_configuration(self) -> None:
        try:
            self._configuration_version = self.cluster.add_probe_route()
        except (RuntimeError, urllib3.exceptions.HTTPError) as error:
            # A fault makes the store unavailable; an operator would retry.
            print(f"configuration change skipped: {error}", flush=True)

    def _send_requests(self, name: str, first_kind_index: int) -> None:
        connection = None
        request_count = first_kind_index
        while not self._is_finished:
            kind = _REQUEST_KINDS[request_count % len(_REQUEST_KINDS)]
            if kind == "probe" and self._configuration_version == 1:
                # The first version has no probe route.
                kind = "fetch"
            connection = self._ensure_connection(name, connection)
            attempt = self._send_request(kind, name, connection)
            if not attempt.status:
                connection = None
            with self._lock:
                self._attempts.append(attempt)
            request_count += 1
            time.sleep(CALL_PAUSE_S)

    def _ensure_connection(self, name: str, connection):
        if connection is not None:
            return connection
        address = self.cluster.instances_by_name[name].caller_address
        host, _, port = address.partition(":")
        return http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)

    def _send_request(self, kind: str, name: str, connection) -> Attempt:
        connection = self._ensure_connection(name, connection)
        request_id = f"{kind}-{time.time_ns():x}-{threading.get_ident() % 9973}"
        version = self._configuration_version
        path = f"/probe-{version}/1" if kind == "probe" else f"/{kind}/{request_id}"
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "1500"}
        incarnation = self._incarnation_by_name[name]
        sent_at = time.time()
        unanswered = Attempt(request_id, kind, name, sent_at, 0)
        unanswered = unanswered._replace(
            incarnation=incarnation, probed_version=version
        )
        try:
            method = "POST" if kind == "book" else "GET"
            connection.request(method, path, headers=headers)
            reply = connection.getresponse()
            body = reply.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return unanswered
        stamps = reply.headers.get("Part-Stamps", "")
        return unanswered._replace(
            status=reply.status,
            stamps=tuple(stamp.strip() for stamp in stamps.split(",") if stamp.strip()),
            missing_count=int(reply.headers.get("Missing-Shards", "0")),
            signature=reply.headers.get("Response-Signature", ""),
            body=body,
        )
