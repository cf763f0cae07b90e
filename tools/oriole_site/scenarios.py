"""Measurement scenarios: load on a site, during which an event happens, such as a failover. Each
scenario is a class whose `name` is the argument of tools/measure."""

import random
import threading
import time

from .load import Load, LoadAccount, direct_arguments, instance_arguments

ZONES = ["zone-a", "zone-b", "zone-c"]
# Requests per second of each account: a few large accounts and several small ones.
SENT_PER_SECOND = [300, 200, 100, 50, 50, 40, 30, 30]
HEADROOM = 3  # ratio of an account's rate limit to the rate it sends at
OVERLOAD = 8  # ratio of the sent rate to the rate limit, for the overloading account
WITHDRAWAL_LIMIT_MS = 2000
IDLE_S = 2.0  # duration of the CPU measurement before the load
POLL_S = 0.01


def site_options():
    """Options of the measured site. Its size is that of current deployments, except that it has one
    database, so that the load fits a small machine."""
    return {
        "zones": ZONES, "instances": 7, "lag_ms": "50:200", "connections": 20, "connect_ms": 10,
        "traffic_threads": 1,
    }


class Scenario:
    """Base class: load without an event."""

    load_extra = ()

    def __init__(self, seconds, seed):
        self.seconds = seconds
        self.seed = seed
        self.events = []
        self.figures = {}
        self.random = random.Random(seed)
        # The event comes late enough for the load to be steady before it, and early enough for its
        # effects to be measured before the load ends.
        self.event_at = seconds * self.random.uniform(0.25, 0.4)

    def accounts(self):
        return [
            LoadAccount(f"account-{n + 1}", HEADROOM * sent, HEADROOM * sent, sent)
            for n, sent in enumerate(SENT_PER_SECOND)
        ]

    def event(self, site, load):
        """Called in a separate thread while the load runs; causes the scenario's event."""

    def record_event(self, name):
        self.events.append((time.monotonic(), name))

    def finish(self, report, records):
        """Adds figures that are computed from the request records after the load."""

    def change(self, site, *arguments):
        """Makes a change with oriolectl, as an operator would. Measures the time from the
        change's acceptance until it is in force at all instances; returns the time of its
        acceptance."""
        self.record_event(" ".join(arguments))
        site.oriolectl(*arguments, "--author", "measure")
        accepted = time.monotonic()
        self.record_event("accepted")
        generation = site.head_generation()
        waiting = list(site.live_instances())
        while waiting and time.monotonic() - accepted < self.seconds:
            waiting = [i for i in waiting if i.status()["generation"] < generation]
            time.sleep(POLL_S)
        self.figures["in_force_ms"] = (time.monotonic() - accepted) * 1000 if not waiting else None
        return accepted


class Steady(Scenario):
    name = "steady"


class Roaming(Scenario):
    name = "roaming"
    load_extra = ("--roam",)


class Failover(Scenario):
    name = "failover"
    # Most requests are writes, because failover_gap_ms includes the time between two writes of an
    # account.
    load_extra = ("--roam", "--read-share", "0.3")

    def event(self, site, load):
        lost = site.wait_for_primary(site.databases[0])
        load.sleep_until(self.event_at)
        lost.process.kill()
        self.record_event("primary killed")

    def finish(self, report, records):
        killed = self.events[-1][0] * 1e6 - report["start_monotonic_us"]
        self.figures["failover_gap_ms"] = write_gap_ms(records, killed)


class FailoverPlatformDown(Failover):
    name = "failover-platform-down"

    def event(self, site, load):
        load.sleep_until(self.event_at - 1)
        site.set_platform_faults(down=True)
        self.record_event("platform down")
        super().event(site, load)


class Overload(Scenario):
    name = "overload"

    def accounts(self):
        accounts = super().accounts()
        overloading = accounts[-1]
        overloading.sent = OVERLOAD * overloading.rate
        return accounts


class ZoneOut(Scenario):
    name = "zone-out"
    load_extra = ("--roam",)

    def event(self, site, load):
        zone = self.random.choice(ZONES)
        load.sleep_until(self.event_at)
        self.change(site, "zone", "out", zone)
        load.sleep_until(self.seconds * 0.7)
        out_in_force = self.figures["in_force_ms"]
        self.change(site, "zone", "in", zone)
        self.figures["back_in_force_ms"] = self.figures["in_force_ms"]
        self.figures["in_force_ms"] = out_in_force


class Withdrawal(Scenario):
    name = "withdrawal"
    load_extra = ("--roam",)

    def accounts(self):
        accounts = super().accounts()
        # Adds one second, because on a busy machine oriolectl may take that long until the platform
        # has accepted the withdrawal.
        accounts[0].key_ends_ms = int(self.event_at * 1000) + WITHDRAWAL_LIMIT_MS + 1000
        return accounts

    def event(self, site, load):
        load.sleep_until(self.event_at)
        self.accepted = self.change(site, "key", "withdraw", "account-1-key")

    def finish(self, report, records):
        accepted = self.accepted * 1e6 - report["start_monotonic_us"]
        done = [r["answered_us"] for r in records
                if r["account"] == "account-1" and r["outcome"] == "done"]
        self.figures["generation_in_force_ms"] = self.figures["in_force_ms"]
        self.figures["in_force_ms"] = max(0.0, (max(done) - accepted) / 1000)


class Rollout(Scenario):
    name = "rollout"
    load_extra = ("--roam",)

    def event(self, site, load):
        load.sleep_until(1.0)
        for instance in list(site.instances):
            self.record_event(f"{instance.name} stops")
            instance.process.stop()
            site.start_instance(instance)
            self.record_event(f"{instance.name} starts")
            if time.monotonic() - self.events[0][0] > self.seconds - 2:
                break
        self.figures["replaced"] = sum(name.endswith("starts") for _, name in self.events)


class PlatformOutage(Scenario):
    name = "platform-outage"

    def event(self, site, load):
        load.sleep_until(self.event_at)
        site.set_platform_faults(down=True)
        self.record_event("platform down")
        load.sleep_until(self.seconds * 0.8)
        site.set_platform_faults(down=False)
        self.record_event("platform up")


SCENARIOS = {
    s.name: s
    for s in (Steady, Roaming, Failover, FailoverPlatformDown, Overload, ZoneOut, Withdrawal,
              Rollout, PlatformOutage)
}


def write_gap_ms(records, around_us):
    """The longest time without an acknowledged write of any one account, from its last write before
    the event until 10 s after the event. None if an account has no write before or after it."""
    times = {}
    for record in records:
        if record["phase"] == "load" and record["write"] and record["outcome"] == "done":
            times.setdefault(record["account"], []).append(record["answered_us"])
    gaps = []
    for answered in times.values():
        before = [t for t in answered if t <= around_us]
        after = [t for t in answered if t > around_us]
        if before and after:
            gaps.append(longest_gap(sorted(answered), max(before), around_us + 10_000_000))
    return max(gaps) / 1000 if gaps and len(gaps) == len(times) else None


def longest_gap(answered, begin, end):
    inside = [t for t in answered if begin <= t <= end]
    return max((b - a for a, b in zip(inside, inside[1:])), default=0)


class ResourceUsage:
    """CPU and memory use of the instances since the creation of this object."""

    def __init__(self, site):
        self._instances = site.live_instances()
        self._start = time.monotonic()
        self._cpu = {i.name: i.process.cpu_seconds() for i in self._instances}

    def cpu_share(self):
        """CPU use as a share of one core; the highest of the instances that are still running."""
        passed = time.monotonic() - self._start
        shares = [
            (i.process.cpu_seconds() - self._cpu[i.name]) / passed
            for i in self._instances if i.process.running()
        ]
        return max(shares, default=None)

    def resident_bytes(self):
        return max((i.process.resident_bytes() for i in self._instances if i.process.running()),
                   default=None)


def run_scenario(scenario, site, work_dir):
    """Runs the scenario; returns its figures with the keys that docs/design.md lists."""
    idle = ResourceUsage(site)
    time.sleep(IDLE_S)
    idle_share = idle.cpu_share()
    extra = [*instance_arguments(site), *scenario.load_extra]
    load = Load(site, work_dir, scenario.accounts(), scenario.seconds, scenario.seed, extra)
    use = ResourceUsage(site)
    failures = []
    event = threading.Thread(target=run_event, args=(scenario, site, load, failures))
    event.start()
    load.sleep_until(scenario.seconds)
    busy_share = use.cpu_share() if scenario.name != "rollout" else None
    resident = ResourceUsage(site).resident_bytes()
    try:
        report = load.wait()
    finally:
        event.join()
    if failures:
        raise failures[0]
    scenario.finish(report, load.records())
    for key in ("failover_gap_ms", "in_force_ms", "direct_latency_us", "control_bytes_per_s"):
        report[key] = None
    report.update(scenario.figures)
    report["control_cpu_share"] = idle_share
    report["cpu_share_under_load"] = busy_share
    report["rss_bytes"] = resident
    start = report["start_monotonic_us"]
    report["events"] = [
        {"t_ms": (moment * 1e6 - start) / 1000, "name": name} for moment, name in scenario.events
    ]
    return report


def run_event(scenario, site, load, failures):
    try:
        scenario.event(site, load)
    except Exception as failure:  # run_scenario raises it in the main thread
        failures.append(failure)


def direct_latency(scenario, site, work_dir, seconds):
    """The latency of the same load when sent directly to the backend servers, for comparison."""
    database = site.databases[0]
    primary = site.wait_for_primary(database)
    state = next(d for d in site.live_instances()[0].status()["databases"]
                 if d["name"] == database.name)
    extra = direct_arguments(database, primary, state["term"])
    load = Load(site, work_dir, scenario.accounts(), seconds, scenario.seed, extra)
    return load.wait()["latency_us"]
