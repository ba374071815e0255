"""Allocation of free loopback ports and of loopback hosts.

A port that is found free may be bound by another process before the server that it is
meant for starts. Blocks of ports, and the hosts of services on fixed ports, are
therefore reserved for as long as the process runs: it holds a UDP socket for each.
"""

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
# Ports are reserved in aligned blocks of this size.
PORTS_PER_BLOCK = 16
# UDP port of the sockets that hold reservations; outside the allowed ports.
RESERVATION_PORT = 11_999
# Number of loopback hosts, from number 0 on, that concurrent clusters share out.
HOST_COUNT = 240
# Environment variable with the allowed ports, "FIRST-LAST"; concurrent clusters are
# given separate ranges.
PORTS_VARIABLE = "ALMONDSPOOL_PORTS"

_reservations_by_host: dict[str, socket.socket] = {}


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


def reserve_hosts(count: int) -> tuple[str, ...]:
    """Return loopback hosts that no other process uses for services on fixed ports.

    Raises:
        OSError: When fewer hosts are left.
    """
    first = first_host_number()
    numbers = [*range(first, HOST_COUNT), *range(first)]
    hosts = []
    for number in numbers:
        if len(hosts) == count:
            break
        if _reserve(loopback_host(number)):
            hosts.append(loopback_host(number))
    if len(hosts) < count:
        raise OSError(f"found only {len(hosts)} of {count} unused loopback hosts")
    return tuple(hosts)


def free_ports(count: int) -> range:
    """Return consecutive ports that are free for TCP and UDP, and reserve them.

    Raises:
        OSError: When PORT_ATTEMPTS random ranges were all reserved by other processes
            or had a port in use.
    """
    allowed = allowed_ports()
    first_block = -(-allowed.start // PORTS_PER_BLOCK)
    last_block = (allowed.stop - count) // PORTS_PER_BLOCK
    generator = random.SystemRandom()
    for _ in range(PORT_ATTEMPTS):
        start = generator.randint(first_block, last_block) * PORTS_PER_BLOCK
        ports = range(start, start + count)
        blocks = range(start // PORTS_PER_BLOCK, (ports[-1] // PORTS_PER_BLOCK) + 1)
        is_reserved = all(_reserve(_block_host(block)) for block in blocks)
        if is_reserved and all(_is_free(port) for port in ports):
            return ports
    raise OSError(f"found no {count} consecutive free ports on {LOOPBACK}")


def _block_host(block: int) -> str:
    """Return the loopback host whose reservation stands for a block of ports."""
    return f"127.1.{block // 250}.{block % 250 + 1}"


def _reserve(host: str) -> bool:
    """Reserve a host for this process; return whether no other process holds it."""
    if host in _reservations_by_host:
        return True
    reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        reservation.bind((host, RESERVATION_PORT))
    except OSError:
        reservation.close()
        return False
    _reservations_by_host[host] = reservation
    return True


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
