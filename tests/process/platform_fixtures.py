"""Fixtures of the tests that run oriolethread-platform against the stand-in of the users' platform
(package standins/users_platform: configuration store, promotion service and backend servers)."""

import itertools
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tools"))
sys.path.insert(0, os.path.join(ROOT, "standins"))

from oriole_site.http import fetch_status
from oriole_site.processes import LOOPBACK, free_port, wait_until
from users_platform import Platform
from users_platform.backend import ENCODING, LINE_END

WAIT_S = 20.0
STOP_GRACE_S = 4


class Answer:
    """The answer to one statement: rows, the server's signature or an error, the transaction state
    and the log position."""

    def __init__(self, rows, signature, error, state, position):
        self.rows = rows
        self.signature = signature
        self.error = error
        self.state = state
        self.position = position

    def __repr__(self):
        return f"Answer(rows={self.rows}, error={self.error}, state={self.state})"


class Session:
    """A caller's session with an instance, over the line-based wire protocol."""

    # Ids are unique over all sessions and threads: the stand-in's signatures depend on the id only, and
    # an instance takes a signature that comes again for that of a repeated answer.
    _ids = itertools.count(1)

    def __init__(self, port, database, key):
        self.socket = socket.create_connection((LOOPBACK, port), timeout=WAIT_S)
        self.input = self.socket.makefile("rb")
        self.send(f"CONNECT {database} {key}")
        self.greeting = self.line()

    def send(self, text):
        self.socket.sendall(text.encode(ENCODING) + LINE_END)

    def line(self):
        """The next line, in which a single LF may stand; empty at the end of the stream."""
        line = b""
        while not line.endswith(LINE_END):
            part = self.input.readline()
            if not part:
                return ""
            line += part
        return line[:-len(LINE_END)].decode(ENCODING)

    def start(self, text):
        """Sends a statement with an id of its own; answer() receives its answer."""
        self.last_id = f"{next(Session._ids):x}"
        self.send(f"QUERY {self.last_id} {text}")

    def run(self, text):
        self.start(text)
        return self.answer()

    def answer(self):
        rows, signature, error = [], None, None
        while True:
            line = self.line()
            if not line:
                raise ConnectionError("the instance closed the session before it had answered")
            word, _, rest = line.partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                error = rest.split(" ")[0]
            elif word == "READY":
                state, position = rest.split(" ")
                return Answer(rows, signature, error, state, position)

    def has_ended(self):
        """Whether the instance has ended the session. Precondition: no request is outstanding."""
        self.socket.setblocking(False)
        try:
            return self.socket.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.socket.settimeout(WAIT_S)

    def close(self):
        self.input.close()
        self.socket.close()


class Instance:
    def __init__(self, platform, number, zone, work_dir, build, limits=""):
        self.caller_port, self.admin_port, self.peer_port, self.gateway_port = (
            free_port() for _ in range(4))
        store, promotions = platform.ports_for_instance()
        settings = os.path.join(work_dir, f"settings-{number}.yaml")
        self.log_path = os.path.join(work_dir, f"instance-{number}.log")
        with open(settings, "w", encoding="utf-8") as out:
            out.write(
                f"instance: instance-{number}\nzone: {zone}\n"
                f"callers: {LOOPBACK}:{self.caller_port}\nadmin: {LOOPBACK}:{self.admin_port}\n"
                f"peers: {LOOPBACK}:{self.peer_port}\n"
                f"gateway: {LOOPBACK}:{self.gateway_port}\ncore_share: 0.25\n"
                f"store: {LOOPBACK}:{store}\n"
                f"promotions: {LOOPBACK}:{promotions}\n"
                f"stop_grace_s: {STOP_GRACE_S}\n"
                f"zones: [{', '.join(platform.zones)}]\n"
                f"fenced_promotions: {str(platform.fenced).lower()}\n"
                f"{limits}")
        program = os.path.join(build, "bin", "oriolethread-platform")
        self.command = [program, "--settings", settings]
        self.start()

    def start(self):
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(self.command, stdout=log, stderr=subprocess.STDOUT)

    def ready(self):
        try:
            return fetch_status(self.admin_port, "/readyz") == 200
        except OSError:
            return False

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def log(self):
        with open(self.log_path, encoding="utf-8") as log:
            return log.read()


class PlatformTest(unittest.TestCase):
    """Starts a platform stand-in and an instance in each of `instance_zones` for each test. `limits`
    are further lines of the instances' settings."""

    rate = 1000
    burst = 1000
    fenced = True
    sync_replicas = 0
    instance_zones = ("zone-a", "zone-b")
    limits = ""

    def setUp(self):
        self.work_dir = tempfile.mkdtemp(prefix="oriole-platform-")
        self.platform = Platform(self.rate, self.burst, self.fenced,
                                 sync_replicas=self.sync_replicas)
        self.addCleanup(self.platform.stop)
        self.instances = []
        for zone in self.instance_zones:
            self.add_instance(zone)
        for instance in self.instances:
            self.wait(instance.ready, "readiness")

    def add_instance(self, zone):
        build = os.environ.get("ORIOLE_BUILD", os.path.join(ROOT, "build"))
        instance = Instance(self.platform, len(self.instances), zone, self.work_dir, build,
                            self.limits)
        self.addCleanup(instance.stop)
        self.instances.append(instance)
        return instance

    def start_instance(self, zone):
        """Starts a further instance and waits until it is ready."""
        self.wait(self.add_instance(zone).ready, "readiness")

    def run(self, result=None):
        """Runs the test; deletes the instances' log files unless the test failed."""
        before = len(result.errors) + len(result.failures)
        super().run(result)
        if len(result.errors) + len(result.failures) == before:
            shutil.rmtree(self.work_dir, ignore_errors=True)
        return result

    def session(self, database="newest", key="acme-key", index=0):
        session = Session(self.instances[index].caller_port, database, key)
        self.addCleanup(session.close)
        return session

    def server(self, name):
        return self.platform.database.servers[name]

    def run_until_done(self, session, text):
        """Retries the statement until it is answered without an error; returns that answer."""
        answer = None

        def done():
            nonlocal answer
            answer = session.run(text)
            return answer.error is None

        wait_until(done, WAIT_S, text)
        return answer

    def wait(self, condition, what):
        wait_until(condition, WAIT_S, what)
