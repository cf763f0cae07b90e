"""Tests that the soak finds planted faults of processes: each guards against a soak that passes
although a process ended by itself, a request got no whole answer or that of another request, a text
was cut, an account exceeded its rate, or a reply of the platform was taken for
that to another call."""

import os
import shutil
import signal
import threading
import unittest
from unittest import mock

# The first one lets the modules of the process tests be found.
from soak import LIMITED_ACCOUNT, Soak, parse_options
from kept_connections import ports_behind_kept_connections
from platform_fixtures import Platform
from users_platform.backend import Connection

SECONDS = 6.0
REPLY_SECONDS = 25.0  # for several changes of primary
RATE_SECONDS = 10.0  # longer than the time over which the judge adds operations up
PLANTED_AT_S = 2.0
LONG_WORK_S = 0.1


class PlantedFaultTest(unittest.TestCase):
    def soak(self, **site_options):
        options = parse_options(["--planned-work", "--seconds", str(SECONDS)])
        soak = Soak(1, options, **site_options)
        self.addCleanup(shutil.rmtree, soak.work_dir, ignore_errors=True)
        return soak

    def findings(self, soak, plant):
        """Runs the soak, in which `plant` is called for each instance, and no other fault concerns
        an instance."""
        soak.faults.reserved.update(soak.site.instances)
        planted = threading.Timer(PLANTED_AT_S,
                                  lambda: [plant(instance) for instance in soak.site.instances])
        planted.start()
        return soak.run()

    def test_process_that_ends_by_itself_is_found(self):
        findings = self.findings(self.soak(),
                                 lambda instance: os.kill(instance.process.pid, signal.SIGABRT))
        self.assertIn(f"instance instance-0: ended by itself with status {-signal.SIGABRT}",
                      findings)

    def test_requests_that_an_end_cuts_off_are_found(self):
        def end_unseen(instance):
            instance.ordered_to_end = True
            os.kill(instance.process.pid, signal.SIGKILL)

        findings = self.findings(self.soak(work_s=LONG_WORK_S), end_unseen)
        self.assertTrue(any("no whole answer" in finding and "ran:" in finding
                            for finding in findings), findings)


class PlantedServerFaultTest(unittest.TestCase):
    """The servers' connections behave as if the instances mixed up texts or answers."""

    def findings(self, method, planted):
        """Runs the soak without other faults. `planted` replaces the method of the connections."""
        options = parse_options(["--planned-work", "--seconds", str(SECONDS)])
        soak = Soak(1, options)
        self.addCleanup(shutil.rmtree, soak.work_dir, ignore_errors=True)
        soak.faults.reserved.update(soak.site.instances)
        with mock.patch.object(Connection, method, planted):
            return soak.run()

    def assert_found(self, text, findings):
        self.assertTrue(any(text in finding for finding in findings), findings[:10])

    def test_texts_that_are_cut_at_a_line_feed_are_found(self):
        execute = Connection.execute
        findings = self.findings("execute", lambda connection, request, text: execute(
            connection, request, text.partition("\n")[0]))
        self.assert_found(": ran ", findings)

    def test_requests_inside_of_texts_that_run_are_found(self):
        execute = Connection.execute

        def execute_all(connection, request, text):
            answer = execute(connection, request, text)
            _, found, inside = text.partition("\nQUERY ")
            if found:
                execute(connection, *inside.split(" ", 1))
            return answer

        self.assert_found("no caller sent it", self.findings("execute", execute_all))

    def test_rows_of_other_requests_are_found(self):
        complete = Connection.complete
        rows_sent = [""]

        def complete_with_earlier_rows(connection, request, rows=()):
            own_rows, word, signature = complete(connection, request, rows).rpartition("COMPLETE ")
            rows_sent.append(own_rows)
            return rows_sent[-2] + word + signature

        self.assert_found("rows that its server has not sent",
                          self.findings("complete", complete_with_earlier_rows))

    def test_answers_to_other_requests_are_found(self):
        complete = Connection.complete
        self.assert_found("success without the signature of its server", self.findings(
            "complete", lambda connection, request, rows=(): complete(connection, request, rows)
            .replace(f"-{request}\r", "-c1\r")))

    def test_errors_that_repeat_an_earlier_one_are_found(self):
        execute = Connection.execute

        def execute_and_deny(connection, request, text):
            answer = execute(connection, request, text)
            return "ERROR BUSY x\r\n" if text.startswith("WRITE ") else answer

        findings = self.findings("execute", execute_and_deny)
        self.assert_found("committed 2 times", findings)
        self.assert_found("committed although answered BUSY", findings)


class PlantedReplyTest(unittest.TestCase):
    """The instances take a repeated reply of the store or of the promotion API for the reply to a
    later call."""

    def test_replies_to_other_calls_are_found(self):
        options = parse_options(["--repeated-replies", "--seconds", str(REPLY_SECONDS)])
        with mock.patch.object(Platform, "ports_for_instance", ports_behind_kept_connections):
            soak = Soak(1, options)
        self.addCleanup(shutil.rmtree, soak.work_dir, ignore_errors=True)
        findings = soak.run()
        self.assertTrue(any("fencing token" in finding for finding in findings), findings[:10])


class PlantedRateTest(unittest.TestCase):
    """Each instance admits the whole rate of an account, instead of its fraction."""

    def findings(self, *options):
        soak = Soak(1, parse_options([*options, "--seconds", str(RATE_SECONDS)]))
        self.addCleanup(shutil.rmtree, soak.work_dir, ignore_errors=True)
        soak.faults.reserved.update(soak.site.instances)
        platform, instances = soak.site.platform, len(soak.site.instances)
        for account, limit in soak.site.limits.items():
            platform.limits[account] = (limit.rate * instances, limit.burst * instances)
        platform.call(platform.publish)
        return soak.run()

    def assert_found(self, findings):
        self.assertTrue(any(f"account {LIMITED_ACCOUNT}: " in finding and "operations in" in finding
                            for finding in findings), findings[:10])

    def test_excess_over_a_rate_is_found(self):
        self.assert_found(self.findings())

    def test_excess_over_a_rate_is_found_beside_repeated_answers(self):
        self.assert_found(self.findings("--repeated-answers"))

    def test_excess_over_a_rate_is_found_beside_planned_work(self):
        self.assert_found(self.findings("--planned-work"))


if __name__ == "__main__":
    unittest.main()
