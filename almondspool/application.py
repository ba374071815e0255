"""The application object: wires the parts of one instance and does nothing else."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import eventlet

from almondspool.coordination.configuration_task import start_configuration_task
from almondspool.transport.metrics import Metrics
from almondspool.transport.timers import EventletTimers

if TYPE_CHECKING:
    from typing import Any

    from almondspool.logs import EventLog


class Application:
    """One instance: its tasks, its listeners and its planned stop."""

    def __init__(self, settings: Any, log: EventLog) -> None:
        """Build every part; nothing runs before start()."""
        self._settings = settings
        self._log = log
        self._rng = random.Random()
        self._timers = EventletTimers()
        self._metrics = Metrics()
        self._incarnation = int(self._timers.wall_time() * 1000)
        self._is_stopping = False
        self.stopped = False
        self._build_transport()
        self._build_request_path()
        self._build_http()

    def start(self) -> None:
        """Listen and start every task.

        Raises:
            OSError: If a listening address is in use.
        """
        self._channels.listen(self._settings.peer_address)
        self._http.listen(self._settings.caller_address)
        eventlet.spawn(self._dispatch.run)
        self._configuration = start_configuration_task(
            self._settings.instance,
            self._platform,
            self._send_peer,
            self._timers,
            self._log,
            self._rng,
            self._on_document,
            self._settings.watchers,
            self._settings.platform_poll_s,
        )
        self._load_polls.start(self._settings.upstream_poll_s)
        self._log.write(
            "instance.started",
            instance=self._settings.instance,
            zone=self._settings.zone,
            incarnation=self._incarnation,
        )
