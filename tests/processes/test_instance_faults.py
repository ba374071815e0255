"""Instances that are killed, frozen or leave: the others notice and searches go on."""

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
    is_dead,
    read_log,
    read_metric,
    wait_until,
    wait_until_in_force,
    with_snapshots,
)

ANSWERS = 40
WHOLE_IN_A_ROW = 20
DEADLINE_MS = 1500
WAITING = 6
# More than an instance sends from a peer's last answer until it gives it up.
MOST_DATAGRAMS = 120.0
DATAGRAMS = 'almondspool_heartbeat_datagrams_total{direction="out"}'


make_short_search = functools.partial(make_search, deadline_ms=DEADLINE_MS)


def is_listed(cluster, name):
    """Return whether any other instance gives out an instance's address."""
    address = cluster.instances_by_name[name].caller_address
    others = [other for other in cluster.instances_by_name if other != name]
    return any(address in entries_of(cluster, other) for other in others)


def entries_of(cluster, name):
    caller = Caller(cluster)
    caller._known_addresses = (cluster.instances_by_name[name].caller_address,)
    return caller.entries()


def kill_and_count(cluster, name):
    """Kill an instance and return how many others gave it up, and how many are.

    Ends when each gave it up, or has sent MOST_DATAGRAMS since.
    """
    others = [other for other in cluster.instances_by_name if other != name]
    lengths = {other: len(read_log(cluster, other)) for other in others}
    sent = {other: read_metric(cluster, other, DATAGRAMS) for other in others}
    cluster.kill(name)
    line = f"event=member.changed instance={name} status=DEAD"

    def gave_up():
        return [o for o in others if line in read_log(cluster, o)[lengths[o] :]]

    def is_decided():
        if len(gave_up()) == len(others):
            return True
        now_sent = {other: read_metric(cluster, other, DATAGRAMS) for other in others}
        return all(now_sent[o] - sent[o] >= MOST_DATAGRAMS for o in others)

    wait_until(is_decided, f"{name} is given up, or is not")
    return len(gave_up()), len(others)


def freeze_through_swap(cluster):
    """Freeze an instance while the snapshot changes; return its first answers.

    Searches wait in its socket while it is frozen and are met first when it resumes.
    """
    name = list(cluster.instances_by_name)[1]
    address = cluster.instances_by_name[name].caller_address
    others = [other for other in cluster.instances_by_name if other != name]
    cluster.freeze(name)
    try:
        wait_until(lambda: is_dead(cluster, name), f"{name} is past its lease")
        text = with_snapshots(cluster.deployment.section_texts_by_team[TEAM], (1, 2))
        apply_section(cluster, TEAM, text, *others)
        with concurrent.futures.ThreadPoolExecutor(WAITING) as pool:
            searches = [make_search(number) for number in range(WAITING)]
            waiting = [pool.submit(post, address, search) for search in searches]
            attempts = [Caller(cluster).search({}) for _ in range(2)]
            cluster.resume(name)
            first = [future.result() for future in waiting]
    finally:
        cluster.resume(name)
    return first, attempts


class InstanceFaultTests(ClusterTestCase):
    def setUp(self):
        super().setUp()
        wait_until_in_force(self.cluster)

    def notice(self, name, strike, undo):
        """Strike an instance under load and check the answers before and after."""
        with Load(self.cluster, make_short_search) as load:
            load.wait_for_more(ANSWERS)
            strike(name)
            wait_until(lambda: not is_listed(self.cluster, name), f"{name} is noticed")
            wait_until(lambda: self.are_whole(load), "answers are whole without it")
            undo(name)
            wait_until(lambda: is_listed(self.cluster, name), f"{name} is back")
            wait_until(lambda: self.are_whole(load), "answers are whole with it")
        self.assertEqual([], wrong_answers(self.cluster, load.attempts))
        wait_until_in_force(self.cluster)

    def are_whole(self, load):
        load.wait_for_more(ANSWERS)
        last = load.attempts[-WHOLE_IN_A_ROW:]
        return all(attempt.code == 0 for attempt in last)

    def test_kill(self):
        for name in self.cluster.instances_by_name:
            self.notice(name, self.cluster.kill, self.cluster.restart)

    def test_killed_instance_is_given_up_by_all(self):
        name = list(self.cluster.instances_by_name)[1]
        gave_up, others = kill_and_count(self.cluster, name)
        self.assertEqual(others, gave_up)
        self.cluster.restart(name)

    def test_freeze_beyond_the_lease(self):
        name = list(self.cluster.instances_by_name)[0]
        self.notice(name, self.cluster.freeze, self.cluster.resume)

    def test_leave(self):
        name = list(self.cluster.instances_by_name)[2]
        self.notice(name, self.cluster.terminate, self.cluster.restart)


class FrozenTestCase(ClusterTestCase):
    initial_snapshots = (1,)
    options: ClassVar = {"snapshots": 2}


class ResumeTests(FrozenTestCase):
    def test_resumed_instance_joins_before_it_serves(self):
        first, attempts = freeze_through_swap(self.cluster)
        served = [
            each.answer["snapshot"] for each in first if each.code in CODES_WITH_RECORDS
        ]
        self.assertNotIn(1, served)
        self.assertEqual([], wrong_answers(self.cluster, [*first, *attempts]))
        self.assertEqual({2}, {attempt.answer["snapshot"] for attempt in attempts})
        wait_until_in_force(self.cluster)


class NoRejoinTests(FrozenTestCase):
    variant = "no_rejoin"

    def test_outdated_answers_are_found(self):
        first, _ = freeze_through_swap(self.cluster)
        self.assertIn(1, {attempt.answer.get("snapshot") for attempt in first})


class NeverDeadTests(ClusterTestCase):
    variant = "never_dead"

    def test_killed_instance_that_is_kept_is_found(self):
        name = list(self.cluster.instances_by_name)[1]
        gave_up, _ = kill_and_count(self.cluster, name)
        self.assertEqual(0, gave_up)
