"""Allocation of free loopback ports and of loopback hosts."""

from __future__ import annotations

import os
import random
import socket

from almondspool.standins.deployments import LOOPBACK

# Below the ephemeral ports, which the kernel assigns to outgoing connections.
# PORT_LIMIT itself is not used.
MIN_PORT = 12_000
PORT_LIMIT = 32_000
PORT_ATTEMPTS = 100
# Number of loopback hosts, from number 0 on, that concurrent clusters share out.
HOST_COUNT = 240
# Environment variable with the allowed ports, "FIRST-LAST"; concurrent clusters are
# given separate ranges.
PORTS_VARIABLE = "ALMONDSPOOL_PORTS"


def loopback_address(port: int) -> str:
    """Return the ``ip:port`` address of a port of the first loopback host."""
    return f"{LOOPBACK}:{port}"


def loopback_host(number: int) -> str:
    """Return the IP address of a loopback host, numbered from 0 to 254."""
    return f"{LOOPBACK.rpartition('.')[0]}.{number + 1}"


def format_ports(ports: range) -> str:
    """Return the value of PORTS_VARIABLE that allows only these ports."""
    return f"{ports.start}-{ports.stop - 1}"


def allowed_ports() -> range:
    """Return the ports that PORTS_VARIABLE allows; without it, all from MIN_PORT on."""
    value = os.environ.get(PORTS_VARIABLE, "")
    if not value:
        return range(MIN_PORT, PORT_LIMIT)
    first, _, last = value.partition("-")
    return range(int(first), int(last) + 1)


def first_host_number() -> int:
    """Return the number of the first loopback host for services on fixed ports.

    Concurrent clusters have separate port ranges and so separate hosts.
    """
    offset = allowed_ports().start - MIN_PORT
    return offset * HOST_COUNT // (PORT_LIMIT - MIN_PORT)


def free_ports(count: int) -> range:
    """Return consecutive ports that are free for TCP and UDP.

    Raises:
        OSError: When PORT_ATTEMPTS random ranges all had a port in use.
    """
    allowed = allowed_ports()
    generator = random.SystemRandom()
    for _ in range(PORT_ATTEMPTS):
        start = generator.randrange(allowed.start, allowed.stop - count)
        ports = range(start, start + count)
        if all(_is_free(port) for port in ports):
            return ports
    raise OSError(f"found no {count} consecutive free ports on {LOOPBACK}")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            if kind == socket.SOCK_STREAM:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
