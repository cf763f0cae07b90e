"""The primary of a service with sync_replicas = 1 crashes while one of its two replicas receives
nothing and the other, which has every acknowledged commit, is draining before a planned stop."""

import asyncio
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from case import TROUBLE, run_case
from small_site import KEYS, Session, Site

INSTANCE_ZONES = ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c")
READERS = 12
WRITERS = 6
PAUSE_S = 0.1
DRAINS_AT_S = 1.5
REPLICA_STOPS_AT_S = 2.5
CRASH_AT_S = 4.0
REPLICA_RECEIVES_AT_S = 8.0
TRAFFIC_S = 9.0


class Client(threading.Thread):
    """Sends the statements of `texts` in turn, and reconnects when its session breaks."""

    def __init__(self, recorder, name, instance, database, text, pause_s, until):
        super().__init__(daemon=True)
        self.recorder, self.name, self.instance, self.database = recorder, name, instance, database
        self.text, self.pause_s, self.until = text, pause_s, until
        self.acknowledged = []  # (time, id) of each statement that succeeded

    def run(self):
        count = 0
        while time.monotonic() < self.until:
            try:
                session = Session(self.recorder, self.name, self.instance, self.database,
                                  KEYS["acme"])
                while time.monotonic() < self.until:
                    count += 1
                    text = self.text(count)
                    request = session.next_id()
                    if session.run(text, request).ok:
                        self.acknowledged.append((time.monotonic(), request))
                    time.sleep(self.pause_s)
            except OSError:
                time.sleep(0.3)


def play(recorder, work_dir):
    with Site(recorder, work_dir, INSTANCE_ZONES, sync_replicas=1, handshake_s=0.027,
              read_s=0.02, write_s=0.008, lag_s=0.06) as site:
        until = time.monotonic() + TRAFFIC_S
        instances = site.instances
        readers = [Client(recorder, f"r{n}", instances[n % len(instances)], "bounded",
                          lambda count: f"READ item-{count % 50}", PAUSE_S, until)
                   for n in range(READERS)]
        writers = [Client(recorder, f"w{n}", instances[n % len(instances)], "newest",
                          lambda count, n=n: f"WRITE w{n}-{count} {count}", PAUSE_S, until)
                   for n in range(WRITERS)]
        for client in readers + writers:
            client.start()
            time.sleep(0.01)
        if TROUBLE:
            asyncio.run_coroutine_threadsafe(disturb(recorder, site.platform), site.platform.loop)
        for client in readers + writers:
            client.join(timeout=TRAFFIC_S + 15)
        broken = []
        acknowledged = [item for client in writers for item in client.acknowledged]
        for promoted_at, server, kept in site.platform.database.promotions:
            lost = [request for answered_at, request in acknowledged
                    if answered_at < promoted_at and request not in kept]
            if lost:
                broken.append(f"LOST: {len(lost)} acknowledged commits are not in the log of "
                              f"{server}, which was promoted; the first: id={lost[0]}")
        return broken, len(acknowledged)


async def disturb(recorder, platform):
    """i-1 reports that it drains; i-2 receives nothing for a while, and the primary i-0 crashes
    meanwhile. i-1 would end after drain_ms (7 s), when the traffic is over."""
    servers = platform.database.servers
    await asyncio.sleep(DRAINS_AT_S)
    recorder.write("i-1 reports draining")
    servers["i-1"].draining = True
    await platform.register(servers["i-1"])
    await asyncio.sleep(REPLICA_STOPS_AT_S - DRAINS_AT_S)
    recorder.write("i-2 receives nothing")
    servers["i-2"].receiving = False
    await asyncio.sleep(CRASH_AT_S - REPLICA_STOPS_AT_S)
    recorder.write("i-0 crashes")
    servers["i-0"].crash()
    await asyncio.sleep(REPLICA_RECEIVES_AT_S - CRASH_AT_S)
    recorder.write("i-2 receives again")
    servers["i-2"].receiving = True


if __name__ == "__main__":
    sys.exit(run_case(HERE, [play]))
