"""Reads of the platform's manifest: a few instances watch it, the others poll."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
from returns.result import Success

from almondspool.codes import ResultCode
from almondspool.coordination.membership.rendezvous import rank_over_zones
from almondspool.protocol.manifest import MANIFEST_KIND, MANIFEST_NAME

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from almondspool.errors import PlatformError
    from almondspool.protocol.platform import PlatformInterface
    from almondspool.state.members import View

# How long the platform may wait for a change before it answers a watch.
WATCH_WAIT_S = 10.0
# Limits of the delay after a failed call, before jitter.
MIN_RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 10.0
# How often an instance that waits for its next poll checks whether it has to watch.
DUTY_CHECK_INTERVAL_S = 1.0
# From this number of instances on, the poll interval grows in proportion to it, so that
# the poll rate of the whole fleet is constant.
CONSTANT_RATE_FLEET_SIZE = 9
WATCH_DUTY_KEY = "configuration/watch"
# After these errors a watch cannot resume from the last version seen.
_WATCH_RESET_CODES = (
    ResultCode.PLATFORM_HISTORY_GONE,
    ResultCode.PLATFORM_REPLY_INVALID,
)


def is_watcher(instance: str, view: View, watchers: int) -> bool:
    """Return whether an instance is among those that watch the manifest.

    If the view has no serving instance, the result is True for any instance.

    Args:
        instance: Name of the instance.
        view: The membership.
        watchers: How many instances watch the manifest.
    """
    serving = view.serving()
    if not serving:
        return True
    return instance in rank_over_zones(WATCH_DUTY_KEY, serving)[:watchers]


def poll_factor(fleet_size: int) -> float:
    """Return the factor by which to multiply the poll interval of the settings.

    It is 1.0 below CONSTANT_RATE_FLEET_SIZE instances.
    """
    return max(1.0, fleet_size / CONSTANT_RATE_FLEET_SIZE)


class ManifestWatch:
    """Green thread that watches or polls the manifest and reports each read."""

    def __init__(
        self,
        instance: str,
        platform: PlatformInterface,
        watchers: int,
        poll_s: float,
        rng: random.Random,
        on_manifest: Callable[[bytes | None], None],
    ) -> None:
        """Create the watch without starting it.

        Args:
            instance: The own name.
            platform: Stores the manifest.
            watchers: How many instances watch it.
            poll_s: Seconds between polls of an instance that does not watch it; longer
                in a large fleet.
            rng: Source of the jitter of waits.
            on_manifest: Called with each manifest read; None if the platform has none.
        """
        self._instance = instance
        self._platform = platform
        self._watchers = watchers
        self._poll_s = poll_s
        self._rng = rng
        self._on_manifest = on_manifest
        self._poll_factor = 1.0
        self._is_watcher = False
        self._version: int | None = None
        self._thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start reading."""
        self._thread = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop reading; idempotent."""
        if self._thread is not None:
            self._thread.kill()

    def on_view(self, view: View) -> None:
        """Set from the membership whether this instance watches, and its poll rate."""
        self._is_watcher = is_watcher(self._instance, view, self._watchers)
        self._poll_factor = poll_factor(len(view.present()))

    def _run(self) -> None:
        while True:
            error = self._watch() if self._is_watcher else self._poll()
            if error is not None:
                retry_delay_s = min(
                    max(error.retry_after_s, MIN_RETRY_DELAY_S), MAX_RETRY_DELAY_S
                )
                eventlet.sleep(retry_delay_s * self._rng.uniform(1.0, 1.5))

    def _poll(self) -> PlatformError | None:
        result = self._platform.get(MANIFEST_KIND, MANIFEST_NAME)
        if isinstance(result, Success):
            self._on_manifest(result.unwrap().value)
        elif result.failure().code is ResultCode.PLATFORM_NOT_FOUND:
            self._on_manifest(None)
        else:
            return result.failure()
        jitter = self._rng.uniform(0.75, 1.25)
        self._wait_for_poll_or_duty(self._poll_s * self._poll_factor * jitter)
        return None

    def _wait_for_poll_or_duty(self, max_wait_s: float) -> None:
        waited_s = 0.0
        while waited_s < max_wait_s and not self._is_watcher:
            eventlet.sleep(DUTY_CHECK_INTERVAL_S)
            waited_s += DUTY_CHECK_INTERVAL_S

    def _watch(self) -> PlatformError | None:
        """Watch until another instance has the duty or a call fails.

        After a failure the watch resumes from the last version seen, unless the
        platform no longer keeps the changes since then.
        """
        if self._version is None:
            error = self._read_list()
            if error is not None:
                return error
        while self._is_watcher:
            watched = self._platform.watch(MANIFEST_KIND, self._version, WATCH_WAIT_S)
            if not isinstance(watched, Success):
                return self._handle_watch_failure(watched.failure())
            events, self._version = watched.unwrap()
            for event in events:
                if event.name == MANIFEST_NAME:
                    self._on_manifest(None if event.deleted else event.value)
        self._version = None
        return None

    def _read_list(self) -> PlatformError | None:
        listed = self._platform.list(MANIFEST_KIND)
        if not isinstance(listed, Success):
            return listed.failure()
        objects = listed.unwrap()
        found = objects.objects_by_name.get(MANIFEST_NAME)
        self._on_manifest(found.value if found else None)
        self._version = objects.version
        return None

    def _handle_watch_failure(self, error: PlatformError) -> PlatformError:
        if error.code in _WATCH_RESET_CODES:
            self._version = None
        return error
