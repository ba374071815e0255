"""Entry look-up: the addresses a caller should use, and for how long."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.protocol.caller import Entry, EntryList
from almondspool.state.members import MemberStatus

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from almondspool.state.members import Member, View

MAX_ENTRIES = 6
MAX_LOCAL_ENTRIES = 4
MAX_DEAD_ENTRIES = 3
# An instance of the caller's zone with this load or more is treated as a remote one.
LOCAL_LOAD_LIMIT = 0.85
# Lets a fully loaded instance be chosen at times, as its reported load may be old.
MIN_WEIGHT = 0.05
# The TTL is varied by up to this fraction in both directions.
TTL_JITTER_FRACTION = 0.2
_MS_PER_S = 1000


def choose_entries(
    view: View, own: Member, zone: str, ttl_s: float, rng: random.Random
) -> EntryList:
    """Return addresses in an order that differs from caller to caller.

    The order is random, weighted by free capacity, so that callers spread over all
    instances, also when the first one of their list fails. An instance that considers
    most of the members dead may itself be cut off from them: it then lists some of the
    dead members last, so that its callers can reach the rest of the fleet.

    Args:
        view: The membership.
        own: The instance that answers; listed alone if no member is serving or present.
        zone: The caller's availability zone; need not be one of the fleet's.
        ttl_s: How long callers may keep the list, in seconds, before the jitter.
        rng: Source of the order and the jitter.
    """
    members = view.serving() or view.present() or (own,)
    local = [member for member in members if _is_local(member, zone)]
    remote = [member for member in members if not _is_local(member, zone)]
    local_order = _weighted_shuffle(local, rng)
    remote_order = _weighted_shuffle(remote, rng)
    order = (
        local_order[:MAX_LOCAL_ENTRIES] + remote_order + local_order[MAX_LOCAL_ENTRIES:]
    )
    if _may_be_cut_off(view):
        dead_order = _weighted_shuffle(_dead_members(view), rng)[:MAX_DEAD_ENTRIES]
        order = order[: MAX_ENTRIES - len(dead_order)] + dead_order
    jittered_s = ttl_s * rng.uniform(1 - TTL_JITTER_FRACTION, 1 + TTL_JITTER_FRACTION)
    return EntryList(
        tuple(
            Entry(member.instance, member.caller_address, member.zone)
            for member in order[:MAX_ENTRIES]
        ),
        int(jittered_s * _MS_PER_S),
    )


def max_ttl_s(ttl_s: float) -> float:
    """Return the longest time that callers may keep a list, jitter included."""
    return ttl_s * (1 + TTL_JITTER_FRACTION)


def _may_be_cut_off(view: View) -> bool:
    dead_count = len(_dead_members(view))
    return 2 * dead_count > len(view.members_by_instance)


def _dead_members(view: View) -> list[Member]:
    members = view.members_by_instance.values()
    return [member for member in members if member.status == MemberStatus.DEAD]


def _is_local(member: Member, zone: str) -> bool:
    return member.zone == zone and member.load < LOCAL_LOAD_LIMIT


def _weighted_shuffle(members: Iterable[Member], rng: random.Random) -> list[Member]:
    # Sorting by exponential keys of rate ``weight`` equals repeated weighted draws.
    keyed = [
        (rng.expovariate(max(MIN_WEIGHT, 1 - member.load)), member.instance, member)
        for member in members
    ]
    return [member for _, _, member in sorted(keyed, key=lambda item: item[:2])]
