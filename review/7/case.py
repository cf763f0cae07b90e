"""A machine is added while one account asks for more than its rate. The store answers reads with
`serializable` from a copy that is some seconds old, as the pages allow."""

import asyncio
import bisect
import collections
import itertools
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

import site_2  # noqa: E402
from site_2 import TROUBLE, CannotRun, Platform, Session, SessionLost, Site  # noqa: E402
from users_platform import backend, platform as platform_module, store as store_module  # noqa: E402

STALE_S = 3.0          # age of the answers to reads with `serializable`
RATE, BURST = 150, 150  # of each account; the site's sheet has bursts of a second
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20  # quota_window_s, quota_overage, quota_slack
HOT_S = 8.0            # how long the account asks for many times its usual
SESSIONS = 12          # of the hot account, at each instance
PAUSE_S = 0.1          # of a session between two operations
LISTED_S = STALE_S + 6  # until the instances have listed each other
OLD = (("front-a-1", "zone-a"), ("front-a-2", "zone-a"), ("front-a-3", "zone-a"),
       ("front-b-1", "zone-b"), ("front-b-2", "zone-b"), ("front-b-3", "zone-b"),
       ("front-c-1", "zone-c"), ("front-c-2", "zone-c"))
ADDED = (("front-a-4", "zone-a"), ("front-b-4", "zone-b"), ("front-c-3", "zone-c"))
ACCOUNT = "tenant-13"


class StaleStore(store_module.Store):
    """Keeps what it held, so that a list with `serializable` shows it as it was STALE_S ago."""

    def __init__(self):
        super().__init__()
        self.copies = [(time.monotonic() - 60, self.revision, {})]

    async def put(self, kind, name, spec):
        await super().put(kind, name, spec)
        self.copies.append((time.monotonic(), self.revision,
                            {key: dict(value) for key, value in self.objects.items()}))

    async def answer(self, method, path, query, headers, body):
        kind, _, name = path.removeprefix(store_module.PREFIX).partition("/")
        if method != "GET" or name or "watch" in query or query.get("serializable") != "1":
            return await super().answer(method, path, query, headers, body)
        asked = time.monotonic() - STALE_S
        _, revision, objects = self.copies[bisect.bisect(self.copies, asked, key=lambda c: c[0]) - 1]
        items = [item for key, item in sorted(objects.get(kind, {}).items())
                 if key > query.get("after", "")]
        return 200, {"items": items, "has_more": False, "current_rev": revision}


RUNS = {}  # request id: when it arrived at a server that ran it


class TimedConnection(backend.Connection):
    def record_execution(self, request_id, words):
        RUNS.setdefault(request_id, time.monotonic())


class Traffic:
    """Sessions that read, each one operation after the other."""

    def __init__(self):
        self.ids = itertools.count(1)
        self.sent = {}
        self.answered = {}
        self.end = 0.0

    async def ask(self, port, first_pause):
        await asyncio.sleep(first_pause)
        session = None
        while time.monotonic() < self.end:
            try:
                session = session or await Session.open(port, "own", f"{ACCOUNT}-key")
                request_id = f"{next(self.ids):x}"
                self.sent[request_id] = time.monotonic()
                error, *_ = await session.run(request_id, "READ item")
                self.answered[request_id] = error or "OK"
            except SessionLost:
                session = None
            await asyncio.sleep(PAUSE_S)
        if session is not None:
            session.close()

    async def run(self, ports):
        self.end = time.monotonic() + HOT_S
        await asyncio.gather(*(self.ask(port, PAUSE_S * number / SESSIONS)
                               for port in ports for number in range(SESSIONS)))


async def read_once(site):
    """One operation at each instance, so that the connections to the servers are open."""
    for instance in site.instances:
        session = await Session.open(instance.callers, "own", f"{ACCOUNT}-key")
        await session.run("0", "READ item")
        session.close()


def most_in_window(times):
    """The largest number of operations that were sent and ran in one window, and its start."""
    best = (0, 0.0)
    for start in sorted(sent for sent, _ in times):
        inside = sum(start <= sent and ran <= start + WINDOW_S for sent, ran in times)
        best = max(best, (inside, start))
    return best


def case(record):
    platform_module.Store = StaleStore
    backend.Connection = TimedConnection
    platform = Platform(RATE, BURST)
    platform.keys.clear()
    platform.keys[ACCOUNT] = [f"{ACCOUNT}-key"]
    platform.call(platform.publish)
    with Site(platform, platform.zones) as site:
        time.sleep(STALE_S + 0.5)
        for name, zone in OLD:
            site.add(name, zone)
        site.wait_ready()
        time.sleep(LISTED_S)
        asyncio.run(read_once(site))
        time.sleep(1.5)
        if TROUBLE:
            record.say("a machine is added in each zone")
            site.wait_ready([site.add(name, zone) for name, zone in ADDED])
            record.say("the added machines are ready")
        traffic = Traffic()
        asyncio.run(traffic.run([instance.callers for instance in site.instances]))
        time.sleep(0.3)
        times = [(at, RUNS[name]) for name, at in traffic.sent.items() if name in RUNS]
        for name, at in traffic.sent.items():
            ran = f", ran {RUNS[name] - record.started:.3f}" if name in RUNS else ""
            record.write(f"{name} sent {at - record.started:.3f}{ran}, answered {traffic.answered.get(name)}")
        most, start = most_in_window(times)
        bound = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
        record.say(f"answers {dict(collections.Counter(traffic.answered.values()))}")
        record.say(f"{most} operations of {ACCOUNT} ran in the {WINDOW_S} s from {start - record.started:.3f} s; "
                   f"the bound is {bound:.0f}")
        for instance in site.instances:
            with open(instance.log_path, encoding="utf-8", errors="replace") as log:
                shares = [line.split("share_per_s=")[1].split(" ")[0] for line in log
                          if "event=rate_refused" in line and "share_per_s" in line]
            record.say(f"{instance.name}: refused by rate {len(shares)} times, shares {sorted(set(shares))}")
        if not times:
            raise CannotRun("nothing ran")
        return most <= bound


site_2.main(case, FOLDER)
