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


class OutputTest(LifetimeTest):
    # Guards against SIGPIPE, which ends the process at its next log line when a log collector that
    # reads its output has ended.
    def test_instance_serves_after_the_reader_of_its_log_has_ended(self):
        instance = self.prepare()
        reading, writing = os.pipe()
        self.start(instance, stdout=writing, stderr=writing)
        os.close(writing)
        self.assert_serves(instance)
        os.close(reading)
        time.sleep(LOG_TIME_S)
        self.assert_serves(instance)
        self.assert_stops(instance)

    # Guards against a log that ends for good when the collector that reads it is restarted.
    def test_log_continues_when_a_new_reader_opens_the_pipe(self):
        instance = self.prepare()
        pipe = os.path.join(self.work_dir, "log.pipe")
        os.mkfifo(pipe)
        reading = os.open(pipe, os.O_RDONLY | os.O_NONBLOCK)
        writing = os.open(pipe, os.O_WRONLY)
        self.start(instance, stdout=writing, stderr=writing)
        os.close(writing)
        self.assert_serves(instance)
        os.close(reading)
        time.sleep(LOG_TIME_S)
        reading = os.open(pipe, os.O_RDONLY | os.O_NONBLOCK)
        self.addCleanup(os.close, reading)
        instance.process.send_signal(signal.SIGHUP)
        text = ""

        def reload_is_logged():
            nonlocal text
            try:
                text += os.read(reading, 1 << 20).decode(errors="replace")
            except BlockingIOError:
                pass  # Nothing has been written yet.
            return "event=reload" in text

        self.wait(reload_is_logged, "the log line of the reload")
        self.assert_stops(instance)

    # Guards against connections that get the numbers of closed standard descriptors, so that log
    # lines are sent to clients.
    def test_closed_standard_descriptors_are_not_used_for_connections(self):
        instance = self.prepare()

        def close_standard_descriptors():
            for descriptor in range(3):
                os.close(descriptor)

        self.start(instance, preexec_fn=close_standard_descriptors)
        self.assert_serves(instance)
        for descriptor in range(3):
            target = os.readlink(f"/proc/{instance.process.pid}/fd/{descriptor}")
            self.assertEqual(target, "/dev/null")
        self.assert_stops(instance)


class AddressTest(LifetimeTest):
    ports = {"callers": "caller_port", "admin": "admin_port", "peers": "peer_port",
             "gateway": "gateway_port"}

    def take(self, port):
        taken = socket.socket()
        self.addCleanup(taken.close)
        # As free_port() does, which offers ports with ended connections.
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        taken.bind((LOOPBACK, port))
        taken.listen()
        return taken

    def start_with_log(self, instance):
        with open(instance.log_path, "w", encoding="utf-8") as log:
            self.start(instance, stdout=log, stderr=log)

    # Guards against a start that fails for good because a port is in use for a moment, by an outgoing
    # connection or by the former process, and against a message that does not say which.
    def test_instance_starts_when_its_address_is_free_again(self):
        for role, name in self.ports.items():
            with self.subTest(role):
                instance = self.prepare()
                taken = self.take(getattr(instance, name))
                self.start_with_log(instance)
                time.sleep(TAKEN_S)
                self.assertIsNone(instance.process.poll())
                taken.close()
                self.assert_serves(instance)
                address = f"{LOOPBACK}:{getattr(instance, name)}"
                self.assertRegex(instance.log(), f"{re.escape(address)}.*{role}.*in use")
                self.assert_stops(instance)

    # Guards against a process that waits for an address and cannot be stopped, or that reports a
    # failure when it is.
    def test_instance_that_waits_for_its_address_stops_at_once(self):
        instance = self.prepare()
        self.take(instance.gateway_port)
        self.start_with_log(instance)
        time.sleep(TAKEN_S)
        instance.process.send_signal(signal.SIGHUP)
        self.assert_stops(instance)

    # Guards against a wait without end for an address that this machine does not have.
    def test_address_of_another_machine_ends_the_start_with_a_message(self):
        instance = self.prepare()
        with open(instance.command[-1], encoding="utf-8") as settings:
            text = settings.read()
        with open(instance.command[-1], "w", encoding="utf-8") as settings:
            settings.write(re.sub(r"admin: \S+", "admin: 192.0.2.1:8080", text))
        self.start_with_log(instance)
        self.assertEqual(instance.process.wait(timeout=EXIT_LIMIT_S), 1)
        self.assertRegex(instance.log(), r"192\.0\.2\.1:8080 \(admin\)")


class SignalTest(LifetimeTest):
    def start_and_signal(self, number):
        """Starts an instance and sends it the signal while it reads its settings."""
        instance = self.prepare()
        settings = instance.command[-1]
        with open(settings, encoding="utf-8") as file:
            text = file.read()
        os.remove(settings)
        os.mkfifo(settings)
        with open(instance.log_path, "w", encoding="utf-8") as log:
            self.start(instance, stdout=log, stderr=log)
        # Waits until the program opens its settings, after the start of main().
        with open(settings, "w", encoding="utf-8") as pipe:
            instance.process.send_signal(number)
            pipe.write(text)
        return instance

    # Guards against a signal that ends the process with a failure, because it arrives before the
    # handlers are installed.
    def test_stop_in_the_first_moments_ends_with_success(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number):
                instance = self.start_and_signal(number)
                self.assertEqual(instance.process.wait(timeout=EXIT_LIMIT_S), 0)

    def test_hangup_in_the_first_moments_is_no_stop(self):
        instance = self.start_and_signal(signal.SIGHUP)
        self.assert_serves(instance)
        self.assert_stops(instance)

    # Guards against a second signal that cuts the planned stop short.
    def test_repeated_stop_ends_with_success(self):
        instance = self.prepare()
        with open(instance.log_path, "w", encoding="utf-8") as log:
            self.start(instance, stdout=log, stderr=log)
        self.assert_serves(instance)
        for _ in range(3):
            instance.terminate()
            time.sleep(0.2)
        instance.process.send_signal(signal.SIGHUP)
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
