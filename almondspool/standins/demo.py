"""Demo: a cluster on loopback, and a search before and after a searcher is killed."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import urllib3

from almondspool.codes import ResultCode
from almondspool.standins.launcher import Cluster
from almondspool.standins.records import plain_scan

TEAM = "alert-desk"
CALLER = "flood-desk"
QUERY = {"suburb": "Bayswater"}
CLI_TIMEOUT_S = 30.0
HTTP_TIMEOUT_S = 5.0


class DemoError(Exception):
    """A step of the demo gave an unexpected result."""


def main() -> int:
    """Run the demo; return 0 if every instance and stand-in exits with 0, else 1."""
    with Cluster("demo", instances=3) as cluster:
        print("starting a platform, searchers and three instances")
        cluster.start()
        print_instances(cluster)
        apply_sections(cluster)
        address = choose_entry(cluster)
        search_and_compare(cluster, address, "demo-1", "all searchers up")
        killed_id = sorted(cluster.deployment.searchers_by_id)[0]
        cluster.kill_searcher(killed_id)
        search_and_compare(cluster, address, "demo-2", f"searcher {killed_id} killed")
        exit_codes = cluster.stop()
        print(f"stopped gracefully, exit codes {sorted(set(exit_codes.values()))}")
        return 0 if not any(exit_codes.values()) else 1


def print_instances(cluster: Cluster) -> None:
    """Print the address of each instance."""
    for instance in cluster.instances_by_name.values():
        print(f"  {instance.name} in {instance.zone}: {instance.caller_address}")


def apply_sections(cluster: Cluster) -> None:
    """Apply every team's section with the command-line tool, with --wait."""
    for path in cluster.section_paths_by_team.values():
        output = run_cli(cluster, "apply", str(path), "--wait")
        print(f"$ almondspool apply {path.name} --wait\n{output.strip()}")


def run_cli(cluster: Cluster, *arguments: str) -> str:
    """Run the command-line tool and return its output.

    Raises:
        DemoError: If its exit code is not 0.
    """
    addresses = [item.caller_address for item in cluster.instances_by_name.values()]
    command = [
        sys.executable,
        "-W",
        "ignore",
        "-m",
        "almondspool.cli",
        f"--instance={','.join(addresses)}",
        *arguments,
    ]
    process = subprocess.run(
        command, check=False, capture_output=True, text=True, timeout=CLI_TIMEOUT_S
    )
    if process.returncode != 0:
        raise DemoError(
            f"{arguments}: exit code {process.returncode}: {process.stderr}"
        )
    return process.stdout


def choose_entry(cluster: Cluster) -> str:
    """Ask the last instance for the addresses to use and return the first one."""
    instance_address = list(cluster.instances_by_name.values())[-1].caller_address
    entries = call("GET", f"http://{instance_address}/v1/entries?zone=perth-north")
    addresses = [entry["address"] for entry in entries["entries"]]
    print(f"addresses to use for {entries['ttl_ms']} ms: {', '.join(addresses)}")
    return addresses[0]


def search_and_compare(
    cluster: Cluster, address: str, request_id: str, title: str
) -> None:
    """Search, print a summary and compare the answer with a plain scan of the data.

    Raises:
        DemoError: If the answer differs from the scan of the shards it covers.
    """
    request = {
        "request_id": request_id,
        "team": TEAM,
        "caller": CALLER,
        "query": QUERY,
    }
    answer = call("POST", f"http://{address}/v1/search", request)
    coverage = answer["coverage"]
    print(
        f"{title}: {ResultCode(answer['code']).name}, snapshot {answer['snapshot']},"
        f" {coverage['answered']} of {coverage['total']} shards,"
        f" {len(answer['records'])} records, {answer['elapsed_ms']:.1f} ms"
    )
    missing = tuple(item["shard"] for item in coverage["missing"])
    dataset = cluster.deployment.datasets_by_team[TEAM]
    scanned = plain_scan(dataset, answer["snapshot"], QUERY, missing_shards=missing)
    expected = {record.record_id: record.fields for record in scanned}
    found = {record["record_id"]: record["fields"] for record in answer["records"]}
    if found != expected:
        raise DemoError(
            f"answer has {len(found)} records and differs from the plain scan,"
            f" which has {len(expected)}"
        )
    print(f"  equal to a plain scan, record by record ({len(expected)} records)")


def call(method: str, url: str, value: object = None) -> Any:
    """Make an HTTP call with a JSON body, if any, and return the decoded reply."""
    body = None if value is None else json.dumps(value).encode()
    response = urllib3.request(
        method, url, body=body, timeout=HTTP_TIMEOUT_S, retries=False
    )
    return json.loads(response.data)


if __name__ == "__main__":
    sys.exit(main())
