"""Lease for a duty of one instance at a time, stored in the object it writes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.protocol.fleet import Lease

if TYPE_CHECKING:
    from collections.abc import Callable


class ReadObject(NamedTuple):
    """Read the duty's object."""


class WriteObject(NamedTuple):
    """Write the duty's object if its version is still the expected one.

    Attributes:
        lease: The lease to store in the object.
        expected_version: The version that the object must have; 0 to create it.
        is_taking_over: Whether there was no lease before, or one of another instance or
            of an earlier incarnation.
    """

    lease: Lease
    expected_version: int
    is_taking_over: bool


class DutyLease:
    """Decides when an instance may write a duty's object.

    The lease only says which instance should write. What keeps a holder that was paused
    from overwriting its successor is the expected version of each write: every write,
    and so every takeover, changes the object's version.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        is_live: Callable[[str, int], bool],
    ) -> None:
        """Start with the object unread.

        Args:
            instance: The own instance.
            incarnation: Its incarnation.
            is_live: Whether an incarnation of an instance may still be running.
        """
        self._instance = instance
        self._incarnation = incarnation
        self._is_live = is_live
        self._lease: Lease | None = None
        self._version: int | None = None
        self._attempt: Lease | None = None

    def rejoin(self, incarnation: int) -> None:
        """Give up the lease and continue under a new incarnation."""
        self._incarnation = incarnation
        self.forget()

    def forget(self) -> None:
        """Discard what was read of the object; the next step reads it."""
        self._lease = None
        self._version = None
        self._attempt = None

    def next_step(self, now_ms: int, lease_ms: int) -> ReadObject | WriteObject | None:
        """Return the next platform call; None while another instance holds the lease.

        Args:
            now_ms: Milliseconds since the epoch.
            lease_ms: How long a lease lasts from its write, in milliseconds.
        """
        if self._version is None:
            return ReadObject()
        if self._is_held_by_other(now_ms):
            return None
        is_own = self._is_own()
        epoch = 0 if self._lease is None else self._lease.epoch
        self._attempt = Lease(
            self._instance,
            self._incarnation,
            epoch if is_own else epoch + 1,
            now_ms + lease_ms,
        )
        return WriteObject(self._attempt, self._version, not is_own)

    def on_read(self, lease: Lease | None, version: int) -> None:
        """Record the object's lease and version; None and 0 if there is no object."""
        self._lease = lease
        self._version = version

    def on_written(self, version: int) -> None:
        """Record the version of a write that took effect."""
        self._lease = self._attempt
        self._version = version

    def on_failed(self) -> None:
        """Handle the failure of a write, whether or not it took effect."""
        self.forget()

    def _is_own(self) -> bool:
        if self._lease is None:
            return False
        holder = (self._lease.holder, self._lease.incarnation)
        return holder == (self._instance, self._incarnation)

    def _is_held_by_other(self, now_ms: int) -> bool:
        lease = self._lease
        if lease is None or self._is_own() or now_ms >= lease.expires_ms:
            return False
        return self._is_live(lease.holder, lease.incarnation)
