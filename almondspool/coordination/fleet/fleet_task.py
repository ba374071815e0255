"""Reports to the holder of the fleet's status, and writes the status as its holder."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from returns.pipeline import is_successful

from almondspool.codes import ResultCode
from almondspool.coordination.fleet.fleet_rows import (
    LEASE_INTERVALS,
    FleetRows,
    interval_s,
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

TICK_S = 1.0
_DUTY = "fleet-status"
_MS_PER_S = 1000


class FleetDependencies(NamedTuple):
    """What the fleet task uses of its instance.

    Attributes:
        platform: Calls to the platform.
        timers: Source of time.
        log: Event log.
        send: Queues a message to a peer.
        view: Returns the membership.
        may_serve: Whether the instance's lease and document allow it to serve.
        is_live: Whether an instance is alive at an incarnation.
        summary: Returns what this instance reports.
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
    """Owns this instance's part in the fleet's status.

    The first serving member in rendezvous order takes the reports and writes the
    status; the lease in the object keeps two of them from writing in turns.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        services: FleetDependencies,
        least_interval_s: float,
    ) -> None:
        """Use make_fleet_task."""
        self._instance = instance
        self._services = services
        self._least_interval_s = least_interval_s
        self._lease = DutyLease(instance, incarnation, services.is_live)
        self._rows = FleetRows()
        self._report_due = 0.0
        self._write_due = 0.0
        self._warned: tuple[str, ...] = ()
        self._reported_to = ""

    def start(self) -> None:
        """Begin to report, and to write when this instance is the holder."""
        self._services.timers.subscribe(TICK_S, self.tick)

    def rejoin(self, incarnation: int) -> None:
        """Give up the lease; act under a new incarnation."""
        self._lease.rejoin(incarnation)

    def on_report(self, sender: str, summary: InstanceSummary) -> None:
        """Take a peer's report of itself."""
        if summary.instance == sender:
            self._rows.take(self._services.timers.epoch_ms(), summary)

    def read(self) -> FleetStatus:
        """Return the status as the platform has it.

        Raises:
            PlatformError: If it cannot be read, or there is none yet.
        """
        result = self._services.platform.get(FLEET_KIND, FLEET_NAME)
        if not is_successful(result):
            raise result.failure()
        return decode_fleet(result.unwrap().value)

    def tick(self) -> None:
        """Do what is due; called at the interval."""
        if not self._services.may_serve():
            return
        members = self._services.view().serving()
        holder = highest_ranked(_DUTY, (member.instance for member in members))
        period_s = interval_s(self._least_interval_s, len(members))
        self._report(holder, period_s)
        if holder != self._instance:
            self._lease.forget()
            self._write_due = 0.0
        elif self._services.timers.now() >= self._write_due:
            self._write(period_s)

    def _report(self, holder: str, period_s: float) -> None:
        """Report at the interval, to a new holder, and when warnings change."""
        now = self._services.timers.now()
        summary = self._services.summary()
        warned = tuple(
            f"{queue.team}/{queue.service}" for queue in summary.queues if queue.warning
        )
        is_news = (holder, warned) != (self._reported_to, self._warned)
        if not holder or (now < self._report_due and not is_news):
            return
        if holder == self._instance:
            self._rows.take(self._services.timers.epoch_ms(), summary)
        elif not self._services.send(holder, StatusReport(summary)):
            return
        self._report_due = now + period_s
        self._reported_to, self._warned = holder, warned

    def _write(self, period_s: float) -> None:
        self._write_due = self._services.timers.now() + period_s
        try:
            lease_ms = int(LEASE_INTERVALS * period_s * _MS_PER_S)
            step = self._lease.next_step(self._services.timers.epoch_ms(), lease_ms)
            if isinstance(step, ReadObject):
                self._take_object()
                step = self._lease.next_step(self._services.timers.epoch_ms(), lease_ms)
            if step is None:
                # Read anew next time: the other holder renews its lease.
                self._lease.forget()
            else:
                self._put(step)
        except PlatformError as error:
            self._lease.on_failed()
            self._services.log.write(
                "fleet.call_failed", code=error.code.name, reason=str(error)
            )

    def _take_object(self) -> None:
        result = self._services.platform.get(FLEET_KIND, FLEET_NAME)
        if is_successful(result):
            found = result.unwrap()
            self._take_found(found.value, found.version)
        elif result.failure().code == ResultCode.PLATFORM_NOT_FOUND:
            self._lease.on_read(None, 0)
        else:
            raise result.failure()

    def _take_found(self, value: bytes, version: int) -> None:
        try:
            status = decode_fleet(value)
        except PlatformError as error:
            # Nothing rests on the old rows: the next write replaces the object.
            self._services.log.write("fleet.replaced", reason=str(error))
            self._lease.on_read(None, version)
            return
        self._rows.merge(status.rows_by_instance.values())
        self._lease.on_read(status.lease, version)

    def _put(self, step: WriteObject) -> None:
        now_ms = self._services.timers.epoch_ms()
        rows_by_instance = dict(self._rows.rows_by_instance(now_ms))
        status = FleetStatus(step.lease, now_ms, rows_by_instance)
        result = self._services.platform.put(
            FLEET_KIND, FLEET_NAME, encode_fleet(status), step.expected_version
        )
        if not is_successful(result):
            raise result.failure()
        self._lease.on_written(result.unwrap().version)
        self._services.log.write(
            "fleet.written",
            epoch=step.lease.epoch,
            taking_over=step.is_taking_over,
            version=result.unwrap().version,
            rows=len(rows_by_instance),
        )


def make_fleet_task(
    instance: str,
    incarnation: int,
    services: FleetDependencies,
    least_interval_s: float,
) -> FleetTask:
    """Return the fleet task of an instance, not started.

    Args:
        instance: The instance's name.
        incarnation: Its incarnation.
        services: What the task uses.
        least_interval_s: Time between two reports in a small fleet, in seconds.
    """
    return FleetTask(instance, incarnation, services, least_interval_s)
