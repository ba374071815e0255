"""Planning of an upstream's connection shares; pure functions."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.state.members import MemberStatus
from almondspool.state.shares import Share, UpstreamShares

if TYPE_CHECKING:
    from collections.abc import Mapping

    from almondspool.state.document import Upstream
    from almondspool.state.members import Member


class ShareContext(NamedTuple):
    """What planning depends on besides the shares.

    Attributes:
        instance: Name of this instance.
        session: Current session of this instance.
        members_by_instance: Current members.
        listed_instances: Instances listed by the platform; empty if never read.
        now_ms: Milliseconds since the epoch.
        release_after_ms: Age at which a stale share of an unlisted instance expires, in
            milliseconds.
    """

    instance: str
    session: int
    members_by_instance: Mapping[str, Member]
    listed_instances: frozenset[str]
    now_ms: int
    release_after_ms: int


def target_connections(upstream: Upstream, holders: int, candidates: int) -> int:
    """Return the number of connections that each holder should have.

    Half of the limit is reserved for replaced holders whose connections may still be
    open. A single instance gets enough connections for all slots.

    Args:
        upstream: The upstream.
        holders: Configured number of holders of one upstream.
        candidates: Number of instances that may be holders.
    """
    limit = upstream.max_connections
    split = max(1, min(holders, candidates, limit))
    target = max(1, limit // (2 * split))
    if candidates == 1:
        target = max(target, min(upstream.slots, limit))
    return target


def expire_shares(shares: UpstreamShares, context: ShareContext) -> UpstreamShares:
    """Return the shares without expired ones; shares of dead holders become stale.

    A share expires when its holder has started a later session, which begins without
    connections, or when it has been stale for long enough and the platform no longer
    lists its holder. The share of this instance in its current session is active.
    """
    active: list[Share] = []
    stale: list[Share] = []
    for share in shares.active + shares.stale:
        if _is_superseded(share, context):
            continue
        if share.instance == context.instance and share.session == context.session:
            active.append(share._replace(stale_since_ms=0))
        elif share.stale_since_ms:
            if not _is_expired(share, context):
                stale.append(share)
        elif _is_holder_gone(share, context):
            stale.append(share._replace(stale_since_ms=context.now_ms))
        else:
            active.append(share)
    return UpstreamShares(tuple(sorted(active)), tuple(sorted(stale)))


def with_own_share(
    shares: UpstreamShares, context: ShareContext, connections: int
) -> UpstreamShares:
    """Return the shares with the share of this instance set, or removed if 0."""
    others = [share for share in shares.active if share.instance != context.instance]
    if connections:
        others.append(Share(context.instance, context.session, connections))
    return shares._replace(active=tuple(sorted(others)))


def own_connections(shares: UpstreamShares, context: ShareContext) -> int:
    """Return the connections of this instance's share in its current session."""
    share = shares.find(context.instance, context.session)
    return share.connections if share else 0


def own_shares_differ(
    planned: UpstreamShares, known: UpstreamShares, context: ShareContext
) -> bool:
    """Return whether the known shares of this instance differ from the planned ones."""
    own = context.instance
    known_own = [share for share in known.active + known.stale if share.instance == own]
    return known_own != [share for share in planned.active if share.instance == own]


def free_connections(
    shares: UpstreamShares, upstream: Upstream, context: ShareContext
) -> int:
    """Return the connections within the limit that no other instance holds."""
    held_by_others = shares.connections() - own_connections(shares, context)
    return upstream.max_connections - held_by_others


def is_contended(
    shares: UpstreamShares, upstream: Upstream, wanted: tuple[str, ...], target: int
) -> bool:
    """Return whether wanted holders lack connections that must be released first.

    That is, the shares exceed the limit or leave too few connections for a wanted
    holder to reach its target.
    """
    held = {share.instance: share.connections for share in shares.active}
    short_of_target = [name for name in wanted if held.get(name, 0) < target]
    free = upstream.max_connections - shares.connections()
    return free < 0 or any(
        free < target - held.get(name, 0) for name in short_of_target
    )


def all_have_shares(shares: UpstreamShares, wanted: tuple[str, ...]) -> bool:
    """Return whether every wanted holder has a share."""
    return set(wanted) <= {share.instance for share in shares.active}


def _is_superseded(share: Share, context: ShareContext) -> bool:
    if share.instance == context.instance:
        return share.session != context.session
    member = context.members_by_instance.get(share.instance)
    return member is not None and member.session > share.session


def _is_holder_gone(share: Share, context: ShareContext) -> bool:
    member = context.members_by_instance.get(share.instance)
    return member is None or member.status == MemberStatus.DEAD


def _is_expired(share: Share, context: ShareContext) -> bool:
    age_ms = context.now_ms - share.stale_since_ms
    is_unlisted = (
        bool(context.listed_instances)
        and share.instance not in context.listed_instances
    )
    return is_unlisted and age_ms >= context.release_after_ms
