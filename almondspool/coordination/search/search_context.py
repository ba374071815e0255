"""State shared by all requests of one instance."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.search.quarantine import Quarantine
from almondspool.coordination.upstreams.budget import ExtraLegBudget
from almondspool.coordination.upstreams.replicas import make_chooser

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from almondspool.coordination.upstreams.replicas import ReplicaChooser


class SearchContext(NamedTuple):
    """State shared by all requests of one instance.

    Attributes:
        instance: The instance's name.
        leg_ids: Yields leg ids that no other instance or incarnation uses.
        chooser: Chooses replicas.
        budget: Limits hedges and retries.
        quarantine: The requests that crashed upstreams.
        rng: Source of the jitter of retry delays.
    """

    instance: str
    leg_ids: Iterator[str]
    chooser: ReplicaChooser
    budget: ExtraLegBudget
    quarantine: Quarantine
    rng: random.Random


def make_leg_ids(instance: str, incarnation: int) -> Iterator[str]:
    """Return leg ids that are unique across instances and incarnations."""
    return (f"{instance}.{incarnation}.{number}" for number in itertools.count(1))


def make_context(
    instance: str,
    incarnation: int,
    zone: str,
    hedge_share: float,
    quarantine_s: float,
    rng: random.Random,
) -> SearchContext:
    """Return the context of an instance that has just started or re-joined.

    Args:
        instance: The instance's name.
        incarnation: Its incarnation.
        zone: Its availability zone.
        hedge_share: Hedges and retries allowed per first leg.
        quarantine_s: How long a crash is kept, in seconds.
        rng: Source of all random choices.
    """
    return SearchContext(
        instance,
        make_leg_ids(instance, incarnation),
        make_chooser(zone, rng),
        ExtraLegBudget(hedge_share),
        Quarantine(quarantine_s),
        rng,
    )


def renew_context(
    context: SearchContext, instance: str, incarnation: int
) -> SearchContext:
    """Return the context of a re-joined instance.

    Leg ids are new; the state of upstreams and crashing requests is kept.
    """
    return context._replace(leg_ids=make_leg_ids(instance, incarnation))
