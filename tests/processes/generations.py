"""Edited section texts, and a monitor that detects decreasing generations."""

from __future__ import annotations

import itertools
import threading

import yaml

from tests.processes.support import TEAM, statuses_by_name, wait_until

# Each edited text gets another deadline, so that its digest is new.
_DEADLINES_MS = itertools.count(1001)


def edited_section(cluster, team=TEAM):
    """Return a section text that differs from all earlier ones."""
    section = yaml.safe_load(cluster.deployment.section_texts_by_team[team])
    section["deadline_ms"] = next(_DEADLINES_MS)
    return yaml.safe_dump(section, sort_keys=False)


class GenerationMonitor:
    """Samples the generation in force at each instance during a with block.

    Attributes:
        regressions: Description of each decrease that was seen at an instance, also
            across its restarts.
    """

    def __init__(self, cluster):
        self.regressions = []
        self._cluster = cluster
        self._highest_by_name = {}
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._is_stopped.set()
        self._thread.join()

    def wait_for(self, generation):
        """Wait until a sample of every instance has this generation or a later one."""
        names = self._cluster.instances_by_name

        def is_seen():
            seen = self._highest_by_name.copy()
            return all(seen.get(name, 0) >= generation for name in names)

        wait_until(
            is_seen, f"generation {generation} has been sampled at every instance"
        )

    def _run(self):
        while not self._is_stopped.wait(0.02):
            for name, status in statuses_by_name(self._cluster).items():
                if status["is_ready"]:
                    self._record(name, status["generation"])

    def _record(self, name, generation):
        highest = self._highest_by_name.get(name, 0)
        if generation < highest:
            self.regressions.append(f"{name}: generation {generation} after {highest}")
        self._highest_by_name[name] = max(highest, generation)
