"""Tests that searches continue when instances are killed, frozen or leave."""

from __future__ import annotations

import concurrent.futures
import functools
from typing import ClassVar

from tests.processes.caller import (
    CODES_WITH_RECORDS,
    Caller,
    Load,
    make_search,
    post,
)
from tests.processes.checks import wrong_answers
from tests.processes.support import (
    TEAM,
    ClusterTestCase,
    apply_section,
    generations_by_name,
    is_dead,
    read_log,
    read_metric,
    wait_until,
    wait_until_in_force,
    with_snapshots,
)

ANSWERS_PER_PHASE = 40
COMPLETE_ANSWERS_IN_A_ROW = 20
DEADLINE_MS = 1500
WAITING_SEARCH_COUNT = 6
# More than an instance sends between the last answer of a peer and the time when it
# considers the peer dead.
MAX_DETECTION_DATAGRAMS = 120.0
SENT_DATAGRAMS_SAMPLE = 'almondspool_heartbeat_datagrams_total{direction="out"}'


make_short_search = functools.partial(make_search, deadline_ms=DEADLINE_MS)


def is_listed(cluster, name):
    """Return whether any other instance lists the address of an instance."""
    address = cluster.instances_by_name[name].caller_address
    others = [other for other in cluster.instances_by_name if other != name]
    return any(address in addresses_listed_at(cluster, other) for other in others)


def addresses_listed_at(cluster, name):
    caller = Caller(cluster)
    caller._configured_addresses = (cluster.instances_by_name[name].caller_address,)
    return caller.addresses()


def kill_and_count_detections(cluster, name):
    """Kill an instance and wait until the others have had time to detect it.

    The wait ends when all of them consider it dead, or when all of them have sent
    MAX_DETECTION_DATAGRAMS since the kill.

    Returns:
        The number of others that consider it dead, and the number of others.
    """
    others = [other for other in cluster.instances_by_name if other != name]
    log_lengths = {other: len(read_log(cluster, other)) for other in others}
    sent_before = {
        other: read_metric(cluster, other, SENT_DATAGRAMS_SAMPLE) for other in others
    }
    cluster.kill(name)
    line = f"event=member.changed instance={name} status=DEAD"

    def detecting_names():
        return [o for o in others if line in read_log(cluster, o)[log_lengths[o] :]]

    def is_decided():
        if len(detecting_names()) == len(others):
            return True
        sent_now = {
            other: read_metric(cluster, other, SENT_DATAGRAMS_SAMPLE)
            for other in others
        }
        return all(
            sent_now[o] - sent_before[o] >= MAX_DETECTION_DATAGRAMS for o in others
        )

    wait_until(
        is_decided, f"the others have detected the kill of {name} or have had the time"
    )
    return len(detecting_names()), len(others)


def run_generation(cluster, names, generation):
    """Return whether all named instances have adopted a generation.

    An acceptance is answered before the other instances adopt the document.
    """
    found = generations_by_name(cluster, names)
    return all(found.get(name) == generation for name in names)


def freeze_during_snapshot_change(cluster):
    """Freeze an instance during a snapshot change.

    Searches that are sent to it meanwhile wait in its socket; it handles them first
    when it resumes.

    Returns:
        The attempts of these searches, and those of searches at the other instances.
    """
    name = list(cluster.instances_by_name)[1]
    address = cluster.instances_by_name[name].caller_address
    others = [other for other in cluster.instances_by_name if other != name]
    cluster.freeze(name)
    try:
        wait_until(lambda: is_dead(cluster, name), f"{name} is considered dead")
        text = with_snapshots(cluster.deployment.section_texts_by_team[TEAM], (1, 2))
        accepted = apply_section(cluster, TEAM, text, *others)
        wait_until(
            lambda: run_generation(cluster, others, accepted["generation"]),
            "the others run the accepted document",
        )
        with concurrent.futures.ThreadPoolExecutor(WAITING_SEARCH_COUNT) as pool:
            searches = [make_search(number) for number in range(WAITING_SEARCH_COUNT)]
            waiting = [pool.submit(post, address, search) for search in searches]
            attempts = [Caller(cluster).search({}) for _ in range(2)]
            cluster.resume(name)
            first_attempts = [future.result() for future in waiting]
    finally:
        cluster.resume(name)
    return first_attempts, attempts


class InstanceFaultTests(ClusterTestCase):
    def setUp(self):
        super().setUp()
        wait_until_in_force(self.cluster)

    def check_detection(self, name, start_fault, end_fault):
        """Check that a fault is detected and that answers are correct throughout."""
        with Load(self.cluster, make_short_search) as load:
            load.wait_for_more(ANSWERS_PER_PHASE)
            start_fault(name)
            wait_until(
                lambda: not is_listed(self.cluster, name), f"{name} is no longer listed"
            )
            wait_until(
                lambda: self.are_complete(load), "answers are complete without it"
            )
            end_fault(name)
            wait_until(lambda: is_listed(self.cluster, name), f"{name} is listed again")
            wait_until(lambda: self.are_complete(load), "answers are complete with it")
        self.assertEqual([], wrong_answers(self.cluster, load.final_attempts))
        wait_until_in_force(self.cluster)

    def are_complete(self, load):
        load.wait_for_more(ANSWERS_PER_PHASE)
        last = load.final_attempts[-COMPLETE_ANSWERS_IN_A_ROW:]
        return all(attempt.code == 0 for attempt in last)

    def test_kill(self):
        for name in self.cluster.instances_by_name:
            self.check_detection(name, self.cluster.kill, self.cluster.restart)

    def test_killed_instance_is_considered_dead_by_all(self):
        name = list(self.cluster.instances_by_name)[1]
        detections, others = kill_and_count_detections(self.cluster, name)
        self.assertEqual(others, detections)
        self.cluster.restart(name)

    def test_freeze_beyond_the_lease(self):
        name = list(self.cluster.instances_by_name)[0]
        self.check_detection(name, self.cluster.freeze, self.cluster.resume)

    def test_leave(self):
        name = list(self.cluster.instances_by_name)[2]
        self.check_detection(name, self.cluster.terminate, self.cluster.restart)


class SnapshotChangeTestCase(ClusterTestCase):
    initial_snapshots = (1,)
    cluster_options: ClassVar = {"snapshots": 2}


class ResumeTests(SnapshotChangeTestCase):
    def test_resumed_instance_rejoins_before_it_serves(self):
        first_attempts, attempts = freeze_during_snapshot_change(self.cluster)
        served = [
            attempt.answer["snapshot"]
            for attempt in first_attempts
            if attempt.code in CODES_WITH_RECORDS
        ]
        self.assertNotIn(1, served)
        self.assertEqual([], wrong_answers(self.cluster, [*first_attempts, *attempts]))
        self.assertEqual({2}, {attempt.answer["snapshot"] for attempt in attempts})
        wait_until_in_force(self.cluster)


class NoRejoinTests(SnapshotChangeTestCase):
    variant = "no_rejoin"

    def test_outdated_answers_are_found(self):
        first_attempts, _ = freeze_during_snapshot_change(self.cluster)
        self.assertIn(1, {attempt.answer.get("snapshot") for attempt in first_attempts})


class NeverDeadTests(ClusterTestCase):
    variant = "never_dead"

    def test_undetected_kill_is_found(self):
        name = list(self.cluster.instances_by_name)[1]
        detections, _ = kill_and_count_detections(self.cluster, name)
        self.assertEqual(0, detections)
