"""Cluster of daemons and stand-ins on loopback, for the demo, tests and benchmarks."""

from __future__ import annotations

import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import Iterable, Sequence
from types import TracebackType
from typing import NamedTuple

import msgspec
import urllib3
from absl import app, flags

from almondspool.standins.control_client import ControlClient
from almondspool.standins.deployments import (
    PLANS_BY_NAME,
    Deployment,
    build_deployment,
    count_searchers,
)
from almondspool.standins.link_cuts import PLATFORM_HOST, LinkCuts, links_between
from almondspool.standins.ports import free_ports, loopback_address, loopback_host
from almondspool.standins.processes import ChildProcess, answers_ok
from almondspool.standins.searcher_settings import (
    SearcherProcessSettings,
    SearcherSettings,
    dump_process_settings,
)

# Ports of the platform: the object API and the control port.
PLATFORM_PORTS = 2
PORTS_PER_INSTANCE = 2
SHUTDOWN_TIMEOUT_S = 60.0
PEER_KEY = "loopback-cluster-key"
PLATFORM = "platform"


class Instance(NamedTuple):
    """A daemon of a cluster.

    Attributes:
        name: Its name, which is that of its process too.
        zone: Its availability zone.
        caller_address: ``ip:port`` for callers.
        peer_address: ``ip:port`` for other daemons.
    """

    name: str
    zone: str
    caller_address: str
    peer_address: str


class Cluster:
    """Platform, searchers and daemons; a context manager that stops them all.

    Attributes:
        deployment: The deployment that the searchers serve.
        directory: Directory of the settings, sections and logs.
        instances_by_name: The daemons and their addresses.
        platform_address: ``ip:port`` of the platform's object API.
        platform: Control client of the platform.
        section_paths_by_team: File with each team's configuration section.
        cuts: The links that are cut, which take effect with can_cut_links only.
    """

    def __init__(
        self,
        deployment: str = "demo",
        *,
        instances: int = 3,
        searcher_processes: int = 1,
        settings: dict[str, object] | None = None,
        platform_flags: Sequence[str] = (),
        daemon_module: str = "almondspool.daemon",
        can_cut_links: bool = False,
        **deployment_options: object,
    ) -> None:
        """Plan a cluster without starting it.

        Args:
            deployment: A key of PLANS_BY_NAME.
            instances: Number of daemons, distributed over the zones.
            searcher_processes: Number of processes that the searchers are split among.
            settings: Settings of every daemon, which add to or replace those of the
                cluster.
            platform_flags: Additional flags of the platform stand-in.
            daemon_module: The module that is run as the daemon.
            can_cut_links: Whether that module is standins.links or runs it, so that
                links can be cut.
            deployment_options: Keyword arguments of build_deployment().
        """
        searcher_count = count_searchers(PLANS_BY_NAME[deployment])
        standin_port_count = PLATFORM_PORTS + searcher_processes + searcher_count
        ports = free_ports(standin_port_count + PORTS_PER_INSTANCE * instances)
        self._temporary = tempfile.TemporaryDirectory(prefix="almondspool-")
        self.directory = pathlib.Path(self._temporary.name)
        self._http = urllib3.PoolManager(maxsize=4)
        self._children_by_name: dict[str, ChildProcess] = {}
        self._control_addresses_by_name: dict[str, str] = {}
        self._process_by_upstream_id: dict[str, str] = {}
        self.platform_address = loopback_address(ports.start)
        self._platform_control_address = loopback_address(ports.start + 1)
        self.platform = ControlClient(self._platform_control_address, self._http)
        first_control_port = ports.start + PLATFORM_PORTS
        first_searcher_port = first_control_port + searcher_processes
        self.deployment: Deployment = build_deployment(
            deployment, first_searcher_port, **deployment_options
        )
        self.cuts = LinkCuts(self.directory / "cuts")
        self._can_cut_links = can_cut_links
        self.instances_by_name = _plan_instances(
            self.deployment,
            instances,
            first_searcher_port + searcher_count,
            can_cut_links,
        )
        self._list_entries_by_name: dict[str, dict[str, object]] = {}
        self.section_paths_by_team = self._write_sections()
        self._plan_platform(platform_flags)
        self._plan_searchers(searcher_processes, first_control_port)
        self._plan_daemons(daemon_module, settings or {})

    def __enter__(self) -> Cluster:
        """Return the cluster; start() or the start_* methods run it."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop every process, also after an error, and delete the directory."""
        self.stop()
        self._http.clear()
        self._temporary.cleanup()

    def start(self) -> None:
        """Start every process and wait until each is ready."""
        self.start_standins()
        self.start_daemons()

    def start_standins(self) -> None:
        """Start the platform and the searchers and wait for their control ports."""
        controls = {
            PLATFORM: self._platform_control_address,
            **self._control_addresses_by_name,
        }
        for name in controls:
            self._children_by_name[name].start()
        for name, address in controls.items():
            self._wait_for(name, f"http://{address}/control/ready")

    def start_daemons(self, ready_path: str = "/readyz") -> None:
        """Start every daemon, add it to the instance list and wait until it is ready.

        Args:
            ready_path: The path that answers 200 when a daemon is ready.
        """
        for name in self.instances_by_name:
            self._children_by_name[name].start()
            self._add_to_instance_list(name)
        for name in self.instances_by_name:
            self.wait_ready(name, ready_path)

    def wait_ready(self, name: str, ready_path: str = "/readyz") -> None:
        """Wait until a daemon answers 200 to a GET of ready_path.

        Raises:
            StartError: With the end of its log, when it exits or times out.
        """
        address = self.instances_by_name[name].caller_address
        self._wait_for(name, f"http://{address}{ready_path}")

    def child(self, name: str) -> ChildProcess:
        """Return a process by its name: an instance, ``platform`` or ``searchers-N``.

        The id of an upstream stands for the process that hosts it.
        """
        return self._children_by_name[self._process_by_upstream_id.get(name, name)]

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL; remove a daemon from the instance list.

        Callers of the platform see the change of the list after the listing lag.
        """
        self.child(name).send_signal(signal.SIGKILL)
        self.child(name).wait()
        self._remove_from_instance_list(name)

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.child(name).send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self.child(name).send_signal(signal.SIGCONT)

    def terminate(self, name: str, timeout_s: float = SHUTDOWN_TIMEOUT_S) -> int | None:
        """Stop a process with SIGTERM and return its exit code, or None on a timeout.

        The instance list shows a daemon as leaving while it stops.
        """
        if name in self._list_entries_by_name:
            self._add_to_instance_list(name, leaving=True)
        self.child(name).terminate()
        code = self.child(name).wait(timeout_s)
        self._remove_from_instance_list(name)
        return code

    def restart(self, name: str, ready_path: str = "/readyz") -> None:
        """Start a process again after it ended, and wait until it is ready."""
        self.child(name).start()
        if name in self.instances_by_name:
            self._add_to_instance_list(name)
            self.wait_ready(name, ready_path)
            return
        address = self._control_addresses_by_name.get(
            name, self._platform_control_address
        )
        self._wait_for(name, f"http://{address}/control/ready")

    def searcher_control(self, upstream_id: str) -> ControlClient:
        """Return the control client of the process that hosts an upstream."""
        name = self._process_by_upstream_id[upstream_id]
        return ControlClient(self._control_addresses_by_name[name], self._http)

    def searcher_controls(self) -> list[ControlClient]:
        """Return a control client of each searcher process."""
        addresses = self._control_addresses_by_name.values()
        return [ControlClient(address, self._http) for address in addresses]

    def connections_by_upstream_id(self) -> dict[str, dict[str, int]]:
        """Return the connection counts (see ConnectionCounts) of each searcher."""
        counts_by_id: dict[str, dict[str, int]] = {}
        for control in self.searcher_controls():
            counts_by_id.update(control.journal()["connections"])
        return counts_by_id

    def bookings_by_request_id(self) -> dict[str, list[str]]:
        """Return the upstreams where each non-idempotent request took effect.

        Returns:
            Upstream ids by request id, one for each time that the request was run.
        """
        upstream_ids_by_request_id: dict[str, list[str]] = {}
        for control in self.searcher_controls():
            for entry in control.journal()["entries"]:
                if entry.get("idempotent") is False:
                    request_upstream_ids = upstream_ids_by_request_id.setdefault(
                        entry["request_id"], []
                    )
                    request_upstream_ids.append(entry["upstream_id"])
        return upstream_ids_by_request_id

    def cut(
        self, names: Iterable[str], others: Iterable[str], *, both_ways: bool = True
    ) -> None:
        """Cut the links between instances, in addition to earlier cuts.

        Args:
            names: Names of the sending instances, or ``platform``.
            others: Names of the receiving instances, or ``platform``.
            both_ways: Whether the opposite direction is cut too.
        """
        hosts, other_hosts = map(self.host, names), map(self.host, others)
        links = links_between(hosts, other_hosts, both_ways=both_ways)
        self.cuts.replace(self.cuts.links() | links)

    def heal(self) -> None:
        """Restore all cut links."""
        self.cuts.replace(())

    def host(self, name: str) -> str:
        """Return the host that stands for an instance or the platform in a Link."""
        if name == PLATFORM:
            return PLATFORM_HOST
        return self.instances_by_name[name].peer_address.rpartition(":")[0]

    def kill_searcher(self, upstream_id: str) -> None:
        """Close the port and the connections of a searcher, and end its legs."""
        self.searcher_control(upstream_id).change_searcher(upstream_id, down=True)

    def restart_searcher(self, upstream_id: str) -> None:
        """Open the port of a killed searcher again; its warmth starts at 0.0."""
        self.searcher_control(upstream_id).change_searcher(upstream_id, down=False)

    def stop(self, timeout_s: float = SHUTDOWN_TIMEOUT_S) -> dict[str, int | None]:
        """Stop every process, daemons first, and return the exit codes by name.

        Args:
            timeout_s: Seconds for all daemons together, before they are killed.
        """
        deadline = time.monotonic() + timeout_s
        for name in self.instances_by_name:
            self.resume(name)
            self.child(name).terminate()
        codes_by_name = {
            name: self.child(name).stop(max(0.0, deadline - time.monotonic()))
            for name in self.instances_by_name
        }
        standins = self._children_by_name.keys() - self.instances_by_name.keys()
        for name in sorted(standins):
            codes_by_name[name] = self.child(name).stop()
        return codes_by_name

    def _wait_for(self, name: str, url: str) -> None:
        self._children_by_name[name].wait_until(lambda: answers_ok(self._http, url))

    def _add_to_instance_list(self, name: str, *, leaving: bool = False) -> None:
        instance = self.instances_by_name[name]
        self._list_entries_by_name[name] = {
            "instance": name,
            "address": instance.peer_address,
            "zone": instance.zone,
            "leaving": leaving,
        }
        self.platform.set_instances(list(self._list_entries_by_name.values()))

    def _remove_from_instance_list(self, name: str) -> None:
        if self._list_entries_by_name.pop(name, None) is not None:
            self.platform.set_instances(list(self._list_entries_by_name.values()))

    def _write_sections(self) -> dict[str, pathlib.Path]:
        paths_by_team = {}
        for team, text in self.deployment.section_texts_by_team.items():
            paths_by_team[team] = self._write_file(f"section-{team}.yaml", text)
        return paths_by_team

    def _write_file(self, name: str, text: str) -> pathlib.Path:
        path = self.directory / name
        path.write_text(text)
        return path

    def _add_child(self, name: str, *arguments: str) -> None:
        self._children_by_name[name] = ChildProcess(
            name, arguments, str(self.directory)
        )

    def _plan_platform(self, platform_flags: Sequence[str]) -> None:
        self._add_child(
            PLATFORM,
            "almondspool.standins.platform",
            f"--address={self.platform_address}",
            f"--control_address={self._platform_control_address}",
            *platform_flags,
        )

    def _plan_searchers(self, processes: int, first_control_port: int) -> None:
        searchers = list(self.deployment.searchers_by_id.values())
        for number in range(processes):
            name = f"searchers-{number + 1}"
            control = loopback_address(first_control_port + number)
            self._control_addresses_by_name[name] = control
            self._plan_searcher_process(name, control, searchers[number::processes])

    def _plan_searcher_process(
        self, name: str, control: str, hosted: Sequence[SearcherSettings]
    ) -> None:
        for searcher in hosted:
            self._process_by_upstream_id[searcher.upstream_id] = name
        datasets = tuple(self.deployment.datasets_by_team.values())
        settings = SearcherProcessSettings(control, datasets, tuple(hosted))
        path = self._write_file(f"{name}.yaml", dump_process_settings(settings))
        self._add_child(name, "almondspool.standins.searcher", f"--settings={path}")

    def _plan_daemons(self, module: str, extra_settings: dict[str, object]) -> None:
        peers = [item.peer_address for item in self.instances_by_name.values()]
        for name, instance in self.instances_by_name.items():
            settings = {
                "instance": name,
                "zone": instance.zone,
                "region": self.deployment.name,
                "caller_address": instance.caller_address,
                "peer_address": instance.peer_address,
                "platform_address": self.platform_address,
                "peer_key": PEER_KEY,
                "seed_peers": [peer for peer in peers if peer != instance.peer_address],
                **extra_settings,
            }
            text = msgspec.yaml.encode(settings).decode()
            path = self._write_file(f"{name}.yaml", text)
            self._add_child(
                name, module, f"--settings={path}", *self._link_cut_flags(name)
            )

    def _link_cut_flags(self, name: str) -> tuple[str, ...]:
        if not self._can_cut_links:
            return ()
        return f"--cuts={self.directory / 'cuts'}", f"--host={self.host(name)}"


def _plan_instances(
    deployment: Deployment, count: int, first_port: int, has_separate_hosts: bool
) -> dict[str, Instance]:
    instances_by_name = {}
    for number in range(count):
        zone = deployment.zones[number % len(deployment.zones)]
        name = f"{zone}-{number // len(deployment.zones) + 1}"
        port = first_port + PORTS_PER_INSTANCE * number
        host = loopback_host(number + 1 if has_separate_hosts else 0)
        instances_by_name[name] = Instance(
            name, zone, loopback_address(port), f"{host}:{port + 1}"
        )
    return instances_by_name


def main(argv: list[str]) -> None:
    """Run a deployment until SIGTERM or SIGINT."""
    del argv
    values = flags.FLAGS
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    signal.signal(signal.SIGINT, lambda *_: sys.exit(0))
    with Cluster(values.deployment, instances=values.instances) as cluster:
        cluster.start_standins()
        cluster.start_daemons(ready_path="/healthz")
        print(f"platform {cluster.platform_address}")
        for instance in cluster.instances_by_name.values():
            print(f"{instance.name} {instance.caller_address}")
        print(f"sections and logs in {cluster.directory}; Ctrl-C stops", flush=True)
        while True:
            signal.pause()


if __name__ == "__main__":
    flags.DEFINE_enum("deployment", "demo", list(PLANS_BY_NAME), "Deployment to run.")
    flags.DEFINE_integer("instances", 3, "Number of daemons.", lower_bound=0)
    app.run(main)
