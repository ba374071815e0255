"""Task that runs the configuration and executes its actions."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import eventlet
import eventlet.queue
from returns.result import Success

from almondspool.codes import ResultCode
from almondspool.coordination.configuration.acceptance import AcceptedSection, Acceptor
from almondspool.coordination.configuration.configuration import Configuration
from almondspool.coordination.configuration.configuration_actions import (
    Action,
    AdoptDocument,
    ConfirmManifest,
    LogEvent,
    ReadSections,
    SendMessage,
)
from almondspool.coordination.configuration.manifest_confirmation import (
    read_current_manifest,
)
from almondspool.coordination.configuration.manifest_watch import ManifestWatch
from almondspool.protocol.manifest import MANIFEST_KIND, SECTION_KIND

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from almondspool.coordination.configuration.acceptance import Acceptance
    from almondspool.logs import EventLog
    from almondspool.protocol.peer import FetchObjects, ObjectsReply
    from almondspool.protocol.platform import PlatformInterface
    from almondspool.state.document import Document
    from almondspool.state.members import View
    from almondspool.transport.timers import TimerHandle, TimerService

# Interval of the configuration's ticks.
TICK_S = 0.5
# Maximum number of concurrent platform calls of the configuration, besides the watch.
MAX_CONCURRENT_READS = 4
CONFIGURATION_KINDS = (MANIFEST_KIND, SECTION_KIND)


class PeerObjects(NamedTuple):
    """A peer sent manifests or sections, as a reply or a push."""

    sender: str
    reply: ObjectsReply


class PeerFetch(NamedTuple):
    """A peer fetches manifests or sections."""

    sender: str
    fetch: FetchObjects


class ViewChanged(NamedTuple):
    """The membership changed."""


class ManifestRead(NamedTuple):
    """The manifest was received from the platform; None if there is none."""

    value: bytes | None


class ManifestConfirmed(NamedTuple):
    """The conditional write that confirms the manifest ended.

    Attributes:
        value: The current manifest; None if it could not be read or written.
        reason: Why not; empty for a manifest.
    """

    value: bytes | None
    reason: str = ""


class SectionRead(NamedTuple):
    """A read of a section from the platform ended; value None if it failed."""

    name: str
    value: bytes | None


class Tick(NamedTuple):
    """TICK_S seconds passed."""


Event = (
    PeerObjects
    | PeerFetch
    | ViewChanged
    | ManifestRead
    | ManifestConfirmed
    | SectionRead
    | AcceptedSection
    | Tick
)


class ConfigurationTask:
    """Owns the configuration; others post events to it and read its document."""

    def __init__(
        self,
        configuration: Configuration,
        platform: PlatformInterface,
        send: Callable[[str, FetchObjects | ObjectsReply], None],
        timers: TimerService,
        log: EventLog,
        rng: random.Random,
        on_document: Callable[[Document], None],
        view: Callable[[], View],
    ) -> None:
        """Create the task without starting it; see start_configuration_task."""
        self.configuration = configuration
        self._platform = platform
        self._send = send
        self._timers = timers
        self._log = log
        self._on_document = on_document
        self._view = view
        self._seen_view: View | None = None
        self._inbox: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        self._readers = eventlet.GreenPool(MAX_CONCURRENT_READS)
        self._watch: ManifestWatch | None = None
        self._thread: eventlet.greenthread.GreenThread | None = None
        self._tick: TimerHandle | None = None
        self._acceptor = Acceptor(
            platform, configuration, rng, eventlet.sleep, self._inbox.put
        )

    @property
    def document(self) -> Document:
        """The document in force here."""
        return self.configuration.document

    def is_ready(self) -> bool:
        """Return whether the instance may serve with its document."""
        return self.configuration.is_ready(self._timers.now())

    def start(self, watch: ManifestWatch) -> None:
        """Start the task's green thread, its ticks and the watch of the manifest."""
        self._watch = watch
        self._thread = eventlet.spawn(self._run)
        self._tick = self._timers.subscribe(TICK_S, lambda: self._inbox.put(Tick()))
        watch.start()

    def stop(self) -> None:
        """Stop the task; idempotent."""
        if self._watch is not None:
            self._watch.stop()
        if self._tick is not None:
            self._tick.cancel()
        if self._thread is not None:
            self._thread.kill()

    def post_objects(self, sender: str, reply: ObjectsReply) -> None:
        """Post objects from a peer if any of them is a manifest or section."""
        if any(received.kind in CONFIGURATION_KINDS for received in reply.objects):
            self._inbox.put(PeerObjects(sender, reply))

    def post_fetch(self, sender: str, fetch: FetchObjects) -> None:
        """Post a peer's fetch of manifests or sections; other kinds are ignored."""
        if fetch.kind in CONFIGURATION_KINDS:
            self._inbox.put(PeerFetch(sender, fetch))

    def post_view_change(self) -> None:
        """Post a change of the membership, for it to be read before the next tick."""
        self._inbox.put(ViewChanged())

    def post_manifest(self, value: bytes | None) -> None:
        """Post the manifest as read from the platform; None if there is none."""
        self._inbox.put(ManifestRead(value))

    def accept(
        self, team: str, text: bytes, base_digest: str, token: str
    ) -> Acceptance:
        """Accept a section in the calling green thread, as Acceptor.accept does."""
        acceptance = self._acceptor.accept(team, text, base_digest, token)
        is_accepted = acceptance.code is ResultCode.OK
        self._log.write(
            "configuration.accepted" if is_accepted else "configuration.not_accepted",
            code=int(acceptance.code),
            team=acceptance.team,
            generation=acceptance.generation,
            digest=acceptance.digest[:16],
            base=base_digest[:16],
            token=token,
            attempts=acceptance.attempts,
            message=acceptance.message,
        )
        return acceptance

    def _run(self) -> None:
        while True:
            event = self._inbox.get()
            try:
                self._handle(event)
            except Exception as error:
                # An error in one event must not end the task: the document would no
                # longer change.
                kind = type(event).__name__
                self._log.write("configuration.failed", on=kind, error=repr(error))

    def _handle(self, event: Event) -> None:
        for action in self._decide(event):
            self._execute(action)

    def _decide(self, event: Event) -> list[Action]:
        now = self._timers.now()
        configuration = self.configuration
        match event:
            case PeerObjects(sender, reply):
                return configuration.on_peer_objects(sender, reply, now)
            case PeerFetch(sender, fetch):
                return configuration.on_peer_fetch(sender, fetch)
            case ViewChanged():
                return self._apply_view(now)
            case ManifestRead(None):
                return configuration.on_platform_manifest_missing()
            case ManifestRead(value):
                return configuration.on_platform_manifest(value, now)
            case ManifestConfirmed(None, reason):
                return configuration.on_manifest_unconfirmed(reason, now)
            case ManifestConfirmed(value):
                return configuration.on_manifest_confirmed(value, now)
            case SectionRead(name, None):
                return configuration.on_section_read_failed((name,), now)
            case SectionRead(name, value):
                return configuration.on_platform_section(name, value, now)
            case AcceptedSection(value, stored):
                return configuration.on_accepted(value, stored, now)
        # Heartbeats raise members' generations without posting a view change.
        return self._apply_view(now) + configuration.on_tick(now)

    def _apply_view(self, now: float) -> list[Action]:
        view = self._view()
        if view is not self._seen_view:
            self._seen_view = view
            self._watch.on_view(view)
        return self.configuration.on_view(view, now)

    def _execute(self, action: Action) -> None:
        match action:
            case SendMessage(instance, message):
                self._send(instance, message)
            case ReadSections(kind, names):
                for name in names:
                    self._readers.spawn_n(self._read, kind, name)
            case ConfirmManifest():
                self._readers.spawn_n(self._confirm)
            case AdoptDocument(document):
                self._on_document(document)
            case LogEvent(event, fields):
                self._log.write(event, **fields)

    def _confirm(self) -> None:
        result = read_current_manifest(self._platform)
        if isinstance(result, Success):
            self._inbox.put(ManifestConfirmed(result.unwrap()))
        else:
            self._inbox.put(ManifestConfirmed(None, str(result.failure())))

    def _read(self, kind: str, name: str) -> None:
        result = self._platform.get(kind, name)
        value = result.unwrap().value if isinstance(result, Success) else None
        self._inbox.put(SectionRead(name, value))


def start_configuration_task(
    instance: str,
    platform: PlatformInterface,
    send: Callable[[str, FetchObjects | ObjectsReply], None],
    timers: TimerService,
    log: EventLog,
    rng: random.Random,
    on_document: Callable[[Document], None],
    view: Callable[[], View],
    watchers: int,
    poll_s: float,
) -> ConfigurationTask:
    """Create and start the task.

    Args:
        instance: The own name.
        platform: The platform behind its circuit.
        send: Sends a message to a peer instance without blocking for long.
        timers: The timer service.
        log: Gets a line for each acceptance, adoption and refusal.
        rng: Source of jitter and of the random choice among peers.
        on_document: Called with each adopted document, in the task's green thread.
        view: Returns the membership.
        watchers: How many instances watch the manifest.
        poll_s: Seconds between reads of an instance that does not watch it.
    """
    configuration = Configuration(instance, rng, timers.now())
    task = ConfigurationTask(
        configuration, platform, send, timers, log, rng, on_document, view
    )
    watch = ManifestWatch(instance, platform, watchers, poll_s, rng, task.post_manifest)
    task.start(watch)
    return task
