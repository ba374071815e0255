"""Checks of membership records from peers and from the platform."""

from __future__ import annotations

import ipaddress

from almondspool.codes import ResultCode
from almondspool.errors import PeerError
from almondspool.state.members import Member

MAX_NAME_CHARS = 63
# Limit on integer fields. It leaves room to increase an incarnation, which is often a
# time in milliseconds, indefinitely.
MAX_INTEGER_VALUE = 2**53
MAX_PORT = 65_535
# Exceeds the number of cores of the largest existing machines.
MAX_CPU_CORES = 4096.0


def parse_address(address: str) -> tuple[str, int]:
    """Return the host and port of an ``ip:port`` address.

    Raises:
        PeerError: With PEER_MALFORMED, naming the address.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        port_number = int(port)
    except ValueError as error:
        raise PeerError(f"{address!r} is not an ip:port: {error}") from error
    if not 0 < port_number <= MAX_PORT:
        raise PeerError(f"{address!r} has no valid port")
    return host, port_number


def check_member(member: Member) -> None:
    """Check the fields of a membership record.

    A shortened record, without zone and addresses, is allowed.

    Raises:
        PeerError: With PEER_MALFORMED and the instance, field and value.
    """
    if not 0 < len(member.instance) <= MAX_NAME_CHARS:
        raise PeerError(f"record has the instance name {member.instance[:80]!r}")
    for field in ("incarnation", "generation", "shares_version", "revision", "session"):
        value = getattr(member, field)
        if not 0 <= value <= MAX_INTEGER_VALUE:
            raise _invalid_field(member, field, value)
    if not 0.0 <= member.load <= 1.0:
        raise _invalid_field(member, "load", member.load)
    if not 0.0 <= member.cpu_cores <= MAX_CPU_CORES:
        raise _invalid_field(member, "power", member.cpu_cores)
    if member.session > member.incarnation:
        raise _invalid_field(member, "session", member.session)
    if len(member.zone) > MAX_NAME_CHARS:
        raise _invalid_field(member, "zone", member.zone)
    for address in (member.peer_address, member.caller_address):
        if address:
            parse_address(address)


def _invalid_field(member: Member, field: str, value: object) -> PeerError:
    return PeerError(
        f"record of instance {member.instance} has {field} {value!r}",
        ResultCode.PEER_MALFORMED,
    )
