"""Tests that the soak finds planted faults of processes: each guards against a soak that passes
although a process ended by itself or a request got no whole answer."""

import os
import shutil
import signal
import threading
import unittest

from soak import Soak, parse_options

SECONDS = 6.0
PLANTED_AT_S = 2.0
# Less than the time until the load balancer sends no more clients, so that a stop ends the process
# with statements running.
TOO_SHORT_GRACE_S = 1
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

    def test_requests_that_a_stop_cuts_off_are_found(self):
        soak = self.soak(work_s=LONG_WORK_S, stop_grace_s=TOO_SHORT_GRACE_S)
        findings = self.findings(soak, lambda instance: instance.signal(signal.SIGTERM))
        self.assertTrue(any("no whole answer" in finding and "ran:" in finding
                            for finding in findings), findings)


if __name__ == "__main__":
    unittest.main()
