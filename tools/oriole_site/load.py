"""Runs the load generator oriole-load against a site and reads its report and request records."""

import json
import os
import subprocess
import time

from .processes import address

# After the load, oriole-load waits up to 7 s for late answers and checks results for up to 20 s.
AFTER_LOAD_S = 30.0


class LoadAccount:
    """A client account under load: its key, its rate limit, and the requests it sends per second
    (`sent`)."""

    def __init__(self, name, rate, burst, sent, key_ends_ms=None):
        self.name = name
        self.key = f"{name}-secret"
        self.rate = rate
        self.burst = burst
        self.sent = sent
        self.key_ends_ms = key_ends_ms


class Load:
    """One run of the load generator."""

    def __init__(self, site, work_dir, accounts, seconds, seed, extra=()):
        self.seconds = seconds
        self._report_path = os.path.join(work_dir, "load.json")
        self._record_path = os.path.join(work_dir, "load.records")
        command = [
            site.program("oriole-load"),
            "--rate", str(sum(a.sent for a in accounts)),
            "--accounts", ",".join(f"{a.name}={a.key}:{a.sent}" for a in accounts),
            "--seconds", str(seconds),
            "--seed", str(seed),
            "--out", self._report_path,
            "--record", self._record_path,
            *extra,
        ]
        for account in accounts:
            command += ["--limit", f"{account.name}={account.rate}:{account.burst}"]
            if account.key_ends_ms is not None:
                command += ["--key-ends", f"{account.name}={account.key_ends_ms}"]
        self._log = open(os.path.join(work_dir, "load.log"), "w+", encoding="utf-8")
        self._started = time.monotonic()
        self._child = subprocess.Popen(command, stdout=self._log, stderr=self._log)

    def sleep_until(self, seconds):
        """Waits until the load has run for the given number of seconds."""
        time.sleep(max(0.0, self._started + seconds - time.monotonic()))

    def wait(self):
        """Waits for oriole-load and returns its report, with the violations that it found. Raises
        RuntimeError if oriole-load itself failed."""
        try:
            status = self._child.wait(self.seconds + AFTER_LOAD_S)
        finally:
            self.stop()
        self._log.seek(0)
        log = self._log.read()
        if status not in (0, 1):
            raise RuntimeError(f"oriole-load ended with exit status {status}: {log[-2000:]}")
        with open(self._report_path, encoding="utf-8") as report:
            return json.load(report)

    def records(self):
        with open(self._record_path, encoding="utf-8") as lines:
            return [json.loads(line) for line in lines]

    def stop(self):
        if self._child.poll() is None:
            self._child.kill()
        self._child.wait()


def instance_arguments(site):
    return ["--targets", ",".join(address(i.caller_port) for i in site.instances)]


def direct_arguments(database, primary, term):
    replicas = [s for s in database.servers if s is not primary and s.process.running()]
    return [
        "--direct-primary", address(primary.statement_port),
        "--direct-replicas", ",".join(address(s.statement_port) for s in replicas),
        "--direct-confirm", ",".join(address(s.control_port) for s in replicas),
        "--direct-term", str(term),
    ]
