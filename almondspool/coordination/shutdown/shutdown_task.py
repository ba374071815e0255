"""Shutdown task: announces leaving, drains, releases resources, sets the exit code."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import eventlet

from almondspool.coordination.shutdown.shutdown import (
    AnnounceLeaving,
    CutOff,
    Exit,
    GiveBack,
    Shutdown,
    ShutdownSettings,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from almondspool.codes import ResultCode
    from almondspool.coordination.claims.claims_task import ClaimsTask
    from almondspool.coordination.shares.shares_task import SharesTask
    from almondspool.coordination.shutdown.shutdown import Action
    from almondspool.logs import EventLog
    from almondspool.transport.timers import TimerHandle, TimerService

TICK_INTERVAL_S = 0.05
# Maximum wait until other instances hold the upstreams that this one holds.
SUCCESSOR_TIMEOUT_S = 8.0


class ShutdownDependencies(NamedTuple):
    """Collaborators of the shutdown task.

    Attributes:
        timers: Timer service.
        log: Event log.
        in_flight_ids: Returns the ids of requests without an answer.
        announce_leaving: Informs peers and the platform; blocks until that is done.
        release: Releases claims and shares; may block.
    """

    timers: TimerService
    log: EventLog
    in_flight_ids: Callable[[], tuple[str, ...]]
    announce_leaving: Callable[[], None]
    release: Callable[[], None]


class ShutdownTask:
    """Drives the shutdown state machine and executes its actions.

    Attributes:
        exit_code: Result code to end the process with; None until it should end.
    """

    def __init__(self, dependencies: ShutdownDependencies) -> None:
        """Initialize without a shutdown in progress."""
        self._dependencies = dependencies
        self._shutdown = Shutdown()
        self._tick_subscription: TimerHandle | None = None
        self.exit_code: ResultCode | None = None

    def accepts_requests(self) -> bool:
        """Return whether new requests are served, not refused as NOT_RUN_LEAVING."""
        return self._shutdown.accepts_requests()

    def may_finish(self, deadline_s: float) -> bool:
        """Return whether a new request with this time left, in seconds, is served."""
        return self._shutdown.may_finish(self._dependencies.timers.now(), deadline_s)

    def is_leaving(self) -> bool:
        """Return whether the shutdown has begun."""
        return self._tick_subscription is not None

    def begin(self, settings: ShutdownSettings) -> None:
        """Handle the first stop signal."""
        dependencies = self._dependencies
        dependencies.log.write("stop.begin", **settings._asdict())
        self._tick_subscription = dependencies.timers.subscribe(
            TICK_INTERVAL_S, self._on_tick
        )
        self._execute(self._shutdown.begin(settings, dependencies.timers.now()))

    def interrupt(self) -> None:
        """Handle the second stop signal."""
        self._execute(self._shutdown.interrupt(self._dependencies.in_flight_ids()))

    def _on_tick(self) -> None:
        phase = self._shutdown.phase
        in_flight = self._dependencies.in_flight_ids()
        actions = self._shutdown.tick(in_flight, self._dependencies.timers.now())
        if self._shutdown.phase != phase:
            self._dependencies.log.write(
                "stop.phase", phase=self._shutdown.phase.value, in_flight=len(in_flight)
            )
        self._execute(actions)

    def _execute(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, AnnounceLeaving):
                eventlet.spawn_n(self._dependencies.announce_leaving)
            elif isinstance(action, GiveBack):
                eventlet.spawn_n(self._release)
            elif isinstance(action, CutOff):
                self._dependencies.log.write(
                    "stop.cut_off",
                    code=int(action.code),
                    reason=action.reason,
                    requests=len(action.request_ids),
                    ids=action.request_ids,
                )
            elif isinstance(action, Exit):
                self.exit_code = action.code

    def _release(self) -> None:
        self._dependencies.release()
        self._execute(self._shutdown.on_released())


def release_claims_and_shares(
    timers: TimerService, claims: ClaimsTask, shares: SharesTask
) -> None:
    """Wait until claims are written and successors hold upstreams; release all shares.

    Args:
        timers: Timer service.
        claims: Claims whose outcomes must be written first.
        shares: Connection shares; they are released once another instance holds each
            upstream, or after SUCCESSOR_TIMEOUT_S.
    """
    while not claims.is_idle():
        eventlet.sleep(TICK_INTERVAL_S)
    deadline = timers.now() + SUCCESSOR_TIMEOUT_S
    while shares.upstreams_without_successor() and timers.now() < deadline:
        eventlet.sleep(TICK_INTERVAL_S)
    shares.release_all()
