"""Tests that repeated_replies_test fails when instances take a repeated reply of the store or of the
promotion API for the reply to a later call: each guards against a test that passes beside this
fault."""

import shutil
import unittest
from unittest import mock

import repeated_replies_test
from kept_connections import ports_behind_kept_connections
from platform_fixtures import Platform


class PlantedRepliesTest(unittest.TestCase):
    def assert_fails(self, case, text):
        """Runs the test case with the fault: it fails in a line with this text."""
        self.addCleanup(lambda: shutil.rmtree(case.work_dir, ignore_errors=True))
        with mock.patch.object(Platform, "ports_for_instance", ports_behind_kept_connections):
            result = case.run(unittest.TestResult())
        texts = [found for _, found in result.failures]
        self.assertTrue(any(text in found for found in texts), texts + result.errors)

    # The change takes too long, or two orders have the same fencing token.
    def test_reply_to_another_call_during_a_change_of_primary_is_found(self):
        self.assert_fails(repeated_replies_test.PrimaryTest(
            "test_lost_primary_is_replaced_under_rising_fences"), "AssertionError: ")

    def test_refused_promotion_that_is_taken_for_accepted_is_found(self):
        self.assert_fails(repeated_replies_test.SingleInstanceTest(
            "test_refused_promotion_is_not_taken_for_accepted"), "accepted_and_logged()")


if __name__ == "__main__":
    unittest.main()
