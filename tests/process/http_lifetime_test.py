"""Tests that oriolethread, the HTTP front end, starts, and runs until it is told to stop, whatever
happens to its output, to the ports that it listens on and at its start."""

import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import unittest

from fixtures import ROOT, WAIT_S
from oriole_site.http import fetch_status
from oriole_site.processes import LOOPBACK, address, wait_until
from oriole_site.site import Options, Site

LOG_TIME_S = 1.0
TAKEN_S = 1.0
EXIT_LIMIT_S = 20.0


class HttpLifetimeTest(unittest.TestCase):
    def setUp(self):
        self.work_dir = tempfile.mkdtemp(prefix="oriole-test-")
        self.addCleanup(shutil.rmtree, self.work_dir, ignore_errors=True)
        build = os.environ.get("ORIOLE_BUILD", os.path.join(ROOT, "build"))
        self.site = Site(build, self.work_dir, Options(instances=1))
        self.addCleanup(self.site.stop)
        self.site.start_platform()
        self.instance = self.site.instances[0]
        self.settings = self.site.write_settings(self.instance)
        self.log_path = os.path.join(self.work_dir, "instance.log")

    def start(self, output=None):
        command = [self.site.program("oriolethread"), "--settings", self.settings]
        with open(self.log_path, "w", encoding="utf-8") as log:
            self.process = subprocess.Popen(command, stdout=output or log, stderr=output or log)
        self.addCleanup(self.end)

    def end(self):
        self.process.kill()
        self.process.wait()

    def is_healthy(self):
        try:
            return fetch_status(self.instance.admin_port, "/healthz") == 200
        except OSError:
            return False

    def assert_runs(self):
        wait_until(lambda: self.process.poll() is not None or self.is_healthy(), WAIT_S, "health")
        self.assertIsNone(self.process.poll())

    def assert_stops(self):
        self.process.terminate()
        self.assertEqual(self.process.wait(timeout=EXIT_LIMIT_S), 0)

    # Guards against SIGPIPE, which ends the process at its next log line when a log collector that
    # reads its output has ended.
    def test_instance_runs_after_the_reader_of_its_log_has_ended(self):
        reading, writing = os.pipe()
        self.start(writing)
        os.close(writing)
        self.assert_runs()
        os.close(reading)
        # Each request to stop is logged.
        self.process.send_signal(signal.SIGHUP)
        time.sleep(LOG_TIME_S)
        self.assert_runs()
        self.assert_stops()

    # Guards against a start that fails for good because a port is in use for a moment.
    def test_instance_starts_when_its_address_is_free_again(self):
        for role in ("caller", "admin", "peer"):
            with self.subTest(role), socket.socket() as taken:
                port = getattr(self.instance, f"{role}_port")
                taken.bind((LOOPBACK, port))
                taken.listen()
                self.start()
                time.sleep(TAKEN_S)
                self.assertIsNone(self.process.poll())
                taken.close()
                self.assert_runs()
                with open(self.log_path, encoding="utf-8") as log:
                    self.assertRegex(log.read(), f"{re.escape(address(port))}.*{role}.*in use")
                self.assert_stops()

    # Guards against signals that end the process with a failure, because they arrive before the
    # handlers are installed, and against SIGHUP ending it at all.
    def test_signals_in_the_first_moments_are_handled(self):
        with open(self.settings, encoding="utf-8") as file:
            text = file.read()
        os.remove(self.settings)
        os.mkfifo(self.settings)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            with self.subTest(number):
                self.start()
                # Waits until the program opens its settings, after the start of main().
                with open(self.settings, "w", encoding="utf-8") as pipe:
                    self.process.send_signal(number)
                    pipe.write(text)
                if number == signal.SIGHUP:
                    self.assert_runs()
                    self.assert_stops()
                else:
                    self.assertEqual(self.process.wait(timeout=EXIT_LIMIT_S), 0)


if __name__ == "__main__":
    unittest.main()
