"""A small site for the scripts of the second review: the program of the deploy file as separate
processes on loopback addresses, beside the project's own stand-ins of the store, the promotion
service and the backend servers (standins/users_platform)."""

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "standins"))
sys.path.insert(0, os.path.join(ROOT, "tools"))

from users_platform import Platform  # noqa: E402
from users_platform.backend import Connection  # noqa: E402
from users_platform.http import serve_http  # noqa: E402

LOOPBACK = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of the scripts
MAX_RUN_S = 110
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be brought about."""


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.out = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.out.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.write(text)
        self.out.flush()
        print(text, flush=True)


def deployed_program():
    """The program that the deploy file runs, and the name of its variable for the settings."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        role = tomllib.load(file)["roles"]["entry"]
    program = [os.path.join(ROOT, word) if "/" in word else word for word in role["run"].split(" ")]
    if not os.access(program[0], os.X_OK):
        raise CannotRun(f"{role['run']} is not built; run the build line of deploy/system.toml")
    return program


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((LOOPBACK, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Instance:
    """One entry instance: a process of the deployed program with settings as the template has them."""

    def __init__(self, site, name, zone):
        self.name, self.zone = name, zone
        self.callers, self.admin, self.peers, self.gateway = free_ports(4)
        self.settings = os.path.join(site.work, f"{name}.yaml")
        self.log_path = os.path.join(site.work, f"{name}.log")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(f"instance: {name}\nzone: {zone}\nzones: [{', '.join(site.zones)}]\n"
                      f"callers: {LOOPBACK}:{self.callers}\nadmin: {LOOPBACK}:{self.admin}\n"
                      f"peers: {LOOPBACK}:{self.peers}\ngateway: {LOOPBACK}:{self.gateway}\n"
                      f"core_share: 0.25\nstore: {LOOPBACK}:{site.platform.store_port}\n"
                      f"promotions: {LOOPBACK}:{site.platform.promotion_port}\n"
                      "memory_mb: 260\nmax_descriptors: 4200\nstop_grace_s: 6\n"
                      "fenced_promotions: true\n")
        self.process = None
        self.start()

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(deployed_program(), stdout=log, stderr=subprocess.STDOUT,
                                            cwd=ROOT,
                                            env=dict(environment, ORIOLETHREAD_BOOT=self.settings))

    def ready(self):
        try:
            with urllib.request.urlopen(f"http://{LOOPBACK}:{self.admin}/readyz", timeout=1) as reply:
                return reply.status == 200
        except (OSError, urllib.error.HTTPError):
            return False

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Site:
    """Instances by zone beside a platform stand-in; ends all processes when it is left."""

    def __init__(self, platform, zones):
        self.platform = platform
        self.zones = zones
        self.work = tempfile.mkdtemp(prefix="oriole-review-")
        self.instances = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for instance in self.instances:
            instance.kill()
        self.platform.stop()
        if not os.environ.get("KEEP_LOGS"):
            for name in os.listdir(self.work):
                os.unlink(os.path.join(self.work, name))
            os.rmdir(self.work)

    def add(self, name, zone):
        instance = Instance(self, name, zone)
        self.instances.append(instance)
        return instance

    def wait_ready(self, instances=None, limit_s=20.0):
        wait_for(lambda: all(item.ready() for item in instances or self.instances), limit_s,
                 "readiness of the instances")


def wait_for(condition, limit_s, what):
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise CannotRun(f"no {what} within {limit_s} s")
        time.sleep(0.02)


def record_runs(platform, record):
    """Writes what the servers ran, by server in the order of the runs."""
    for server, (request_id, account, words, state, _) in platform.runs():
        record.write(f"{server.id} ran {request_id} of {account} in state {state}: {' '.join(words)}")


class SessionLost(Exception):
    """The connection ended."""


class Session:
    """A caller's session with an instance, for asyncio."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, port, database, key):
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, port, limit=1 << 20)
            session = cls(reader, writer)
            writer.write(f"CONNECT {database} {key}\r\n".encode())
            line = await session.line()
        except OSError as failure:
            raise SessionLost(str(failure)) from failure
        if not line.startswith("READY"):
            session.close()
            raise SessionLost(line)
        return session

    async def line(self):
        try:
            return (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        except (asyncio.IncompleteReadError, OSError) as failure:
            raise SessionLost(str(failure)) from failure

    async def run(self, request_id, text):
        """Returns (error code or "", rows, state, position)."""
        self.writer.write(f"QUERY {request_id} {text}\r\n".encode("latin-1"))
        rows, error = [], ""
        while True:
            word, _, rest = (await self.line()).partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "ERROR":
                error = rest.split(" ")[0]
            elif word == "READY":
                state, position = rest.split(" ")
                return error, rows, state, position

    def close(self):
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.close()


def main(case, folder):
    """Runs `case(record)`, which returns whether the rule held, and ends with the exit code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    signal.signal(signal.SIGALRM, lambda *_: sys.exit(NOT_RUN))
    signal.alarm(MAX_RUN_S)
    record = Record(folder)
    record.say(f"TROUBLE={1 if TROUBLE else 0}")
    try:
        held = case(record)
    except CannotRun as reason:
        record.say(f"the case could not run: {reason}")
        sys.exit(NOT_RUN)
    except (ConnectionError, OSError, TimeoutError) as reason:
        record.say(f"the case could not run: {type(reason).__name__} {reason}")
        sys.exit(NOT_RUN)
    record.say("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
