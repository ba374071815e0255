from __future__ import annotations

import testtools

from tools.what_binds import find_bad_spans, find_losses, format_day


def make_window(start_s, worth, late=0, refused=0):
    return {
        "name": str(start_s),
        "n": 100,
        "late": late,
        "refused": refused,
        "failed": 0,
        "worth": worth,
    }


REPORT = {
    "G": 0.7,
    "parts": [["whole day", 0.6, 0.9], ["worst windows", 0.25, 0.5]],
    "prices": [["memory", 12.0, 0.004], ["duties missed", 0.0, 0.0]],
    "windows": [
        make_window(0, 0.99),
        make_window(2, 0.4, late=50, refused=10),
        make_window(4, 0.6, late=40),
    ],
    "events": [
        {"kind": "burst", "at_s": 1.0, "to_s": 3.0},
        {"kind": "release", "at_s": 4.5, "to_s": 9.0},
    ],
}


class WhatBindsTests(testtools.TestCase):
    def test_losses_are_sorted_and_zero_prices_left_out(self):
        losses = find_losses(REPORT)
        self.assertEqual(
            ["worst windows", "whole day", "memory"], [loss.cause for loss in losses]
        )
        self.assertAlmostEqual(0.125, losses[0].worth)

    def test_bad_spans_name_their_disruptions(self):
        worst, other = find_bad_spans(REPORT)
        self.assertEqual((2.0, ("burst",)), (worst.from_s, worst.events))
        self.assertEqual((4.0, ("release",)), (other.from_s, other.events))
        self.assertAlmostEqual(0.6 * 0.6 / 3, worst.loss)

    def test_table_marks_the_spans_that_count(self):
        lines = format_day("scale", REPORT)
        self.assertEqual("scale: worth 0.700", lines[0])
        marked = [line for line in lines if line.startswith(" *")]
        self.assertEqual(2, len(marked))
        self.assertIn("50 late, 10 refused", marked[0])
