"""What one instance wants of an upstream's connection shares; pure functions."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.state.members import MemberStatus
from almondspool.state.shares import Share, UpstreamShares

if TYPE_CHECKING:
    from collections.abc import Mapping

    from almondspool.state.document import Upstream
    from almondspool.state.members import Member


class ShareContext(NamedTuple):
    """What planning depends on beside the shares.

    Attributes:
        instance: The own instance.
        session: The own session.
        members_by_instance: The membership.
        listed: Instances in the platform's list; empty if it was never read.
        wall_ms: Milliseconds since the epoch.
        release_after_ms: Age from which a stale share of an unlisted instance ends.
    """

    instance: str
    session: int
    members_by_instance: Mapping[str, Member]
    listed: frozenset[str]
    wall_ms: int
    release_after_ms: int


def target_connections(upstream: Upstream, holders: int, candidates: int) -> int:
    """Return the share of one holder.

    Half of the limit stays free for holders that were replaced and whose connections
    may still be open. A single instance gets enough for all slots.
    """
    limit = upstream.max_connections
    split = max(1, min(holders, candidates, limit))
    target = max(1, limit // (2 * split))
    if candidates == 1:
        target = max(target, min(upstream.slots, limit))
    return target


def tidy(shares: UpstreamShares, context: ShareContext) -> UpstreamShares:
    """Return the shares with ended ones dropped and those of the dead made stale.

    A share ends when its holder has a later session, in which it began without a
    connection, or when it was stale for long and its holder left the platform's list.
    The own share of this session is active.
    """
    active: list[Share] = []
    stale: list[Share] = []
    for share in shares.active + shares.stale:
        if _is_superseded(share, context):
            continue
        if share.instance == context.instance and share.session == context.session:
            active.append(share._replace(stale_since_ms=0))
        elif share.stale_since_ms:
            if not _is_released(share, context):
                stale.append(share)
        elif _is_gone(share, context):
            stale.append(share._replace(stale_since_ms=context.wall_ms))
        else:
            active.append(share)
    return UpstreamShares(tuple(sorted(active)), tuple(sorted(stale)))


def with_own(
    shares: UpstreamShares, context: ShareContext, connections: int
) -> UpstreamShares:
    """Return the shares with the own one set to so many connections."""
    others = [share for share in shares.active if share.instance != context.instance]
    if connections:
        others.append(Share(context.instance, context.session, connections))
    return shares._replace(active=tuple(sorted(others)))


def own_connections(shares: UpstreamShares, context: ShareContext) -> int:
    """Return the own connections in tidied shares."""
    share = shares.find(context.instance, context.session)
    return share.connections if share else 0


def own_differs(
    planned: UpstreamShares, known: UpstreamShares, context: ShareContext
) -> bool:
    """Return whether own shares in the platform are stale or of earlier sessions."""
    own = context.instance
    mine = [share for share in known.active + known.stale if share.instance == own]
    return mine != [share for share in planned.active if share.instance == own]


def free_connections(
    shares: UpstreamShares, upstream: Upstream, context: ShareContext
) -> int:
    """Return what the limit leaves beside all shares of others."""
    others = shares.connections() - own_connections(shares, context)
    return upstream.max_connections - others


def is_crowded(
    shares: UpstreamShares, upstream: Upstream, wanted: tuple[str, ...], target: int
) -> bool:
    """Return whether the limit is exceeded or a wanted holder lacks room."""
    held = {share.instance: share.connections for share in shares.active}
    lacking = [name for name in wanted if held.get(name, 0) < target]
    room = upstream.max_connections - shares.connections()
    return room < 0 or any(room < target - held.get(name, 0) for name in lacking)


def are_in_place(shares: UpstreamShares, wanted: tuple[str, ...]) -> bool:
    """Return whether every wanted holder has a share."""
    return set(wanted) <= {share.instance for share in shares.active}


def _is_superseded(share: Share, context: ShareContext) -> bool:
    if share.instance == context.instance:
        return share.session != context.session
    member = context.members_by_instance.get(share.instance)
    return member is not None and member.session > share.session


def _is_gone(share: Share, context: ShareContext) -> bool:
    member = context.members_by_instance.get(share.instance)
    return member is None or member.status == MemberStatus.DEAD


def _is_released(share: Share, context: ShareContext) -> bool:
    age_ms = context.wall_ms - share.stale_since_ms
    is_unlisted = bool(context.listed) and share.instance not in context.listed
    return is_unlisted and age_ms >= context.release_after_ms
