"""Child processes, each with its own log file, and helpers for ports and waiting."""

import itertools
import os
import signal
import socket
import subprocess
import time

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 45.0
POLL_INTERVAL_S = 0.01


# Ports are below the system's ephemeral range, because any process may be given an ephemeral port
# for an outgoing connection. Test processes that run in parallel start in different blocks, chosen by
# process id; only a large site needs more than one block.
FIRST_PORT = 10000
PORT_BLOCKS = 200
PORTS_PER_BLOCK = 100
PORTS = PORT_BLOCKS * PORTS_PER_BLOCK
_next_port = itertools.count()


def free_port():
    """A TCP port on loopback that was free when checked; another process may still take it."""
    first = os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK
    for _ in range(PORTS):
        port = FIRST_PORT + (first + next(_next_port)) % PORTS
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
            return port
    raise RuntimeError(f"no free port among the {PORTS} ports from {FIRST_PORT}")


def address(port):
    return f"{LOOPBACK}:{port}"


def wait_until(condition, timeout_s, what):
    """Polls `condition` until it is true; otherwise raises a TimeoutError that contains `what`."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out after {timeout_s} s waiting for: {what}")
        time.sleep(POLL_INTERVAL_S)


def accepts(port):
    try:
        with socket.create_connection((LOOPBACK, port), timeout=0.2):
            return True
    except OSError:
        return False


class Process:
    """A child process whose output is appended to a log file."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.log_path = log_path
        self.paused = False
        with open(log_path, "ab") as log:
            self._child = subprocess.Popen(
                command, stdout=log, stderr=log, stdin=subprocess.DEVNULL, start_new_session=True
            )

    @property
    def pid(self):
        return self._child.pid

    def running(self):
        return self._child.poll() is None

    def wait_for_port(self, port):
        def ready():
            if not self.running():
                raise RuntimeError(
                    f"{self.name} exited before it listened on port {port}; see {self.log_path}"
                )
            return accepts(port)

        wait_until(ready, START_TIMEOUT_S, f"start of {self.name}")

    def pause(self):
        os.kill(self.pid, signal.SIGSTOP)
        self.paused = True

    def resume(self):
        os.kill(self.pid, signal.SIGCONT)
        self.paused = False

    def terminate(self):
        """Requests a planned stop (SIGTERM) without waiting for it."""
        self._child.terminate()

    def kill(self):
        """Kills the process (SIGKILL), like a crash."""
        if self.running():
            self._child.kill()
        self._child.wait()

    def stop(self):
        """Requests a planned stop (SIGTERM), also of a paused process; returns the exit status."""
        if self.running():
            self._child.terminate()
            self._child.send_signal(signal.SIGCONT)
        try:
            return self._child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def cpu_seconds(self):
        with open(f"/proc/{self.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self):
        with open(f"/proc/{self.pid}/statm", encoding="ascii") as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
