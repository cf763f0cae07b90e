#!/usr/bin/env python3
"""Randomized soak test: runs instances on loopback under load, injects faults and checks the
recorded history against the documented guarantees."""

import argparse
import collections
import itertools
import os
import random
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))),
                                "process"))

from callers import PAUSE_S, Caller, answers_reads, answers_writes
from faults import Faults, SynchronousFaults
from history import History
from judge import judge
from planned_work import PlannedWork
from repeated_replies import RepeatedReplies
from site_under_soak import ACCOUNTS, DEFAULT_INSTANCES, LIMITED_ACCOUNT, RATE, ROOT, Site

CALLERS = 12
# Further callers, of the account with a limit that they exceed.
LIMITED_CALLERS = 3
LIMITED_PAUSE_S = 0.005
MAX_ACTIVE_FAULTS = 3
HIGH_RATE = 1000  # more than the callers of these accounts send
SERVER_WORK_S = 0.005
JUDGE_INTERVAL_S = 5.0
READY_TIMEOUT_S = 20.0
RECOVERY_TIMEOUT_S = 12.0


class Soak:
    def __init__(self, seed, options, **site_options):
        self.seed = seed
        self.seconds = options.seconds
        self.work_dir = tempfile.mkdtemp(prefix=f"oriole-soak-{seed}-")
        self.history = History()
        site_options.setdefault("work_s", SERVER_WORK_S if options.planned_work else 0.0)
        rate = HIGH_RATE if options.repeated_answers else RATE
        self.site = Site(self.history, self.work_dir, options.build, options.instances, rate,
                         sync_replicas=options.sync_replicas, **site_options)
        self.random = random.Random(seed)
        kinds = PlannedWork if options.planned_work else Faults
        if options.sync_replicas:
            kinds = SynchronousFaults
        if options.repeated_replies:
            kinds = RepeatedReplies
        self.faults = kinds(self.site, self.random, options.store_restores,
                            options.repeated_answers)
        # Every second caller sends its next operation at once, where it matters that connections are
        # in use.
        busy = options.planned_work or options.repeated_answers
        all_callers = CALLERS + LIMITED_CALLERS
        self.callers = [Caller(self.site, ACCOUNTS[number % len(ACCOUNTS)], number, all_callers,
                               seed, 0.0 if busy and number % 4 > 1 else PAUSE_S)
                        for number in range(CALLERS)]
        self.callers += [Caller(self.site, LIMITED_ACCOUNT, number, all_callers, seed,
                                LIMITED_PAUSE_S) for number in range(CALLERS, all_callers)]
        self.active_faults = []  # (time to end it, name, function that ends it)
        self.fault_log = []  # start and end of each fault, for faults.log

    def run(self):
        """Runs the soak; returns the findings without duplicates, oldest first."""
        try:
            self.wait_until_ready()
            for caller in self.callers:
                caller.start()
            findings = self.inject()
            for _, _, end in self.active_faults:
                end()
            self.check_recovery()
            for caller in self.callers:
                caller.stopped.set()
            for caller in self.callers:
                caller.join()
            findings += self.judge()
            return list(dict.fromkeys(findings))
        finally:
            for caller in self.callers:
                caller.stopped.set()
            self.site.stop()

    def wait_until_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all(instance.ready() for instance in self.site.instances):
            if time.monotonic() > deadline:
                raise TimeoutError(f"not all instances were ready within {READY_TIMEOUT_S} s")
            time.sleep(0.05)

    def inject(self):
        findings = []
        started = time.monotonic()
        next_fault = started + 1.0
        next_check = started + JUDGE_INTERVAL_S
        while time.monotonic() < started + self.seconds:
            now = time.monotonic()
            self.site.restart_ended()
            self.end_expired_faults(now, started)
            if now >= next_fault and len(self.active_faults) < MAX_ACTIVE_FAULTS:
                self.start_fault(now, started)
                next_fault = now + self.random.uniform(0.2, 2.0)
            if now >= next_check:
                findings += self.judge()
                next_check = time.monotonic() + JUDGE_INTERVAL_S
            time.sleep(0.02)
        return findings

    def start_fault(self, now, started):
        duration = self.random.uniform(0.3, 4.0)
        fault = self.faults.start_random()
        if fault is not None:
            name, end = fault
            self.active_faults.append((now + duration, name, end))
            self.fault_log.append(f"{now - started:7.2f} s {name} for {duration:.1f} s")

    def end_expired_faults(self, now, started):
        for fault in [fault for fault in self.active_faults if fault[0] <= now]:
            self.active_faults.remove(fault)
            fault[2]()
            self.fault_log.append(f"{now - started:7.2f} s {fault[1]} ends")

    def check_recovery(self):
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        waiting = list(self.site.instances)
        probes = itertools.count(1)
        while waiting and time.monotonic() < deadline:
            self.site.restart_ended()
            waiting = [instance for instance in waiting
                       if not (answers_reads(self.site, instance) and
                               answers_writes(self.site, instance, next(probes)))]
            time.sleep(0.1)
        for instance in self.site.instances:
            self.history.recovered[instance.name] = instance not in waiting

    def judge(self):
        return judge(self.history.snapshot(self.site.log), self.site.limits)

    def summary(self):
        outcomes = collections.Counter(statement.error or "ok"
                                       for statement in self.history.statements)
        answers = ", ".join(f"{name} {count}" for name, count in outcomes.most_common())
        stops, kills = len(self.history.planned_stops), len(self.history.kills)
        return f"{stops} stops, {kills} kills; {answers}"


def parse_options(arguments=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, action="append", help="a seed to run (repeatable)")
    parser.add_argument("--fresh", type=int, default=0, help="number of further, random seeds")
    parser.add_argument("--seconds", type=float, default=20.0,
                        help="duration of the fault injection for each seed")
    parser.add_argument("--store-restores", action="store_true",
                        help="also restore the store from older copies")
    parser.add_argument("--repeated-answers", action="store_true",
                        help="servers, the store and the promotion service also send answers twice")
    parser.add_argument("--repeated-replies", action="store_true",
                        help="the store and the promotion service send each reply twice, while "
                             "primaries are lost")
    parser.add_argument("--planned-work", action="store_true",
                        help="inject planned work and troubles around a start only; no request may "
                             "then be cut off")
    parser.add_argument("--sync-replicas", type=int, default=0,
                        help="replicas that receive a commit before it is acknowledged; no promotion "
                             "may then remove an acknowledged commit")
    parser.add_argument("--instances", type=int, default=DEFAULT_INSTANCES,
                        help="number of instances, each with two proxies")
    parser.add_argument("--build", default=os.environ.get("ORIOLE_BUILD",
                                                          os.path.join(ROOT, "build")))
    return parser.parse_args(arguments)


def main():
    options = parse_options()
    seeds = (options.seed or []) + [random.SystemRandom().randrange(1, 10**9)
                                    for _ in range(options.fresh)]
    failed = []
    for seed in seeds:
        soak = Soak(seed, options)
        findings = soak.run()
        print(f"seed {seed}: {len(findings)} findings; {soak.summary()}", flush=True)
        if not findings:
            shutil.rmtree(soak.work_dir, ignore_errors=True)
            continue
        failed.append(seed)
        with open(os.path.join(soak.work_dir, "faults.log"), "w", encoding="utf-8") as out:
            out.write("\n".join(soak.fault_log + findings) + "\n")
        for finding in findings[:10]:
            print(f"  {finding}")
        print(f"  logs: {soak.work_dir}")
    print(f"soak: {len(seeds) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
