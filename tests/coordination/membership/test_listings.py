from __future__ import annotations

import random

import testtools

from almondspool.coordination.membership.listings import PlatformListings
from almondspool.protocol.platform import ListedInstance
from almondspool.state.members import Member, MemberStatus

NAME = "perth-1"


def make_member(session):
    return Member(NAME, session, "perth-north", "", "", session=session)


class LeavingMarkTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.listings = PlatformListings(random.Random(1))

    def read(self, session, *, leaving):
        listing = ListedInstance(NAME, "", "perth-north", leaving)
        return self.listings.replace([listing], {NAME: session})

    def status_of(self, session):
        return self.listings.with_leaving_mark(make_member(session)).status

    def test_mark_of_a_session_that_was_listed_without_it_counts(self):
        self.assertEqual([], self.read(1, leaving=False))
        self.assertEqual([NAME], self.read(1, leaving=True))
        self.assertEqual(MemberStatus.LEAVING, self.status_of(1))
        self.assertEqual([], self.read(1, leaving=True))
        self.assertEqual(MemberStatus.LEAVING, self.status_of(1))

    def test_mark_of_an_ended_process_does_not_count_for_its_successor(self):
        self.read(1, leaving=False)
        self.read(1, leaving=True)
        self.read(2, leaving=True)
        self.assertEqual(MemberStatus.ALIVE, self.status_of(2))

    def test_mark_found_at_the_first_read_does_not_count(self):
        self.assertEqual([], self.read(2, leaving=True))
        self.assertEqual(MemberStatus.ALIVE, self.status_of(2))

    def test_mark_counts_again_once_the_lag_is_over(self):
        self.read(2, leaving=True)
        self.read(2, leaving=False)
        self.read(2, leaving=True)
        self.assertEqual(MemberStatus.LEAVING, self.status_of(2))
