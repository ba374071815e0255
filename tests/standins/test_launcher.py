from __future__ import annotations

import pathlib

import testtools
import yaml

from almondspool.settings import load_settings
from almondspool.standins.control_client import ControlError
from almondspool.standins.launcher import PLATFORM, Cluster
from almondspool.standins.processes import ChildProcess, StartError
from tests.standins.support import call, open_connection


class ClusterTests(testtools.TestCase):
    def test_processes_end_after_an_error(self):
        cluster = Cluster("demo", instances=0, searcher_processes=2)

        def fail():
            with cluster:
                cluster.start_standins()
                raise ZeroDivisionError

        self.assertRaises(ZeroDivisionError, fail)
        for name in (PLATFORM, "searchers-1", "searchers-2"):
            self.assertFalse(cluster.child(name).is_running(), name)
        self.assertFalse(pathlib.Path(cluster.directory).exists())

    def test_kill_freeze_resume_and_restart(self):
        with Cluster("demo", instances=0) as cluster:
            cluster.start_standins()
            cluster.freeze(PLATFORM)
            cluster.resume(PLATFORM)
            connection = open_connection(cluster.platform_address)
            self.addCleanup(connection.close)
            self.assertEqual(404, call(connection, "GET", "/v1/objects/a/b")[0])
            cluster.kill(PLATFORM)
            self.assertFalse(cluster.child(PLATFORM).is_running())
            cluster.restart(PLATFORM)
            self.assertEqual(0, cluster.platform.counters()["total"])
            change_searcher = cluster.searcher_controls()[0].change_searcher
            error = self.assertRaises(
                ControlError, change_searcher, "nobody", down=True
            )
            self.assertIn("nobody", str(error))
            exit_codes_by_name = cluster.stop()
        self.assertEqual({PLATFORM: 0, "searchers-1": 0}, exit_codes_by_name)

    def test_daemon_settings_are_valid(self):
        settings = {"heartbeat_interval_s": 0.5}
        with Cluster("perth", instances=4, settings=settings) as cluster:
            zones = []
            for name in cluster.instances_by_name:
                loaded = load_settings(str(cluster.directory / f"{name}.yaml"))
                zones.append(loaded.zone)
                self.assertEqual(0.5, loaded.heartbeat_interval_s)
                self.assertEqual(3, len(loaded.seed_peers))
            self.assertEqual(
                ["perth-north", "perth-south", "perth-hills", "perth-north"], zones
            )
            section = yaml.safe_load(
                cluster.section_paths_by_team["alert-desk"].read_text()
            )
            self.assertEqual(10, len(section["services"]))


class ChildTests(testtools.TestCase):
    def test_early_exit_is_reported_with_the_log(self):
        with Cluster("demo", instances=0) as cluster:
            child = ChildProcess("bad", ["almondspool.no_such"], str(cluster.directory))
            child.start()
            error = self.assertRaises(StartError, child.wait_until, lambda: False)
        self.assertIn("no_such", str(error))
