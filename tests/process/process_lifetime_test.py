"""Tests that oriolethread-platform starts, and runs until it is told to stop, whatever happens to its
output, to the ports that it listens on and at its start."""

import os
import re
import signal
import socket
import subprocess
import threading
import time

import unittest

from platform_fixtures import LOOPBACK, PlatformTest, Session, free_port
from oriole_site.http import fetch_status

# The log is written every 200 ms.
LOG_TIME_S = 1.0
TAKEN_S = 1.5
EXIT_LIMIT_S = 8.0
# As in the deployments on the users' pages.
MEMORY_MB = 160
LARGE_TEXT = "x" * 100_000
LARGE_STATEMENTS = 3000


class LifetimeTest(PlatformTest):
    """The instances are started by the tests."""

    instance_zones = ()

    def prepare(self):
        """An instance with settings of its own, which is not running."""
        instance = self.add_instance("zone-a")
        instance.stop()
        return instance

    def start(self, instance, **options):
        instance.process = subprocess.Popen(instance.command, **options)

    def assert_serves(self, instance):
        self.wait(lambda: instance.process.poll() is not None or instance.ready(), "readiness")
        self.assertIsNone(instance.process.poll())
        session = Session(instance.caller_port, "newest", "acme-key")
        self.addCleanup(session.close)
        self.run_until_done(session, "READ a")

    def assert_stops(self, instance):
        instance.terminate()
        self.assertEqual(instance.process.wait(timeout=EXIT_LIMIT_S), 0)


class MemoryTest(LifetimeTest):
    # Guards against input that stays in memory after it was handled, when a client sends statements
    # without waiting for the answers.
    def test_memory_does_not_grow_with_the_input_of_a_session(self):
        instance = self.prepare()
        self.start(instance, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        self.assert_serves(instance)
        session = self.open_session(instance)
        # An odd number of bytes at a time, so that a read seldom ends at the end of a statement.
        sending = threading.Thread(target=self.send_large_statements, args=(session,), daemon=True)
        sending.start()
        answers = [session.answer().error for _ in range(LARGE_STATEMENTS)]
        self.assertEqual(set(answers), {None})
        self.assertLess(self.resident_mb(instance), MEMORY_MB)

    def open_session(self, instance):
        session = Session(instance.caller_port, "newest", "acme-key")
        self.addCleanup(session.close)
        return session

    @staticmethod
    def send_large_statements(session):
        text = "".join(f"QUERY {number:x} SET v {LARGE_TEXT}\r\n"
                       for number in range(LARGE_STATEMENTS // 100)).encode()
        for _ in range(100):
            session.socket.sendall(text)

    @staticmethod
    def resident_mb(instance):
        with open(f"/proc/{instance.process.pid}/status", encoding="ascii") as status:
            kilobytes = re.search(r"VmHWM:\s+(\d+) kB", status.read()).group(1)
        return int(kilobytes) / 1024


if __name__ == "__main__":
    unittest.main()
