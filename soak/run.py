"""One run: a cluster, callers that never rest, and the faults of a seed."""

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
from almondspool.standins.ports import loopback_address
from almondspool.standins.processes import ChildProcess, StartError
from soak import checks
from soak.checks import Attempt, Drain
from soak.faults import plan_faults
from soak.proxy import Link, ProxyPlan

if TYPE_CHECKING:
    import pathlib

    from soak.faults import Fault

SHARDS = 4
# One for each searcher's link and one for the proxy's control.
SPARE_PORTS = 3 * (SHARDS + 1) + 1
CALLERS_PER_INSTANCE = 2
CALL_PAUSE_S = 0.02
CALL_TIMEOUT_S = 4.0
# After the last fault: the longest time for a restart, entries and heartbeats.
RECOVERY_S = 6.0
JUDGED_S = 3.0
# A stopped instance has ended by then: its grace and a margin.
GRACE_S = 5.0
_KINDS = ("sweep", "fetch", "book", "sweep", "probe")


class SoakRun:
    """Plays one seed; problems() says what was broken."""

    def __init__(self, seed: int, seconds: float, instances: int = 3) -> None:
        """Plan the processes."""
        self._faults = plan_faults(seed, seconds)
        self._seconds = seconds
        self._links: list[Link] = []
        self.cluster = HostedCluster(
            instances,
            SHARDS,
            self._store_link,
            self._link,
            spare_ports=SPARE_PORTS + instances,
        )
        self._control = loopback_address(next(self.cluster.spare_ports))
        self._http = urllib3.PoolManager(retries=False)
        self._lock = threading.Lock()
        self._attempts: list[Attempt] = []
        self._drains: list[Drain] = []
        self._incarnation_by_name = dict.fromkeys(self.cluster.instances_by_name, 1)
        self._version = 1
        self._is_over = False
        self._calm_since = 0.0
        self._stopped: set[str] = set()
        self._draining_since: dict[str, float] = {}
        self._store_calm_since = 0.0

    def play_keeping(self, directory: pathlib.Path) -> list[str]:
        """Run everything, keep the logs in a directory, return what was broken."""
        with self.cluster:
            proxy = self._start_proxy()
            try:
                self.cluster.start()
                self._wait_served()
                self._play_faults()
                runs = self.cluster.read_journal()
            finally:
                self._is_over = True
                proxy.stop()
                shutil.copytree(self.cluster.directory, directory, dirs_exist_ok=True)
        return self._problems(runs)

    def summary(self) -> str:
        """Return the counts of a run in one line."""
        served = sum(attempt.status == 200 for attempt in self._attempts)
        return f"{len(self._faults)} faults, {served}/{len(self._attempts)} served"

    def _problems(self, runs: list[dict]) -> list[str]:
        attempts = self._attempts
        calm = [each for each in attempts if each.sent_at >= self._calm_since]
        found = {
            "wrong answer": checks.wrong_answers(attempts, self.cluster.shards),
            "doubled booking": checks.doubled_bookings(runs, attempts),
            "run though refused": checks.run_though_refused(runs, attempts),
            "work after drain": checks.work_after_drain(runs, self._drains),
            "configuration set back": checks.set_back_configurations(attempts),
            "not recovered": checks.unrecovered(calm),
        }
        return [f"{name}: {each}" for name, many in found.items() for each in many]

    def _link(self, cluster: HostedCluster, target: str) -> str:
        address = loopback_address(next(cluster.spare_ports))
        self._links.append(Link(f"link-{len(self._links)}", address, target))
        return address

    def _store_link(self, cluster: HostedCluster, _: str) -> str:
        return self._link(cluster, cluster.store_address)

    def _start_proxy(self) -> ChildProcess:
        path = self.cluster.directory / "proxy.json"
        path.write_bytes(msgspec.json.encode(ProxyPlan(self._control, self._links)))
        arguments = ("soak.proxy", str(path))
        proxy = ChildProcess("proxy", arguments, str(self.cluster.directory))
        proxy.start()
        return proxy

    def _wait_served(self) -> None:
        end = time.monotonic() + 20.0
        while time.monotonic() < end:
            names = self.cluster.instances_by_name
            if all(self._call("sweep", name, None).status == 200 for name in names):
                self._attempts.clear()
                return
            time.sleep(0.1)
        raise StartError("no sweep was served within 20 s")

    def _play_faults(self) -> None:
        threads = [
            threading.Thread(target=self._call_on, args=[name, number], daemon=True)
            for name in self.cluster.instances_by_name
            for number in range(CALLERS_PER_INSTANCE)
        ]
        for thread in threads:
            thread.start()
        began = time.monotonic()
        due = [(fault.at, 0, fault) for fault in self._faults]
        due += [(fault.at + fault.length_s, 1, fault) for fault in self._faults]
        for at, is_end, fault in sorted(due, key=lambda row: row[:2]):
            time.sleep(max(0.0, began + at - time.monotonic()))
            (self._end if is_end else self._begin)(fault)
        self._heal()
        time.sleep(RECOVERY_S)
        self._calm_since = time.time()
        time.sleep(JUDGED_S)
        self._is_over = True
        for thread in threads:
            thread.join(CALL_TIMEOUT_S + 1.0)

    def _begin(self, fault: Fault) -> None:
        name = self._name_of(fault)
        if fault.area == "instance":
            number = {"kill": signal.SIGKILL, "stop": signal.SIGTERM}
            chosen = number.get(fault.kind, signal.SIGSTOP)
            if fault.kind == "stop":
                self._stopped.add(name)
            self._store_calm_since = float("inf")
            self.cluster.children_by_name[name].send_signal(chosen)
        elif fault.area == "store":
            orders = {"lapse": {"lapse": "servers"}, "forget": {"forget_history": True}}
            order = orders.get(fault.kind, {"mode": fault.kind})
            self.cluster.set_store_fault(**order)
            self._store_calm_since = float("inf")
        elif fault.area == "link":
            self._order(name, fault.kind)
            self._store_calm_since = float("inf")
        elif fault.area == "searcher":
            self._behave(name, fault.kind)
        else:
            self._change_configuration()

    def _end(self, fault: Fault) -> None:
        name = self._name_of(fault)
        if fault.area == "instance":
            self._revive(name)
            self._store_calm_since = time.time()
        elif fault.area == "store":
            self.cluster.set_store_fault(mode="up")
            self._store_calm_since = time.time()
        elif fault.area == "link":
            self._order(name, "open")
            self._store_calm_since = time.time()
        elif fault.area == "searcher":
            self._restore(name)

    def _heal(self) -> None:
        self.cluster.set_store_fault(mode="up")
        for link in self._links:
            self._order(link.name, "open")
        for replica in self.cluster.searchers_by_id:
            self._restore(replica)
        for name in self.cluster.instances_by_name:
            if name in self._stopped:
                # It goes on serving for its grace and must be started once it ends.
                self.cluster.children_by_name[name].send_signal(signal.SIGCONT)
                self.cluster.children_by_name[name].wait(GRACE_S)
            self._revive(name)

    def _name_of(self, fault: Fault) -> str:
        names = {
            "instance": list(self.cluster.instances_by_name),
            "link": [link.name for link in self._links],
            "searcher": list(self.cluster.searchers_by_id),
        }.get(fault.area, [""])
        return names[fault.number % len(names)]

    def _revive(self, name: str) -> None:
        child = self.cluster.children_by_name[name]
        child.send_signal(signal.SIGCONT)
        if not child.is_running() or child.wait(0.0) is not None:
            self._incarnation_by_name[name] += 1
            child.start()

    def _behave(self, replica: str, kind: str) -> None:
        changes = {
            "drain": {"state": "draining"},
            "full": {"is_full": True},
            "fail": {"fails": True},
            "slow": {"work_ms": 120.0},
            "unlist": {"is_listed": False},
        }
        self.cluster.set_behaviour(replica, **changes[kind])
        if kind == "drain":
            self._draining_since[replica] = time.time()

    def _restore(self, replica: str) -> None:
        since = self._draining_since.pop(replica, 0.0)
        # Counted only while the store could be reached all the while.
        if since > self._store_calm_since:
            self._drains.append(Drain(replica, since, time.time()))
        self.cluster.set_behaviour(replica)

    def _order(self, link: str, mode: str) -> None:
        body = msgspec.json.encode({"link": link, "mode": mode})
        self._http.request("POST", f"http://{self._control}/", body=body, timeout=5.0)

    def _change_configuration(self) -> None:
        try:
            self._version = self.cluster.add_probe_route()
        except (RuntimeError, urllib3.exceptions.HTTPError) as error:
            # The store is away just now; operators would try again.
            print(f"configuration not written: {error}", flush=True)

    def _call_on(self, name: str, number: int) -> None:
        connection = None
        count = number
        while not self._is_over:
            kind = _KINDS[count % len(_KINDS)]
            if kind == "probe" and self._version == 1:
                # The first version has no route of its own.
                kind = "fetch"
            connection = self._ensure(name, connection)
            attempt = self._call(kind, name, connection)
            if not attempt.status:
                connection = None
            with self._lock:
                self._attempts.append(attempt)
            count += 1
            time.sleep(CALL_PAUSE_S)

    def _ensure(self, name: str, connection):
        if connection is not None:
            return connection
        address = self.cluster.instances_by_name[name].caller_address
        host, _, port = address.partition(":")
        return http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)

    def _call(self, kind: str, name: str, connection) -> Attempt:
        connection = self._ensure(name, connection)
        request_id = f"{kind}-{time.time_ns():x}-{threading.get_ident() % 9973}"
        version = self._version
        path = f"/probe-{version}/1" if kind == "probe" else f"/{kind}/{request_id}"
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "1500"}
        incarnation = self._incarnation_by_name[name]
        sent_at = time.time()
        base = Attempt(request_id, kind, name, sent_at, 0)
        base = base._replace(incarnation=incarnation, version=version)
        try:
            method = "POST" if kind == "book" else "GET"
            connection.request(method, path, headers=headers)
            reply = connection.getresponse()
            body = reply.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return base
        stamps = reply.headers.get("Part-Stamps", "")
        return base._replace(
            status=reply.status,
            stamps=tuple(each.strip() for each in stamps.split(",") if each.strip()),
            missing=int(reply.headers.get("Missing-Shards", "0")),
            signature=reply.headers.get("Response-Signature", ""),
            body=body,
        )
