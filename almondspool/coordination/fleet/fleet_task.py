"""Task that reports this instance's status and, as holder, writes the fleet status."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from returns.pipeline import is_successful

from almondspool.codes import ResultCode
from almondspool.coordination.fleet.fleet_rows import (
    LEASE_REPORT_INTERVALS,
    FleetRows,
    report_interval_s,
)
from almondspool.coordination.membership.duty_lease import DutyLease, ReadObject
from almondspool.coordination.membership.rendezvous import highest_ranked
from almondspool.errors import PlatformError
from almondspool.protocol.fleet import (
    FLEET_KIND,
    FLEET_NAME,
    FleetStatus,
    decode_fleet,
    encode_fleet,
)
from almondspool.protocol.peer import StatusReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.coordination.membership.duty_lease import WriteObject
    from almondspool.logs import EventLog
    from almondspool.protocol.fleet import InstanceSummary
    from almondspool.protocol.platform import PlatformInterface
    from almondspool.state.members import View
    from almondspool.transport.timers import TimerService

# How often the task checks whether a report or a write is due.
TICK_INTERVAL_S = 1.0
_DUTY = "fleet-status"
_MS_PER_S = 1000


class FleetDependencies(NamedTuple):
    """Components of the instance that the fleet task uses.

    Attributes:
        platform: Calls to the platform.
        timers: Timer service.
        log: Event log.
        send: Queues a message to a peer; returns whether it was queued.
        view: Returns the membership.
        may_serve: Returns whether the instance's lease and document allow it to serve.
        is_live: Returns whether an incarnation of an instance may still be running.
        summary: Returns the summary of this instance to report.
    """

    platform: PlatformInterface
    timers: TimerService
    log: EventLog
    send: Callable[[str, NamedTuple], bool]
    view: Callable[[], View]
    may_serve: Callable[[], bool]
    is_live: Callable[[str, int], bool]
    summary: Callable[[], InstanceSummary]


class FleetTask:
    """Reports this instance's status and, as holder, writes the fleet status.

    The holder is the serving member that rendezvous hashing ranks highest: it receives
    the reports and writes the status. While views differ, two instances may consider
    themselves the holder; the lease in the object keeps them from alternating.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        dependencies: FleetDependencies,
        min_interval_s: float,
    ) -> None:
        """Create the task without starting it; see make_fleet_task."""
        self._instance = instance
        self._dependencies = dependencies
        self._min_interval_s = min_interval_s
        self._lease = DutyLease(instance, incarnation, dependencies.is_live)
        self._rows = FleetRows()
        self._report_due_at = 0.0
        self._write_due_at = 0.0
        self._last_reported_warnings: tuple[str, ...] = ()
        self._last_report_holder = ""

    def start(self) -> None:
        """Start the ticks, each of which reports and, as holder, writes if due."""
        self._dependencies.timers.subscribe(TICK_INTERVAL_S, self.tick)

    def rejoin(self, incarnation: int) -> None:
        """Give up the lease and continue under a new incarnation."""
        self._lease.rejoin(incarnation)

    def on_report(self, sender: str, summary: InstanceSummary) -> None:
        """Record a peer's report; ignored unless it is about the sender itself."""
        if summary.instance == sender:
            self._rows.record(self._dependencies.timers.epoch_ms(), summary)

    def read(self) -> FleetStatus:
        """Return the status stored in the platform.

        Raises:
            PlatformError: If it cannot be read, or there is none yet.
        """
        result = self._dependencies.platform.get(FLEET_KIND, FLEET_NAME)
        if not is_successful(result):
            raise result.failure()
        return decode_fleet(result.unwrap().value)

    def tick(self) -> None:
        """Report and write if due; called every TICK_INTERVAL_S seconds."""
        if not self._dependencies.may_serve():
            return
        members = self._dependencies.view().serving()
        holder = highest_ranked(_DUTY, (member.instance for member in members))
        interval_s = report_interval_s(self._min_interval_s, len(members))
        self._report(holder, interval_s)
        if holder != self._instance:
            self._lease.forget()
            self._write_due_at = 0.0
        elif self._dependencies.timers.now() >= self._write_due_at:
            self._write(interval_s)

    def _report(self, holder: str, interval_s: float) -> None:
        """Report when due, and at once if the holder or the warnings change."""
        now = self._dependencies.timers.now()
        summary = self._dependencies.summary()
        warned = tuple(
            f"{queue.team}/{queue.service}" for queue in summary.queues if queue.warning
        )
        is_changed = (holder, warned) != (
            self._last_report_holder,
            self._last_reported_warnings,
        )
        if not holder or (now < self._report_due_at and not is_changed):
            return
        if holder == self._instance:
            self._rows.record(self._dependencies.timers.epoch_ms(), summary)
        elif not self._dependencies.send(holder, StatusReport(summary)):
            return
        self._report_due_at = now + interval_s
        self._last_report_holder, self._last_reported_warnings = holder, warned

    def _write(self, interval_s: float) -> None:
        self._write_due_at = self._dependencies.timers.now() + interval_s
        try:
            lease_ms = int(LEASE_REPORT_INTERVALS * interval_s * _MS_PER_S)
            step = self._lease.next_step(self._dependencies.timers.epoch_ms(), lease_ms)
            if isinstance(step, ReadObject):
                self._read_object()
                step = self._lease.next_step(
                    self._dependencies.timers.epoch_ms(), lease_ms
                )
            if step is None:
                # The other holder renews its lease: read the object again next time.
                self._lease.forget()
            else:
                self._put(step)
        except PlatformError as error:
            self._lease.on_failed()
            self._dependencies.log.write(
                "fleet.call_failed", code=error.code.name, reason=str(error)
            )

    def _read_object(self) -> None:
        result = self._dependencies.platform.get(FLEET_KIND, FLEET_NAME)
        if is_successful(result):
            found = result.unwrap()
            self._load_status(found.value, found.version)
        elif result.failure().code == ResultCode.PLATFORM_NOT_FOUND:
            self._lease.on_read(None, 0)
        else:
            raise result.failure()

    def _load_status(self, value: bytes, version: int) -> None:
        try:
            status = decode_fleet(value)
        except PlatformError as error:
            # The old rows are not needed: the next write replaces the object.
            self._dependencies.log.write("fleet.replaced", reason=str(error))
            self._lease.on_read(None, version)
            return
        self._rows.merge(status.rows_by_instance.values())
        self._lease.on_read(status.lease, version)

    def _put(self, step: WriteObject) -> None:
        now_ms = self._dependencies.timers.epoch_ms()
        rows_by_instance = dict(self._rows.rows_by_instance(now_ms))
        status = FleetStatus(step.lease, now_ms, rows_by_instance)
        result = self._dependencies.platform.put(
            FLEET_KIND, FLEET_NAME, encode_fleet(status), step.expected_version
        )
        if not is_successful(result):
            raise result.failure()
        self._lease.on_written(result.unwrap().version)
        self._dependencies.log.write(
            "fleet.written",
            epoch=step.lease.epoch,
            taking_over=step.is_taking_over,
            version=result.unwrap().version,
            rows=len(rows_by_instance),
        )


def make_fleet_task(
    instance: str,
    incarnation: int,
    dependencies: FleetDependencies,
    min_interval_s: float,
) -> FleetTask:
    """Return the fleet task of an instance, not started.

    Args:
        instance: The instance's name.
        incarnation: Its incarnation.
        dependencies: Components of the instance that the task uses.
        min_interval_s: Minimum time between two reports, which a small fleet uses, in
            seconds.
    """
    return FleetTask(instance, incarnation, dependencies, min_interval_s)
