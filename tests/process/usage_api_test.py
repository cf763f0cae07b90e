"""Tests of the stand-in's API for usage reports: each check finds the fault that it is for."""

import asyncio
import os
import sys
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "standins"))

from users_platform.usage import UsageApi


class UsageApiTest(unittest.TestCase):
    def send(self, fence, holder, window, count):
        headers = {"fencing-token": str(fence), "lease-holder": holder}
        body = {"window_seq": window, "counts": {"acme": count}}
        answer = asyncio.run(self.api.handle("POST", "/usage", {}, headers, body))
        return answer and answer[0]

    def setUp(self):
        self.api = UsageApi()

    # Guards against a check that blames a new holder which repeats its predecessor's report.
    def test_exact_repeat_by_a_successor_is_accepted(self):
        self.assertEqual(self.send(5, "a", 1, 10), 200)
        self.assertEqual(self.send(6, "b", 1, 10), 200)
        self.assertEqual(self.send(5, "a", 1, 10), 409)
        self.assertEqual(self.api.violations, [])

    # Guards against faults of a reporter that the checks do not see.
    def test_each_fault_is_found(self):
        faults = {"two different reports for window 1": [(5, "a", 1, 10), (6, "b", 1, 11)],
                  "token 5 of a": [(5, "a", 1, 10), (5, "b", 1, 10)],
                  "refused token 5": [(6, "b", 1, 10), (5, "a", 1, 10), (5, "a", 1, 10)]}
        for text, calls in faults.items():
            self.api = UsageApi()
            for call in calls:
                self.send(*call)
            self.assertEqual(len(self.api.violations), 1, text)
            self.assertIn(text, self.api.violations[0])

    # Guards against a lost answer whose report was lost too.
    def test_report_whose_answer_is_lost_is_accepted(self):
        self.api.lost_answers = 1
        self.assertIsNone(self.send(5, "a", 1, 10))
        self.assertEqual(self.api.accepted, {1: {"acme": 10}})


if __name__ == "__main__":
    unittest.main()
